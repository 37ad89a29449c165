//! Runs the load and the events of a scenario against a fleet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use gateway::http;
use gateway::http::HttpClient;
use serde_json::Value;
use serde_json::json;
use standin::token::Marker;
use tokio::sync::Mutex as AsyncMutex;
use tokio::task::JoinSet;
use wigeon_core::Policy;

use crate::action;
use crate::caller;
use crate::caller::CallRecord;
use crate::caller::CallStatus;
use crate::caller::RequestSpec;
use crate::checks;
use crate::checks::Withdrawal;
use crate::fleet::DataCentre;
use crate::fleet::Fleet;
use crate::fleet::FleetConfig;
use crate::result;
use crate::result::Report;
use crate::scenario::Action;
use crate::scenario::Route;
use crate::scenario::Scenario;

/// Period of the balancer's readiness probes.
const READINESS_PROBE_PERIOD: Duration = Duration::from_millis(150);
/// Maximum number of instances that the balancer tries if connections fail.
const CONNECT_ATTEMPTS: usize = 3;
/// Period at which the configuration versions of the instances are checked.
const VERSION_POLL_PERIOD: Duration = Duration::from_millis(50);
/// Number of outputs drawn to estimate the rate that the engines can sustain.
const CAPACITY_DRAWS: usize = 20_000;
/// Length of the prompt prefix that requests of one organisation and route share, in characters.
const PREAMBLE_CHARS: usize = 256;
/// Characters per token of a prompt.
const TOKEN_CHARS: f64 = 4.0;

/// Report of a run, with the records that the plot needs.
pub struct RunResult {
    /// Measurements and violations.
    pub report: Report,
    /// Records of all callers.
    pub calls: Vec<CallRecord>,
    /// Records of the stand-ins.
    pub records: checks::BackendRecords,
    /// Labels of the events, with their times since the origin of the run.
    pub events: Vec<(Duration, String)>,
    /// Start of the load, as time since the origin of the run.
    pub load_start: Duration,
    /// Start of the load, as an instant.
    pub load_started_at: Instant,
}

/// State shared by the tasks of a run.
pub(crate) struct SharedState {
    pub(crate) fleet: AsyncMutex<Fleet>,
    /// Addresses of the instances that the balancer sends callers to.
    pub(crate) ready_addresses: Mutex<Vec<SocketAddr>>,
    pub(crate) calls: Mutex<Vec<CallRecord>>,
    /// Periods in which a data centre was taken out.
    pub(crate) withdrawals: Mutex<Vec<Withdrawal>>,
    /// Labels of the events executed so far, with their times since the origin.
    pub(crate) events: Mutex<Vec<(Duration, String)>>,
    versions: Mutex<ConfigVersions>,
    pub(crate) client: HttpClient,
    /// Origin of the times in all records.
    pub(crate) origin: Instant,
}

/// Last seen configuration version by instance index and incarnation, and the number of times that
/// a version decreased.
#[derive(Default)]
struct ConfigVersions {
    last: BTreeMap<(usize, u64), conf::Version>,
    reverted: u64,
}

/// Locks a mutex even if a task panicked while holding the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a scenario with one policy.
///
/// # Errors
///
/// Returns an error if the fleet can't be started or an event can't be executed.
pub async fn run(scenario: &Scenario, seed: u64, policy: Policy) -> anyhow::Result<RunResult> {
    let fleet = Fleet::start(&fleet_config(scenario, seed, policy)).await?;
    let ready_addresses = fleet.caller_addresses();
    let shared = Arc::new(SharedState {
        origin: fleet.origin,
        ready_addresses: Mutex::new(ready_addresses),
        fleet: AsyncMutex::new(fleet),
        calls: Mutex::default(),
        withdrawals: Mutex::default(),
        events: Mutex::default(),
        versions: Mutex::default(),
        client: http::client(true),
    });
    let load_started_at = Instant::now();
    let load_start = shared.origin.elapsed();
    let before = read_counters(&shared).await;
    let mut background = JoinSet::new();
    let addresses = lock(&shared.ready_addresses).clone();
    background.spawn(run_balancer(shared.clone(), addresses));
    background.spawn(watch_versions(shared.clone()));
    let mut event_tasks = JoinSet::new();
    for event in scenario.events.clone() {
        let shared = shared.clone();
        let scenario = scenario.clone();
        event_tasks.spawn(async move {
            let at = load_started_at + Duration::from_secs_f64(event.at_s);
            tokio::time::sleep_until(at.into()).await;
            action::execute(&shared, &scenario, &event, seed).await
        });
    }
    let mut call_tasks = JoinSet::new();
    generate_load(&shared, scenario, seed, load_started_at, &mut call_tasks).await;
    let drain = Duration::from_secs_f64(scenario.drain_s);
    let drained = async { while call_tasks.join_next().await.is_some() {} };
    let all_ended = tokio::time::timeout(drain, drained).await.is_ok();
    let unfinished = if all_ended { 0 } else { call_tasks.len() };
    call_tasks.shutdown().await;
    while let Some(outcome) = event_tasks.join_next().await {
        outcome??;
    }
    background.shutdown().await;
    let after = read_counters(&shared).await;
    let elapsed_s = load_started_at.elapsed().as_secs_f64();
    let fleet = shared.fleet.lock().await;
    let records = checks::collect_records(&fleet);
    drop(fleet);
    let calls = std::mem::take(&mut *lock(&shared.calls));
    let withdrawals = lock(&shared.withdrawals).clone();
    let graceful = scenario
        .events
        .iter()
        .all(|event| event.action == Action::RollingRestart)
        && !scenario.events.is_empty();
    let reverted = lock(&shared.versions).reverted;
    let violations = checks::count_violations(&calls, &records, &withdrawals, graceful, reverted);
    let until = load_started_at + Duration::from_secs_f64(scenario.duration_s);
    let mut all = result::measure(calls.iter(), until);
    all.requests += unfinished as u64;
    all.failed += unfinished as u64;
    if unfinished > 0 {
        all.reasons.insert("not ended".into(), unfinished as u64);
    }
    let per_s = |count: u64| (count as f64 / elapsed_s * 10.0).round() / 10.0;
    let instances = after.instances.max(1) as f64;
    let report = Report {
        scenario: scenario.name.clone(),
        seed,
        policy: policy.to_string(),
        violations,
        preemptions: records.preemptions,
        attempts_a_request: after.attempts.saturating_sub(before.attempts) as f64
            / all.requests.max(1) as f64,
        least_answered_share: result::least_answered_share(&calls),
        store_calls_s: (
            per_s(after.reads - before.reads),
            per_s(after.writes - before.writes),
        ),
        frame_bytes_s: per_s(after.bytes.saturating_sub(before.bytes)) / instances,
        phases: measure_phases(&calls, &withdrawals, shared.origin, until),
        all,
    };
    let events = lock(&shared.events).clone();
    if let Ok(shared) = Arc::try_unwrap(shared) {
        shared.fleet.into_inner().stop().await;
    }
    Ok(RunResult {
        report,
        calls,
        records,
        events,
        load_start,
        load_started_at,
    })
}

/// Traffic counters, read before and after the load.
struct Counters {
    reads: u64,
    writes: u64,
    bytes: u64,
    attempts: u64,
    instances: usize,
}

/// Reads the counters of the store and of all instances, replaced ones included.
async fn read_counters(shared: &SharedState) -> Counters {
    let fleet = shared.fleet.lock().await;
    let counts = fleet.platform.with(|platform| platform.counts);
    let nodes: Vec<_> = fleet
        .nodes
        .iter()
        .filter_map(|(_, node)| node.as_ref())
        .collect();
    Counters {
        reads: counts.reads,
        writes: counts.writes,
        bytes: fleet.retired.1
            + nodes
                .iter()
                .map(|node| node.metrics().bytes_sent())
                .sum::<u64>(),
        attempts: fleet.retired.0
            + nodes
                .iter()
                .map(|node| node.metrics().attempts())
                .sum::<u64>(),
        instances: nodes.len(),
    }
}

fn fleet_config(scenario: &Scenario, seed: u64, policy: Policy) -> FleetConfig {
    let centres = scenario.data_centres.iter().map(|data_centre| DataCentre {
        name: data_centre.name.clone(),
        instances: data_centre.instances,
        engines: data_centre.engines,
        plains: data_centre.plains,
    });
    FleetConfig {
        data_centres: centres.collect(),
        engine: scenario.engine.to_standin(),
        plain: standin::plain::Settings::default(),
        policy,
        warm: scenario.warm,
        shutdown_delay: Duration::from_millis(400),
        config: config_commands(scenario),
        seed,
    }
}

fn token_of(organisation: &str) -> CompactString {
    CompactString::from(format!("token-of-{organisation}"))
}

/// Returns the operator commands that create the configuration of a scenario.
fn config_commands(scenario: &Scenario) -> Vec<String> {
    let mut lines = Vec::new();
    for data_centre in &scenario.data_centres {
        lines.push(format!("put data-centre {} {{}}", data_centre.name));
    }
    for name in scenario.organisations.keys() {
        let hash = conf::hash_token(&token_of(name));
        lines.push(format!(
            r#"put organisation {name} {{"token_hash": "{hash}"}}"#
        ));
    }
    let pool = Value::Object(scenario.pool.clone());
    lines.push(format!("put pool engines {pool}"));
    lines.push(r#"put pool plains {"service": "plain", "cold_limit": 2, "batch": 16}"#.into());
    for route in &scenario.routes {
        let mut settings = route.settings.clone();
        settings.insert("pool".into(), "engines".into());
        lines.push(format!(
            "put route {} {}",
            route.name,
            Value::Object(settings)
        ));
    }
    let status = json!({"pool": "plains", "class": "interactive", "deadline_ms": 3_000});
    lines.push(format!("put route status {status}"));
    let mark = json!({
        "pool": "plains", "class": "interactive", "idempotent": false, "rerun": false,
        "deadline_ms": 3_000, "retention_s": 3_600,
    });
    lines.push(format!("put route mark {mark}"));
    lines
}

/// Draws an output length from a log-normal distribution.
fn draw_length(route: &Route, factor: f64, rng: &mut fastrand::Rng) -> u32 {
    // Box-Muller transform (1958): turns two uniform numbers into a normally distributed one.
    let radius = (-2.0 * rng.f64().max(f64::MIN_POSITIVE).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.f64()).cos();
    let length = route.median * factor * (route.spread * normal).exp();
    (length as u32).clamp(1, route.max)
}

fn draw_route<'a>(scenario: &'a Scenario, rng: &mut fastrand::Rng) -> &'a Route {
    let total: f64 = scenario.routes.iter().map(|route| route.share).sum();
    let mut remaining = rng.f64() * total;
    for route in &scenario.routes {
        remaining -= route.share;
        if remaining <= 0.0 {
            return route;
        }
    }
    &scenario.routes[0]
}

fn draw_organisation(scenario: &Scenario, rng: &mut fastrand::Rng) -> CompactString {
    let total: f64 = scenario.organisations.values().sum();
    let mut remaining = rng.f64() * total;
    for (name, share) in &scenario.organisations {
        remaining -= share;
        if remaining <= 0.0 {
            return name.clone();
        }
    }
    CompactString::default()
}

/// Returns the rate of requests per second that the engines can sustain: with as many concurrent
/// generations as memory and the configured batch allow, at the step time of such a batch.
fn sustainable_rate(scenario: &Scenario) -> f64 {
    let mut rng = fastrand::Rng::with_seed(7);
    let (mut length_sum, mut square_sum, mut prompt_sum) = (0.0, 0.0, 0.0);
    for _ in 0..CAPACITY_DRAWS {
        let route = draw_route(scenario, &mut rng);
        let length = f64::from(draw_length(route, 1.0, &mut rng));
        length_sum += length;
        square_sum += length * length;
        prompt_sum += route.prompt_chars as f64 / TOKEN_CHARS;
    }
    let mean_length = length_sum / CAPACITY_DRAWS as f64;
    let mean_prompt = prompt_sum / CAPACITY_DRAWS as f64;
    // Long generations run for longer, so the mean length of the generations that run at a random
    // moment is the sum of squared lengths divided by the sum of lengths. On average, half of the
    // output has been generated.
    let mean_tokens_held = mean_prompt + square_sum / length_sum / 2.0;
    let engine = scenario.engine;
    let memory_limit = engine.capacity as f64 * 0.9 / mean_tokens_held;
    let batch = scenario
        .pool
        .get("batch")
        .and_then(Value::as_f64)
        .unwrap_or(16.0);
    let concurrency = memory_limit.min(batch);
    let step = (engine.step_ms + engine.step_each_ms * concurrency) / 1_000.0;
    let prefill = mean_prompt / standin::engine::Settings::default().prefill_rate;
    let seconds_per_request = mean_length * step / concurrency + prefill;
    let engines: usize = scenario
        .data_centres
        .iter()
        .map(|data_centre| data_centre.engines)
        .sum();
    engines as f64 / seconds_per_request
}

/// Spawns callers with exponentially distributed gaps and returns at the end of the load.
async fn generate_load(
    shared: &Arc<SharedState>,
    scenario: &Scenario,
    seed: u64,
    load_started_at: Instant,
    call_tasks: &mut JoinSet<()>,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let engine_rate = sustainable_rate(scenario) * scenario.load;
    let rate = engine_rate + scenario.plain_rate;
    let mut at = 0.0;
    let mut number = 1;
    while at < scenario.duration_s {
        at += -rng.f64().max(f64::MIN_POSITIVE).ln() / rate;
        tokio::time::sleep_until((load_started_at + Duration::from_secs_f64(at)).into()).await;
        number += 1;
        let plain = rng.f64() * rate < scenario.plain_rate;
        let request = if plain {
            plain_request(scenario, number, &mut rng)
        } else {
            engine_request(scenario, number, at, &mut rng)
        };
        let duplicate = request.key.is_some() && rng.f64() < scenario.duplicates;
        let slot = rng.u64(..);
        call_tasks.spawn(run_caller(shared.clone(), request.clone(), slot));
        if duplicate {
            call_tasks.spawn(run_caller(shared.clone(), request, slot.rotate_left(9)));
        }
    }
}

/// Draws a request for an engine. `at` is the time since the start of the load, in seconds.
pub(crate) fn engine_request(
    scenario: &Scenario,
    number: u64,
    at: f64,
    rng: &mut fastrand::Rng,
) -> RequestSpec {
    let route = draw_route(scenario, rng);
    let shift = scenario.shift.filter(|shift| at >= shift.at_s);
    let factor = shift.map_or(1.0, |shift| shift.factor);
    let organisation = draw_organisation(scenario, rng);
    let delivery = route.settings.get("delivery").and_then(Value::as_str);
    let is_stream = delivery != Some("whole");
    let preamble = format!("{} for {organisation}:", route.name);
    RequestSpec {
        marker: Marker {
            request: number,
            length: draw_length(route, factor, rng),
            sampled: route.sampled,
            poison: false,
        },
        route: route.name.clone(),
        token: token_of(&organisation),
        organisation,
        plain: false,
        stream: is_stream,
        key: None,
        preamble: format!("{preamble:<PREAMBLE_CHARS$}"),
        filler: ".".repeat(route.prompt_chars.saturating_sub(PREAMBLE_CHARS)),
    }
}

/// Draws a call of the route `status` or `mark`.
fn plain_request(scenario: &Scenario, number: u64, rng: &mut fastrand::Rng) -> RequestSpec {
    let is_mark = rng.f64() < scenario.marks;
    let organisation = draw_organisation(scenario, rng);
    RequestSpec {
        marker: Marker {
            request: number,
            length: 1,
            ..Marker::default()
        },
        route: if is_mark { "mark" } else { "status" }.into(),
        token: token_of(&organisation),
        organisation,
        plain: true,
        stream: false,
        key: is_mark.then(|| format!("key-{number}")),
        preamble: String::new(),
        filler: String::new(),
    }
}

/// Sends a request through the balancer. A request with an idempotency key is sent again, at most
/// twice, if it fails or is cut; a poison request is always sent four times.
///
/// `slot` selects the instance among those ready; each retry takes the next one.
pub(crate) async fn run_caller(shared: Arc<SharedState>, request: RequestSpec, slot: u64) {
    let mut retries = 0;
    loop {
        let record = send_once(&shared, &request, slot.wrapping_add(retries)).await;
        let unresolved = matches!(record.status, CallStatus::Cut | CallStatus::Failed);
        let retry = (unresolved && request.key.is_some() && retries < 2)
            || (request.marker.poison && retries < 3);
        lock(&shared.calls).push(record);
        if !retry {
            return;
        }
        retries += 1;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

/// Sends a request, trying the next instance if the connection fails.
async fn send_once(shared: &SharedState, request: &RequestSpec, slot: u64) -> CallRecord {
    let mut attempts = 0;
    loop {
        let address = pick_instance(shared, slot.wrapping_add(attempts as u64));
        let record = caller::call(&shared.client, address, request.clone()).await;
        let connect_refused =
            record.status == CallStatus::Refused && record.reason.contains("connect");
        attempts += 1;
        if !connect_refused || attempts >= CONNECT_ATTEMPTS {
            return record;
        }
    }
}

fn pick_instance(shared: &SharedState, slot: u64) -> SocketAddr {
    let ready_addresses = lock(&shared.ready_addresses);
    let index = usize::try_from(slot % ready_addresses.len().max(1) as u64).unwrap_or(0);
    ready_addresses[index]
}

/// Probes the readiness of all instances periodically and directs callers to the ready ones. Keeps
/// the last list while no instance is ready.
async fn run_balancer(shared: Arc<SharedState>, addresses: Vec<SocketAddr>) {
    loop {
        let ready = probe_ready(&shared.client, addresses.clone()).await;
        if !ready.is_empty() {
            *lock(&shared.ready_addresses) = ready;
        }
        tokio::time::sleep(READINESS_PROBE_PERIOD).await;
    }
}

/// Returns the addresses of the instances that report ready within 500 ms.
async fn probe_ready(client: &HttpClient, addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
    let mut probes = JoinSet::new();
    for address in addresses {
        let request = http::request("GET", address, "/readyz", "");
        let response = client.request(request);
        probes.spawn(async move {
            let limit = Duration::from_millis(500);
            let answer = tokio::time::timeout(limit, response).await;
            let ready = matches!(answer, Ok(Ok(response)) if response.status().is_success());
            (address, ready)
        });
    }
    let mut answers = probes.join_all().await;
    answers.sort();
    answers
        .into_iter()
        .filter(|(_, ready)| *ready)
        .map(|(address, _)| address)
        .collect()
}

/// Polls the configuration versions of the instances and counts every decrease.
async fn watch_versions(shared: Arc<SharedState>) {
    loop {
        if let Ok(fleet) = shared.fleet.try_lock() {
            let mut versions = lock(&shared.versions);
            for (index, (_, node)) in fleet.nodes.iter().enumerate() {
                let Some(node) = node else { continue };
                let version = node.config().version;
                let last = versions.last.entry((index, node.entry.id)).or_default();
                let reverted = version < *last;
                *last = version;
                versions.reverted += u64::from(reverted);
            }
        }
        tokio::time::sleep(VERSION_POLL_PERIOD).await;
    }
}

/// Returns the measurements before, during and after the first withdrawal of a data centre, or an
/// empty map if there was none. A request belongs to the phase in which it was sent.
fn measure_phases(
    calls: &[CallRecord],
    withdrawals: &[Withdrawal],
    origin: Instant,
    until: Instant,
) -> BTreeMap<&'static str, result::Measurements> {
    let Some(withdrawal) = withdrawals.first() else {
        return BTreeMap::new();
    };
    let phase = |call: &CallRecord| {
        let at = call.sent_at.duration_since(origin);
        match withdrawal.until {
            _ if at < withdrawal.from => "before",
            Some(brought_back_at) if at >= brought_back_at => "after",
            _ => "during",
        }
    };
    ["before", "during", "after"]
        .into_iter()
        .map(|name| {
            let group = calls.iter().filter(|call| phase(call) == name);
            (name, result::measure(group, until))
        })
        .collect()
}
