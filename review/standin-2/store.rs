//! The platform's store: items with revisions, ranges, watches, transactions and leases.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Option<String>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

struct Item {
    revision: u64,
    /// The value in base64.
    value: String,
    lease: u64,
}

/// A store. Clones share their state.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Store {
            address: listener.local_addr().expect("the listener is bound"),
            state: Arc::default(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        store
    }

    /// Writes a value, as the operator or a runner.
    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(base64(value.as_bytes())), 0);
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None, 0);
    }

    fn write(&self, key: &str, value: Option<String>, lease: u64) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => {
                let value = value.clone();
                let item = Item {
                    revision,
                    value,
                    lease,
                };
                state.items.insert(key.into(), item);
            }
            None => {
                state.items.remove(key);
            }
        }
        state.history.push((revision, key.into(), value));
        changed.notify_all();
    }

    fn expire(&self) {
        let mut ended = Vec::new();
        {
            let mut state = self.state.0.lock().unwrap();
            let now = Instant::now();
            let leases: Vec<u64> = state
                .leases
                .iter()
                .filter(|(_, (ttl, renewed_at))| now - *renewed_at > *ttl)
                .map(|(lease, _)| *lease)
                .collect();
            for lease in leases {
                state.leases.remove(&lease);
                let keys = state.items.iter().filter(|(_, item)| item.lease == lease);
                ended.extend(keys.map(|(key, _)| key.clone()));
            }
        }
        for key in ended {
            self.remove(&key);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("the stream is open");
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut reader) {
            let (method, target) = request.method_and_target();
            let (path, query) = target.split_once('?').unwrap_or((target, ""));
            let parameter = |name: &str| {
                let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
                let found = pairs.filter(|(key, _)| *key == name).next();
                found.map_or("", |(_, value)| value)
            };
            let number = |name: &str| parameter(name).parse::<u64>().unwrap_or(0);
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let (status, answer) = match (method, path) {
                ("GET", "/kv-range") => self.range(parameter("prefix"), parameter("after")),
                ("GET", "/kv-watch") => {
                    let wait = Duration::from_millis(number("wait_ms"));
                    self.watch(parameter("prefix"), number("after"), wait)
                }
                ("POST", "/kv-txn") => self.transact(&body),
                ("POST", "/kv-lease") => self.grant_lease(&body),
                ("POST", path) if path.starts_with("/kv-keep/") => self.renew_lease(path),
                _ => (404, "{}".to_string()),
            };
            let fields = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            if http::respond(&mut writer, status, fields, &answer).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let items: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| item_json(key, item.revision, &item.value))
            .collect();
        let (items, at) = (items.join(","), state.revision);
        (
            200,
            format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, value)| match value {
                    Some(value) => item_json(key, *revision, value),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, at) = (events.join(","), state.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Carries out a transaction of one write, the only kind that the program sends.
    fn transact(&self, body: &str) -> (u16, String) {
        let (Some(key), Some(value)) = (text_of(body, "key"), text_of(body, "value")) else {
            return (400, "{}".to_string());
        };
        let lease = number_of(body, "lease").unwrap_or(0);
        if lease > 0 && !self.state.0.lock().unwrap().leases.contains_key(&lease) {
            return (404, "{}".to_string());
        }
        self.write(&key, Some(value), lease);
        let revision = self.state.0.lock().unwrap().revision;
        (200, format!("{{\"revision\":{revision}}}"))
    }

    fn grant_lease(&self, body: &str) -> (u16, String) {
        let ttl_ms = number_of(body, "ttl_ms").unwrap_or(1_000);
        let mut state = self.state.0.lock().unwrap();
        state.next_lease += 1;
        let lease = state.next_lease;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(lease, (ttl, Instant::now()));
        (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn renew_lease(&self, path: &str) -> (u16, String) {
        let lease = path.rsplit('/').next().and_then(|n| n.parse().ok());
        let mut state = self.state.0.lock().unwrap();
        match state.leases.get_mut(&lease.unwrap_or(0)) {
            Some((ttl, renewed_at)) => {
                *renewed_at = Instant::now();
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => (404, "{}".to_string()),
        }
    }
}

fn item_json(key: &str, revision: u64, value: &str) -> String {
    format!("{{\"key\":\"{key}\",\"revision\":{revision},\"value\":\"{value}\",\"lease\":0}}")
}

/// Returns the text of a member of a JSON object that needs no escapes.
fn text_of(json: &str, name: &str) -> Option<String> {
    let rest = json.split(&format!("\"{name}\":\"")).nth(1)?;
    rest.split('"').next().map(str::to_string)
}

fn number_of(json: &str, name: &str) -> Option<u64> {
    let rest = json.split(&format!("\"{name}\":")).nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            if index > group.len() {
                text.push('=');
            } else {
                let digit = bits >> (18 - 6 * index) & 63;
                text.push(char::from(DIGITS[digit as usize]));
            }
        }
    }
    text
}
