// Clients, and the balancer that connects them to instances.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::common::Answer;
use crate::common::Instance;
use crate::common::Random;
use crate::common::Record;
use crate::common::call;

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-1";

/// Chooses instances for new connections: asks each once a second whether it is ready, takes it out
/// after two misses, uses all of a zone if fewer than half are in, and other zones if none is.
pub struct Balancer {
    instances: Vec<Arc<Instance>>,
    misses: Mutex<BTreeMap<String, u32>>,
    is_over: AtomicBool,
}

impl Balancer {
    pub fn start(instances: &[Arc<Instance>]) -> Arc<Balancer> {
        let balancer = Arc::new(Balancer {
            instances: instances.to_vec(),
            misses: Mutex::default(),
            is_over: AtomicBool::new(false),
        });
        for instance in instances.iter().cloned() {
            let asking = balancer.clone();
            std::thread::spawn(move || {
                while !asking.is_over.load(Ordering::SeqCst) {
                    let is_ready = instance.is_ready();
                    let mut misses = asking.misses.lock().unwrap();
                    let missed = misses.entry(instance.name.clone()).or_default();
                    *missed = if is_ready { 0 } else { *missed + 1 };
                    drop(misses);
                    std::thread::sleep(Duration::from_secs(1));
                }
            });
        }
        balancer
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::SeqCst);
    }

    /// Chooses an instance for a client of a zone.
    pub fn choose(&self, zone: &str, draw: u64) -> Arc<Instance> {
        let misses = self.misses.lock().unwrap();
        let is_in = |instance: &&Arc<Instance>| misses.get(&instance.name).copied().unwrap_or(0) < 2;
        let own: Vec<&Arc<Instance>> =
            self.instances.iter().filter(|instance| instance.zone == zone).collect();
        let own_in: Vec<&Arc<Instance>> = own.iter().copied().filter(is_in).collect();
        let all_in: Vec<&Arc<Instance>> = self.instances.iter().filter(is_in).collect();
        let chosen = match (own_in.len(), all_in.len()) {
            (0, 0) => own,
            (0, _) => all_in,
            (some, _) if some * 2 < own.len() => own,
            _ => own_in,
        };
        chosen[(draw % chosen.len() as u64) as usize].clone()
    }
}

/// A request that a client has sent.
#[derive(Clone)]
pub struct Sent {
    pub id: String,
    pub route: &'static str,
    pub instance: String,
    pub at: f64,
    pub answered_at: f64,
    pub answer: Answer,
}

impl Sent {
    pub fn has_succeeded(&self) -> bool {
        matches!(&self.answer, Answer::Whole(message) if message.status() == 200)
    }
}

/// Sends requests and keeps what became of them.
#[derive(Clone)]
pub struct Clients {
    pub sent: Arc<Mutex<Vec<Sent>>>,
    open: Arc<AtomicU64>,
    number: Arc<AtomicU64>,
    record: Record,
}

impl Clients {
    pub fn new(record: &Record) -> Clients {
        Clients { sent: Arc::default(), open: Arc::default(), number: Arc::default(), record: record.clone() }
    }

    /// Sends a request on a new connection to an instance, without waiting for its answer.
    pub fn send(&self, route: &'static str, method: &str, fields: &str, deadline_ms: u64, instance: &Arc<Instance>) {
        let number = self.number.fetch_add(1, Ordering::SeqCst);
        let id = format!("{route}-{number:05}");
        let body = if method == "POST" { format!("Content-Length: {}\r\n\r\n{id}", id.len()) } else { "\r\n".into() };
        let request = format!(
            "{method} /{route}/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\n\
             Authorization: Bearer {KEY}\r\n{fields}{body}"
        );
        let clients = self.clone();
        let instance = instance.clone();
        self.open.fetch_add(1, Ordering::SeqCst);
        std::thread::spawn(move || {
            let at = clients.record.now();
            clients.record.add_at(at, format!("client sends {id} to {}", instance.name));
            let answer = call(instance.front(), &request, Duration::from_millis(deadline_ms + 1_000));
            let answered_at = clients.record.now();
            clients.record.add_at(answered_at, format!("client of {id}: {}", answer.text()));
            let sent = Sent { id, route, instance: instance.name.clone(), at, answered_at, answer };
            clients.sent.lock().unwrap().push(sent);
            clients.open.fetch_sub(1, Ordering::SeqCst);
        });
    }

    /// Waits until all requests have ended, for a limited time.
    pub fn wait(&self, patience: Duration) {
        let until = std::time::Instant::now() + patience;
        while self.open.load(Ordering::SeqCst) > 0 && std::time::Instant::now() < until {
            std::thread::sleep(Duration::from_millis(20));
        }
    }
}

/// Returns a pause before the next request at a rate a second, with some variation.
pub fn pause(random: &mut Random, rate: f64) -> Duration {
    let factor = 0.5 + random.below(1_000) as f64 / 1_000.0;
    Duration::from_secs_f64(factor / rate)
}
