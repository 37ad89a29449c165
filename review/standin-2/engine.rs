//! A model runner: it registers itself, answers reports and streams events. A request may crash it.

use std::collections::BTreeSet;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Time between two writes of a runner's entry (`beat_ms`).
const BEAT: Duration = Duration::from_millis(1_200);
/// Beats of silence after which the entry is removed.
const SILENT_BEATS: u32 = 3;
/// Time until a run begins.
const PROMPT_TIME: Duration = Duration::from_millis(60);
/// Time between two checks whether a connection arrives.
const ACCEPT_PAUSE: Duration = Duration::from_millis(4);
/// Time for which a runner that has come back is cold, in milliseconds.
const COLD_MS: u32 = 1_000;
/// A request whose body begins so crashes each runner that begins to run it.
pub const CRASHING_BODY: &str = "crash";

/// How a runner starts again after a crash.
#[derive(Clone, Copy)]
pub struct Restart {
    /// Time until it is back.
    pub after: Duration,
    /// Whether it comes back under the id that it had.
    pub keeps_id: bool,
    /// Time from its start until it first writes its entry. It writes at each beat.
    pub first_beat: Duration,
}

/// How a runner streams.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Events of a stream.
    pub events: u32,
    /// Time between two events.
    pub gap: Duration,
}

/// A request that a runner has begun to run.
#[derive(Clone)]
pub struct Run {
    /// Time since the start of the case.
    pub at: Duration,
    pub attempt: String,
    pub has_crashed: bool,
}

#[derive(Default)]
struct State {
    id: String,
    born: u128,
    is_up: bool,
    starts: u32,
    connections: Vec<TcpStream>,
    running: BTreeSet<String>,
    stopped: BTreeSet<String>,
    runs: Vec<Run>,
    seq: u64,
}

pub struct Engine {
    name: String,
    zone: &'static str,
    version: &'static str,
    address: SocketAddr,
    pace: Pace,
    restart: Restart,
    store: Store,
    record: Arc<Record>,
    state: Mutex<State>,
}

impl Engine {
    pub fn start(
        name: &str,
        (zone, version): (&'static str, &'static str),
        pace: Pace,
        restart: Restart,
        store: &Store,
        record: &Arc<Record>,
    ) -> Arc<Engine> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let engine = Arc::new(Engine {
            name: name.to_string(),
            zone,
            version,
            address: listener.local_addr().expect("the listener is bound"),
            pace,
            restart,
            store: store.clone(),
            record: record.clone(),
            state: Mutex::default(),
        });
        let running = engine.clone();
        std::thread::spawn(move || running.live(Some(listener)));
        engine
    }

    /// Returns the runs of all starts of the runner.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Serves, crashes and comes back with a new id, for ever.
    fn live(self: Arc<Engine>, mut first: Option<TcpListener>) {
        loop {
            let listener = match first.take() {
                Some(listener) => listener,
                None => match TcpListener::bind(self.address) {
                    Ok(listener) => listener,
                    Err(_) => {
                        std::thread::sleep(ACCEPT_PAUSE);
                        continue;
                    }
                },
            };
            listener
                .set_nonblocking(true)
                .expect("the listener is open");
            let (id, start) = self.begin();
            self.clone().spawn_beats(id.clone(), start);
            while self.is_up(start) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let (engine, id) = (self.clone(), id.clone());
                        std::thread::spawn(move || engine.serve(stream, &id, start));
                    }
                    Err(_) => std::thread::sleep(ACCEPT_PAUSE),
                }
            }
            drop(listener);
            std::thread::sleep(self.restart.after);
        }
    }

    fn begin(&self) -> (String, u32) {
        let mut state = self.state.lock().unwrap();
        state.starts += 1;
        state.id = match self.restart.keeps_id {
            true => format!("i-{}", self.name),
            false => format!("i-{}-{}", self.name, state.starts),
        };
        state.born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |time| time.as_millis());
        state.is_up = true;
        state.seq = 0;
        (state.id.clone(), state.starts)
    }

    fn is_up(&self, start: u32) -> bool {
        let state = self.state.lock().unwrap();
        state.is_up && state.starts == start
    }

    /// Writes the entry of one start at each beat, and removes it after some beats of silence.
    fn spawn_beats(self: Arc<Engine>, id: String, start: u32) {
        std::thread::spawn(move || {
            if start > 1 {
                std::thread::sleep(self.restart.first_beat);
            }
            let key = format!("servers/{id}");
            while self.is_up(start) {
                let entry = {
                    let mut state = self.state.lock().unwrap();
                    state.seq += 1;
                    let cold_ms = if start > 1 && state.seq == 1 {
                        COLD_MS
                    } else {
                        0
                    };
                    format!(
                        "{{\"service\":\"redacteurs\",\"address\":\"{}\",\"zone\":\"{}\",\
                         \"version\":\"{}\",\"slots\":24,\"state\":\"ready\",\
                         \"cold_left_ms\":{},\"seq\":{},\"born\":{}}}",
                        self.address, self.zone, self.version, cold_ms, state.seq, state.born
                    )
                };
                self.store.put(&key, &entry);
                std::thread::sleep(BEAT);
            }
            std::thread::sleep(BEAT * (SILENT_BEATS - 1));
            if !self.restart.keeps_id {
                self.store.remove(&key);
            }
        });
    }

    /// Ends the runner as a crash does.
    pub fn crash(&self) {
        let mut state = self.state.lock().unwrap();
        if !state.is_up {
            return;
        }
        state.is_up = false;
        let id = state.id.clone();
        let lost = state.running.len();
        state.running.clear();
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        drop(state);
        self.record
            .add(format!("runner {id} crashes, {lost} runs are lost"));
    }

    fn serve(&self, stream: TcpStream, id: &str, start: u32) {
        let _ = stream.set_nodelay(true);
        let (Ok(kept), Ok(mut writer)) = (stream.try_clone(), stream.try_clone()) else {
            return;
        };
        {
            let mut state = self.state.lock().unwrap();
            if !state.is_up || state.starts != start {
                return;
            }
            state.connections.push(kept);
        }
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut reader) {
            if !request.is_complete || !self.is_up(start) {
                return;
            }
            let (method, target) = request.method_and_target();
            let answered = match (method, target) {
                ("GET", "/report") => http::respond(
                    &mut writer,
                    200,
                    "Content-Type: application/json\r\n",
                    &self.report(),
                ),
                ("GET", "/health") => {
                    let fields = format!("X-Instance-Id: {id}\r\n");
                    http::respond(&mut writer, 200, &fields, "")
                }
                ("POST", "/kv-move") => self.stop_run(&mut writer, &request.body),
                ("DELETE", _) => http::respond(&mut writer, 200, "", ""),
                _ => self.run(&mut writer, id, start, &request),
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"busy\":false,\"seq\":0,\"waiting\":0,\"running\":{},\"kv_used\":0,\
             \"kv_total\":34306,\"handles\":0,\"born\":{}}}",
            state.running.len(),
            state.born
        )
    }

    /// Stops a run, whose memory stays here as no destination has room.
    fn stop_run(&self, writer: &mut TcpStream, body: &[u8]) -> std::io::Result<()> {
        let body = String::from_utf8_lossy(body).into_owned();
        let id = body.split("\"id\":\"").nth(1);
        let id = id.and_then(|rest| rest.split('"').next()).unwrap_or("");
        let is_running = {
            let mut state = self.state.lock().unwrap();
            let is_running = state.running.contains(id);
            if is_running && body.contains("\"last\":true") {
                state.stopped.insert(id.to_string());
            }
            is_running
        };
        match is_running {
            true => http::respond(writer, 503, "", &format!("{{\"handle\":\"h-{id}\"}}")),
            false => http::respond(writer, 404, "", "{}"),
        }
    }

    fn run(
        &self,
        writer: &mut TcpStream,
        id: &str,
        start: u32,
        request: &http::Message,
    ) -> std::io::Result<()> {
        let Some(attempt) = request.field("x-attempt-id").map(str::to_string) else {
            return http::respond(writer, 400, "X-Not-Executed: 1\r\n", "");
        };
        if request
            .field("x-expect-instance")
            .is_some_and(|expected| expected != id)
        {
            let fields = format!("X-Instance-Id: {id}\r\n");
            return http::respond(writer, 421, &fields, "");
        }
        std::thread::sleep(PROMPT_TIME);
        let crashes = request.body.starts_with(CRASHING_BODY.as_bytes());
        {
            let mut state = self.state.lock().unwrap();
            if state.starts != start || !state.is_up {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            state.running.insert(attempt.clone());
            let run = Run {
                at: self.record.now(),
                attempt: attempt.clone(),
                has_crashed: crashes,
            };
            state.runs.push(run);
        }
        if crashes {
            self.record
                .add(format!("runner {id} begins to run {attempt}"));
            self.crash();
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        let after = request
            .field("last-event-id")
            .and_then(|id| id.parse().ok());
        let streamed = self.stream(writer, (id, start), &attempt, after.unwrap_or(0));
        self.state.lock().unwrap().running.remove(&attempt);
        streamed
    }

    /// Streams the events after a given one.
    fn stream(
        &self,
        writer: &mut TcpStream,
        (id, start): (&str, u32),
        attempt: &str,
        after: u32,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Stamp: {id}.{attempt}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in after + 1..=self.pace.events {
            let is_stopped = self.state.lock().unwrap().stopped.remove(attempt);
            if is_stopped || !self.is_up(start) {
                return Err(std::io::ErrorKind::ConnectionReset.into());
            }
            let event = format!("id: {number}\ndata: words of event {number}\n\n");
            http::write_chunk(writer, event.as_bytes())?;
            std::thread::sleep(self.pace.gap);
        }
        writer.write_all(b"0\r\n\r\n")
    }
}
