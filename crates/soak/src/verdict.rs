//! What must hold on the way and in the end.

use std::time::Duration;

use standin::token;
use stream::Relay;
use wigeon_core::Refusal;
use wigeon_core::outcome::Reason;
use wire::Name;
use wire::RequestId;

use crate::Outcome;
use crate::world::Backend;
use crate::world::Server;
use crate::world::World;

/// Time after which a data centre that was taken out gets no new work.
const WITHDRAWAL: Duration = Duration::from_secs(3);

/// Checks that a data centre may get new work. An instance that is cut off from the store and from
/// all others can't know; the time counts from when it can.
pub fn check_start(world: &mut World, centre: &Name, node: usize) {
    let Some(since) = world.out_since.get(centre) else {
        return;
    };
    let out = world.now > (*since).max(world.mended_at) + WITHDRAWAL;
    let cut = world.cut_off.contains(&world.nodes[node].data_centre) || !world.cuts.is_empty();
    if out && !cut && !world.platform.faults.down {
        let text = format!("work for {centre} from i{node} after it was taken out");
        world.broken.push(text);
    }
}

/// Checks that an answer is whole and of one generation.
pub fn check_answer(world: &mut World, number: u64, relay: &Relay) {
    let Some(caller) = world.callers.get_mut(&number) else {
        return;
    };
    caller.answered = true;
    if matches!(caller.route, "status" | "mark") {
        return;
    }
    let marker = caller.marker;
    let generation = relay.generation().unwrap_or(0);
    let expected = |index: usize| token::text(&marker, generation, index as u32);
    let same = relay
        .tokens()
        .iter()
        .enumerate()
        .all(|(index, text)| *text == expected(index));
    let whole = relay.tokens().len() == marker.length as usize;
    if !same || !whole {
        let text = format!("the answer to {number:x} is not whole or not of one generation");
        world.broken.push(text);
    }
}

/// Checks that a refused request was not run by this sending.
pub fn check_refusal(world: &mut World, number: u64, request: RequestId, refusal: &Refusal) {
    if refusal.reason() == Reason::Barred {
        world.broken.push(format!(
            "request {number:x} was barred and told that it did not run"
        ));
    }
    let sends = world.callers[&number].sends;
    let first = request >> 32 == 1 && sends == 1;
    if first && starts_of(world, number) > 0 {
        world.broken.push(format!(
            "request {number:x} ran and was told that it did not"
        ));
    }
}

/// Returns how many servers a request has crashed. Two sendings of it may have shared one, and one
/// that runs at this moment has crashed nothing yet.
fn crashed_by(world: &World, number: u64) -> usize {
    let crashed = |server: &&Server| match &server.backend {
        Backend::Engine(engine) => {
            let begun = engine.record.starts.iter().any(|start| start.1 == number);
            begun && !engine.requests().contains(&number)
        }
        Backend::Plain(_) => false,
    };
    world.servers.values().filter(crashed).count()
}

fn starts_of(world: &World, number: u64) -> usize {
    world
        .servers
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

/// Judges a run that has become quiet.
pub fn judge(world: &mut World) -> Outcome {
    if !world.broken.is_empty() {
        return outcome(world);
    }
    check_once(world);
    check_refused(world);
    check_quiet(world);
    check_versions(world);
    outcome(world)
}

fn outcome(world: &mut World) -> Outcome {
    Outcome {
        broken: std::mem::take(&mut world.broken),
        trace: world.trace.iter().cloned().collect(),
        requests: world.callers.len(),
        answered: world
            .callers
            .values()
            .filter(|caller| caller.answered)
            .count(),
    }
}

fn check_once(world: &mut World) {
    let marks: Vec<u64> = world
        .callers
        .iter()
        .filter(|(_, caller)| caller.once)
        .map(|(number, _)| *number)
        .collect();
    for number in marks {
        let runs = starts_of(world, number);
        if runs > 1 {
            world.broken.push(format!(
                "request {number:x} must run once and ran {runs} times"
            ));
        }
    }
}

/// Checks that a request that crashed its servers is not run a third time, except by an instance that
/// could not hear of it.
pub fn check_poison(world: &mut World, marker: &token::Marker) {
    let heard = world.cuts.is_empty() && world.now > world.mended_at + WITHDRAWAL;
    if marker.poison && heard && crashed_by(world, marker.request) >= 2 {
        let number = marker.request;
        world
            .broken
            .push(format!("request {number:x} runs again after two crashes"));
    }
}

/// Checks that nothing was run for a caller of whom every sending was refused.
fn check_refused(world: &mut World) {
    let refused: Vec<u64> = world
        .callers
        .iter()
        .filter(|(_, caller)| caller.only_refusals && !caller.answered)
        .filter(|(_, caller)| caller.told.len() == caller.sends as usize)
        .map(|(number, _)| *number)
        .collect();
    for number in refused {
        if starts_of(world, number) > 0 {
            world.broken.push(format!(
                "request {number:x} ran though each sending was refused"
            ));
        }
    }
}

/// Checks that no instance holds a request for ever, and that every caller was told something.
fn check_quiet(world: &mut World) {
    for index in 0..world.nodes.len() {
        let jobs = world.nodes[index].instance.jobs().count();
        if jobs > 0 {
            let phases: Vec<String> = world.nodes[index]
                .instance
                .jobs()
                .map(|job| format!("{:x} {}", job.request.id, job.phase_name()))
                .collect();
            world.broken.push(format!("i{index} still has {phases:?}"));
        }
    }
    let untold: Vec<u64> = world
        .callers
        .iter()
        .filter(|(_, caller)| !caller.answered && caller.told.is_empty() && !caller.gone)
        .map(|(number, _)| *number)
        .collect();
    if !untold.is_empty() {
        world
            .broken
            .push(format!("callers were told nothing: {untold:x?}"));
    }
}

fn check_versions(world: &mut World) {
    let versions: Vec<u64> = world
        .nodes
        .iter()
        .map(|node| node.instance.config().version)
        .collect();
    if versions.iter().any(|version| *version != versions[0]) {
        world
            .broken
            .push(format!("versions in force differ: {versions:?}"));
    }
}
