//! Selection of the data centre that serves a request.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use clock::WallTime;
use conf::Config;
use conf::Name;

/// Time over which a data centre that operators brought back into service ramps up to its full
/// share.
pub const RETURN_RAMP: Duration = Duration::from_secs(6);
/// Time for which a data centre gets less weight after its coordinator answered that it was full.
const RECENTLY_FULL_WINDOW: Duration = Duration::from_millis(400);
/// Maximum weight of a data centre that was recently full. The weight of others is their number of
/// servers, or 1 for the instance's own data centre.
const RECENTLY_FULL_WEIGHT_MAX: f64 = 0.05;

/// State of one data centre for one pool, as an instance knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// Number of the pool's backend servers there that accept new requests.
    pub servers: usize,
    /// Whether the pool's coordinator there is thought to be alive.
    pub reachable: bool,
    /// Time at which the coordinator was last found to be full, if it ever was.
    pub last_full: Option<Time>,
}

/// Inputs of [`choose`].
#[derive(Debug)]
pub struct Criteria<'a> {
    /// Configuration in force.
    pub config: &'a Config,
    /// Data centre of the instance that chooses.
    pub own_data_centre: &'a str,
    /// Data centres that already denied this request.
    pub tried: &'a [Name],
    /// State of each data centre, by name.
    pub candidates: &'a BTreeMap<Name, Candidate>,
    /// Current monotonic time.
    pub now: Time,
    /// Current wall time, on which the return ramp is based.
    pub wall: WallTime,
}

/// Returns whether the configuration lets a data centre get new requests.
pub fn in_service(config: &Config, data_centre: &str) -> bool {
    // A data centre that the configuration does not name is in service.
    config
        .data_centres
        .get(data_centre)
        .is_none_or(|found| !found.out)
}

/// Returns the share of its usual work that a data centre gets, from 0.05 right after its return to
/// service up to 1.
pub fn return_share(config: &Config, data_centre: &str, wall: WallTime) -> f64 {
    let Some(found) = config.data_centres.get(data_centre) else {
        return 1.0;
    };
    let back_at = Duration::from_millis(found.back_at_ms);
    let since = wall.saturating_sub(back_at).as_secs_f64();
    (since / RETURN_RAMP.as_secs_f64()).clamp(0.05, 1.0)
}

/// Returns the data centre to send a reservation to, or `None` if no eligible one is left.
///
/// The own data centre is preferred unless it was recently full. While it is on its return ramp, a
/// matching share of the requests stays there. All other requests are distributed by weight.
pub fn choose(criteria: &Criteria<'_>, rng: &mut fastrand::Rng) -> Option<Name> {
    let weights = eligible_weights(criteria);
    if let Some((own, weight)) = weights
        .iter()
        .find(|(name, _)| *name == criteria.own_data_centre)
    {
        let is_only_choice = weights.len() == 1;
        let is_full = *weight <= RECENTLY_FULL_WEIGHT_MAX;
        let share = return_share(criteria.config, own, criteria.wall);
        if is_only_choice || (!is_full && rng.f64() < share) {
            return Some(own.clone());
        }
    }
    pick_weighted(&weights, rng)
}

fn eligible_weights(criteria: &Criteria<'_>) -> Vec<(Name, f64)> {
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
            let is_own = *name == criteria.own_data_centre;
            let is_recent = |at: Time| criteria.now.saturating_sub(at) < RECENTLY_FULL_WINDOW;
            let is_full = candidate.last_full.is_some_and(is_recent);
            let base_weight = if is_own {
                1.0
            } else {
                candidate.servers as f64
            };
            let share = return_share(criteria.config, name, criteria.wall);
            let weight = if is_full {
                RECENTLY_FULL_WEIGHT_MAX.min(base_weight * share)
            } else {
                base_weight * share
            };
            (name.clone(), weight)
        })
        .collect()
}

fn pick_weighted(weights: &[(Name, f64)], rng: &mut fastrand::Rng) -> Option<Name> {
    let total: f64 = weights.iter().map(|(_, weight)| weight).sum();
    let mut remaining = rng.f64() * total;
    for (name, weight) in weights {
        remaining -= weight;
        if remaining <= 0.0 {
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
            config.data_centres.insert(data_centre_name(index), value);
        }
        config
    }

    fn data_centre_name(index: usize) -> Name {
        Name::from(format!("dc{index}"))
    }

    proptest! {
        #[test]
        fn ineligible_data_centre_is_never_chosen(
            out in proptest::collection::vec(any::<bool>(), 1..6),
            servers in proptest::collection::vec(0usize..3, 6),
            reachable in proptest::collection::vec(any::<bool>(), 6),
            tried in 0usize..6,
            seed in any::<u64>(),
        ) {
            let config = config(&out);
            let candidates: BTreeMap<Name, Candidate> = (0..out.len())
                .map(|index| {
                    let candidate = Candidate {
                        servers: servers[index],
                        reachable: reachable[index],
                        last_full: None,
                    };
                    (data_centre_name(index), candidate)
                })
                .collect();
            let tried = [data_centre_name(tried)];
            let criteria = Criteria {
                config: &config,
                own_data_centre: "dc0",
                tried: &tried,
                candidates: &candidates,
                now: Time::ZERO,
                wall: Duration::from_secs(1_000),
            };
            let any_eligible = (0..out.len()).any(|i| {
                !out[i] && servers[i] > 0 && reachable[i] && tried[0] != data_centre_name(i)
            });
            match choose(&criteria, &mut fastrand::Rng::with_seed(seed)) {
                Some(name) => {
                    prop_assert!(in_service(&config, &name));
                    prop_assert!(!tried.contains(&name));
                    prop_assert!(candidates[&name].servers > 0 && candidates[&name].reachable);
                }
                None => prop_assert!(!any_eligible),
            }
        }
    }

    #[test]
    fn share_of_returning_data_centre_ramps_up() {
        let mut config = config(&[false, false]);
        config.data_centres.get_mut("dc0").unwrap().back_at_ms = 1_000_000;
        let candidate = Candidate {
            servers: 2,
            reachable: true,
            last_full: None,
        };
        let candidates = BTreeMap::from([
            (data_centre_name(0), candidate),
            (data_centre_name(1), candidate),
        ]);
        let own_share = |after: Duration| {
            let criteria = Criteria {
                config: &config,
                own_data_centre: "dc0",
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
