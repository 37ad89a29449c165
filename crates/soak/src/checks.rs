//! Invariants that are checked during a run and at its end.

use std::time::Duration;

use standin::token;
use stream::Relay;
use wigeon_core::Refusal;
use wigeon_core::outcome::Reason;
use wire::Name;
use wire::RequestId;

use crate::Outcome;
use crate::simulation::Backend;
use crate::simulation::Server;
use crate::simulation::Simulation;

/// Time after a data centre was taken out, or after a repair, in which instances may not yet have
/// learned of the change.
const PROPAGATION_GRACE: Duration = Duration::from_secs(3);

/// Checks that the data centre of a started attempt is not taken out. The check is skipped while
/// links or the store are down, because an instance that is cut off from the store and from all
/// other instances can't learn of the change. The grace period starts when the data centre is taken
/// out or at the last repair, whichever is later.
pub fn check_data_centre_in_service(sim: &mut Simulation, centre: &Name, node: usize) {
    let Some(since) = sim.taken_out_since.get(centre) else {
        return;
    };
    let out_of_service = sim.now > (*since).max(sim.repaired_at) + PROPAGATION_GRACE;
    let partitioned = sim
        .cut_off_from_platform
        .contains(&sim.nodes[node].data_centre)
        || !sim.cut_links.is_empty();
    if out_of_service && !partitioned && !sim.platform.faults.down {
        let text = format!("i{node} sent work to {centre} after the data centre was taken out");
        sim.violations.push(text);
    }
}

/// Checks that an answer is complete and that all its tokens come from one generation.
pub fn check_answer(sim: &mut Simulation, number: u64, relay: &Relay) {
    let Some(caller) = sim.callers.get_mut(&number) else {
        return;
    };
    caller.answered = true;
    if matches!(caller.route, "status" | "mark") {
        return;
    }
    let marker = caller.marker;
    let generation = relay.generation().unwrap_or(0);
    let expected = |index: usize| token::text(&marker, generation, index as u32);
    let matches_generation = relay
        .tokens()
        .iter()
        .enumerate()
        .all(|(index, text)| *text == expected(index));
    let complete = relay.tokens().len() == marker.length as usize;
    if !matches_generation || !complete {
        let text = format!("the answer to request {number:x} is incomplete or mixes generations");
        sim.violations.push(text);
    }
}

/// Checks that a send of a request that was refused did not run it.
pub fn check_refusal(sim: &mut Simulation, number: u64, request: RequestId, refusal: &Refusal) {
    if refusal.reason() == Reason::Barred && sim.started_sends.contains(&request) {
        sim.violations.push(format!(
            "request {number:x} was barred after it ran, but the refusal says that it did not run"
        ));
    }
    let sends = sim.callers[&number].sends;
    let only_send = request >> 32 == 1 && sends == 1;
    if only_send && start_count(sim, number) > 0 {
        sim.violations.push(format!(
            "request {number:x} ran, but the refusal says that it did not"
        ));
    }
}

/// Returns the number of engines that a poison request has crashed. An engine counts once, even if
/// two sends of the request ran on it. An engine that still runs the request does not count.
fn crash_count(sim: &Simulation, number: u64) -> usize {
    let crashed = |server: &&Server| match &server.backend {
        Backend::Engine(engine) => {
            let started = engine.record.starts.iter().any(|start| start.1 == number);
            started && !engine.requests().contains(&number)
        }
        Backend::Plain(_) => false,
    };
    sim.servers.values().filter(crashed).count()
}

fn start_count(sim: &Simulation, number: u64) -> usize {
    sim.servers
        .values()
        .map(|server| match &server.backend {
            Backend::Engine(engine) => engine
                .record
                .starts
                .iter()
                .filter(|start| start.1 == number)
                .count(),
            Backend::Plain(plain) => plain
                .record
                .starts
                .iter()
                .filter(|start| start.1 == number)
                .count(),
        })
        .sum()
}

/// Checks the invariants that must hold after all requests have settled, and returns the result of
/// the run. A run that has already violated an invariant is not checked further.
pub fn check_final_state(sim: &mut Simulation) -> Outcome {
    if !sim.violations.is_empty() {
        return outcome(sim);
    }
    check_at_most_once(sim);
    check_refused_not_run(sim);
    check_all_settled(sim);
    check_config_versions(sim);
    outcome(sim)
}

fn outcome(sim: &mut Simulation) -> Outcome {
    Outcome {
        violations: std::mem::take(&mut sim.violations),
        trace: sim.trace.iter().cloned().collect(),
        requests: sim.callers.len(),
        answered: sim
            .callers
            .values()
            .filter(|caller| caller.answered)
            .count(),
    }
}

fn check_at_most_once(sim: &mut Simulation) {
    let numbers: Vec<u64> = sim
        .callers
        .iter()
        .filter(|(_, caller)| caller.at_most_once)
        .map(|(number, _)| *number)
        .collect();
    for number in numbers {
        let runs = start_count(sim, number);
        if runs > 1 {
            sim.violations.push(format!(
                "request {number:x} may run at most once, but ran {runs} times"
            ));
        }
    }
}

/// Number of crashes after which a poison request is not run again.
const CRASHES_MAX: usize = 3;

/// Checks that a poison request that crashed [`CRASHES_MAX`] engines is not run again. The check is
/// skipped while links are cut and shortly after, because the instance may not know of the crashes.
pub fn check_poison(sim: &mut Simulation, marker: &token::Marker) {
    let crashes_known = sim.cut_links.is_empty() && sim.now > sim.repaired_at + PROPAGATION_GRACE;
    if marker.poison && crashes_known && crash_count(sim, marker.request) >= CRASHES_MAX {
        let number = marker.request;
        sim.violations.push(format!(
            "request {number:x} runs again after {CRASHES_MAX} crashes"
        ));
    }
}

/// Checks that a request did not run if each of its sends was refused.
fn check_refused_not_run(sim: &mut Simulation) {
    let refused: Vec<u64> = sim
        .callers
        .iter()
        .filter(|(_, caller)| caller.only_refusals && !caller.answered)
        .filter(|(_, caller)| caller.outcomes.len() == caller.sends as usize)
        .map(|(number, _)| *number)
        .collect();
    for number in refused {
        if start_count(sim, number) > 0 {
            sim.violations.push(format!(
                "request {number:x} ran, although each send was refused"
            ));
        }
    }
}

/// Checks that no instance still holds a request, and that every caller received an outcome.
fn check_all_settled(sim: &mut Simulation) {
    for index in 0..sim.nodes.len() {
        let jobs = sim.nodes[index].instance.jobs().count();
        if jobs > 0 {
            let phases: Vec<String> = sim.nodes[index]
                .instance
                .jobs()
                .map(|job| format!("{:x} {}", job.request.id, job.phase_name()))
                .collect();
            sim.violations
                .push(format!("i{index} still holds requests: {phases:?}"));
        }
    }
    let without_outcome: Vec<u64> = sim
        .callers
        .iter()
        .filter(|(_, caller)| {
            !caller.answered && caller.outcomes.is_empty() && !caller.disconnected
        })
        .map(|(number, _)| *number)
        .collect();
    if !without_outcome.is_empty() {
        sim.violations
            .push(format!("requests without an outcome: {without_outcome:x?}"));
    }
}

fn check_config_versions(sim: &mut Simulation) {
    let versions: Vec<conf::Version> = sim
        .nodes
        .iter()
        .map(|node| node.instance.config().version)
        .collect();
    if versions.iter().any(|version| *version != versions[0]) {
        sim.violations.push(format!(
            "instances have different configuration versions: {versions:?}"
        ));
    }
}
