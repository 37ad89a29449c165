// A runner leaves without a notice: its entry is removed, and it goes on serving for some seconds.
// Another writer then leaves an entry with missing fields under the same key.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::Finding;
use crate::Place;
use crate::common::Instance;
use crate::common::Random;
use crate::common::Record;
use crate::common::wait_until_ready;
use crate::runner::Runner;
use crate::runner::Service;
use crate::store::Store;
use crate::traffic::Balancer;
use crate::traffic::Clients;
use crate::traffic::HOST;
use crate::traffic::KEY;
use crate::traffic::pause;

const ZONES: [&str; 1] = ["zone-a"];
/// Calls a second of all clients.
const RATE: f64 = 39.0;
/// When the runner leaves, when the other writer writes, and when the runner ends its process.
const LEAVES_AT: f64 = 4.0;
const WRITTEN_AFTER: f64 = 1.0;
const ENDS_AFTER: f64 = 8.0;
const DRAIN_S: f64 = 2.0;
const LENGTH_S: f64 = 15.0;

pub fn run(place: &Place) -> Finding {
    let record = Record::new();
    let mut random = Random::new();
    let store = Store::start();
    let service = Service {
        name: "app",
        slots: 6,
        queue: 24,
        work: Duration::from_millis(100),
        events: None,
        crashes_above: None,
    };
    let config = format!(
        "{{\"version\":7,\"routes\":[\
         {{\"name\":\"marks\",\"host\":\"{HOST}\",\"prefix\":\"/marks/\",\"kind\":\"unsafe\",\"timeout_ms\":1000,\
           \"goal_ms\":100,\"priority\":2,\"service\":\"app\",\"attempts\":1,\"anonymous\":false,\"sticky\":false,\"resumable\":false}},\
         {{\"name\":\"lookups\",\"host\":\"{HOST}\",\"prefix\":\"/lookups/\",\"kind\":\"safe\",\"timeout_ms\":1000,\
           \"goal_ms\":100,\"priority\":2,\"service\":\"app\",\"attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false,\
           \"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    );
    store.put("op/config", &config);
    let runners: Vec<Arc<Runner>> = (1..=3)
        .map(|number| Runner::start(&format!("i-{number}"), ZONES[0], &service, "127.0.0.1:0", 0.0, &store, &record))
        .collect();
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
    let sender = {
        let (balancer, clients, record) = (balancer.clone(), clients.clone(), record.clone());
        std::thread::spawn(move || {
            let mut random = Random::new();
            while record.now() < start + LENGTH_S {
                std::thread::sleep(pause(&mut random, RATE));
                let instance = balancer.choose(ZONES[0], random.next());
                // Of 39.9 calls a second, 28.5 are marks.
                match random.below(399) < 285 {
                    true => clients.send("marks", "POST", "", 1_000, &instance),
                    false => clients.send("lookups", "GET", "", 1_000, &instance),
                }
            }
        })
    };
    record.wait_until(start + LEAVES_AT);
    let leaving = runners[0].clone();
    let left_at = leaving.leave();
    if place.has_trouble {
        record.wait_until(left_at + WRITTEN_AFTER);
        // `version`, `slots`, `cold_left_ms`, `seq` and `born` are missing.
        let entry = format!(
            "{{\"service\":\"app\",\"address\":\"{}\",\"zone\":\"{}\",\"state\":\"ready\"}}",
            leaving.address, leaving.zone
        );
        store.put(&format!("servers/{}", leaving.id), &entry);
        record.add(format!("another writer writes servers/{}: {entry}", leaving.id));
    }
    record.wait_until(left_at + ENDS_AFTER);
    leaving.crash("it has left");
    let _ = sender.join();
    clients.wait(Duration::from_secs(3));
    balancer.stop();
    instances.iter().for_each(|instance| instance.kill());
    judge(place, &record, &clients, &leaving, left_at)
}

/// Judges DRAIN: requests that reach the runner later than `drain_ms` after the removal of its entry.
fn judge(place: &Place, record: &Record, clients: &Clients, leaving: &Runner, left_at: f64) -> Finding {
    let sent = clients.sent.lock().unwrap().clone();
    let arrivals = leaving.arrivals.lock().unwrap().clone();
    let late: Vec<_> = arrivals.iter().filter(|arrival| arrival.at > left_at + DRAIN_S).collect();
    let last = late.iter().map(|arrival| arrival.at - left_at).fold(0.0, f64::max);
    let by_id: BTreeMap<&str, _> = sent.iter().map(|sent| (sent.id.as_str(), sent)).collect();
    let is_lost = |id: &str| by_id.get(id).is_some_and(|sent| !sent.has_succeeded());
    let lost = late.iter().filter(|arrival| is_lost(&arrival.id)).count();
    let unserved = sent.iter().filter(|sent| !sent.has_succeeded()).count();
    let text = format!(
        "{} requests reached runner {} later than {DRAIN_S} s after the removal of its entry, the last {last:.2} s after \
         it, and {lost} of them were lost; {} requests sent in all, {unserved} of them not served",
        late.len(),
        leaving.id,
        sent.len()
    );
    record.write(&place.record, &text);
    match late.is_empty() {
        false => Finding::Broken(format!("DRAIN, {text}")),
        true => Finding::Held(text),
    }
}
