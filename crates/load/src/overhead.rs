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
use crate::caller::Ask;
use crate::fleet::Backend;
use crate::fleet::Centre;
use crate::fleet::Fleet;
use crate::fleet::Plan;

/// Streams at once.
const STREAMS: u64 = 200;
/// Tokens of each.
const TOKENS: u32 = 200;
/// Time of one step of the engine, whatever its batch.
const STEP: Duration = Duration::from_millis(25);
/// Time over which the streams begin.
const SPREAD: Duration = Duration::from_millis(1_000);
/// Ticks of the processor's time in a second, as Linux counts it.
const TICKS_S: f64 = 100.0;

/// What one way of going costs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Way {
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
    pub direct: Way,
    /// Through an instance.
    pub through: Way,
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
    run(instance, true).await?;
    run(engine, false).await?;
    let through = run(instance, true).await?;
    let direct = run(engine, false).await?;
    fleet.stop().await;
    let rounded = |value: f64| (value * 1_000.0).round() / 1_000.0;
    Ok(Overhead {
        added_first_token_ms: rounded(through.first_token_ms.0 - direct.first_token_ms.0),
        added_gap_p99_ms: rounded(through.beyond_step_ms.1 - direct.beyond_step_ms.1),
        cpu_ratio: rounded(through.cpu_us_a_token / direct.cpu_us_a_token),
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
            step: STEP,
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
type Times = (Duration, Vec<Duration>);

async fn run(address: SocketAddr, through: bool) -> anyhow::Result<Way> {
    let client = http::client(true);
    let memory = memory_kib();
    let cpu = cpu_s();
    let mut streams = JoinSet::new();
    for number in 0..STREAMS {
        let client = client.clone();
        streams.spawn(async move {
            tokio::time::sleep(SPREAD.mul_f64(number as f64 / STREAMS as f64)).await;
            let marker = Marker {
                request: fastrand::u64(..),
                length: TOKENS,
                ..Marker::default()
            };
            if through {
                through_instance(&client, address, marker).await
            } else {
                straight(&client, address, marker).await
            }
        });
    }
    tokio::time::sleep(SPREAD + STEP * (TOKENS / 2)).await;
    let gained = memory_kib() - memory;
    let mut firsts = Histogram::<u64>::new(3)?;
    let mut beyond = Histogram::<u64>::new(3)?;
    while let Some(times) = streams.join_next().await {
        let (first, gaps) = times??;
        firsts.record(first.as_micros() as u64)?;
        for gap in gaps {
            let late = gap.saturating_sub(STEP).as_micros() as u64;
            beyond.record(late.max(1))?;
        }
    }
    let tokens = STREAMS as f64 * f64::from(TOKENS);
    let ms =
        |histogram: &Histogram<u64>, share| histogram.value_at_quantile(share) as f64 / 1_000.0;
    Ok(Way {
        first_token_ms: (ms(&firsts, 0.5), ms(&firsts, 0.99)),
        beyond_step_ms: (ms(&beyond, 0.5), ms(&beyond, 0.99)),
        cpu_us_a_token: ((cpu_s() - cpu) / tokens * 1e6 * 100.0).round() / 100.0,
        kib_a_stream: (gained / STREAMS as f64 * 10.0).round() / 10.0,
    })
}

async fn through_instance(
    client: &HttpClient,
    address: SocketAddr,
    marker: Marker,
) -> anyhow::Result<Times> {
    let ask = Ask {
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
    let seen = caller::call(client, address, ask).await;
    anyhow::ensure!(seen.tokens.len() == TOKENS as usize, "cut: {}", seen.reason);
    Ok((seen.first().unwrap_or_default(), seen.gaps()))
}

async fn straight(
    client: &HttpClient,
    address: SocketAddr,
    marker: Marker,
) -> anyhow::Result<Times> {
    let sent = Instant::now();
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
        times.push(sent.elapsed());
    }
    anyhow::ensure!(times.len() == TOKENS as usize, "the engine cut a stream");
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    Ok((times[0], gaps))
}

/// Returns the processor time of this process so far, in seconds.
pub fn cpu_s() -> f64 {
    let text = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The name of the process may hold spaces; the numbers come after its bracket.
    let after = text.rsplit(')').next().unwrap_or("");
    let fields: Vec<&str> = after.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<f64>().ok())
    };
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / TICKS_S
}

/// Returns the memory that this process holds, in KiB.
pub fn memory_kib() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).unwrap_or(0.0)
}
