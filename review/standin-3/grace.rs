// The settings file changes without a signal: `grace_s` grows from 4 to 8. Later the platform stops an
// instance with SIGTERM and would kill it 8 s later.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Finding;
use crate::Place;
use crate::common::Answer;
use crate::common::Instance;
use crate::common::Random;
use crate::common::Record;
use crate::common::wait_until_ready;
use crate::runner::Arrival;
use crate::runner::Runner;
use crate::runner::Service;
use crate::store::Store;
use crate::traffic::Balancer;
use crate::traffic::Clients;
use crate::traffic::HOST;
use crate::traffic::KEY;
use crate::traffic::Sent;
use crate::traffic::pause;

const ZONES: [&str; 1] = ["zone-a"];
const OLD_GRACE_S: u64 = 4;
const GRACE_S: u64 = 8;
/// Streams a second of all clients.
const RATE: f64 = 8.0;
const EVENTS: u64 = 24;
const EVENT_PAUSE: Duration = Duration::from_millis(200);
const CHANGED_AT: f64 = 2.0;
const STOPPED_AT: f64 = 8.0;
const LENGTH_S: f64 = 18.0;

pub fn run(place: &Place) -> Finding {
    let record = Record::new();
    let mut random = Random::new();
    let store = Store::start();
    let service = Service {
        name: "engines",
        slots: 24,
        queue: 72,
        work: Duration::ZERO,
        events: Some((EVENTS, EVENT_PAUSE)),
        crashes_above: None,
    };
    let config = format!(
        "{{\"version\":7,\"routes\":[\
         {{\"name\":\"letters\",\"host\":\"{HOST}\",\"prefix\":\"/letters/\",\"kind\":\"stream\",\"timeout_ms\":39000,\
           \"goal_ms\":1800,\"priority\":1,\"service\":\"engines\",\"attempts\":1,\"anonymous\":false,\"sticky\":true,\
           \"resumable\":false,\"gap_aim_ms\":180}}],\
         \"services\":[{{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":222,\"protocol\":\"h1\",\"tls\":false,\
           \"cold_s\":1.0,\"cold_per_s\":25.0,\"engine\":{{\"slots\":24,\"kv_tokens\":34306,\"kv_bytes\":18432,\
           \"link_mbps\":2700.0,\"moves\":false,\"backups\":false,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\
           \"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    );
    store.put("op/config", &config);
    let runners: Vec<Arc<Runner>> = (1..=4)
        .map(|number| Runner::start(&format!("i-{number}"), ZONES[0], &service, "127.0.0.1:0", 0.0, &store, &record))
        .collect();
    let instances: Vec<Arc<Instance>> = (1..=3)
        .map(|number| {
            let name = format!("front-{number}");
            Arc::new(Instance::new(&name, ZONES[0], &place.root, &place.folder, &mut random))
        })
        .collect();
    let seeds: Vec<String> = instances.iter().map(|instance| format!("{}:8748", instance.ip)).collect();
    let write_settings = |grace_s: u64| {
        for instance in &instances {
            instance.write_settings(&ZONES, &seeds.join(","), store.address, grace_s);
        }
    };
    write_settings(if place.has_trouble { OLD_GRACE_S } else { GRACE_S });
    for instance in &instances {
        if let Err(error) = instance.start() {
            return Finding::NotRun(format!("an instance can't be started: {error}"));
        }
    }
    if !wait_until_ready(&instances, Duration::from_secs(15)) {
        instances.iter().for_each(|instance| instance.kill());
        return Finding::NotRun("the instances don't get ready".into());
    }
    std::thread::sleep(Duration::from_secs(3));
    let balancer = Balancer::start(&instances);
    let clients = Clients::new(&record);
    let start = record.now();
    record.add("traffic starts");
    let sender = {
        let (balancer, clients, record) = (balancer.clone(), clients.clone(), record.clone());
        std::thread::spawn(move || {
            let mut random = Random::new();
            while record.now() < start + LENGTH_S {
                std::thread::sleep(pause(&mut random, RATE));
                let instance = balancer.choose(ZONES[0], random.next());
                let parts = format!(
                    "X-Model: m\r\nX-Token-Counts: 300,{}\r\nX-Prompt-Prefix: aa:100,{:x}:200\r\n",
                    EVENTS * 4,
                    random.next()
                );
                clients.send("letters", "POST", &parts, 39_000, &instance);
            }
        })
    };
    if place.has_trouble {
        record.wait_until(start + CHANGED_AT);
        write_settings(GRACE_S);
        record.add(format!("the settings files change without a signal: grace_s {OLD_GRACE_S} to {GRACE_S}"));
    }
    record.wait_until(start + STOPPED_AT);
    let stopped = instances[0].clone();
    let stopped_at = record.now();
    stopped.signal("TERM");
    record.add_at(stopped_at, format!("SIGTERM to {}", stopped.name));
    let mut ended_at = None;
    while record.now() < stopped_at + GRACE_S as f64 && ended_at.is_none() {
        std::thread::sleep(Duration::from_millis(10));
        if stopped.has_ended() {
            ended_at = Some(record.now());
        }
    }
    match ended_at {
        Some(at) => record.add_at(at, format!("{} has ended by itself", stopped.name)),
        None => record.add(format!("SIGKILL to {}", stopped.name)),
    }
    stopped.kill();
    let _ = sender.join();
    clients.wait(Duration::from_secs(8));
    balancer.stop();
    instances.iter().for_each(|instance| instance.kill());
    judge(place, &record, &clients, &runners, &stopped.name, stopped_at)
}

/// Judges LOST: requests that the stopped machine had passed on to a runner and whose connection ended
/// without a whole answer, from the signal until 1 s after `grace_s`.
fn judge(place: &Place, record: &Record, clients: &Clients, runners: &[Arc<Runner>], stopped: &str, stopped_at: f64) -> Finding {
    let sent = clients.sent.lock().unwrap().clone();
    let mut arrivals: BTreeMap<String, Arrival> = BTreeMap::new();
    for runner in runners {
        for arrival in runner.arrivals.lock().unwrap().iter().filter(|arrival| arrival.began.is_some()) {
            arrivals.insert(arrival.id.clone(), arrival.clone());
        }
    }
    let last_sixth = stopped_at + GRACE_S as f64 * 5.0 / 6.0;
    let full_time = EVENT_PAUSE.as_secs_f64() * EVENTS as f64;
    let is_cut = |sent: &&Sent| matches!(sent.answer, Answer::Cut(..));
    let is_in_time = |sent: &&Sent| {
        sent.answered_at >= stopped_at && sent.answered_at <= stopped_at + GRACE_S as f64 + 1.0
    };
    // The runner would have ended before the last sixth of `grace_s`, in which it may not be at work.
    let would_end_early = |sent: &&Sent| {
        let began = arrivals.get(&sent.id).and_then(|arrival| arrival.began);
        began.is_some_and(|began| began + full_time + 0.3 < last_sixth)
    };
    let cut: Vec<&Sent> = sent
        .iter()
        .filter(|sent| sent.instance == stopped)
        .filter(is_cut)
        .filter(is_in_time)
        .filter(would_end_early)
        .collect();
    let others = sent.iter().filter(is_cut).count() - cut.len();
    let served = sent.iter().filter(|sent| sent.has_succeeded()).count();
    let mut lines = vec![format!(
        "{} streams sent, {served} whole, {} of {stopped} were cut after its SIGTERM although a runner would have \
         ended them before the last sixth of grace_s ({GRACE_S} s), {others} others without a whole answer",
        sent.len(),
        cut.len()
    )];
    for sent in &cut {
        lines.push(format!(
            "{}: sent {:+.2} s from SIGTERM, cut {:+.2} s from SIGTERM ({})",
            sent.id,
            sent.at - stopped_at,
            sent.answered_at - stopped_at,
            sent.answer.text()
        ));
    }
    record.write(&place.record, &lines.join("\n"));
    match cut.is_empty() {
        false => Finding::Broken(format!("LOST, {}", lines.join("; "))),
        true => Finding::Held(lines.join("; ")),
    }
}
