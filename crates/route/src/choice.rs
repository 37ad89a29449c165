//! Eligibility and choice of data centres.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use clock::Wall;
use conf::Config;
use conf::Name;

/// Time over which a data centre that was brought back takes up its share.
pub const RETURN_RAMP: Duration = Duration::from_secs(6);
/// Time for which a data centre that was full is asked less.
const FULL_TIME: Duration = Duration::from_millis(400);
/// Weight of a data centre that was full a moment ago, against one that was not.
const FULL_WEIGHT: f64 = 0.05;

/// What an instance knows of one data centre for one pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Backend servers that may take new work.
    pub servers: usize,
    /// Whether the coordinator of the pool is thought to be alive.
    pub reachable: bool,
    /// When the coordinator last answered that it was full.
    pub full_at: Option<Time>,
}

/// What a choice is made from.
#[derive(Debug)]
pub struct Criteria<'a> {
    /// The configuration in force.
    pub config: &'a Config,
    /// The chooser's data centre.
    pub own: &'a str,
    /// Data centres that already denied this request a place.
    pub tried: &'a [Name],
    /// What is known of each data centre.
    pub candidates: &'a BTreeMap<Name, Candidate>,
    /// The time.
    pub now: Time,
    /// The wall time, which the return ramp is counted by.
    pub wall: Wall,
}

/// Returns whether a data centre may get new work at all.
pub fn in_service(config: &Config, data_centre: &str) -> bool {
    // One that the configuration does not name is not taken out.
    config
        .data_centres
        .get(data_centre)
        .is_none_or(|found| !found.out)
}

/// Returns the share, from 0 to 1, of its usual work that a data centre takes after its return.
pub fn return_share(config: &Config, data_centre: &str, wall: Wall) -> f64 {
    let Some(found) = config.data_centres.get(data_centre) else {
        return 1.0;
    };
    let back_at = Duration::from_millis(found.back_at_ms);
    let since = wall.saturating_sub(back_at).as_secs_f64();
    (since / RETURN_RAMP.as_secs_f64()).clamp(0.05, 1.0)
}

/// Returns the data centre to be asked next, or `None` if there is none left to ask.
pub fn choose(criteria: &Criteria<'_>, rng: &mut fastrand::Rng) -> Option<Name> {
    let weights = weigh(criteria);
    if let Some((own, weight)) = weights.iter().find(|(name, _)| *name == criteria.own) {
        let alone = weights.len() == 1;
        let full = *weight <= FULL_WEIGHT;
        let share = return_share(criteria.config, own, criteria.wall);
        if alone || (!full && rng.f64() < share) {
            return Some(own.clone());
        }
    }
    pick(&weights, rng)
}

fn weigh(criteria: &Criteria<'_>) -> Vec<(Name, f64)> {
    criteria
        .candidates
        .iter()
        .filter(|(name, candidate)| {
            candidate.servers > 0
                && candidate.reachable
                && in_service(criteria.config, name)
                && !criteria.tried.contains(name)
        })
        .map(|(name, candidate)| {
            let own = *name == criteria.own;
            let recently = |at: Time| criteria.now.saturating_sub(at) < FULL_TIME;
            let full = candidate.full_at.is_some_and(recently);
            let size = if own { 1.0 } else { candidate.servers as f64 };
            let share = return_share(criteria.config, name, criteria.wall);
            let weight = if full {
                FULL_WEIGHT.min(size * share)
            } else {
                size * share
            };
            (name.clone(), weight)
        })
        .collect()
}

fn pick(weights: &[(Name, f64)], rng: &mut fastrand::Rng) -> Option<Name> {
    let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let mut left = rng.f64() * total;
    for (name, weight) in weights {
        left -= weight;
        if left <= 0.0 {
            return Some(name.clone());
        }
    }
    weights.last().map(|(name, _)| name.clone())
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;

    use super::*;

    fn config(out: &[bool]) -> Config {
        let mut config = Config::default();
        for (index, out) in out.iter().enumerate() {
            let value = conf::DataCentre {
                out: *out,
                ..conf::DataCentre::default()
            };
            config.data_centres.insert(site_name(index), value);
        }
        config
    }

    fn site_name(index: usize) -> Name {
        Name::from(format!("dc{index}"))
    }

    proptest! {
        #[test]
        fn what_is_out_tried_or_empty_is_never_chosen(
            out in proptest::collection::vec(any::<bool>(), 1..6),
            servers in proptest::collection::vec(0usize..3, 6),
            reachable in proptest::collection::vec(any::<bool>(), 6),
            tried in 0usize..6,
            seed in any::<u64>(),
        ) {
            let config = config(&out);
            let candidates: BTreeMap<Name, Candidate> = (0..out.len())
                .map(|index| {
                    let candidate = Candidate { servers: servers[index], reachable: reachable[index], full_at: None };
                    (site_name(index), candidate)
                })
                .collect();
            let tried = [site_name(tried)];
            let criteria = Criteria {
                config: &config,
                own: "dc0",
                tried: &tried,
                candidates: &candidates,
                now: Time::ZERO,
                wall: Duration::from_secs(1_000),
            };
            let possible = (0..out.len())
                .any(|i| !out[i] && servers[i] > 0 && reachable[i] && tried[0] != site_name(i));
            match choose(&criteria, &mut fastrand::Rng::with_seed(seed)) {
                Some(name) => {
                    prop_assert!(in_service(&config, &name));
                    prop_assert!(!tried.contains(&name));
                    prop_assert!(candidates[&name].servers > 0 && candidates[&name].reachable);
                }
                None => prop_assert!(!possible),
            }
        }
    }

    #[test]
    fn a_returning_data_centre_takes_its_share_by_a_ramp() {
        let mut config = config(&[false, false]);
        config.data_centres.get_mut("dc0").unwrap().back_at_ms = 1_000_000;
        let candidate = Candidate {
            servers: 2,
            reachable: true,
            full_at: None,
        };
        let candidates = BTreeMap::from([(site_name(0), candidate), (site_name(1), candidate)]);
        let own_share = |after: Duration| {
            let criteria = Criteria {
                config: &config,
                own: "dc0",
                tried: &[],
                candidates: &candidates,
                now: Time::ZERO,
                wall: Duration::from_secs(1_000) + after,
            };
            let mut rng = fastrand::Rng::with_seed(1);
            (0..1_000)
                .filter(|_| choose(&criteria, &mut rng).unwrap() == "dc0")
                .count()
        };
        let start = own_share(Duration::ZERO);
        let middle = own_share(RETURN_RAMP / 2);
        assert!(start < 150 && start < middle && middle < 900);
        assert_eq!(own_share(RETURN_RAMP), 1_000);
    }
}
