//! One of two zones is evacuated. The coordinator of the other zone's runners is killed as these come back
//! under the ids that they had.

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
use crate::engine::Restart;
use crate::record::Record;
use crate::store::Store;

/// Zones of the instances.
const ZONES: [&str; 4] = ["qc-centre-a", "qc-centre-a", "qc-centre-b", "qc-centre-b"];
/// The operator's record that evacuates the second zone.
const EVACUATION: &str = "op/evacuate/qc-centre-b";
/// Time from the evacuation to the first tag.
const EVACUATION_TIME: Duration = Duration::from_millis(2_000);
/// The runners, with zone and version.
const ENGINES: [(&str, (&str, &str)); 4] = [
    ("a1", ("qc-centre-a", "1")),
    ("a2", ("qc-centre-a", "1")),
    ("b1", ("qc-centre-b", "1")),
    ("b2", ("qc-centre-b", "1")),
];
/// Runners that start again: those of the first zone.
const RESTARTED: usize = 2;
const MEMORY_MB: u32 = 110;
const CONTACT: Duration = Duration::from_millis(3_000);
/// The route's `timeout_ms`, and the time after it within which a request has its answer.
const TIMEOUT: Duration = Duration::from_millis(4_000);
const LATE: Duration = Duration::from_millis(500);
/// How long a client waits for a tag.
const DEADLINE: Duration = Duration::from_millis(6_000);
/// Requests without an answer that the rule allows.
const LATE_MAX: usize = 7;
/// Tags that are asked for before the disruption, and at the time of it.
const TAGS_BEFORE: usize = 12;
const TAGS: usize = 32;
const TAG_PERIOD: Duration = Duration::from_millis(12);
/// Time from the last tag to the disruption.
const DISRUPTION_DELAY: Duration = Duration::from_millis(350);
/// A tag of 12 events, with pauses within the 180 ms of the sheet.
const PACE: Pace = Pace {
    events: 12,
    gap: Duration::from_millis(110),
};
const RESTART: Restart = Restart {
    after: Duration::from_millis(700),
    keeps_id: true,
    first_beat: Duration::from_millis(1_200),
};

/// The end of a tag.
struct End {
    attempt: String,
    /// Time until the answer, or until the client has left.
    after: Duration,
    /// The status, whether the answer is whole, and its last event, or `None` if there was no answer in time.
    answer: Option<(u16, bool, usize)>,
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
    let engines: Vec<Arc<Engine>> = ENGINES
        .into_iter()
        .map(|(name, place)| Engine::start(name, place, PACE, RESTART, &store, record))
        .collect();
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
    std::thread::sleep(CONTACT + Duration::from_millis(500));
    store.put(EVACUATION, "{}");
    record.add("the second zone is evacuated".to_string());
    std::thread::sleep(EVACUATION_TIME);
    let coordinator = (0..2).find(|index| daemons[*index].is_coordinator());
    let coordinator = coordinator.ok_or("no instance says that it coordinates the runners")?;
    let other = 1 - coordinator;
    record.add(format!(
        "{} coordinates the runners of its zone",
        daemons[coordinator].name
    ));
    let before = ask_for_tags(&daemons[other], "before", TAGS_BEFORE, record, || {});
    let whole = before
        .iter()
        .filter(|end| matches!(end.answer, Some((200, true, _))))
        .count();
    record.add(format!("{whole} of {TAGS_BEFORE} tags before are whole"));
    let (left, right) = daemons.split_at_mut(1);
    let (killed, asked) = match coordinator {
        0 => (&mut left[0], &right[0]),
        _ => (&mut right[0], &left[0]),
    };
    let ends = ask_for_tags(asked, "tag", TAGS, record, || {
        if !case.trouble {
            return;
        }
        record.add(format!(
            "{} is killed, the runners of its zone crash",
            killed.name
        ));
        killed.kill();
        engines[..RESTARTED]
            .iter()
            .for_each(|engine| engine.crash());
    });
    store.remove(EVACUATION);
    record.add("the second zone is taken back".to_string());
    Ok(judge(record, &ends))
}

/// Returns whether the rule held.
fn judge(record: &Record, ends: &[End]) -> bool {
    for end in ends {
        let answer = match end.answer {
            Some((status, true, events)) => format!("{status}, whole, {events} events"),
            Some((status, false, events)) => format!("{status}, broken off after {events} events"),
            None => "no end of the answer, the client leaves".to_string(),
        };
        let after = end.after.as_millis();
        record.add(format!("{}: after {after} ms: {answer}", end.attempt));
    }
    let lasting: Vec<&End> = ends.iter().filter(|end| end.after > TIMEOUT).collect();
    let is_late = |end: &&&End| end.after > TIMEOUT + LATE;
    let late = lasting.iter().filter(is_late).count();
    record.add(format!(
        "{} of {} requests last longer than their route's timeout, {late} of them have no final answer \
         {} ms after it",
        lasting.len(),
        ends.len(),
        LATE.as_millis()
    ));
    late <= LATE_MAX || late * 4 <= lasting.len()
}

/// Asks an instance for tags, does something while they run, and waits for their ends.
fn ask_for_tags(
    daemon: &Daemon,
    name: &str,
    count: usize,
    record: &Arc<Record>,
    meanwhile: impl FnOnce(),
) -> Vec<End> {
    let ends = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    record.add(format!("{count} tags are asked for at {}", daemon.name));
    for number in 0..count {
        let (ends, record, front) = (ends.clone(), record.clone(), daemon.front);
        let attempt = format!("{name}-{number}");
        clients.push(std::thread::spawn(move || {
            let parts = format!("5c1e07a2:350,{name}:1850", name = 0x1000 + number);
            let body = format!("{{\"tag\":\"{attempt}\"}}");
            let letter = Letter {
                path: "/tags/2f",
                tokens: "2200,48",
                deadline: DEADLINE,
                attempt: &attempt,
                parts: &parts,
                body: body.as_bytes(),
            };
            let sent_at = record.now();
            let answer = client::send(front, &letter);
            let after = record.now() - sent_at;
            let answer = answer.filter(|_| after < DEADLINE).map(|answer| {
                let text = String::from_utf8_lossy(&answer.body).into_owned();
                let events = text.matches("data:").count();
                (answer.status(), answer.is_complete, events)
            });
            let end = End {
                attempt,
                after,
                answer,
            };
            ends.lock().unwrap().push(end);
        }));
        std::thread::sleep(TAG_PERIOD);
    }
    std::thread::sleep(DISRUPTION_DELAY);
    meanwhile();
    for client in clients {
        let _ = client.join();
    }
    std::mem::take(&mut *ends.lock().unwrap())
}
