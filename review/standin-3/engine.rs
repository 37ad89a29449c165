// An engine that keeps copies of its runs' memory at other engines, and may lose answers: it goes on
// with a run whose connection has ended.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::common::Json;
use crate::common::Message;
use crate::common::Record;
use crate::common::read_request;
use crate::common::respond;
use crate::common::unix_ms;
use crate::store::Store;

/// Time from the arrival of a request to its first token, in which its prompt is read.
pub const PROMPT_TIME: Duration = Duration::from_millis(900);
/// Time after the arrival at which the other engine has a part of the memory.
const COPY_TIME: Duration = Duration::from_millis(60);
/// Time after the arrival at which the connection of an answer that is lost is closed.
const LOST_TIME: Duration = Duration::from_millis(150);
const EVENTS: u64 = 24;
const EVENT_PAUSE: Duration = Duration::from_millis(100);
const BEAT: Duration = Duration::from_millis(1_200);

/// The copies that engines hold for others: address of the holder, and id of the request.
pub type Copies = Arc<Mutex<BTreeSet<(String, String)>>>;

/// Work on a request.
#[derive(Clone, Debug)]
pub struct Work {
    /// When its first token was made.
    pub began: f64,
    /// When the engine ended to work on it.
    pub ended: Option<f64>,
    /// Whether it went on from a copy.
    pub resumed: bool,
    is_stopped: bool,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    born: u64,
    seq: AtomicU64,
    number: AtomicU64,
    /// In which time, since the start of the record, every 20th answer is lost.
    pub loses: Mutex<Option<(f64, f64)>>,
    arrived: AtomicU64,
    pub works: Mutex<BTreeMap<String, Work>>,
    copies: Copies,
    record: Record,
    store: Store,
}

impl Engine {
    pub fn start(id: &str, copies: &Copies, store: &Store, record: &Record) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let engine = Arc::new(Engine {
            id: id.into(),
            address: listener.local_addr().expect("it is bound"),
            born: unix_ms(),
            seq: AtomicU64::new(0),
            number: AtomicU64::new(0),
            loses: Mutex::new(None),
            arrived: AtomicU64::new(0),
            works: Mutex::default(),
            copies: copies.clone(),
            record: record.clone(),
            store: store.clone(),
        });
        record.add(format!("engine {id} starts at {}", engine.address));
        let accepting = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = engine.clone();
        std::thread::spawn(move || {
            loop {
                beating.write_entry();
                std::thread::sleep(BEAT);
            }
        });
        engine
    }

    fn write_entry(&self) {
        let seq = self.seq.fetch_add(1, Ordering::SeqCst) + 1;
        let entry = format!(
            "{{\"service\":\"engines\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":24,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"stage\":\"hybrid\",\
             \"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"seq\":{seq},\"born\":{}}}",
            self.address, self.born
        );
        self.store.put(&format!("servers/{}", self.id), &entry);
    }

    fn serve(self: Arc<Engine>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if !self.answer(&request, &mut writer) {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let json = "Content-Type: application/json\r\n";
        if request.target() == "/report" {
            let works = self.works.lock().unwrap();
            let running = works.values().filter(|work| work.ended.is_none()).count();
            let body = format!(
                "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
                 \"busy\":false,\"seq\":0,\"waiting\":0,\"running\":{running},\"kv_used\":{},\
                 \"kv_total\":34306,\"handles\":0,\"runs\":[],\"born\":{}}}",
                running * 400,
                self.born
            );
            return respond(writer, 200, json, body.as_bytes()).is_ok();
        }
        if request.target() == "/kv-move" {
            let (status, body) = self.move_memory(request);
            return respond(writer, status, json, body.as_bytes()).is_ok();
        }
        if request.target().starts_with("/kv-") {
            return respond(writer, 200, json, b"{}").is_ok();
        }
        let id = request.field("x-attempt-id").to_string();
        if request.field("x-expect-instance") != self.id {
            let own = format!("X-Instance-Id: {}\r\n", self.id);
            return respond(writer, 421, &own, b"").is_ok();
        }
        let resumed = !request.field("kv-from").is_empty();
        if resumed && !self.take_copy(request.field("kv-from")) {
            self.record.add(format!("engine {} has no copy for {id}", self.id));
            return respond(writer, 503, "X-Not-Executed: 1\r\n", b"").is_ok();
        }
        self.record.add(format!("request {id} reaches engine {}, from a copy: {resumed}", self.id));
        self.run(&id, request, resumed, writer);
        false
    }

    fn take_copy(&self, name: &str) -> bool {
        let Some((at, id)) = name.split_once('/') else { return false };
        self.copies.lock().unwrap().remove(&(at.into(), id.into()))
    }

    /// Copies the memory of a run to another engine, and stops the run if `last` says so. A request that
    /// has made no token runs not yet.
    fn move_memory(&self, request: &Message) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (id, to) = (body.text("id"), body.text("to"));
        let is_last = body.get("last") == Some(&Json::Bool(true));
        let mut works = self.works.lock().unwrap();
        let work = works.get_mut(&id).filter(|work| work.ended.is_none());
        let Some(work) = work else {
            self.record.add(format!("engine {} is asked to move {id} (last: {is_last}): 404", self.id));
            return (404, "{}".into());
        };
        work.is_stopped |= is_last;
        let handle = self.number.fetch_add(1, Ordering::SeqCst) + 1;
        self.copies.lock().unwrap().insert((self.address.to_string(), handle.to_string()));
        self.record.add(format!("engine {} moves {id} to {to} (last: {is_last})", self.id));
        (200, format!("{{\"handle\":\"{handle}\",\"created\":0}}"))
    }

    fn run(&self, id: &str, request: &Message, resumed: bool, writer: &mut TcpStream) {
        let first: u64 = request.field("last-event-id").parse::<u64>().unwrap_or(0) + 1;
        let backup = request.field("x-kv-backup").to_string();
        let mut is_connected = true;
        if !resumed {
            std::thread::sleep(COPY_TIME);
            if !backup.is_empty() {
                self.copies.lock().unwrap().insert((backup.clone(), id.into()));
            }
            let now = self.record.now();
            let span = *self.loses.lock().unwrap();
            let is_in_span = span.is_some_and(|(from, until)| now >= from && now < until);
            if is_in_span && self.arrived.fetch_add(1, Ordering::SeqCst) % 20 == 0 {
                std::thread::sleep(LOST_TIME - COPY_TIME);
                let _ = writer.shutdown(Shutdown::Both);
                is_connected = false;
                self.record.add(format!("engine {} loses the answer to {id} and goes on", self.id));
                std::thread::sleep(PROMPT_TIME - LOST_TIME);
            } else {
                std::thread::sleep(PROMPT_TIME - COPY_TIME);
            }
        }
        let began = self.record.now();
        let work = Work { began, ended: None, resumed, is_stopped: false };
        self.works.lock().unwrap().insert(id.into(), work);
        self.record.add_at(began, format!("engine {} begins {id}", self.id));
        let mut bytes = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: 1.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        .into_bytes();
        for number in first..=EVENTS {
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            bytes.extend_from_slice(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes());
            let is_stopped = self.works.lock().unwrap().get(id).is_some_and(|work| work.is_stopped);
            let is_dropped = is_connected && writer.write_all(&bytes).is_err();
            if is_stopped || is_dropped {
                return self.end(id, "stops");
            }
            bytes.clear();
            std::thread::sleep(EVENT_PAUSE);
        }
        if is_connected {
            let _ = writer.write_all(b"0\r\n\r\n");
        }
        self.end(id, "has ended");
    }

    fn end(&self, id: &str, how: &str) {
        let now = self.record.now();
        if let Some(work) = self.works.lock().unwrap().get_mut(id) {
            work.ended = Some(now);
        }
        self.record.add_at(now, format!("engine {} {how} {id}", self.id));
    }
}
