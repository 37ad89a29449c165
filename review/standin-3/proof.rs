// Answers of some streams are lost before their first event (`answer_lost`). In the store lie entries of
// another writer that name the engines' addresses, for a service that is not configured.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Finding;
use crate::Place;
use crate::common::Instance;
use crate::common::Random;
use crate::common::Record;
use crate::common::unix_ms;
use crate::common::wait_until_ready;
use crate::engine::Copies;
use crate::engine::Engine;
use crate::engine::Work;
use crate::store::Store;
use crate::traffic::Balancer;
use crate::traffic::Clients;
use crate::traffic::HOST;
use crate::traffic::KEY;
use crate::traffic::pause;

const ZONES: [&str; 1] = ["zone-a"];
/// Streams a second of all clients.
const RATE: f64 = 16.0;
/// When answers are lost after the start of traffic, and for how long.
const LOST_AT: f64 = 4.0;
const LOST_S: f64 = 5.5;
const LENGTH_S: f64 = 14.0;
/// Longest time for which two engines may work on a request together.
const OVERLAP_S: f64 = 0.4;

pub fn run(place: &Place) -> Finding {
    let record = Record::new();
    let mut random = Random::new();
    let store = Store::start();
    let config = format!(
        "{{\"version\":7,\"routes\":[\
         {{\"name\":\"letters\",\"host\":\"{HOST}\",\"prefix\":\"/letters/\",\"kind\":\"stream\",\"timeout_ms\":39000,\
           \"goal_ms\":1800,\"priority\":1,\"service\":\"engines\",\"attempts\":1,\"anonymous\":false,\"sticky\":true,\
           \"resumable\":false,\"gap_aim_ms\":180}}],\
         \"services\":[{{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":222,\"protocol\":\"h1\",\"tls\":false,\
           \"cold_s\":1.0,\"cold_per_s\":25.0,\"engine\":{{\"slots\":24,\"kv_tokens\":34306,\"kv_bytes\":18432,\
           \"link_mbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\
           \"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    );
    store.put("op/config", &config);
    let copies = Copies::default();
    let engines: Vec<Arc<Engine>> =
        (1..=4).map(|number| Engine::start(&format!("i-{number}"), &copies, &store, &record)).collect();
    let has_odd_entries = place.has_trouble && std::env::var("ODD").as_deref() != Ok("0");
    if has_odd_entries {
        for (number, engine) in engines.iter().enumerate() {
            // `version`, `slots`, `cold_left_ms` and `seq` are missing, the service is not configured, and
            // the writer counts microseconds.
            let entry = format!(
                "{{\"service\":\"legacy\",\"address\":\"{}\",\"zone\":\"zone-a\",\"state\":\"ready\",\"born\":{}}}",
                engine.address,
                unix_ms() * 1_000
            );
            store.put(&format!("servers/legacy-{number}"), &entry);
            record.add(format!("another writer writes servers/legacy-{number}: {entry}"));
        }
    }
    let instances: Vec<Arc<Instance>> = (1..=3)
        .map(|number| {
            let name = format!("front-{number}");
            Arc::new(Instance::new(&name, ZONES[0], &place.root, &place.folder, &mut random))
        })
        .collect();
    let seeds: Vec<String> = instances.iter().map(|instance| format!("{}:8748", instance.ip)).collect();
    for instance in &instances {
        instance.write_settings(&ZONES, &seeds.join(","), store.address, 8);
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
    if place.has_trouble {
        // Half of the engines lose one answer in twenty.
        for engine in engines.iter().take(2) {
            *engine.loses.lock().unwrap() = Some((start + LOST_AT, start + LOST_AT + LOST_S));
        }
    }
    while record.now() < start + LENGTH_S {
        std::thread::sleep(pause(&mut random, RATE));
        let instance = balancer.choose(ZONES[0], random.next());
        let parts = format!(
            "X-Model: m\r\nX-Token-Counts: 300,100\r\nX-Prompt-Prefix: aa:100,{:x}:200\r\n",
            random.next()
        );
        clients.send("letters", "POST", &parts, 12_000, &instance);
    }
    clients.wait(Duration::from_secs(13));
    balancer.stop();
    instances.iter().for_each(|instance| instance.kill());
    judge(place, &record, &clients, &engines)
}

/// Judges TWICE: two engines work on a request together for longer than 400 ms.
fn judge(place: &Place, record: &Record, clients: &Clients, engines: &[Arc<Engine>]) -> Finding {
    let sent = clients.sent.lock().unwrap().clone();
    let now = record.now();
    let mut works: BTreeMap<String, Vec<(String, Work)>> = BTreeMap::new();
    for engine in engines {
        for (id, work) in engine.works.lock().unwrap().iter() {
            works.entry(id.clone()).or_default().push((engine.id.clone(), work.clone()));
        }
    }
    let mut lines = Vec::new();
    for (id, works) in works.iter().filter(|(_, works)| works.len() > 1) {
        let began = works.iter().map(|(_, work)| work.began).fold(0.0, f64::max);
        let ended = works.iter().map(|(_, work)| work.ended.unwrap_or(now)).fold(now, f64::min);
        if ended - began <= OVERLAP_S {
            continue;
        }
        let runs: Vec<String> = works
            .iter()
            .map(|(engine, work)| {
                let ended = work.ended.unwrap_or(now);
                format!("{engine} from {:.3} to {ended:.3} (from a copy: {})", work.began, work.resumed)
            })
            .collect();
        lines.push(format!("{id}: {:.2} s together, {}", ended - began, runs.join(", ")));
    }
    let served = sent.iter().filter(|sent| sent.has_succeeded()).count();
    let text = format!(
        "{} streams sent, {served} whole, {} of them were worked on by two engines together for longer than {OVERLAP_S} s",
        sent.len(),
        lines.len()
    );
    let is_broken = !lines.is_empty();
    lines.insert(0, text);
    record.write(&place.record, &lines.join("\n"));
    match is_broken {
        true => Finding::Broken(format!("TWICE, {}", lines.join("; "))),
        false => Finding::Held(lines.join("; ")),
    }
}
