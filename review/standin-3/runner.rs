// A runner of a service: a plain one, or an engine that streams events.

use std::collections::VecDeque;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::common::Message;
use crate::common::Record;
use crate::common::read_request;
use crate::common::respond;
use crate::common::unix_ms;
use crate::store::Store;

/// Time between two writes of a runner's entry.
const BEAT: Duration = Duration::from_millis(1_200);

/// What the runners of a service have in common.
#[derive(Clone)]
pub struct Service {
    pub name: &'static str,
    pub slots: usize,
    pub queue: usize,
    /// Time that a request of a plain service takes.
    pub work: Duration,
    /// Events of a stream and the time between two, for an engine.
    pub events: Option<(u64, Duration)>,
    /// While cold, a runner crashes at more requests than this in so many seconds.
    pub crashes_above: Option<(usize, f64)>,
}

/// A request that has arrived at a runner and was not answered with 421.
#[derive(Clone)]
pub struct Arrival {
    pub id: String,
    pub at: f64,
    /// When work on it began, unless it was rejected.
    pub began: Option<f64>,
    /// When the runner's last part of the answer was written.
    pub done: Option<f64>,
    /// Until when the runner worked on it, whether or not the answer was written.
    pub worked_until: Option<f64>,
}

/// One incarnation of a runner.
pub struct Runner {
    pub id: String,
    pub zone: String,
    pub address: SocketAddr,
    pub service: Service,
    pub started: f64,
    /// End of the time for which it is cold.
    pub cold_until: f64,
    born: u64,
    is_alive: AtomicBool,
    /// Whether it writes its entry no more.
    is_leaving: AtomicBool,
    seq: AtomicU64,
    places: Mutex<(usize, usize)>,
    place_freed: Condvar,
    connections: Mutex<Vec<TcpStream>>,
    pub arrivals: Mutex<Vec<Arrival>>,
    recent: Mutex<VecDeque<f64>>,
    /// When it crashed.
    pub crashed: Mutex<Option<f64>>,
    record: Record,
    store: Store,
}

impl Runner {
    /// Starts a runner at an address (a new one with port 0), which is cold for some seconds.
    pub fn start(id: &str, zone: &str, service: &Service, at: &str, cold_s: f64, store: &Store, record: &Record) -> Arc<Runner> {
        let listener = TcpListener::bind(at).expect("the runner's address is free");
        let now = record.now();
        let runner = Arc::new(Runner {
            id: id.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("it is bound"),
            service: service.clone(),
            started: now,
            cold_until: now + cold_s,
            born: unix_ms(),
            is_alive: AtomicBool::new(true),
            is_leaving: AtomicBool::new(false),
            seq: AtomicU64::new(0),
            places: Mutex::new((0, 0)),
            place_freed: Condvar::new(),
            connections: Mutex::default(),
            arrivals: Mutex::default(),
            recent: Mutex::default(),
            crashed: Mutex::new(None),
            record: record.clone(),
            store: store.clone(),
        });
        record.add(format!(
            "runner {id} of {} in {zone} starts at {}, cold for {cold_s} s",
            service.name, runner.address
        ));
        let accepting = runner.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.is_alive() {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().unwrap().push(copy);
                }
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        runner.write_entry();
        let beating = runner.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(BEAT);
                if !beating.is_alive() || beating.is_leaving.load(Ordering::SeqCst) {
                    return;
                }
                beating.write_entry();
            }
        });
        runner
    }

    pub fn is_alive(&self) -> bool {
        self.is_alive.load(Ordering::SeqCst)
    }

    fn cold_left(&self) -> f64 {
        (self.cold_until - self.record.now()).max(0.0)
    }

    fn write_entry(&self) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":{},\
             \"state\":\"ready\",\"cold_left_ms\":{},\"stage\":\"hybrid\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq},\"born\":{}}}",
            self.service.name,
            self.address,
            self.zone,
            self.service.slots,
            (self.cold_left() * 1_000.0) as u64,
            self.born
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    /// Leaves without a notice: its entry is removed, and it goes on serving. Returns when.
    pub fn leave(&self) -> f64 {
        self.is_leaving.store(true, Ordering::SeqCst);
        self.store.remove(&format!("servers/{}", self.id));
        let now = self.record.now();
        self.record.add_at(now, format!("the entry of runner {} is removed, it goes on serving", self.id));
        now
    }

    /// Ends the process: its port closes, its connections end, its entry stays until it lapses after
    /// three beats.
    pub fn crash(self: &Arc<Runner>, why: &str) {
        if !self.is_alive.swap(false, Ordering::SeqCst) {
            return;
        }
        *self.crashed.lock().unwrap() = Some(self.record.now());
        self.record.add(format!("runner {} goes down: {why}", self.id));
        // Wakes the thread that accepts, which then closes the port.
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.place_freed.notify_all();
        if self.is_leaving.load(Ordering::SeqCst) {
            return;
        }
        let lapsing = self.clone();
        std::thread::spawn(move || {
            std::thread::sleep(3 * BEAT);
            lapsing.store.remove(&format!("servers/{}", lapsing.id));
        });
    }

    fn serve(self: Arc<Runner>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if !self.is_alive() || !self.answer(&request, &mut writer) {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Answers a request. Returns whether the connection stays open.
    fn answer(self: &Arc<Runner>, request: &Message, writer: &mut TcpStream) -> bool {
        let json = "Content-Type: application/json\r\n";
        let own = format!("X-Instance-Id: {}\r\n", self.id);
        if request.target() == "/report" {
            let running = self.places.lock().unwrap().0;
            let body = format!(
                "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"seq\":0,\"waiting\":0,\"running\":{running},\"kv_used\":{},\
                 \"kv_total\":34306,\"handles\":0,\"runs\":[],\"born\":{}}}",
                running * 3_000,
                self.born
            );
            return respond(writer, 200, json, body.as_bytes()).is_ok();
        }
        if request.target() == "/health" {
            let cold = format!("{own}X-Cold-Ms: {}\r\n", (self.cold_left() * 1_000.0) as u64);
            return respond(writer, 200, &cold, b"").is_ok();
        }
        if request.target().starts_with("/kv-") {
            // This runner moves no memory, and its runs end with their connections.
            return respond(writer, 404, json, b"{}").is_ok();
        }
        let id = request.field("x-attempt-id").to_string();
        let expected = request.field("x-expect-instance");
        if !expected.is_empty() && expected != self.id {
            return respond(writer, 421, &own, b"").is_ok();
        }
        if id.is_empty() {
            return respond(writer, 400, "X-Not-Executed: 1\r\n", b"").is_ok();
        }
        let at = self.record.now();
        let index = {
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push(Arrival { id: id.clone(), at, began: None, done: None, worked_until: None });
            arrivals.len() - 1
        };
        self.record.add_at(at, format!("request {id} reaches runner {}", self.id));
        if self.crashes_at(at) {
            self.crash("more requests than a cold runner bears");
            return false;
        }
        if !self.take_place() {
            return respond(writer, 503, "X-Not-Executed: 1\r\n", b"").is_ok();
        }
        let update = |change: &dyn Fn(&mut Arrival)| change(&mut self.arrivals.lock().unwrap()[index]);
        let began = self.record.now();
        update(&|arrival| arrival.began = Some(began));
        self.record.add_at(began, format!("runner {} begins {id}", self.id));
        let is_answered = match self.service.events {
            None => self.run_call(&id, writer),
            Some((events, pause)) => self.run_stream(&id, events, pause, writer),
        };
        let now = self.record.now();
        update(&|arrival| {
            arrival.worked_until = Some(now);
            arrival.done = is_answered.then_some(now);
        });
        self.record.add_at(now, match is_answered {
            true => format!("runner {} has answered {id}", self.id),
            false => format!("runner {} ends {id} without its whole answer", self.id),
        });
        self.free_place();
        is_answered
    }

    /// Returns whether a request is one too many for a cold runner.
    fn crashes_at(&self, at: f64) -> bool {
        let limit = self.service.crashes_above.filter(|_| at < self.cold_until);
        let Some((most, window)) = limit else { return false };
        let mut recent = self.recent.lock().unwrap();
        recent.push_back(at);
        while recent.front().is_some_and(|first| at - first >= window) {
            recent.pop_front();
        }
        recent.len() > most
    }

    fn take_place(&self) -> bool {
        let mut places = self.places.lock().unwrap();
        if places.0 >= self.service.slots && places.1 >= self.service.queue {
            return false;
        }
        places.1 += 1;
        while places.0 >= self.service.slots && self.is_alive() {
            places = self.place_freed.wait(places).unwrap();
        }
        places.1 -= 1;
        places.0 += 1;
        self.is_alive()
    }

    fn free_place(&self) {
        self.places.lock().unwrap().0 -= 1;
        self.place_freed.notify_one();
    }

    fn run_call(&self, id: &str, writer: &mut TcpStream) -> bool {
        std::thread::sleep(self.service.work);
        let fields = format!("X-Attempt-Id: {id}\r\nX-Response-Stamp: 1.{id}\r\n");
        self.is_alive() && respond(writer, 200, &fields, format!("done {id}").as_bytes()).is_ok()
    }

    fn run_stream(&self, id: &str, events: u64, pause: Duration, writer: &mut TcpStream) -> bool {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: 1.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let mut bytes = head.into_bytes();
        for number in 1..=events {
            std::thread::sleep(pause);
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            bytes.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            if !self.is_alive() || writer.write_all(&bytes).is_err() {
                return false;
            }
            bytes.clear();
        }
        writer.write_all(b"0\r\n\r\n").is_ok()
    }
}
