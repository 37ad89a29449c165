//! Service-level objectives and burn rates of their error budgets.
//!
//! # Overview
//!
//! Each request that ends is counted against three objectives of its route: the time to the first
//! token, the gaps between tokens, and success. A [`Meter`] keeps the counts of one instance in
//! rings of buckets. The [`Snapshot`]s of several instances are merged, and [`report::burn_rates`]
//! computes burn rates over several windows and alarms from the result, with the multi-window,
//! multi-burn-rate method of "The Site Reliability Workbook" (Google, 2018, chapter 5).
//!
//! A burn rate of one consumes the error budget exactly over the objective's period of thirty days.
//! An alarm requires a high rate over a long window, so that the problem is significant, and over a
//! short window, so that the alarm ends soon after the problem does.
//!
//! ```
//! use std::time::Duration;
//!
//! use slo::Meter;
//! use slo::Sample;
//!
//! let mut meter = Meter::default();
//! let sample = Sample { late_first_token: true, gaps: false, failed: false };
//! meter.record(Duration::from_secs(1), "letters", "signs", "east", sample);
//! let snapshot = meter.snapshot(Duration::from_secs(2));
//! assert_eq!(snapshot.series[0].windows[0].late, 1);
//! ```
//!
//! # Modules
//!
//! - [`report`]: burn rates, alarms and the forecast of the error budget.
//! - [`plot`]: a bar chart of burn rates.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

pub mod plot;
pub mod report;

/// Bucket width and number of buckets of each window's ring: five minutes, one hour and six hours.
const RINGS: [(Duration, usize); WINDOWS] = [
    (Duration::from_secs(5), 60),
    (Duration::from_secs(60), 60),
    (Duration::from_secs(300), 72),
];
/// Number of windows over which requests are counted.
pub const WINDOWS: usize = 3;
/// Names of the windows, shortest first.
pub const WINDOW_NAMES: [&str; WINDOWS] = ["5m", "1h", "6h"];
/// Maximum number of pairs of route and organisation with a series of their own. Further pairs
/// share one series per route.
const SERIES_MAX: usize = 2_048;
/// Name under which further organisations and places are counted once a limit is reached.
const OTHERS_NAME: &str = "others";
/// Maximum number of places with a count of their own in one series.
const PLACES_MAX: usize = 16;

/// Which objectives one request missed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// The first token arrived later than the objective allows.
    pub late_first_token: bool,
    /// A gap between tokens was longer than the objective allows.
    pub gaps: bool,
    /// The request failed through a fault of the system rather than of the caller.
    pub failed: bool,
}

/// Numbers of requests by missed objective.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// All requests.
    pub total: u64,
    /// Requests with a late first token.
    pub late: u64,
    /// Requests with too long gaps between tokens.
    pub gaps: u64,
    /// Failed requests.
    pub failed: u64,
}

impl Counts {
    fn add(&mut self, other: &Counts) {
        self.total += other.total;
        self.late += other.late;
        self.gaps += other.gaps;
        self.failed += other.failed;
    }

    fn record(&mut self, sample: Sample) {
        self.add(&Counts {
            total: 1,
            late: sample.late_first_token.into(),
            gaps: sample.gaps.into(),
            failed: sample.failed.into(),
        });
    }
}

/// Counts the ended requests of one instance by route and organisation.
#[derive(Debug, Default)]
pub struct Meter {
    series: BTreeMap<(CompactString, CompactString), SeriesCounter>,
}

#[derive(Debug, Default)]
struct SeriesCounter {
    rings: [Ring; WINDOWS],
    places: BTreeMap<CompactString, u64>,
}

#[derive(Debug, Default)]
struct Ring {
    buckets: BTreeMap<u64, Counts>,
}

/// The counts of one or more instances over all windows.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// Counts by route and organisation.
    pub series: Vec<Series>,
    /// Names of the instances that could not be queried, whose counts are not included.
    pub missing: Vec<CompactString>,
}

/// The counts of one route and organisation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Series {
    /// The route.
    pub route: CompactString,
    /// The organisation.
    pub organisation: CompactString,
    /// Counts over each window, shortest first.
    pub windows: [Counts; WINDOWS],
    /// Number of bad requests by the data centre or backend server where they ran, since the
    /// instance started.
    pub places: BTreeMap<CompactString, u64>,
}

impl Meter {
    /// Counts a request that has ended. `place` is the data centre or backend server where it ran.
    pub fn record(
        &mut self,
        now: Time,
        route: &str,
        organisation: &str,
        place: &str,
        sample: Sample,
    ) {
        let mut key = (route.into(), CompactString::from(organisation));
        if self.series.len() >= SERIES_MAX && !self.series.contains_key(&key) {
            key.1 = OTHERS_NAME.into();
        }
        let series = self.series.entry(key).or_default();
        for (ring, (width, count)) in series.rings.iter_mut().zip(RINGS) {
            ring.record(now, width, count, sample);
        }
        if sample != Sample::default() {
            series.record_place(place);
        }
    }

    /// Returns the counts over each window that ends at `now`.
    pub fn snapshot(&self, now: Time) -> Snapshot {
        let series = self
            .series
            .iter()
            .map(|((route, organisation), series)| Series {
                route: route.clone(),
                organisation: organisation.clone(),
                windows: std::array::from_fn(|index| series.rings[index].sum(now, RINGS[index])),
                places: series.places.clone(),
            })
            .collect();
        Snapshot {
            series,
            missing: Vec::new(),
        }
    }
}

impl SeriesCounter {
    fn record_place(&mut self, place: &str) {
        let place = if self.places.len() >= PLACES_MAX && !self.places.contains_key(place) {
            OTHERS_NAME
        } else {
            place
        };
        *self.places.entry(place.into()).or_default() += 1;
    }
}

impl Ring {
    fn record(&mut self, now: Time, width: Duration, count: usize, sample: Sample) {
        let bucket_number = bucket(now, width);
        self.buckets
            .entry(bucket_number)
            .or_default()
            .record(sample);
        while self.buckets.len() > count {
            self.buckets.pop_first();
        }
    }

    fn sum(&self, now: Time, (width, count): (Duration, usize)) -> Counts {
        let last = bucket(now, width);
        let first = (last + 1).saturating_sub(count as u64);
        let mut sum = Counts::default();
        for counts in self.buckets.range(first..=last).map(|(_, counts)| counts) {
            sum.add(counts);
        }
        sum
    }
}

fn bucket(now: Time, width: Duration) -> u64 {
    now.as_secs() / width.as_secs()
}

impl Snapshot {
    /// Adds the counts of other instances.
    pub fn merge(&mut self, other: Snapshot) {
        for addend in other.series {
            let found = self.series.iter_mut().find(|existing| {
                existing.route == addend.route && existing.organisation == addend.organisation
            });
            let Some(existing) = found else {
                self.series.push(addend);
                continue;
            };
            for (sum, counts) in existing.windows.iter_mut().zip(&addend.windows) {
                sum.add(counts);
            }
            for (place, count) in addend.places {
                *existing.places.entry(place).or_default() += count;
            }
        }
        self.missing.extend(other.missing);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const BAD: Sample = Sample {
        late_first_token: false,
        gaps: false,
        failed: true,
    };

    #[test]
    fn windows_exclude_older_requests() {
        let mut meter = Meter::default();
        meter.record(Duration::from_secs(10), "r", "o", "e1", BAD);
        let windows = meter.snapshot(Duration::from_secs(1_000)).series[0].windows;
        assert_eq!(windows.map(|counts| counts.failed), [0, 1, 1]);
        let windows = meter.snapshot(Duration::from_secs(30_000)).series[0].windows;
        assert_eq!(windows.map(|counts| counts.failed), [0, 0, 0]);
    }

    #[test]
    fn merged_snapshots_add_up() {
        let mut meter = Meter::default();
        meter.record(Duration::from_secs(10), "r", "o", "e1", BAD);
        let mut sum = meter.snapshot(Duration::from_secs(11));
        sum.merge(meter.snapshot(Duration::from_secs(11)));
        assert_eq!(sum.series[0].windows[0].failed, 2);
        assert_eq!(sum.series[0].places["e1"], 2);
    }

    #[test]
    fn number_of_series_is_bounded() {
        let mut meter = Meter::default();
        for index in 0..SERIES_MAX + 500 {
            meter.record(Duration::from_secs(1), "r", &index.to_string(), "e", BAD);
        }
        assert_eq!(meter.series.len(), SERIES_MAX + 1);
    }
}
