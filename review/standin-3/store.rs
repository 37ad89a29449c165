// The platform's metadata store: items with revisions, pages, watches, conditional writes and leases.

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

use crate::common::Json;
use crate::common::Message;
use crate::common::base64;
use crate::common::read_request;
use crate::common::respond;

/// Most items of a page.
const PAGE_ITEMS: usize = 500;
/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes: revision, key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.into(), item.clone());
        self.history.push((self.revision, key.into(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.into(), None));
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let known = self.leases.remove(&lease).is_some();
        let held: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease && lease != 0)
            .map(|(key, _)| key.clone())
            .collect();
        for key in held {
            self.remove(&key);
        }
        known
    }
}

fn to_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let store = Store { address: listener.local_addr().expect("it is bound"), state: Arc::default() };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes an item as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().write(key, base64(value.as_bytes()), 0);
        changed.notify_all();
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        state.lock().unwrap().remove(key);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&request);
            let fields = "Content-Type: application/json\r\n";
            if respond(&mut writer, status, fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = pairs.into_iter().find(|(known, _)| *known == name);
            found.map(|(_, value)| decoded(value)).unwrap_or_default()
        };
        let (state, changed) = &*self.state;
        state.lock().unwrap().expire_leases();
        let last = path.rsplit('/').next().unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/kv-key") => {
                let state = state.lock().unwrap();
                let key = parameter("key");
                match state.items.get(&key) {
                    Some(item) => (200, to_json(&key, item)),
                    None => (404, "{}".into()),
                }
            }
            ("GET", "/kv-range") => {
                let state = state.lock().unwrap();
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let mut items = state
                    .items
                    .iter()
                    .filter(|(key, _)| key.starts_with(&prefix) && (after.is_empty() || **key > after));
                let page: Vec<String> =
                    items.by_ref().take(PAGE_ITEMS).map(|(key, item)| to_json(key, item)).collect();
                let has_more = items.next().is_some();
                let at = state.revision;
                let page = page.join(",");
                (200, format!("{{\"items\":[{page}],\"has_more\":{has_more},\"at\":{at}}}"))
            }
            ("GET", "/kv-watch") => {
                let after: u64 = parameter("after").parse().unwrap_or(0);
                let wait: u64 = parameter("wait_ms").parse().unwrap_or(0);
                let prefix = parameter("prefix");
                let until = Instant::now() + Duration::from_millis(wait.min(30_000));
                let mut state = state.lock().unwrap();
                loop {
                    state.expire_leases();
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => to_json(key, item),
                            None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, at) = (events.join(","), state.revision);
                        return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                    }
                    let waited = changed.wait_timeout(state, left.min(Duration::from_millis(200)));
                    state = waited.unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let Some(body) = Json::parse(&body) else { return (400, "{}".into()) };
                let result = change(&mut state.lock().unwrap(), &body);
                changed.notify_all();
                result
            }
            ("POST", "/kv-lease") => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let ttl = Json::parse(&body).map_or(0, |body| body.number("ttl_ms")).clamp(1_000, 600_000);
                let mut state = state.lock().unwrap();
                state.next_lease += 1;
                let lease = state.next_lease;
                let ttl_time = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + ttl_time, ttl_time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease: u64 = last.parse().unwrap_or(0);
                match state.lock().unwrap().leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".into()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let ended = state.lock().unwrap().end_lease(last.parse().unwrap_or(0));
                changed.notify_all();
                (if ended { 200 } else { 404 }, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }
}

/// Executes a change if its conditions hold.
fn change(state: &mut State, body: &Json) -> (u16, String) {
    let conditions = body.list("precondition");
    let is_met = |condition: &Json| {
        let found = state.items.get(&condition.text("key"));
        found.map_or(0, |item| item.revision) == condition.number("revision")
    };
    if !conditions.iter().all(is_met) {
        let current: Vec<String> = conditions
            .iter()
            .filter_map(|condition| {
                let key = condition.text("key");
                state.items.get(&key).map(|item| to_json(&key, item))
            })
            .collect();
        return (412, format!("{{\"items\":[{}]}}", current.join(",")));
    }
    let writes = body.list("writes");
    let has_lease = |write: &Json| {
        let lease = write.number("lease");
        lease == 0 || state.leases.contains_key(&lease)
    };
    let keys = writes.iter().map(|write| write.text("key"));
    let mut all_keys = keys.chain(body.list("remove").into_iter().map(|key| match key {
        Json::Text(key) => key,
        _ => String::new(),
    }));
    if all_keys.any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
        return (403, "{}".into());
    }
    if !writes.iter().all(has_lease) {
        return (404, "{}".into());
    }
    for write in writes {
        state.write(&write.text("key"), write.text("value"), write.number("lease"));
    }
    for key in body.list("remove") {
        if let Json::Text(key) = key {
            state.remove(&key);
        }
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut result = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).and_then(|code| u8::from_str_radix(code, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                result.push(code);
                at += 3;
            }
            (byte, _) => {
                result.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&result).into_owned()
}
