//! Rates, alarms, forecast.

use std::time::Duration;

use compact_str::CompactString;
use conf::Config;
use query::rows::Table;
use serde::Deserialize;
use serde::Serialize;

use crate::Counts;
use crate::Line;
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
pub struct Burn {
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
pub fn lines(snapshot: &Snapshot, config: &Config) -> Vec<Burn> {
    let mut burns: Vec<Burn> = snapshot
        .series
        .iter()
        .flat_map(|line| Aspect::ALL.map(|aspect| burn(line, aspect, config)))
        .collect();
    burns.sort_by(|a, b| {
        b.alarm
            .cmp(&a.alarm)
            .then(b.rates[1].total_cmp(&a.rates[1]))
    });
    burns
}

fn burn(line: &Line, aspect: Aspect, config: &Config) -> Burn {
    let objective = config
        .routes
        .get(&line.route)
        .map(|route| route.objective)
        .unwrap_or_default();
    let allowed = 1.0 - objective.share;
    let rates = line.windows.map(|counts| {
        let bad = aspect.bad(&counts) as f64 / counts.total.max(1) as f64;
        bad / allowed
    });
    let worst = line.places.iter().max_by_key(|(_, count)| **count);
    let is_bad = rates[WINDOWS - 1] > 0.0;
    let place = worst.filter(|_| is_bad).map(|(place, _)| place.clone());
    let hours = PERIOD.as_secs_f64() / 3_600.0;
    Burn {
        route: line.route.clone(),
        organisation: line.organisation.clone(),
        aspect,
        rates,
        requests: line.windows[WINDOWS - 1].total,
        alarm: alarm(rates, aspect.bad(&line.windows[0])),
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
pub fn to_table(burns: &[Burn]) -> Table {
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
    for burn in burns {
        let hours = burn
            .hours_left
            .map_or("-".into(), |hours| format!("{hours:.1}"));
        let alarm = format!("{:?}", burn.alarm).to_lowercase();
        table.push(vec![
            burn.route.as_str().into(),
            burn.organisation.as_str().into(),
            burn.aspect.as_str().into(),
            alarm.into(),
            rounded(burn.rates[0]).into(),
            rounded(burn.rates[1]).into(),
            rounded(burn.rates[2]).into(),
            burn.requests.into(),
            hours.into(),
            burn.place.as_str().into(),
        ]);
    }
    table
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(total: u64, failed: [u64; WINDOWS]) -> Line {
        Line {
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

    fn success(line: Line) -> Burn {
        let snapshot = Snapshot {
            series: vec![line],
            missing: Vec::new(),
        };
        let burns = lines(&snapshot, &Config::default());
        burns
            .into_iter()
            .find(|b| b.aspect == Aspect::Success)
            .unwrap()
    }

    #[test]
    fn page_needs_both_windows() {
        let both = success(line(100, [90, 90, 20]));
        assert_eq!(both.alarm, Alarm::Page);
        assert_eq!(both.place, "e2");
        let over = success(line(100, [0, 90, 20]));
        assert_eq!(over.alarm, Alarm::None, "the cause is gone");
        let slow = success(line(100, [40, 20, 40]));
        assert_eq!(slow.alarm, Alarm::Ticket);
    }

    #[test]
    fn forecast_follows_the_rate() {
        let burn = success(line(100, [5, 5, 5]));
        assert!((burn.rates[1] - 1.0).abs() < 1e-9);
        assert!((burn.hours_left.unwrap() - 720.0).abs() < 1e-6);
        assert_eq!(success(line(100, [0, 0, 0])).hours_left, None);
    }
}
