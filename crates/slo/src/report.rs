//! Burn rates, alarms and the forecast of the error budget.

use std::time::Duration;

use compact_str::CompactString;
use conf::Config;
use query::table::Table;
use serde::Deserialize;
use serde::Serialize;

use crate::Counts;
use crate::Series;
use crate::Snapshot;
use crate::WINDOWS;

/// Period over which an objective's error budget is counted.
const PERIOD: Duration = Duration::from_secs(30 * 86_400);
/// Burn rate from which an alarm pages: it consumes 2 % of the budget in one hour.
const PAGE_BURN_RATE: f64 = 14.4;
/// Burn rate from which an alarm opens a ticket: it consumes 5 % of the budget in six hours.
const TICKET_BURN_RATE: f64 = 6.0;
/// Minimum number of bad requests in the shortest window that raises an alarm.
const BAD_REQUESTS_MIN: u64 = 3;

/// Kind of a service-level objective.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectiveKind {
    /// The first token arrives within the time limit.
    FirstToken,
    /// No gap between tokens exceeds the limit.
    TokenGap,
    /// The request succeeds.
    Success,
}

impl ObjectiveKind {
    /// All kinds.
    pub const ALL: [ObjectiveKind; 3] = [
        ObjectiveKind::FirstToken,
        ObjectiveKind::TokenGap,
        ObjectiveKind::Success,
    ];

    /// Returns the name of the kind that tables show.
    pub fn as_str(self) -> &'static str {
        match self {
            ObjectiveKind::FirstToken => "first-token",
            ObjectiveKind::TokenGap => "token-gap",
            ObjectiveKind::Success => "success",
        }
    }

    fn bad_requests(self, counts: &Counts) -> u64 {
        match self {
            ObjectiveKind::FirstToken => counts.late,
            ObjectiveKind::TokenGap => counts.gaps,
            ObjectiveKind::Success => counts.failed,
        }
    }
}

/// Urgency of a burn rate.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alarm {
    /// No action is needed.
    None,
    /// An operator should investigate within the day.
    Ticket,
    /// An operator must act at once, also at night.
    Page,
}

/// Burn rates of one objective of one route and organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnRate {
    /// The route.
    pub route: CompactString,
    /// The organisation.
    pub organisation: CompactString,
    /// Kind of the objective.
    pub aspect: ObjectiveKind,
    /// Burn rates over each window, shortest first.
    pub rates: [f64; WINDOWS],
    /// Number of requests in the longest window.
    pub requests: u64,
    /// Urgency of the burn rates.
    pub alarm: Alarm,
    /// Hours until a full budget is consumed at the burn rate of the middle window, or `None` if
    /// that rate is zero.
    pub hours_left: Option<f64>,
    /// The place where the most bad requests ran, or empty if there were none in the longest
    /// window.
    pub place: CompactString,
}

/// Returns the burn rates of all objectives in a snapshot, the most urgent first.
pub fn burn_rates(snapshot: &Snapshot, config: &Config) -> Vec<BurnRate> {
    let mut burn_rates: Vec<BurnRate> = snapshot
        .series
        .iter()
        .flat_map(|series| ObjectiveKind::ALL.map(|aspect| burn_rate(series, aspect, config)))
        .collect();
    burn_rates.sort_by(|a, b| {
        b.alarm
            .cmp(&a.alarm)
            .then(b.rates[1].total_cmp(&a.rates[1]))
    });
    burn_rates
}

fn burn_rate(series: &Series, aspect: ObjectiveKind, config: &Config) -> BurnRate {
    let objective = config
        .routes
        .get(&series.route)
        .map(|route| route.objective)
        .unwrap_or_default();
    let allowed = 1.0 - objective.share;
    let rates = series.windows.map(|counts| {
        let bad = aspect.bad_requests(&counts) as f64 / counts.total.max(1) as f64;
        bad / allowed
    });
    let worst = series.places.iter().max_by_key(|(_, count)| **count);
    let has_bad_requests = rates[WINDOWS - 1] > 0.0;
    let place = worst
        .filter(|_| has_bad_requests)
        .map(|(place, _)| place.clone());
    let period_hours = PERIOD.as_secs_f64() / 3_600.0;
    BurnRate {
        route: series.route.clone(),
        organisation: series.organisation.clone(),
        aspect,
        rates,
        requests: series.windows[WINDOWS - 1].total,
        alarm: alarm(rates, aspect.bad_requests(&series.windows[0])),
        hours_left: (rates[1] > 0.0).then(|| period_hours / rates[1]),
        place: place.unwrap_or_default(),
    }
}

fn alarm(rates: [f64; WINDOWS], bad_requests: u64) -> Alarm {
    let [short, middle, long] = rates;
    if bad_requests < BAD_REQUESTS_MIN {
        Alarm::None
    } else if short >= PAGE_BURN_RATE && middle >= PAGE_BURN_RATE {
        Alarm::Page
    } else if short >= TICKET_BURN_RATE && long >= TICKET_BURN_RATE {
        Alarm::Ticket
    } else {
        Alarm::None
    }
}

/// Returns the burn rates as a table with a row for each objective.
pub fn to_table(burn_rates: &[BurnRate]) -> Table {
    let columns = [
        "route",
        "organisation",
        "objective",
        "alarm",
        "burn-5m",
        "burn-1h",
        "burn-6h",
        "requests",
        "hours-left",
        "place",
    ];
    let mut table = Table::new(&columns);
    let rounded = |rate: f64| (rate * 100.0).round() / 100.0;
    for burn_rate in burn_rates {
        let hours_left = burn_rate
            .hours_left
            .map_or("-".into(), |left| format!("{left:.1}"));
        let alarm = format!("{:?}", burn_rate.alarm).to_lowercase();
        table.push(vec![
            burn_rate.route.as_str().into(),
            burn_rate.organisation.as_str().into(),
            burn_rate.aspect.as_str().into(),
            alarm.into(),
            rounded(burn_rate.rates[0]).into(),
            rounded(burn_rate.rates[1]).into(),
            rounded(burn_rate.rates[2]).into(),
            burn_rate.requests.into(),
            hours_left.into(),
            burn_rate.place.as_str().into(),
        ]);
    }
    table
}

#[cfg(test)]
mod tests {
    use super::*;

    fn series(total: u64, failed: [u64; WINDOWS]) -> Series {
        Series {
            route: "r".into(),
            organisation: "o".into(),
            windows: failed.map(|failed| Counts {
                total,
                failed,
                ..Counts::default()
            }),
            places: [("e1".into(), 4), ("e2".into(), 9)].into(),
        }
    }

    fn success(series: Series) -> BurnRate {
        let snapshot = Snapshot {
            series: vec![series],
            missing: Vec::new(),
        };
        let burn_rates = burn_rates(&snapshot, &Config::default());
        burn_rates
            .into_iter()
            .find(|b| b.aspect == ObjectiveKind::Success)
            .unwrap()
    }

    #[test]
    fn page_requires_high_rates_over_both_windows() {
        let both = success(series(100, [90, 90, 20]));
        assert_eq!(both.alarm, Alarm::Page);
        assert_eq!(both.place, "e2");
        let recovered = success(series(100, [0, 90, 20]));
        assert_eq!(
            recovered.alarm,
            Alarm::None,
            "no alarm when the shortest window has no failures"
        );
        let slow = success(series(100, [40, 20, 40]));
        assert_eq!(slow.alarm, Alarm::Ticket);
    }

    #[test]
    fn hours_left_follow_from_the_burn_rate() {
        let burn_rate = success(series(100, [5, 5, 5]));
        assert!((burn_rate.rates[1] - 1.0).abs() < 1e-9);
        assert!((burn_rate.hours_left.unwrap() - 720.0).abs() < 1e-6);
        assert_eq!(success(series(100, [0, 0, 0])).hours_left, None);
    }
}
