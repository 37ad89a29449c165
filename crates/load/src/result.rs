//! Measurements of a run and the printed report.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::CallRecord;
use crate::caller::CallStatus;
use crate::checks::Violations;

/// Gap between two tokens beyond which the stream counts as stalled.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(150);

/// Quantiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// 50th percentile.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Measurements of a group of requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Measurements {
    /// Number of requests.
    pub requests: u64,
    /// Requests that were answered completely.
    pub answered: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests that failed or were cut.
    pub failed: u64,
    /// Stall time of each stream: the sum of its token gaps, each less [`STALL_THRESHOLD`].
    pub stall_ms: Quantiles,
    /// Stall time of all streams, in milliseconds.
    pub stall_total_ms: f64,
    /// Time between consecutive tokens of streams.
    pub token_gap_ms: Quantiles,
    /// Time to the first token of streams.
    pub first_token_ms: Quantiles,
    /// Latency of answered idempotent calls of plain services.
    pub lookup_ms: Quantiles,
    /// Latency of answered non-idempotent calls of plain services, which carry an idempotency key.
    pub mark_ms: Quantiles,
    /// Tokens of complete answers received before the end of the load. Tokens of requests that were
    /// still queued then don't count.
    pub goodput_tokens: u64,
    /// Number of refused, failed and cut requests by reason.
    pub reasons: BTreeMap<CompactString, u64>,
}

/// Result of a run, printed as JSON or as indented lines.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: CompactString,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Policy that chose the backend servers.
    pub policy: String,
    /// Violations of the guarantees.
    pub violations: Violations,
    /// Measurements of all requests.
    #[serde(flatten)]
    pub all: Measurements,
    /// Preemptions in the engines.
    pub preemptions: u64,
    /// Average number of attempts per request.
    pub attempts_a_request: f64,
    /// Lowest share of answered engine requests of any organisation, 0 to 1.
    pub least_answered_share: f64,
    /// Reads and writes of the store per second.
    pub store_calls_s: (f64, f64),
    /// Bytes of frames sent per second, averaged over the instances.
    pub frame_bytes_s: f64,
    /// Measurements before, during and after the first period in which a data centre was out of
    /// service. Empty if none was taken out.
    pub phases: BTreeMap<&'static str, Measurements>,
}

/// Returns the measurements of a group of requests. `until` is the end of the load.
pub fn measure<'a>(calls: impl Iterator<Item = &'a CallRecord>, until: Instant) -> Measurements {
    let mut measurements = Measurements::default();
    let mut stalls = new_histogram();
    let mut gaps = new_histogram();
    let mut first_tokens = new_histogram();
    let mut lookups = new_histogram();
    let mut marks = new_histogram();
    for call in calls {
        measurements.requests += 1;
        match call.status {
            CallStatus::Answered => measurements.answered += 1,
            CallStatus::Refused => measurements.refused += 1,
            CallStatus::Failed | CallStatus::Cut => measurements.failed += 1,
        }
        if call.status != CallStatus::Answered {
            *measurements.reasons.entry(call.reason.clone()).or_default() += 1;
        }
        if call.request.plain {
            let keyed = call.request.key.is_some();
            record_first_output(if keyed { &mut marks } else { &mut lookups }, call);
            continue;
        }
        if call.status == CallStatus::Answered {
            let in_time = |at: &Duration| call.sent_at + *at <= until;
            let count = call.tokens.iter().filter(|(at, _)| in_time(at)).count();
            measurements.goodput_tokens += count as u64;
        }
        if call.request.stream {
            record_first_output(&mut first_tokens, call);
            let stall = record_gaps(call, &mut gaps);
            record_duration(&mut stalls, stall);
            measurements.stall_total_ms += stall.as_secs_f64() * 1_000.0;
        }
    }
    measurements.stall_ms = quantiles(&stalls);
    measurements.token_gap_ms = quantiles(&gaps);
    measurements.first_token_ms = quantiles(&first_tokens);
    measurements.lookup_ms = quantiles(&lookups);
    measurements.mark_ms = quantiles(&marks);
    measurements
}

fn record_first_output(histogram: &mut Histogram<u64>, call: &CallRecord) {
    if let Some(delay) = call.time_to_first_output() {
        record_duration(histogram, delay);
    }
}

/// Records the token gaps of a stream and returns its stall time.
fn record_gaps(call: &CallRecord, gaps: &mut Histogram<u64>) -> Duration {
    let mut stall = Duration::ZERO;
    for gap in call.token_gaps() {
        record_duration(gaps, gap);
        stall += gap.saturating_sub(STALL_THRESHOLD);
    }
    stall
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3)
        .expect("histogram bounds 1 to 120_000_000 with 3 digits are valid")
}

fn record_duration(histogram: &mut Histogram<u64>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.max(1));
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let quantile_ms = |quantile: f64| {
        let micros = histogram.value_at_quantile(quantile);
        // `record_duration` raises zero to one microsecond, the lower bound of the histogram.
        if micros <= 1 {
            0.0
        } else {
            micros as f64 / 1_000.0
        }
    };
    Quantiles {
        p50: quantile_ms(0.5),
        p95: quantile_ms(0.95),
        p99: quantile_ms(0.99),
    }
}

/// Returns the lowest share of answered engine requests of any organisation, 1 without requests.
pub fn least_answered_share(calls: &[CallRecord]) -> f64 {
    let mut counts: BTreeMap<&CompactString, (u64, u64)> = BTreeMap::new();
    for call in calls.iter().filter(|call| !call.request.plain) {
        let count = counts.entry(&call.request.organisation).or_default();
        count.0 += u64::from(call.status == CallStatus::Answered);
        count.1 += 1;
    }
    let shares = counts
        .values()
        .map(|(answered, total)| *answered as f64 / *total as f64);
    shares.fold(1.0, f64::min)
}

/// Returns the ratios of the measurements of two policies under the same arrivals, 1 where both are
/// zero.
pub fn ratios(tested: &Report, baseline: &Report) -> BTreeMap<&'static str, f64> {
    let ratio = |tested: f64, baseline: f64| {
        let value = if baseline == 0.0 && tested == 0.0 {
            1.0
        } else {
            tested / baseline
        };
        (value * 1_000.0).round() / 1_000.0
    };
    BTreeMap::from([
        (
            "preemptions",
            ratio(tested.preemptions as f64, baseline.preemptions as f64),
        ),
        (
            "stall_p99",
            ratio(tested.all.stall_ms.p99, baseline.all.stall_ms.p99),
        ),
        (
            "stall_total",
            ratio(tested.all.stall_total_ms, baseline.all.stall_total_ms),
        ),
        (
            "token_gap_p99",
            ratio(tested.all.token_gap_ms.p99, baseline.all.token_gap_ms.p99),
        ),
        (
            "token_gap_p95",
            ratio(tested.all.token_gap_ms.p95, baseline.all.token_gap_ms.p95),
        ),
        (
            "first_token_p95",
            ratio(
                tested.all.first_token_ms.p95,
                baseline.all.first_token_ms.p95,
            ),
        ),
        (
            "lookup_p95",
            ratio(tested.all.lookup_ms.p95, baseline.all.lookup_ms.p95),
        ),
        (
            "goodput_tokens",
            ratio(
                tested.all.goodput_tokens as f64,
                baseline.all.goodput_tokens as f64,
            ),
        ),
    ])
}
