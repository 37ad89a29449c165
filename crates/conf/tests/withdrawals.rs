//! Withdrawals that a restored store lacks.

use std::collections::BTreeSet;
use std::time::Duration;

use conf::Config;
use conf::DataCentre;
use conf::Name;
use conf::withdrawals::KEPT_TIME;
use conf::withdrawals::Withdrawals;

const NOW: Duration = Duration::from_secs(100);

fn in_force(withdrawn: &str) -> Config {
    let taken_out = DataCentre {
        out: true,
        ..DataCentre::default()
    };
    let mut config = Config::default();
    config.data_centres.insert(withdrawn.into(), taken_out);
    config
}

fn listed(names: &[&str]) -> BTreeSet<Name> {
    names.iter().map(|name| Name::from(*name)).collect()
}

#[test]
fn withdrawal_in_force_is_kept_only_when_the_era_changes() {
    let mut withdrawals = Withdrawals::default();
    withdrawals.observe_era(NOW, 4, &in_force("east"));
    assert!(withdrawals.merge(listed(&[])).is_empty());
    withdrawals.observe_era(NOW, 4, &in_force("east"));
    assert!(withdrawals.merge(listed(&[])).is_empty());
    withdrawals.observe_era(NOW, 5, &in_force("east"));
    assert_eq!(withdrawals.merge(listed(&["west"])), ["west", "east"]);
}

#[test]
fn kept_withdrawal_ends_with_its_time_or_its_removal() {
    let mut withdrawals = Withdrawals::default();
    withdrawals.observe_era(NOW, 1, &Config::default());
    withdrawals.observe_era(NOW, 2, &in_force("east"));
    assert_eq!(withdrawals.next_wake(), Some(NOW + KEPT_TIME));
    assert!(!withdrawals.expire(NOW + KEPT_TIME / 2));
    assert!(withdrawals.expire(NOW + KEPT_TIME));
    assert_eq!(withdrawals.expirations(), 1);
    withdrawals.observe_era(NOW, 3, &in_force("east"));
    assert!(withdrawals.end("east"));
    assert!(!withdrawals.end("east"));
    assert!(withdrawals.merge(listed(&[])).is_empty());
}

#[test]
fn withdrawal_that_is_listed_again_is_no_longer_kept() {
    let mut withdrawals = Withdrawals::default();
    withdrawals.observe_era(NOW, 1, &Config::default());
    withdrawals.observe_era(NOW, 2, &in_force("east"));
    assert_eq!(withdrawals.merge(listed(&["east"])), ["east"]);
    assert!(withdrawals.merge(listed(&[])).is_empty());
}
