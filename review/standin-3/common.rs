// What all scenarios share: time, the record, HTTP messages, JSON and base64, child processes.
// Only the standard library is used.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

/// The record of what was sent, answered and run, with times in seconds since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { started: Instant::now(), lines: Arc::default() }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, text: impl Into<String>) {
        self.add_at(self.now(), text);
    }

    pub fn add_at(&self, at: f64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Waits until a time since the start.
    pub fn wait_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            std::thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Writes the record to a file.
    pub fn write(&self, path: &Path, head: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = format!("{head}\n\n");
        for (at, line) in lines {
            let _ = writeln!(text, "{at:8.3} {line}");
        }
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("the record can't be written: {error}");
        }
    }
}

/// A pseudo-random number generator (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new() -> Random {
        Random(unix_ms().wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ u64::from(std::process::id()) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, end: u64) -> u64 {
        self.next() % end
    }
}

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// Fields with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived whole.
    pub is_whole: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message, or `None` at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() && message.first_line.is_empty() {
            continue;
        }
        if line.is_empty() {
            return Some(message);
        }
        if message.first_line.is_empty() {
            message.first_line = line.into();
        } else if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.trim().to_ascii_lowercase(), value.trim().into()));
        }
    }
}

/// Reads the body of a message whose head was read. `passes` gets the parts as they arrive.
fn read_body(reader: &mut impl BufRead, message: &mut Message, is_response: bool) {
    if message.field("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            if !matches!(reader.read_line(&mut line), Ok(read) if read > 0) {
                return;
            }
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return };
            let mut chunk = vec![0; size + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return;
            }
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                message.is_whole = true;
                return;
            }
        }
    }
    if let Ok(length) = message.field("content-length").parse::<usize>() {
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_ok() {
            message.body = body;
            message.is_whole = true;
        }
    } else if is_response {
        message.is_whole = reader.read_to_end(&mut message.body).is_ok();
    } else {
        message.is_whole = true;
    }
}

/// Reads a request, or `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message, false);
    message.is_whole.then_some(message)
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, fields: &str, body: &[u8]) -> std::io::Result<()> {
    let head = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// The answer to a caller's request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// No connection was established.
    NoConnection,
    /// The connection ended before a whole answer. The status is 0 if no head had arrived.
    Cut(u16, usize),
    /// A whole answer.
    Whole(Message),
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Answer::NoConnection => "no connection".into(),
            Answer::Cut(0, _) => "closed without an answer".into(),
            Answer::Cut(status, bytes) => format!("cut: {status} and {bytes} bytes, then the end"),
            Answer::Whole(message) => format!("{} with {} bytes", message.status(), message.body.len()),
        }
    }
}

/// Sends a request on a new connection and reads its answer. Returns `Cut` after `patience`.
pub fn call(to: SocketAddr, request: &str, patience: Duration) -> Answer {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
        return Answer::NoConnection;
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(patience));
    if stream.write_all(request.as_bytes()).is_err() {
        return Answer::Cut(0, 0);
    }
    let mut reader = BufReader::new(stream);
    let Some(mut message) = read_head(&mut reader) else {
        return Answer::Cut(0, 0);
    };
    read_body(&mut reader, &mut message, true);
    match message.is_whole {
        true => Answer::Whole(message),
        false => Answer::Cut(message.status(), message.body.len()),
    }
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        parse_json(&chars, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> Vec<Json> {
        match self.get(name) {
            Some(Json::List(items)) => items.clone(),
            _ => Vec::new(),
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn parse_json(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match *chars.get(*at)? {
        '{' => {
            let mut fields = BTreeMap::new();
            *at += 1;
            loop {
                skip_space(chars, at);
                match *chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    ',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_json(chars, at)? else { return None };
                        skip_space(chars, at);
                        *at += 1;
                        fields.insert(name, parse_json(chars, at)?);
                    }
                }
            }
        }
        '[' => {
            let mut items = Vec::new();
            *at += 1;
            loop {
                skip_space(chars, at);
                match *chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    ',' => *at += 1,
                    _ => items.push(parse_json(chars, at)?),
                }
            }
        }
        '"' => {
            let mut text = String::new();
            *at += 1;
            loop {
                match *chars.get(*at)? {
                    '"' => {
                        *at += 1;
                        return Some(Json::Text(text));
                    }
                    '\\' => {
                        let escaped = *chars.get(*at + 1)?;
                        *at += 2;
                        match escaped {
                            'n' => text.push('\n'),
                            't' => text.push('\t'),
                            'u' => {
                                let code: String = chars.get(*at..*at + 4)?.iter().collect();
                                let code = u32::from_str_radix(&code, 16).ok()?;
                                text.push(char::from_u32(code)?);
                                *at += 4;
                            }
                            other => text.push(other),
                        }
                    }
                    other => {
                        text.push(other);
                        *at += 1;
                    }
                }
            }
        }
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| !",]} \n\t".contains(*c)) {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

/// Encodes bytes in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte)) << (8 * (3 - part.len()));
        for digit in 0..4 {
            match digit <= part.len() {
                true => text.push(char::from(DIGITS[(number >> (18 - 6 * digit)) as usize & 63])),
                false => text.push('='),
            }
        }
    }
    text
}

/// The processes that were started.
static STARTED: Mutex<Vec<Arc<Mutex<Option<Child>>>>> = Mutex::new(Vec::new());

fn kill(child: &Mutex<Option<Child>>) {
    let child = child.lock().unwrap_or_else(PoisonError::into_inner).take();
    if let Some(mut child) = child {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// Kills all processes that were started and have not been waited for.
pub fn kill_all() {
    for child in STARTED.lock().unwrap_or_else(PoisonError::into_inner).iter() {
        kill(child);
    }
}

/// One instance of the program under test, started with the command of the deploy file.
pub struct Instance {
    pub name: String,
    pub zone: String,
    pub ip: String,
    pub settings: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
    log: PathBuf,
    root: PathBuf,
}

pub const FRONT_PORT: u16 = 8740;
pub const READY_PORT: u16 = 8749;
pub const CONTROL_PORT: u16 = 8748;
pub const METRICS_PORT: u16 = 9464;
pub const PEER_PORTS: (u16, u16) = (7200, 7215);

/// Returns whether all ports of an instance are free on an address.
fn are_ports_free(ip: &str) -> bool {
    let ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, METRICS_PORT, PEER_PORTS.0];
    let listeners: Vec<_> = ports.iter().map(|port| TcpListener::bind((ip, *port))).collect();
    listeners.iter().all(Result::is_ok)
}

/// Returns a loopback address on which the ports of an instance are free.
pub fn free_ip(random: &mut Random) -> String {
    loop {
        let ip = format!("127.{}.{}.{}", 64 + random.below(60), 1 + random.below(250), 1 + random.below(250));
        if are_ports_free(&ip) {
            return ip;
        }
    }
}

impl Instance {
    pub fn new(name: &str, zone: &str, root: &Path, folder: &Path, random: &mut Random) -> Instance {
        Instance {
            name: name.into(),
            zone: zone.into(),
            ip: free_ip(random),
            settings: folder.join(format!("{name}.conf")),
            child: Arc::default(),
            log: folder.join(format!("{name}.log")),
            root: root.into(),
        }
    }

    pub fn front(&self) -> SocketAddr {
        format!("{}:{FRONT_PORT}", self.ip).parse().unwrap()
    }

    pub fn ready(&self) -> SocketAddr {
        format!("{}:{READY_PORT}", self.ip).parse().unwrap()
    }

    /// Writes the settings file as the platform does.
    pub fn write_settings(&self, zones: &[&str], seeds: &str, store: SocketAddr, grace_s: u64) {
        let mut text = format!(
            "node={}\nrole=entry\nmachine_class=front\nplanes=front,control\nip={}\nzone={}\nregion=main\n",
            self.name, self.ip, self.zone
        );
        for zone in zones {
            let _ = writeln!(text, "zones.{zone}=main");
        }
        let ip = &self.ip;
        let _ = write!(
            text,
            "listen.front={ip}:{FRONT_PORT}\nlisten.ready={ip}:{READY_PORT}\nlisten.control={ip}:{CONTROL_PORT}\n\
             port_range={},{}\nseeds={seeds}\nbootstrap=true\nloss_counted=false\nlimits.cpu_share=0.25\n\
             limits.cores=1\nlimits.memory_mb=110\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
             limits.disk_mb=0\ndiscovery=platform\nentry=vip\nbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform\n\
             fault_tolerance.machines=2\nfault_tolerance.zones=1\nfault_tolerance.regions=0\n\
             timing.seed_lag_s=3\ntiming.reuse_after_s=2\ntiming.contact_ms=3000\ntiming.ack_ms=4000\n\
             timing.catch_up_s=4\ntiming.drain_ms=2000\ntiming.grace_s={grace_s}\ntiming.loss_slack_ms=200\n\
             timing.config_ms=2000\ntiming.revert_ms=250\ntiming.skew_ms=5000\ntiming.strict_revoke=false\n\
             timing.revoke_ms=5000\ntiming.budget_ratio=0.2\ntiming.budget_window_s=10\ntiming.retry_slack=54\n\
             timing.cold_over=1.5\ntiming.cold_slack=5\ntiming.evacuate_ms=5000\ntiming.recover_s=12\n\
             timing.pass_ms=120\ntiming.again_s=5.1\nplatform.address={store}\nplatform.form=kv\n\
             platform.writes_per_s=400\nplatform.reads_per_s=2000\nplatform.history_s=20\n\
             platform.value_bytes=1048576\nplatform.ttl_min_ms=1000\n",
            PEER_PORTS.0, PEER_PORTS.1
        );
        // The file is replaced at once, so that no half of it is ever read.
        let new = self.settings.with_extension("new");
        std::fs::write(&new, text).expect("the settings can be written");
        std::fs::rename(&new, &self.settings).expect("the settings can be replaced");
    }

    pub fn start(&self) -> std::io::Result<()> {
        let log = std::fs::File::options().append(true).create(true).open(&self.log)?;
        let keep = |name: &str| std::env::var(name).unwrap_or_default();
        let child = Command::new(self.root.join("target/release/wigeonjunction"))
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", keep("PATH"))
            .env("HOME", keep("HOME"))
            .env("WIGEONJUNCTION_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        STARTED.lock().unwrap().push(self.child.clone());
        Ok(())
    }

    /// Returns what the process has written so far.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal by its name to the process.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.lock().unwrap().as_ref().map(Child::id);
        if let Some(pid) = pid {
            let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {pid}")]).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&self) {
        kill(&self.child);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap();
        child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Asks the instance as the balancer does whether it takes callers.
    pub fn is_ready(&self) -> bool {
        let request = format!("GET /ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ip);
        let answer = call(self.ready(), &request, Duration::from_millis(900));
        matches!(answer, Answer::Whole(message) if message.status() == 200)
    }
}

/// Waits until all instances are ready. Returns whether they are in time.
pub fn wait_until_ready(instances: &[Arc<Instance>], patience: Duration) -> bool {
    let started = Instant::now();
    while started.elapsed() < patience {
        if instances.iter().all(|instance| instance.is_ready()) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}
