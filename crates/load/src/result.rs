//! Measures.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::caller::End;
use crate::caller::Seen;
use crate::judge::Violations;

/// Gap between two tokens beyond which a stream stands still.
pub const STALL: Duration = Duration::from_millis(150);

/// Quantiles of a duration, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 95 in 100.
    pub p95: f64,
    /// 99 in 100.
    pub p99: f64,
}

/// What one group of requests saw.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Measures {
    /// Requests.
    pub requests: u64,
    /// Those that were answered.
    pub answered: u64,
    /// Those that were refused.
    pub refused: u64,
    /// Those that failed or were cut.
    pub failed: u64,
    /// Time for which each answered stream stood still between tokens.
    pub stall_ms: Quantiles,
    /// The sum of that.
    pub stall_total_ms: f64,
    /// Times between tokens.
    pub token_gap_ms: Quantiles,
    /// Time to the first token of streamed answers.
    pub first_token_ms: Quantiles,
    /// Time of idempotent calls of plain services.
    pub lookup_ms: Quantiles,
    /// Time of calls of plain services that must not run twice.
    pub mark_ms: Quantiles,
    /// Tokens of whole answers that came while the load lasted. What a policy still has in its queues
    /// then does not count for it.
    pub goodput_tokens: u64,
    /// Reasons of refusals and failures.
    pub reasons: BTreeMap<CompactString, u64>,
}

/// What is printed.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Scenario.
    pub scenario: CompactString,
    /// Seed.
    pub seed: u64,
    /// Policy.
    pub policy: String,
    /// What must not have happened.
    pub violations: Violations,
    /// All requests.
    #[serde(flatten)]
    pub all: Measures,
    /// Preemptions in the engines.
    pub preemptions: u64,
    /// Attempts for each request.
    pub attempts_a_request: f64,
    /// Answered share of the least served organisation.
    pub least_answered_share: f64,
    /// Calls to the store a second: reads, writes.
    pub store_calls_s: (f64, f64),
    /// Bytes of frames an instance sent a second.
    pub frame_bytes_s: f64,
    /// Requests before, during and after the absence of a data centre.
    pub phases: BTreeMap<&'static str, Measures>,
}

/// Measures a group of requests of a load that lasted until a moment.
pub fn measure<'a>(seen: impl Iterator<Item = &'a Seen>, until: Instant) -> Measures {
    let mut measures = Measures::default();
    let mut stalls = empty();
    let mut gaps = empty();
    let mut firsts = empty();
    let mut lookups = empty();
    let mut marks = empty();
    for one in seen {
        measures.requests += 1;
        match one.end {
            End::Answered => measures.answered += 1,
            End::Refused => measures.refused += 1,
            End::Failed | End::Cut => measures.failed += 1,
        }
        if one.end != End::Answered {
            *measures.reasons.entry(one.reason.clone()).or_default() += 1;
        }
        if one.ask.plain {
            let keyed = one.ask.key.is_some();
            record_first(if keyed { &mut marks } else { &mut lookups }, one);
            continue;
        }
        if one.end == End::Answered {
            let in_time = |at: &Duration| one.sent + *at <= until;
            let count = one.tokens.iter().filter(|(at, _)| in_time(at)).count();
            measures.goodput_tokens += count as u64;
        }
        if one.ask.stream {
            record_first(&mut firsts, one);
            let stall = record_gaps(one, &mut gaps);
            record(&mut stalls, stall);
            measures.stall_total_ms += stall.as_secs_f64() * 1_000.0;
        }
    }
    measures.stall_ms = quantiles(&stalls);
    measures.token_gap_ms = quantiles(&gaps);
    measures.first_token_ms = quantiles(&firsts);
    measures.lookup_ms = quantiles(&lookups);
    measures.mark_ms = quantiles(&marks);
    measures
}

fn record_first(histogram: &mut Histogram<u64>, seen: &Seen) {
    if let Some(first) = seen.first() {
        record(histogram, first);
    }
}

/// Notes the gaps of a stream, and returns for how long it stood still.
fn record_gaps(seen: &Seen, gaps: &mut Histogram<u64>) -> Duration {
    let mut stall = Duration::ZERO;
    for gap in seen.gaps() {
        record(gaps, gap);
        stall += gap.saturating_sub(STALL);
    }
    stall
}

fn empty() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("the bounds are good")
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.max(1));
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |share: f64| {
        let micros = histogram.value_at_quantile(share);
        // A quantile of one microsecond stands for zero.
        if micros <= 1 {
            0.0
        } else {
            micros as f64 / 1_000.0
        }
    };
    Quantiles {
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

/// Returns the answered share of the organisation with the least.
pub fn least_answered_share(seen: &[Seen]) -> f64 {
    let mut counts: BTreeMap<&CompactString, (u64, u64)> = BTreeMap::new();
    for one in seen.iter().filter(|one| !one.ask.plain) {
        let count = counts.entry(&one.ask.organisation).or_default();
        count.0 += u64::from(one.end == End::Answered);
        count.1 += 1;
    }
    let shares = counts
        .values()
        .map(|(good, all)| *good as f64 / *all as f64);
    shares.fold(1.0, f64::min)
}

/// Returns the ratios of the measures of two policies under the same arrivals.
pub fn ratios(own: &Outcome, other: &Outcome) -> BTreeMap<&'static str, f64> {
    let ratio = |own: f64, other: f64| {
        let value = if other == 0.0 && own == 0.0 {
            1.0
        } else {
            own / other
        };
        (value * 1_000.0).round() / 1_000.0
    };
    BTreeMap::from([
        (
            "preemptions",
            ratio(own.preemptions as f64, other.preemptions as f64),
        ),
        (
            "stall_p99",
            ratio(own.all.stall_ms.p99, other.all.stall_ms.p99),
        ),
        (
            "stall_total",
            ratio(own.all.stall_total_ms, other.all.stall_total_ms),
        ),
        (
            "token_gap_p99",
            ratio(own.all.token_gap_ms.p99, other.all.token_gap_ms.p99),
        ),
        (
            "token_gap_p95",
            ratio(own.all.token_gap_ms.p95, other.all.token_gap_ms.p95),
        ),
        (
            "first_token_p95",
            ratio(own.all.first_token_ms.p95, other.all.first_token_ms.p95),
        ),
        (
            "lookup_p95",
            ratio(own.all.lookup_ms.p95, other.all.lookup_ms.p95),
        ),
        (
            "goodput_tokens",
            ratio(
                own.all.goodput_tokens as f64,
                other.all.goodput_tokens as f64,
            ),
        ),
    ])
}
