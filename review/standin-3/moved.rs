// The settings files change and some instances get SIGHUP (`hup`): the platform's store has a new
// address. Later the operator takes a tenant's key away.

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
/// The key that is taken away.
const OTHER_KEY: &str = "key-2";
/// Calls a second of all clients, half of them with either key.
const RATE: f64 = 20.0;
/// When the settings files change, and how many of the five instances get SIGHUP, one a second.
const CHANGED_AT: f64 = 3.0;
const SIGNALLED: usize = 3;
/// When the store is no more reached at its old address.
const LEFT_AT: f64 = 10.0;
/// When the key is taken away.
const REVOKED_AT: f64 = 14.0;
const CONFIG_S: f64 = 2.0;
const LENGTH_S: f64 = 22.0;

fn config(version: u64, has_other: bool) -> String {
    let other = match has_other {
        true => format!(",{{\"name\":\"other\",\"api_keys\":[\"{OTHER_KEY}\"],\"priority\":1}}"),
        false => String::new(),
    };
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"lookups\",\"host\":\"{HOST}\",\"prefix\":\"/lookups/\",\"kind\":\"safe\",\"timeout_ms\":1000,\
           \"goal_ms\":100,\"priority\":2,\"service\":\"app\",\"attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false,\
           \"cold_s\":0.0,\"cold_per_s\":0.0}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}{other}]}}"
    )
}

pub fn run(place: &Place) -> Finding {
    let record = Record::new();
    let mut random = Random::new();
    let store = Store::start();
    let service = Service {
        name: "app",
        slots: 6,
        queue: 24,
        work: Duration::from_millis(15),
        events: None,
        crashes_above: None,
    };
    store.put("op/config", &config(7, true));
    let runners: Vec<Arc<Runner>> = (1..=2)
        .map(|number| Runner::start(&format!("i-{number}"), ZONES[0], &service, "127.0.0.1:0", 0.0, &store, &record))
        .collect();
    let instances: Vec<Arc<Instance>> = (1..=5)
        .map(|number| {
            let name = format!("front-{number}");
            Arc::new(Instance::new(&name, ZONES[0], &place.root, &place.folder, &mut random))
        })
        .collect();
    let seeds: Vec<String> = instances.iter().take(3).map(|instance| format!("{}:8748", instance.ip)).collect();
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
                let key = if random.below(2) == 0 { KEY } else { OTHER_KEY };
                clients.send_with_key(key, "lookups", "GET", "", 1_000, &instance);
            }
        })
    };
    if place.has_trouble {
        record.wait_until(start + CHANGED_AT);
        let moved = store.at_new_address();
        record.add(format!("the store is reached at {} too, the settings files name it", moved.address));
        for instance in &instances {
            instance.write_settings(&ZONES, &seeds.join(","), moved.address, 8);
        }
        for instance in instances.iter().take(SIGNALLED) {
            instance.signal("HUP");
            record.add(format!("SIGHUP to {}", instance.name));
            std::thread::sleep(Duration::from_secs(1));
        }
        record.wait_until(start + LEFT_AT);
        store.leave_address();
        record.add("the store is no more reached at its old address");
    }
    record.wait_until(start + REVOKED_AT);
    store.put("op/config", &config(8, false));
    let acknowledged = record.now();
    record.add_at(acknowledged, format!("version 8 is acknowledged, without {OTHER_KEY}"));
    let _ = sender.join();
    clients.wait(Duration::from_secs(3));
    balancer.stop();
    instances.iter().for_each(|instance| instance.kill());
    judge(place, &record, &clients, &runners, acknowledged)
}

/// Judges CONFIG: requests with the dropped key that were sent later than `config_ms` after the
/// acknowledgement and were run.
fn judge(place: &Place, record: &Record, clients: &Clients, runners: &[Arc<Runner>], acknowledged: f64) -> Finding {
    let sent = clients.sent.lock().unwrap().clone();
    let mut begun = BTreeMap::new();
    for runner in runners {
        for arrival in runner.arrivals.lock().unwrap().iter() {
            if let Some(began) = arrival.began {
                begun.insert(arrival.id.clone(), began);
            }
        }
    }
    let late: Vec<_> = sent
        .iter()
        .filter(|sent| sent.key == OTHER_KEY && sent.at > acknowledged + CONFIG_S)
        .collect();
    let run = late.iter().filter(|sent| begun.contains_key(&sent.id)).count();
    let mut by_instance: BTreeMap<&str, usize> = BTreeMap::new();
    for sent in late.iter().filter(|sent| begun.contains_key(&sent.id)) {
        *by_instance.entry(&sent.instance).or_default() += 1;
    }
    let text = format!(
        "{} requests with the dropped key were sent later than {CONFIG_S} s after the acknowledgement, {run} of them \
         were run: {by_instance:?}; {} requests sent in all, {} served",
        late.len(),
        sent.len(),
        sent.iter().filter(|sent| sent.has_succeeded()).count()
    );
    record.write(&place.record, &text);
    match run {
        0 => Finding::Held(text),
        _ => Finding::Broken(format!("CONFIG, {text}")),
    }
}
