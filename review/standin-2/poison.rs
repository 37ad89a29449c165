//! A request that crashes the runners that run it comes again after all processes were killed at once.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::Case;
use crate::client;
use crate::client::Letter;
use crate::daemon::Daemon;
use crate::daemon::Folder;
use crate::engine;
use crate::engine::Engine;
use crate::engine::Pace;
use crate::engine::Restart;
use crate::record::Record;
use crate::store::Store;

const ZONES: [&str; 3] = ["qc-centre-a", "qc-centre-b", "qc-centre-c"];
/// Runners in each zone.
const ENGINES_PER_ZONE: usize = 2;
const MEMORY_MB: u32 = 110;
/// The pages' bound: a machine is in touch if it has run for this time, and retries count from this
/// time after the third crash.
const CONTACT: Duration = Duration::from_millis(3_000);
/// The pages' bound: retries that may reach runners.
const RETRIES_MAX: usize = 3;
/// When the request that crashes runners comes, since the instances are ready.
const SENDS_S: [u64; 10] = [2, 6, 10, 14, 22, 30, 34, 38, 42, 51];
/// When all processes are killed.
const KILL_S: u64 = 25;
/// Delay until they are started again.
const RESTART_DELAY: Duration = Duration::from_millis(700);
/// Time between two letters of other clients.
const LETTER_PERIOD: Duration = Duration::from_millis(120);
/// Time that a client waits for a letter.
const DEADLINE: Duration = Duration::from_millis(39_000);
const PACE: Pace = Pace {
    events: 60,
    gap: Duration::from_millis(25),
};
const RESTART: Restart = Restart {
    after: Duration::from_secs(2),
    keeps_id: false,
    first_beat: Duration::ZERO,
};

/// A send of the request that crashes runners.
struct Send {
    attempt: String,
    at: Duration,
    /// How long the process that took it had run.
    process_age: Duration,
}

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
            engines.push(Engine::start(
                &name,
                (zone, "1"),
                PACE,
                RESTART,
                &store,
                record,
            ));
        }
    }
    let mut daemons = Vec::new();
    for (number, zone) in (1..).zip(ZONES) {
        let address = store.address;
        let mut daemon = Daemon::new(number, zone, address, MEMORY_MB, &case.program, &folder)?;
        daemon.start(record)?;
        daemons.push(daemon);
    }
    for daemon in &daemons {
        daemon.wait_until_ready()?;
    }
    std::thread::sleep(CONTACT);
    let ready_at = record.now();
    let fronts: Vec<_> = daemons.iter().map(|daemon| daemon.front).collect();
    let letters = Arc::new(Mutex::new((0, 0)));
    let is_over = Arc::new(Mutex::new(false));
    spawn_letters(
        fronts.clone(),
        record.clone(),
        letters.clone(),
        is_over.clone(),
    );

    let mut sends: Vec<Send> = Vec::new();
    let mut kill_at = case.trouble.then_some(Duration::from_secs(KILL_S));
    for (number, at_s) in SENDS_S.into_iter().enumerate() {
        let at = Duration::from_secs(at_s);
        if let Some(kill) = kill_at.filter(|kill| *kill < at) {
            wait_until(record, ready_at + kill);
            record.add("all processes are killed".to_string());
            daemons.iter_mut().for_each(Daemon::kill);
            std::thread::sleep(RESTART_DELAY);
            for daemon in &mut daemons {
                daemon.start(record)?;
            }
            for daemon in &daemons {
                daemon.wait_until_ready()?;
            }
            record.add("all are ready again".to_string());
            kill_at = None;
        }
        wait_until(record, ready_at + at);
        let daemon = &daemons[number % daemons.len()];
        let attempt = format!("crashing-{number}");
        let sent_at = record.now();
        record.add(format!("request {attempt} is sent to {}", daemon.name));
        sends.push(Send {
            attempt: attempt.clone(),
            at: sent_at,
            process_age: sent_at - daemon.started_at,
        });
        let letter = Letter {
            path: "/letters/2f",
            tokens: "3000,600",
            deadline: DEADLINE,
            attempt: &attempt,
            parts: "0badc0de:3000",
            body: engine::CRASHING_BODY.as_bytes(),
        };
        let answer = client::send(daemon.front, &letter);
        let answer = answer.map_or("none".to_string(), |answer| {
            let after = answer.field("retry-after").unwrap_or("-").to_string();
            format!("{}, Retry-After {after}", answer.status())
        });
        record.add(format!("answer to {attempt}: {answer}"));
    }
    std::thread::sleep(Duration::from_millis(500));
    *is_over.lock().unwrap() = true;
    let (whole, cut) = *letters.lock().unwrap();
    record.add(format!(
        "letters of other clients: {whole} whole, {cut} not answered whole"
    ));
    Ok(judge(record, &engines, &sends))
}

/// Returns whether the rule held.
fn judge(record: &Record, engines: &[Arc<Engine>], sends: &[Send]) -> bool {
    let mut crashes: Vec<_> = engines
        .iter()
        .flat_map(|engine| engine.runs())
        .filter(|run| run.has_crashed)
        .collect();
    crashes.sort_by_key(|run| run.at);
    let Some(third) = crashes.get(2) else {
        record.add("fewer than three runners have crashed".to_string());
        return true;
    };
    let counts_from = third.at + CONTACT;
    record.add(format!(
        "the third runner crashed at {:.3} s, retries count from {:.3} s",
        third.at.as_secs_f64(),
        counts_from.as_secs_f64()
    ));
    let retries: Vec<&Send> = sends
        .iter()
        .filter(|send| send.at > counts_from && send.process_age >= CONTACT)
        .filter(|send| crashes.iter().any(|run| run.attempt == send.attempt))
        .collect();
    for send in &retries {
        record.add(format!(
            "retry {} reached a runner, sent by a process that had run for {:.1} s",
            send.attempt,
            send.process_age.as_secs_f64()
        ));
    }
    record.add(format!(
        "{} retries reached runners, {RETRIES_MAX} are allowed; {} runners crashed in all",
        retries.len(),
        crashes.len()
    ));
    retries.len() <= RETRIES_MAX
}

fn wait_until(record: &Record, at: Duration) {
    std::thread::sleep(at.saturating_sub(record.now()));
}

/// Sends letters of other clients to the instances in turn.
fn spawn_letters(
    fronts: Vec<std::net::SocketAddr>,
    record: Arc<Record>,
    counts: Arc<Mutex<(u32, u32)>>,
    is_over: Arc<Mutex<bool>>,
) {
    std::thread::spawn(move || {
        for (number, front) in (0..).zip(fronts.into_iter().cycle()) {
            if *is_over.lock().unwrap() {
                return;
            }
            let (record, counts) = (record.clone(), counts.clone());
            std::thread::spawn(move || {
                let attempt = format!("letter-{number}");
                let parts = format!("5c1e07a2:47,{number:x}:2953");
                let body = format!("{{\"quote\":{number}}}");
                let letter = Letter {
                    path: "/letters/2f",
                    tokens: "3000,600",
                    deadline: DEADLINE,
                    attempt: &attempt,
                    parts: &parts,
                    body: body.as_bytes(),
                };
                let answer = client::send(front, &letter);
                let is_whole = answer
                    .as_ref()
                    .is_some_and(|a| a.status() == 200 && a.is_complete);
                let mut counts = counts.lock().unwrap();
                match is_whole {
                    true => counts.0 += 1,
                    false => {
                        counts.1 += 1;
                        let status = answer.map_or(0, |answer| answer.status());
                        record.add(format!("{attempt} is not answered whole (status {status})"));
                    }
                }
            });
            std::thread::sleep(LETTER_PERIOD);
        }
    });
}
