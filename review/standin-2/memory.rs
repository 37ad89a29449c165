//! Letters with long prompts from many clients at once, under the platform's limit on memory.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::Case;
use crate::client;
use crate::client::Letter;
use crate::daemon::Daemon;
use crate::daemon::Folder;
use crate::engine::Engine;
use crate::engine::Pace;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 2] = ["qc-centre-a", "qc-centre-b"];
/// Runners in each zone.
const ENGINES_PER_ZONE: usize = 3;
/// The memory limit of a process (`limits.memory_mb`).
const MEMORY_MB: u32 = 110;
/// Letters that an instance carries at once on an ordinary day.
const USUAL_LETTERS: u32 = 12;
/// The factor of a burst: many users come at once.
const BURST: f64 = 2.5;
/// Size of a letter's prompt, within `limits.body_bytes` (4,194,304).
const BODY_BYTES: usize = 4_190_000;
/// Time between two letters that come to one instance.
const ARRIVAL_PERIOD: Duration = Duration::from_millis(150);
/// Rounds of letters. The rule speaks of three ends of a process.
const ROUNDS: u32 = 3;
const ENDS_MAX: u32 = 3;
/// The least number of machines that the rule speaks of.
const MACHINES_MIN: usize = 2;
/// Time between two looks at the memory of the processes.
const WATCH_PERIOD: Duration = Duration::from_millis(10);
/// Delay until a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(700);
const PACE: Pace = Pace {
    events: 60,
    gap: Duration::from_millis(150),
};

type Daemons = Arc<Mutex<Vec<Daemon>>>;

pub fn run(case: &Case) -> Result<bool, String> {
    let record = Arc::new(Record::new());
    let result = play(case, &record);
    record.copy_to(&case.record);
    result
}

fn play(case: &Case, record: &Arc<Record>) -> Result<bool, String> {
    let folder = Folder::new().map_err(|error| error.to_string())?;
    let store = Store::start();
    store.put("op/config", client::CONFIG);
    let mut engines = Vec::new();
    for zone in ZONES {
        for number in 0..ENGINES_PER_ZONE {
            let name = format!("{}{number}", zone.chars().last().unwrap_or('x'));
            engines.push(Engine::start(&name, zone, PACE, &store, record));
        }
    }
    let mut started = Vec::new();
    for (number, zone) in (1..).zip(ZONES) {
        let address = store.address;
        let mut daemon = Daemon::new(number, zone, address, MEMORY_MB, &case.program, &folder)?;
        daemon.start(record)?;
        started.push(daemon);
    }
    let fronts: Vec<SocketAddr> = started.iter().map(|daemon| daemon.front).collect();
    let daemons: Daemons = Arc::new(Mutex::new(started));
    let ends = Arc::new(Mutex::new(BTreeMap::new()));
    let is_over = Arc::new(Mutex::new(false));
    let watcher = {
        let (daemons, ends, record) = (daemons.clone(), ends.clone(), record.clone());
        let is_over = is_over.clone();
        std::thread::spawn(move || watch_memory(&daemons, &ends, &record, &is_over))
    };
    let result = (|| {
        for round in 1..=ROUNDS {
            for index in 0..fronts.len() {
                wait_until_ready(&daemons, index)?;
            }
            std::thread::sleep(Duration::from_secs(2));
            let usual = f64::from(USUAL_LETTERS);
            let letters = match case.trouble {
                true => (usual * BURST) as u32,
                false => USUAL_LETTERS,
            };
            record.add(format!("round {round}: {letters} letters to each instance"));
            send_letters(&fronts, round, letters, record);
        }
        Ok(())
    })();
    *is_over.lock().unwrap() = true;
    let peaks = watcher
        .join()
        .map_err(|_| "the watcher failed".to_string())?;
    for (name, peak) in peaks {
        record.add(format!(
            "{name}: {:.1} MiB at its peak",
            peak as f64 / 1_048_576.0
        ));
    }
    daemons.lock().unwrap().clear();
    result.map(|()| judge(&ends.lock().unwrap(), record))
}

/// Waits until an instance, which may be about to be started again, is ready.
fn wait_until_ready(daemons: &Daemons, index: usize) -> Result<(), String> {
    for _ in 0..200 {
        if daemons.lock().unwrap()[index].is_ready() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(format!("instance {index} does not get ready"))
}

/// Returns whether the rule held.
fn judge(ends: &BTreeMap<String, u32>, record: &Record) -> bool {
    for (name, count) in ends {
        record.add(format!("{name} ended {count} times over its memory limit"));
    }
    let often = ends.values().filter(|count| **count >= ENDS_MAX).count();
    often < MACHINES_MIN
}

/// Does what the platform does: ends a process that exceeds its memory, and starts it again. Returns
/// the peaks of all processes.
fn watch_memory(
    daemons: &Daemons,
    ends: &Mutex<BTreeMap<String, u32>>,
    record: &Record,
    is_over: &Mutex<bool>,
) -> BTreeMap<String, u64> {
    let limit = u64::from(MEMORY_MB) * 1_024 * 1_024;
    let mut peaks = BTreeMap::new();
    let mut restarts: BTreeMap<usize, Duration> = BTreeMap::new();
    while !*is_over.lock().unwrap() {
        std::thread::sleep(WATCH_PERIOD);
        let mut daemons = daemons.lock().unwrap();
        for (index, daemon) in daemons.iter_mut().enumerate() {
            if restarts.get(&index).is_some_and(|at| record.now() >= *at) {
                restarts.remove(&index);
                if let Err(error) = daemon.start(record) {
                    record.add(error);
                }
            }
            let Some(bytes) = daemon.resident_bytes() else {
                continue;
            };
            let peak: &mut u64 = peaks.entry(daemon.name.clone()).or_default();
            *peak = bytes.max(*peak);
            if bytes > limit {
                daemon.kill();
                record.add(format!(
                    "{} uses {:.1} MiB, more than {MEMORY_MB} MiB, and is ended by the platform",
                    daemon.name,
                    bytes as f64 / 1_048_576.0
                ));
                *ends.lock().unwrap().entry(daemon.name.clone()).or_default() += 1;
                restarts.insert(index, record.now() + RESTART_DELAY);
            }
        }
    }
    peaks
}

/// Sends letters to each instance, and waits for the answers.
fn send_letters(fronts: &[SocketAddr], round: u32, letters: u32, record: &Arc<Record>) {
    let body = Arc::new(vec![b'w'; BODY_BYTES]);
    let counts: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let mut clients = Vec::new();
    for number in 0..letters {
        for (machine, front) in fronts.iter().copied().enumerate() {
            let (body, counts) = (body.clone(), counts.clone());
            clients.push(std::thread::spawn(move || {
                let attempt = format!("letter-{round}-{machine}-{number}");
                let parts = format!("5c1e07a2:47,{round}{machine}{number}:2953");
                let letter = Letter {
                    attempt: &attempt,
                    parts: &parts,
                    body: &body,
                };
                let result = match client::send(front, &letter) {
                    None => "no answer".to_string(),
                    Some(answer) if !answer.is_complete => format!("{} cut", answer.status()),
                    Some(answer) => format!("{} whole", answer.status()),
                };
                *counts.lock().unwrap().entry(result).or_default() += 1;
            }));
        }
        std::thread::sleep(ARRIVAL_PERIOD);
    }
    for client in clients {
        let _ = client.join();
    }
    record.add(format!(
        "round {round}: answers {:?}",
        counts.lock().unwrap()
    ));
}
