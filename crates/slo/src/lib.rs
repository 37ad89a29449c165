//! Service-level objectives and how fast they burn.
//!
//! # Overview
//!
//! Each request that ends is counted against three objectives of its route: first token in time,
//! tokens without gaps, success. A [`Meter`] keeps the counts of one instance in rings of buckets;
//! [`Snapshot`]s of several instances are added up; [`report::lines`] turns the sum into burn rates
//! over several windows and an alarm, after the multi-window, multi-burn-rate method of "The Site
//! Reliability Workbook" (Google, 2018, chapter 5).
//!
//! A burn rate of one uses up the budget of bad requests exactly over the objective's period of
//! thirty days. An alarm needs the rate over a long window, so that it is worth acting on, and over
//! a short one, so that it ends soon after its cause.
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
//! - [`report`]: rates, alarms, forecast.
//! - [`plot`]: one picture of a report.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;

pub mod plot;
pub mod report;

/// Bucket widths and counts of the rings: five minutes, one hour, six hours.
const RINGS: [(Duration, usize); WINDOWS] = [
    (Duration::from_secs(5), 60),
    (Duration::from_secs(60), 60),
    (Duration::from_secs(300), 72),
];
/// Number of windows.
pub const WINDOWS: usize = 3;
/// Names of the windows, shortest first.
pub const WINDOW_NAMES: [&str; WINDOWS] = ["5m", "1h", "6h"];
/// Most pairs of route and organisation that are kept apart; later ones share a series.
const SERIES_MAX: usize = 2_048;
/// Name under which organisations beyond that are counted.
const OTHERS: &str = "others";
/// Most places of bad requests that are kept of one series.
const PLACES_MAX: usize = 16;

/// How one request did.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sample {
    /// Its first token came too late.
    pub late_first_token: bool,
    /// Its tokens came with gaps that were too long.
    pub gaps: bool,
    /// It did not end well, by the system's fault.
    pub failed: bool,
}

/// Counts of requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// All of them.
    pub total: u64,
    /// Those with a late first token.
    pub late: u64,
    /// Those with gaps.
    pub gaps: u64,
    /// Those that failed.
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

/// The counts of one instance.
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

/// The counts of one or several instances.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Snapshot {
    /// By route and organisation.
    pub series: Vec<Series>,
    /// Instances that could not be asked.
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
    /// Data centres and backend servers of the bad requests, with their numbers.
    pub places: BTreeMap<CompactString, u64>,
}

impl Meter {
    /// Counts a request that has ended. The place is where it ran.
    pub fn record(
        &mut self,
        now: Time,
        route: &str,
        organisation: &str,
        place: &str,
        sample: Sample,
    ) {
        let mut pair = (route.into(), CompactString::from(organisation));
        if self.series.len() >= SERIES_MAX && !self.series.contains_key(&pair) {
            pair.1 = OTHERS.into();
        }
        let series = self.series.entry(pair).or_default();
        for (ring, (width, count)) in series.rings.iter_mut().zip(RINGS) {
            ring.record(now, width, count, sample);
        }
        if sample != Sample::default() {
            series.record_place(place);
        }
    }

    /// Returns the counts over all windows.
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
            OTHERS
        } else {
            place
        };
        *self.places.entry(place.into()).or_default() += 1;
    }
}

impl Ring {
    fn record(&mut self, now: Time, width: Duration, count: usize, sample: Sample) {
        let number = bucket(now, width);
        self.buckets.entry(number).or_default().record(sample);
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
    /// Adds the counts of another instance.
    pub fn merge(&mut self, other: Snapshot) {
        for line in other.series {
            let known = self
                .series
                .iter_mut()
                .find(|own| own.route == line.route && own.organisation == line.organisation);
            let Some(own) = known else {
                self.series.push(line);
                continue;
            };
            for (sum, more) in own.windows.iter_mut().zip(&line.windows) {
                sum.add(more);
            }
            for (place, count) in line.places {
                *own.places.entry(place).or_default() += count;
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
    fn windows_forget_what_is_older() {
        let mut meter = Meter::default();
        meter.record(Duration::from_secs(10), "r", "o", "e1", BAD);
        let windows = meter.snapshot(Duration::from_secs(1_000)).series[0].windows;
        assert_eq!(windows.map(|counts| counts.failed), [0, 1, 1]);
        let windows = meter.snapshot(Duration::from_secs(30_000)).series[0].windows;
        assert_eq!(windows.map(|counts| counts.failed), [0, 0, 0]);
    }

    #[test]
    fn snapshots_add_up() {
        let mut meter = Meter::default();
        meter.record(Duration::from_secs(10), "r", "o", "e1", BAD);
        let mut sum = meter.snapshot(Duration::from_secs(11));
        sum.merge(meter.snapshot(Duration::from_secs(11)));
        assert_eq!(sum.series[0].windows[0].failed, 2);
        assert_eq!(sum.series[0].places["e1"], 2);
    }

    #[test]
    fn series_are_bounded() {
        let mut meter = Meter::default();
        for index in 0..SERIES_MAX + 500 {
            meter.record(Duration::from_secs(1), "r", &index.to_string(), "e", BAD);
        }
        assert_eq!(meter.series.len(), SERIES_MAX + 1);
    }
}
