//! Rates, alarms, forecast.

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

/// Period of an objective.
const PERIOD: Duration = Duration::from_secs(30 * 86_400);
/// Burn rate that uses up a fiftieth of the budget in an hour.
const RATE_PAGE: f64 = 14.4;
/// Burn rate that uses up a twentieth of the budget in six hours.
const RATE_TICKET: f64 = 6.0;
/// Least number of bad requests that raises an alarm.
const BAD_MIN: u64 = 3;

/// What an objective is about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Aspect {
    /// The first token comes in time.
    FirstToken,
    /// Tokens come without gaps.
    TokenGap,
    /// The request ends well.
    Success,
}

impl Aspect {
    /// All aspects.
    pub const ALL: [Aspect; 3] = [Aspect::FirstToken, Aspect::TokenGap, Aspect::Success];

    /// Returns the word for tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Aspect::FirstToken => "first-token",
            Aspect::TokenGap => "token-gap",
            Aspect::Success => "success",
        }
    }

    fn bad(self, counts: &Counts) -> u64 {
        match self {
            Aspect::FirstToken => counts.late,
            Aspect::TokenGap => counts.gaps,
            Aspect::Success => counts.failed,
        }
    }
}

/// How urgent a burn is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Alarm {
    /// Nothing to do.
    None,
    /// Worth a look within the day.
    Ticket,
    /// Worth a call at night.
    Page,
}

/// One objective of one route and organisation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BurnRate {
    /// The route.
    pub route: CompactString,
    /// The organisation.
    pub organisation: CompactString,
    /// What the objective is about.
    pub aspect: Aspect,
    /// Burn rates over each window, shortest first.
    pub rates: [f64; WINDOWS],
    /// Requests in the longest window.
    pub requests: u64,
    /// How urgent it is.
    pub alarm: Alarm,
    /// Hours until a full budget is gone at the rate of the middle window, if it burns at all.
    pub hours_left: Option<f64>,
    /// Where most of the bad requests ran.
    pub place: CompactString,
}

/// Returns the objectives of a snapshot, the most urgent first.
pub fn lines(snapshot: &Snapshot, config: &Config) -> Vec<BurnRate> {
    let mut burn_rates: Vec<BurnRate> = snapshot
        .series
        .iter()
        .flat_map(|series| Aspect::ALL.map(|aspect| burn_rate(series, aspect, config)))
        .collect();
    burn_rates.sort_by(|a, b| {
        b.alarm
            .cmp(&a.alarm)
            .then(b.rates[1].total_cmp(&a.rates[1]))
    });
    burn_rates
}

fn burn_rate(series: &Series, aspect: Aspect, config: &Config) -> BurnRate {
    let objective = config
        .routes
        .get(&series.route)
        .map(|route| route.objective)
        .unwrap_or_default();
    let allowed = 1.0 - objective.share;
    let rates = series.windows.map(|counts| {
        let bad = aspect.bad(&counts) as f64 / counts.total.max(1) as f64;
        bad / allowed
    });
    let worst = series.places.iter().max_by_key(|(_, count)| **count);
    let is_bad = rates[WINDOWS - 1] > 0.0;
    let place = worst.filter(|_| is_bad).map(|(place, _)| place.clone());
    let hours = PERIOD.as_secs_f64() / 3_600.0;
    BurnRate {
        route: series.route.clone(),
        organisation: series.organisation.clone(),
        aspect,
        rates,
        requests: series.windows[WINDOWS - 1].total,
        alarm: alarm(rates, aspect.bad(&series.windows[0])),
        hours_left: (rates[1] > 0.0).then(|| hours / rates[1]),
        place: place.unwrap_or_default(),
    }
}

fn alarm(rates: [f64; WINDOWS], bad: u64) -> Alarm {
    let [short, middle, long] = rates;
    if bad < BAD_MIN {
        Alarm::None
    } else if short >= RATE_PAGE && middle >= RATE_PAGE {
        Alarm::Page
    } else if short >= RATE_TICKET && long >= RATE_TICKET {
        Alarm::Ticket
    } else {
        Alarm::None
    }
}

/// Returns the objectives as rows.
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
        let hours = burn_rate
            .hours_left
            .map_or("-".into(), |hours| format!("{hours:.1}"));
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
            hours.into(),
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
        let burn_rates = lines(&snapshot, &Config::default());
        burn_rates
            .into_iter()
            .find(|b| b.aspect == Aspect::Success)
            .unwrap()
    }

    #[test]
    fn page_needs_both_windows() {
        let both = success(series(100, [90, 90, 20]));
        assert_eq!(both.alarm, Alarm::Page);
        assert_eq!(both.place, "e2");
        let over = success(series(100, [0, 90, 20]));
        assert_eq!(over.alarm, Alarm::None, "the cause is gone");
        let slow = success(series(100, [40, 20, 40]));
        assert_eq!(slow.alarm, Alarm::Ticket);
    }

    #[test]
    fn forecast_follows_the_rate() {
        let burn_rate = success(series(100, [5, 5, 5]));
        assert!((burn_rate.rates[1] - 1.0).abs() < 1e-9);
        assert!((burn_rate.hours_left.unwrap() - 720.0).abs() < 1e-6);
        assert_eq!(success(series(100, [0, 0, 0])).hours_left, None);
    }
}
