//! Violations, by what the callers and the stand-ins recorded.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use compact_str::CompactString;
use serde::Serialize;
use standin::token;

use crate::caller::CallRecord;
use crate::caller::CallStatus;
use crate::fleet::Backend;
use crate::fleet::Fleet;

/// Time after which a withdrawn data centre gets no new work.
pub const WITHDRAWAL_GRACE: Duration = Duration::from_secs(3);

/// Counts of what must not happen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct Violations {
    /// Tokens that are missing from whole answers.
    pub tokens_lost: u64,
    /// Tokens that came more than once, or from another generation.
    pub tokens_duplicated: u64,
    /// Answers that are somebody else's.
    pub answers_crossed: u64,
    /// Refusals of requests that were run.
    pub refusals_untrue: u64,
    /// Runs of requests that must not run twice, beyond the first.
    pub repeated_runs: u64,
    /// Work that began in a data centre three seconds after it was taken out.
    pub work_after_withdrawal: u64,
    /// Times that a cold server had more than it bears.
    pub over_cold_limit: u64,
    /// Requests cut by a graceful shutdown.
    pub cut_by_shutdown: u64,
    /// Times that an instance's configuration went back.
    pub config_reverted: u64,
}

impl Violations {
    /// Returns the sum of all counts.
    pub fn total(&self) -> u64 {
        self.tokens_lost
            + self.tokens_duplicated
            + self.answers_crossed
            + self.refusals_untrue
            + self.repeated_runs
            + self.work_after_withdrawal
            + self.over_cold_limit
            + self.cut_by_shutdown
            + self.config_reverted
    }
}

/// What the stand-ins recorded.
#[derive(Clone, Debug, Default)]
pub struct BackendRecords {
    /// Starts: time, data centre, request, generation.
    pub starts: Vec<(Duration, CompactString, u64, u64)>,
    /// Times that a cold server had more than it bears.
    pub over_cold_limit: u64,
    /// Preemptions.
    pub preemptions: u64,
    /// Tokens generated.
    pub tokens: u64,
}

/// A time in which a data centre was out.
#[derive(Clone, Debug)]
pub struct Withdrawal {
    /// The data centre.
    pub data_centre: CompactString,
    /// When the command to take it out was accepted.
    pub from: Duration,
    /// When the command to bring it back was sent.
    pub until: Option<Duration>,
}

/// Returns what the stand-ins of a fleet recorded.
pub fn collect_records(fleet: &Fleet) -> BackendRecords {
    let mut records = BackendRecords::default();
    for server in &fleet.servers {
        let data_centre = &server.data_centre;
        match &server.backend {
            Backend::Engine(engine) => engine.with(|engine| {
                let record = &engine.record;
                let starts = record.starts.iter();
                records.starts.extend(
                    starts.map(|(at, request, id)| (*at, data_centre.clone(), *request, *id)),
                );
                records.over_cold_limit += record.over_cold;
                records.preemptions += record.preemptions;
                records.tokens += record.tokens;
            }),
            Backend::Plain(plain) => plain.with(|plain| {
                let starts = plain.record.starts.iter();
                records
                    .starts
                    .extend(starts.map(|(at, request)| (*at, data_centre.clone(), *request, 0)));
                records.over_cold_limit += plain.record.over_cold;
            }),
        }
    }
    records
}

/// Returns the violations that callers' and stand-ins' records show.
pub fn count_violations(
    calls: &[CallRecord],
    records: &BackendRecords,
    withdrawals: &[Withdrawal],
    graceful: bool,
    config_reverted: u64,
) -> Violations {
    let mut violations = Violations {
        over_cold_limit: records.over_cold_limit,
        config_reverted,
        ..Violations::default()
    };
    let mut generations: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for (_, _, request, generation) in &records.starts {
        generations.entry(*request).or_default().push(*generation);
    }
    let mut sends: BTreeMap<u64, u64> = BTreeMap::new();
    for call in calls {
        *sends.entry(call.request.marker.request).or_default() += 1;
    }
    for call in calls {
        let request = call.request.marker.request;
        let starts = generations
            .get(&request)
            .map(Vec::as_slice)
            .unwrap_or_default();
        if !call.request.plain {
            check_tokens(call, starts, &mut violations);
        }
        // Of a request that was sent more than once, another sending may have run.
        if call.status == CallStatus::Refused && sends[&request] == 1 && !starts.is_empty() {
            violations.refusals_untrue += 1;
        }
        let cut = matches!(call.status, CallStatus::Cut | CallStatus::Failed);
        violations.cut_by_shutdown += u64::from(graceful && cut);
    }
    let keyed_requests: BTreeSet<u64> = calls
        .iter()
        .filter(|call| call.request.key.is_some())
        .map(|call| call.request.marker.request)
        .collect();
    for request in keyed_requests {
        let runs = generations.get(&request).map_or(0, Vec::len) as u64;
        violations.repeated_runs += runs.saturating_sub(1);
    }
    violations.work_after_withdrawal = count_late_starts(records, withdrawals);
    violations
}

/// Compares an answer with each generation that it may be of, and counts what differs from the
/// nearest one.
fn check_tokens(call: &CallRecord, generations: &[u64], violations: &mut Violations) {
    let marker = &call.request.marker;
    let sources: Vec<u64> = if marker.sampled {
        generations.to_vec()
    } else {
        vec![0]
    };
    let matches = |generation: &u64| {
        call.tokens
            .iter()
            .enumerate()
            .all(|(index, (_, text))| *text == token::text(marker, *generation, index as u32))
    };
    let length = marker.length as usize;
    let count = call.tokens.len();
    let one_generation = sources.iter().any(matches) || count == 0;
    if call.status == CallStatus::Answered && count < length {
        violations.tokens_lost += (length - count) as u64;
    }
    if count > length {
        violations.tokens_duplicated += (count - length) as u64;
    } else if !one_generation {
        let belongs = |text: &CompactString| {
            sources.iter().any(|generation| {
                (0..marker.length).any(|index| *text == token::text(marker, *generation, index))
            })
        };
        let foreign = call
            .tokens
            .iter()
            .filter(|(_, text)| !belongs(text))
            .count();
        if foreign > 0 {
            violations.answers_crossed += 1;
        } else {
            violations.tokens_duplicated += 1;
        }
    }
}

fn count_late_starts(records: &BackendRecords, withdrawals: &[Withdrawal]) -> u64 {
    let is_late = |at: Duration, data_centre: &CompactString| {
        withdrawals.iter().any(|withdrawal| {
            withdrawal.data_centre == *data_centre
                && at > withdrawal.from + WITHDRAWAL_GRACE
                && withdrawal.until.is_none_or(|until| at < until)
        })
    };
    let late = records
        .starts
        .iter()
        .filter(|(at, data_centre, _, _)| is_late(*at, data_centre));
    late.count() as u64
}

#[cfg(test)]
mod tests {
    use std::time::Instant;

    use standin::token::Marker;

    use super::*;
    use crate::caller::RequestSpec;

    fn call_record(request: u64, length: u32, status: CallStatus) -> CallRecord {
        let marker = Marker {
            request,
            length,
            ..Marker::default()
        };
        let tokens = (0..length)
            .map(|index| (Duration::ZERO, token::text(&marker, 0, index)))
            .collect();
        CallRecord {
            request: RequestSpec {
                marker,
                route: "letter".into(),
                token: "t".into(),
                organisation: "o".into(),
                plain: false,
                stream: true,
                key: None,
                preamble: String::new(),
                filler: String::new(),
            },
            sent_at: Instant::now(),
            status,
            reason: CompactString::default(),
            tokens,
            duration: Duration::ZERO,
        }
    }

    fn start_at(at_s: u64, request: u64) -> (Duration, CompactString, u64, u64) {
        (Duration::from_secs(at_s), "east".into(), request, 1)
    }

    fn count(call: CallRecord, records: &BackendRecords, withdrawals: &[Withdrawal]) -> Violations {
        count_violations(&[call], records, withdrawals, false, 0)
    }

    #[test]
    fn a_good_answer_is_no_violation() {
        let records = BackendRecords {
            starts: vec![start_at(1, 1)],
            ..BackendRecords::default()
        };
        let violations = count(call_record(1, 9, CallStatus::Answered), &records, &[]);
        assert_eq!(violations, Violations::default());
    }

    /// Each of the violations is made on purpose and must be counted.
    #[test]
    fn every_violation_is_counted() {
        let records = BackendRecords {
            starts: vec![start_at(1, 1)],
            ..BackendRecords::default()
        };
        let mut lost = call_record(1, 9, CallStatus::Answered);
        lost.tokens.pop();
        assert_eq!(count(lost, &records, &[]).tokens_lost, 1);

        let mut doubled = call_record(1, 9, CallStatus::Answered);
        doubled.tokens[4] = doubled.tokens[3].clone();
        assert_eq!(count(doubled, &records, &[]).tokens_duplicated, 1);
        let mut longer = call_record(1, 9, CallStatus::Answered);
        longer.tokens.push(longer.tokens[0].clone());
        assert_eq!(count(longer, &records, &[]).tokens_duplicated, 1);

        let mut crossed = call_record(1, 9, CallStatus::Answered);
        crossed.tokens = call_record(2, 9, CallStatus::Answered).tokens;
        assert_eq!(count(crossed, &records, &[]).answers_crossed, 1);

        let refused = count(call_record(1, 0, CallStatus::Refused), &records, &[]);
        assert_eq!(refused.refusals_untrue, 1);

        let mut mark = call_record(1, 0, CallStatus::Answered);
        mark.request.plain = true;
        mark.request.key = Some("k".into());
        let twice = BackendRecords {
            starts: vec![start_at(1, 1), start_at(2, 1)],
            ..BackendRecords::default()
        };
        assert_eq!(count(mark, &twice, &[]).repeated_runs, 1);

        let withdrawal = Withdrawal {
            data_centre: "east".into(),
            from: Duration::from_secs(1),
            until: Some(Duration::from_secs(20)),
        };
        let late = BackendRecords {
            starts: vec![start_at(3, 1), start_at(5, 1), start_at(21, 1)],
            ..BackendRecords::default()
        };
        let violations = count(
            call_record(1, 9, CallStatus::Answered),
            &late,
            &[withdrawal],
        );
        assert_eq!(violations.work_after_withdrawal, 1);

        let cold = BackendRecords {
            over_cold_limit: 2,
            ..BackendRecords::default()
        };
        assert_eq!(
            count(call_record(1, 9, CallStatus::Answered), &cold, &[]).over_cold_limit,
            2
        );
        let cut = count_violations(
            &[call_record(1, 0, CallStatus::Cut)],
            &records,
            &[],
            true,
            3,
        );
        assert_eq!((cut.cut_by_shutdown, cut.config_reverted), (1, 3));
    }
}
