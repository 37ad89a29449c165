//! What a daemon adds to a stream: the same streams straight from an engine and through an instance.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use gateway::backend;
use gateway::backend::Generate;
use gateway::backend::Line;
use gateway::http;
use gateway::http::HttpClient;
use hdrhistogram::Histogram;
use serde::Serialize;
use standin::token::Marker;
use tokio::task::JoinSet;
use wigeon_core::Policy;

use crate::caller;
use crate::caller::RequestSpec;
use crate::fleet::Backend;
use crate::fleet::Centre;
use crate::fleet::Fleet;
use crate::fleet::Plan;

/// Streams at once.
const STREAM_COUNT: u64 = 200;
/// Tokens of each.
const TOKENS_PER_STREAM: u32 = 200;
/// Time of one step of the engine, whatever its batch.
const ENGINE_STEP: Duration = Duration::from_millis(25);
/// Time over which the streams begin.
const START_SPREAD: Duration = Duration::from_millis(1_000);
/// Ticks of the processor's time in a second, as Linux counts it.
const TICKS_PER_S: f64 = 100.0;

/// What one way of going costs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PathCost {
    /// Time to the first token, in milliseconds: 50 and 99 in 100.
    pub first_token_ms: (f64, f64),
    /// Time between tokens beyond the engine's step, in milliseconds: 50 and 99 in 100.
    pub beyond_step_ms: (f64, f64),
    /// Processor time of the whole process for each token, in microseconds.
    pub cpu_us_a_token: f64,
    /// Memory that the process gained for each stream, in KiB.
    pub kib_a_stream: f64,
}

/// Both ways, and what lies between them.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Overhead {
    /// Straight from the engine.
    pub direct: PathCost,
    /// Through an instance.
    pub through: PathCost,
    /// Added time to the first token at the median, in milliseconds.
    pub added_first_token_ms: f64,
    /// Added time between tokens, 99 in 100, in milliseconds.
    pub added_gap_p99_ms: f64,
    /// Processor time through an instance against the direct way.
    pub cpu_ratio: f64,
}

/// Measures both ways in one process.
///
/// # Errors
///
/// If the fleet can't be started, or a stream is cut.
pub async fn measure() -> anyhow::Result<Overhead> {
    let fleet = Fleet::start(&plan()).await?;
    let engine = fleet
        .servers
        .iter()
        .find_map(|server| match &server.backend {
            Backend::Engine(engine) => Some(engine.address()),
            Backend::Plain(_) => None,
        })
        .context("there is no engine")?;
    let instance = fleet.callers()[0];
    // Once each beforehand, so that both ways have their connections and their code at hand.
    measure_path(instance, true).await?;
    measure_path(engine, false).await?;
    let through = measure_path(instance, true).await?;
    let direct = measure_path(engine, false).await?;
    fleet.stop().await;
    let round_to_3 = |value: f64| (value * 1_000.0).round() / 1_000.0;
    Ok(Overhead {
        added_first_token_ms: round_to_3(through.first_token_ms.0 - direct.first_token_ms.0),
        added_gap_p99_ms: round_to_3(through.beyond_step_ms.1 - direct.beyond_step_ms.1),
        cpu_ratio: round_to_3(through.cpu_us_a_token / direct.cpu_us_a_token),
        direct,
        through,
    })
}

fn plan() -> Plan {
    let hash = conf::hash_token("token");
    Plan {
        centres: vec![Centre {
            name: "here".into(),
            instances: 1,
            engines: 1,
            plains: 0,
        }],
        engine: standin::engine::Settings {
            step: ENGINE_STEP,
            step_each: Duration::ZERO,
            prefill_rate: 1e9,
            batch: 512,
            capacity: 10_000_000,
            ..standin::engine::Settings::default()
        },
        plain: standin::plain::Settings::default(),
        policy: Policy::RoundRobin,
        warm: true,
        shutdown_delay: Duration::ZERO,
        config: vec![
            "put data-centre here {}".into(),
            format!(r#"put organisation org {{"token_hash": "{hash}"}}"#),
            r#"put pool engines {"batch": 512}"#.into(),
            r#"put route letter {"pool": "engines"}"#.into(),
        ],
        seed: 1,
    }
}

/// One stream: time to its first token, and the gaps after it.
type StreamTimings = (Duration, Vec<Duration>);

async fn measure_path(address: SocketAddr, through: bool) -> anyhow::Result<PathCost> {
    let client = http::client(true);
    let memory = resident_memory_kib();
    let cpu = cpu_seconds();
    let mut streams = JoinSet::new();
    for number in 0..STREAM_COUNT {
        let client = client.clone();
        streams.spawn(async move {
            tokio::time::sleep(START_SPREAD.mul_f64(number as f64 / STREAM_COUNT as f64)).await;
            let marker = Marker {
                request: fastrand::u64(..),
                length: TOKENS_PER_STREAM,
                ..Marker::default()
            };
            if through {
                stream_through_instance(&client, address, marker).await
            } else {
                stream_direct(&client, address, marker).await
            }
        });
    }
    tokio::time::sleep(START_SPREAD + ENGINE_STEP * (TOKENS_PER_STREAM / 2)).await;
    let gained = resident_memory_kib() - memory;
    let mut firsts = Histogram::<u64>::new(3)?;
    let mut beyond_step = Histogram::<u64>::new(3)?;
    while let Some(times) = streams.join_next().await {
        let (first, gaps) = times??;
        firsts.record(first.as_micros() as u64)?;
        for gap in gaps {
            let late = gap.saturating_sub(ENGINE_STEP).as_micros() as u64;
            beyond_step.record(late.max(1))?;
        }
    }
    let tokens = STREAM_COUNT as f64 * f64::from(TOKENS_PER_STREAM);
    let ms =
        |histogram: &Histogram<u64>, share| histogram.value_at_quantile(share) as f64 / 1_000.0;
    Ok(PathCost {
        first_token_ms: (ms(&firsts, 0.5), ms(&firsts, 0.99)),
        beyond_step_ms: (ms(&beyond_step, 0.5), ms(&beyond_step, 0.99)),
        cpu_us_a_token: ((cpu_seconds() - cpu) / tokens * 1e6 * 100.0).round() / 100.0,
        kib_a_stream: (gained / STREAM_COUNT as f64 * 10.0).round() / 10.0,
    })
}

async fn stream_through_instance(
    client: &HttpClient,
    address: SocketAddr,
    marker: Marker,
) -> anyhow::Result<StreamTimings> {
    let request = RequestSpec {
        marker,
        route: "letter".into(),
        token: "token".into(),
        organisation: "org".into(),
        plain: false,
        stream: true,
        key: None,
        preamble: String::new(),
        filler: String::new(),
    };
    let record = caller::call(client, address, request).await;
    anyhow::ensure!(
        record.tokens.len() == TOKENS_PER_STREAM as usize,
        "cut: {}",
        record.reason
    );
    Ok((
        record.time_to_first_output().unwrap_or_default(),
        record.token_gaps(),
    ))
}

async fn stream_direct(
    client: &HttpClient,
    address: SocketAddr,
    marker: Marker,
) -> anyhow::Result<StreamTimings> {
    let sent_at = Instant::now();
    let prompt = marker.to_text();
    let generate = Generate {
        attempt: marker.request,
        prompt: &prompt,
        prompt_tokens: 10,
        limit: None,
        priority: 1,
        prefixes: &[],
    };
    let body = serde_json::to_vec(&generate)?;
    let opened = backend::generate(client.clone(), address, body).await;
    let mut lines = opened.map_err(|fault| anyhow::anyhow!("{fault:?}"))?;
    let mut times = Vec::new();
    while let Ok(Some(Line::Token(_))) = lines.next().await {
        times.push(sent_at.elapsed());
    }
    anyhow::ensure!(
        times.len() == TOKENS_PER_STREAM as usize,
        "the engine cut a stream"
    );
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    Ok((times[0], gaps))
}

/// Returns the processor time of this process so far, in seconds.
pub fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the process may hold spaces; the numbers come after its bracket.
    let after_name = text.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_S
}

/// Returns the memory that this process holds, in KiB.
pub fn resident_memory_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}
