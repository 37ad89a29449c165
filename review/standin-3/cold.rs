// A runner of a plain service comes back cold (`cold_return`), and its entry says so.

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
use crate::traffic::KEY;
use crate::traffic::HOST;
use crate::traffic::pause;

const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Requests a second of each zone's clients: 39 in all, as on the Laurentides sheet.
const RATE: f64 = 19.5;
const COLD_S: f64 = 4.0;
const COLD_PER_S: f64 = 4.0;
const COLD_OVER: f64 = 1.5;
const COLD_SLACK: f64 = 5.0;
/// Requests a second at which the cold runner crashes, three times what it tolerates.
const CRASH_RATE: usize = 12;
/// When the runner goes down, and for how long, after the start of traffic.
const DOWN_AT: f64 = 4.0;
const DOWN_S: f64 = 4.5;
const LENGTH_S: f64 = 20.0;

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
        crashes_above: Some((CRASH_RATE, 1.0)),
    };
    let config = format!(
        "{{\"version\":7,\"routes\":[\
         {{\"name\":\"marks\",\"host\":\"{HOST}\",\"prefix\":\"/marks/\",\"kind\":\"unsafe\",\"timeout_ms\":1000,\
           \"goal_ms\":100,\"priority\":2,\"service\":\"app\",\"attempts\":1,\"anonymous\":false,\"sticky\":false,\"resumable\":false}},\
         {{\"name\":\"lookups\",\"host\":\"{HOST}\",\"prefix\":\"/lookups/\",\"kind\":\"safe\",\"timeout_ms\":1000,\
           \"goal_ms\":100,\"priority\":2,\"service\":\"app\",\"attempts\":2,\"anonymous\":false,\"sticky\":false,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"app\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false,\
           \"cold_s\":{COLD_S:.1},\"cold_per_s\":{COLD_PER_S:.1}}}],\
         \"limits\":{{\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000}},\
         \"tenants\":[{{\"name\":\"shop\",\"api_keys\":[\"{KEY}\"],\"priority\":1}}]}}"
    );
    store.put("op/config", &config);
    let mut runners: Vec<Arc<Runner>> = ZONES
        .iter()
        .map(|zone| Runner::start(&format!("i-{zone}-1"), zone, &service, "127.0.0.1:0", 0.0, &store, &record))
        .collect();
    let instances: Vec<Arc<Instance>> = ZONES
        .iter()
        .flat_map(|zone| (1..=2).map(move |number| (zone, number)))
        .map(|(zone, number)| {
            let name = format!("front-{zone}-{number}");
            Arc::new(Instance::new(&name, zone, &place.root, &place.folder, &mut random))
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
    let senders: Vec<_> = ZONES
        .iter()
        .map(|zone| {
            let (balancer, clients, record) = (balancer.clone(), clients.clone(), record.clone());
            let mut random = Random::new();
            let zone = zone.to_string();
            for _ in 0..zone.len() + zone.bytes().last().map_or(0, usize::from) {
                random.next();
            }
            std::thread::spawn(move || {
                while record.now() < start + LENGTH_S {
                    std::thread::sleep(pause(&mut random, RATE));
                    let instance = balancer.choose(&zone, random.next());
                    // Of 39.9 calls a second, 28.5 are marks.
                    match random.below(399) < 285 {
                        true => clients.send("marks", "POST", "", 1_000, &instance),
                        false => clients.send("lookups", "GET", "", 1_000, &instance),
                    }
                }
            })
        })
        .collect();
    if place.has_trouble {
        record.wait_until(start + DOWN_AT);
        let old = runners[0].clone();
        old.crash("the zone's runners are down for 4.5 s (cold_return)");
        record.wait_until(start + DOWN_AT + DOWN_S);
        // After a crash the runner is started again, cold, as long as there is traffic.
        let mut number = 1;
        while record.now() < start + LENGTH_S - 1.0 {
            number += 1;
            let id = format!("i-zone-a-{number}");
            let at = old.address.to_string();
            let back = Runner::start(&id, "zone-a", &service, &at, COLD_S, &store, &record);
            runners.push(back.clone());
            while back.is_alive() && record.now() < start + LENGTH_S {
                std::thread::sleep(Duration::from_millis(20));
            }
            std::thread::sleep(Duration::from_secs(3));
        }
    }
    for sender in senders {
        let _ = sender.join();
    }
    clients.wait(Duration::from_secs(3));
    balancer.stop();
    instances.iter().for_each(|instance| instance.kill());
    judge(place, &record, &clients, &runners)
}

fn judge(place: &Place, record: &Record, clients: &Clients, runners: &[Arc<Runner>]) -> Finding {
    let sent = clients.sent.lock().unwrap().clone();
    let sent_at: BTreeMap<&str, f64> = sent.iter().map(|sent| (sent.id.as_str(), sent.at)).collect();
    let bound = COLD_PER_S * COLD_OVER + COLD_SLACK;
    let mut lines = Vec::new();
    let mut is_broken = false;
    let mut reached = BTreeMap::new();
    for runner in runners {
        let arrivals = runner.arrivals.lock().unwrap().clone();
        for arrival in &arrivals {
            *reached.entry(arrival.id.clone()).or_insert(0) += 1;
        }
        let cold: Vec<(f64, f64)> = arrivals
            .iter()
            .filter(|arrival| arrival.at < runner.cold_until)
            .filter_map(|arrival| sent_at.get(arrival.id.as_str()).map(|sent| (*sent, arrival.at)))
            .collect();
        // Counted are requests that were sent and arrived inside the same second.
        let most = cold
            .iter()
            .map(|(from, _)| cold.iter().filter(|(sent, at)| sent >= from && *at < from + 1.0).count())
            .max()
            .unwrap_or(0);
        let crashed = *runner.crashed.lock().unwrap();
        lines.push(format!(
            "runner {}: started {:.1}, cold until {:.1}, {} requests, at most {most} in a second while cold, {}",
            runner.id,
            runner.started,
            runner.cold_until,
            arrivals.len(),
            crashed.map_or("not down".into(), |at| format!("down at {at:.3}")),
        ));
        is_broken |= most as f64 > bound;
    }
    let lost = sent
        .iter()
        .filter(|sent| sent.route == "marks" && !sent.has_succeeded() && reached.contains_key(&sent.id))
        .count();
    let served = sent.iter().filter(|sent| sent.has_succeeded()).count();
    lines.push(format!("bound: {bound} requests in a second at a cold runner"));
    lines.push(format!(
        "{} requests sent, {served} served, {lost} marks had reached a runner and got no answer of it",
        sent.len()
    ));
    record.write(&place.record, &lines.join("\n"));
    let text = lines.join("; ");
    match is_broken {
        true => Finding::Broken(format!("FAILBACK, {text}")),
        false => Finding::Held(text),
    }
}
