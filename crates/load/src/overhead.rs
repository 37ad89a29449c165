//! Measures the overhead of an instance: runs the same streams directly from an engine and through
//! an instance.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use gateway::backend;
use gateway::backend::GenerateRequest;
use gateway::backend::StreamLine;
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
use crate::fleet::DataCentre;
use crate::fleet::Fleet;
use crate::fleet::FleetConfig;

/// Number of concurrent streams.
const STREAM_COUNT: u64 = 200;
/// Length of each stream, in tokens.
const TOKENS_PER_STREAM: u32 = 200;
/// Duration of an engine step, independent of the batch size.
const ENGINE_STEP: Duration = Duration::from_millis(25);
/// Period over which the starts of the streams are spread evenly.
const START_SPREAD: Duration = Duration::from_millis(1_000);
/// Clock ticks per second of the CPU times that Linux reports in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Latency and resource use of streams on one path.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct PathCost {
    /// Time to the first token, in milliseconds: 50th and 99th percentile.
    pub first_token_ms: (f64, f64),
    /// Time between tokens beyond the step time of the engine, in milliseconds: 50th and 99th
    /// percentile.
    pub beyond_step_ms: (f64, f64),
    /// CPU time of the whole process per token, in microseconds.
    pub cpu_us_a_token: f64,
    /// Growth of the resident memory of the process per stream, in KiB.
    pub kib_a_stream: f64,
}

/// Costs of both paths and their differences.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Overhead {
    /// Streams directly from the engine.
    pub direct: PathCost,
    /// Streams through an instance.
    pub through: PathCost,
    /// Time that the instance adds to the median time to the first token, in milliseconds.
    pub added_first_token_ms: f64,
    /// Time that the instance adds to the 99th percentile of the time between tokens, in
    /// milliseconds.
    pub added_gap_p99_ms: f64,
    /// CPU time per token through an instance, divided by that of the direct path.
    pub cpu_ratio: f64,
}

/// Measures both paths in one process.
///
/// # Errors
///
/// Returns an error if the fleet can't be started or a stream is cut.
pub async fn measure() -> anyhow::Result<Overhead> {
    let fleet = Fleet::start(&fleet_config()).await?;
    let engine = fleet
        .servers
        .iter()
        .find_map(|server| match &server.backend {
            Backend::Engine(engine) => Some(engine.address()),
            Backend::Plain(_) => None,
        })
        .context("the fleet has no engine")?;
    let instance = fleet.caller_addresses()[0];
    // Warm-up run of each path, which opens the connections and loads the code.
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

fn fleet_config() -> FleetConfig {
    let hash = conf::hash_token("token");
    FleetConfig {
        data_centres: vec![DataCentre {
            name: "here".into(),
            instances: 1,
            engines: 1,
            plains: 0,
        }],
        engine: standin::engine::Settings {
            step: ENGINE_STEP,
            step_per_generation: Duration::ZERO,
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

/// Timings of one stream: time to the first token and the gaps between tokens.
type StreamTimings = (Duration, Vec<Duration>);

/// Runs all streams on one path and returns its cost.
async fn measure_path(address: SocketAddr, through_instance: bool) -> anyhow::Result<PathCost> {
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
            if through_instance {
                stream_through_instance(&client, address, marker).await
            } else {
                stream_direct(address, marker).await
            }
        });
    }
    tokio::time::sleep(START_SPREAD + ENGINE_STEP * (TOKENS_PER_STREAM / 2)).await;
    let memory_growth = resident_memory_kib() - memory;
    let mut first_tokens = Histogram::<u64>::new(3)?;
    let mut beyond_step = Histogram::<u64>::new(3)?;
    while let Some(times) = streams.join_next().await {
        let (first, gaps) = times??;
        first_tokens.record(first.as_micros() as u64)?;
        for gap in gaps {
            let excess = gap.saturating_sub(ENGINE_STEP).as_micros() as u64;
            beyond_step.record(excess.max(1))?;
        }
    }
    let tokens = STREAM_COUNT as f64 * f64::from(TOKENS_PER_STREAM);
    let ms = |histogram: &Histogram<u64>, quantile| {
        histogram.value_at_quantile(quantile) as f64 / 1_000.0
    };
    Ok(PathCost {
        first_token_ms: (ms(&first_tokens, 0.5), ms(&first_tokens, 0.99)),
        beyond_step_ms: (ms(&beyond_step, 0.5), ms(&beyond_step, 0.99)),
        cpu_us_a_token: ((cpu_seconds() - cpu) / tokens * 1e6 * 100.0).round() / 100.0,
        kib_a_stream: (memory_growth / STREAM_COUNT as f64 * 10.0).round() / 10.0,
    })
}

/// Runs one stream through an instance.
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
        "the instance cut a stream: {}",
        record.reason
    );
    Ok((
        record.time_to_first_output().unwrap_or_default(),
        record.token_gaps(),
    ))
}

/// Runs one stream directly from an engine.
async fn stream_direct(address: SocketAddr, marker: Marker) -> anyhow::Result<StreamTimings> {
    let sent_at = Instant::now();
    let prompt = marker.to_text();
    let generate = GenerateRequest {
        attempt: marker.request,
        prompt: &prompt,
        prompt_tokens: 10,
        limit: None,
        priority: 1,
        prefixes: &[],
    };
    let body = serde_json::to_vec(&generate)?;
    let opened = backend::generate(address, body).await;
    let mut lines = opened.map_err(|fault| anyhow::anyhow!("{fault:?}"))?;
    let mut times = Vec::new();
    while let Ok(Some(StreamLine::Token(_))) = lines.next().await {
        times.push(sent_at.elapsed());
    }
    anyhow::ensure!(
        times.len() == TOKENS_PER_STREAM as usize,
        "the engine cut a stream"
    );
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    Ok((times[0], gaps))
}

/// Returns the CPU time that this process has used, in seconds, or 0 if `/proc` can't be read.
pub fn cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The process name is in parentheses and may contain spaces; the numeric fields follow it.
    let after_name = text.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_PER_S
}

/// Returns the resident memory of this process, in KiB, or 0 if `/proc` can't be read.
pub fn resident_memory_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}
