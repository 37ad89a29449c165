//! Fault injection: processes, links, the store and operators' commands.

use std::time::Duration;

use wire::Name;

use crate::simulation::Backend;
use crate::simulation::Simulation;

/// Injects one random fault, or ends the faults of links, the store and leaving servers.
pub fn inject_random(sim: &mut Simulation) {
    match sim.rng.u8(0..15) {
        0 => restart_instance(sim),
        1 => pause_instance(sim),
        2 => partition_data_centre(sim),
        3 | 4 => repair(sim),
        5 => store_outage(sim),
        6 => lose_store_answers(sim),
        7 | 8 => crash_random_server(sim),
        9 => make_server_cold(sim),
        10 => reclaim_server(sim),
        11 => take_out_data_centre(sim),
        12 => bring_back_data_centre(sim),
        13 => submit_conflicting_commands(sim),
        _ => lossy_network(sim),
    }
}

fn random_server(sim: &mut Simulation) -> Name {
    let names: Vec<Name> = sim.servers.keys().cloned().collect();
    let index = sim.rng.usize(0..names.len());
    names[index].clone()
}

fn random_node(sim: &mut Simulation) -> usize {
    sim.rng.usize(0..sim.nodes.len())
}

fn random_data_centre(sim: &mut Simulation) -> Name {
    let node = random_node(sim);
    sim.nodes[node].data_centre.clone()
}

fn restart_instance(sim: &mut Simulation) {
    let index = random_node(sim);
    sim.record(format!("i{index} is replaced by a new process"));
    sim.restart_node(index);
}

fn pause_instance(sim: &mut Simulation) {
    let index = random_node(sim);
    let pause = Duration::from_millis(sim.rng.u64(300..5_000));
    sim.record(format!("i{index} is paused for {pause:?}"));
    sim.nodes[index].paused_until = sim.now + pause;
}

fn partition_data_centre(sim: &mut Simulation) {
    let centre = random_data_centre(sim);
    let others: Vec<Name> = sim
        .nodes
        .iter()
        .map(|node| node.data_centre.clone())
        .filter(|other| *other != centre)
        .collect();
    let (outgoing, incoming) = match sim.rng.u8(0..4) {
        0 => (true, false),
        1 => (false, true),
        _ => (true, true),
    };
    for other in others {
        if outgoing {
            sim.cut_links.push((centre.clone(), other.clone()));
        }
        if incoming {
            sim.cut_links.push((other, centre.clone()));
        }
    }
    if sim.rng.bool() {
        sim.cut_off_from_platform.push(centre.clone());
    }
    sim.record(format!(
        "{centre} is partitioned: outgoing links cut: {outgoing}, incoming links cut: {incoming}"
    ));
}

/// Restores links and the store, resets the frame loss to 1 % and ends the servers that are
/// leaving.
fn repair(sim: &mut Simulation) {
    sim.record("links and store are restored, leaving servers end");
    sim.repair_links_and_platform();
    sim.frame_loss = 0.01;
    crash_leaving_servers(sim);
}

/// Crashes the servers that are leaving. Like every crashed server, each of them restarts after a
/// delay.
pub fn crash_leaving_servers(sim: &mut Simulation) {
    let leaving: Vec<Name> = sim
        .servers
        .iter()
        .filter(|(_, server)| server.list_entry.leaving)
        .map(|(name, _)| name.clone())
        .collect();
    for name in leaving {
        crash_server(sim, &name);
    }
}

fn crash_server(sim: &mut Simulation, name: &Name) {
    let server = sim.servers.get_mut(name).expect("the server exists");
    match &mut server.backend {
        Backend::Engine(engine) => engine.crash(),
        Backend::Plain(plain) => plain.crash(),
    }
    sim.handle_server_crash(name);
}

fn store_outage(sim: &mut Simulation) {
    sim.record("the store is down");
    sim.platform.faults.down = true;
}

fn lose_store_answers(sim: &mut Simulation) {
    sim.record("the store loses 30 % of the answers to writes");
    sim.platform.faults.lost_answers = 0.3;
}

fn crash_random_server(sim: &mut Simulation) {
    let name = random_server(sim);
    crash_server(sim, &name);
}

fn make_server_cold(sim: &mut Simulation) {
    let name = random_server(sim);
    sim.record(format!("{name} becomes cold"));
    let now = sim.now;
    match &mut sim
        .servers
        .get_mut(&name)
        .expect("the server exists")
        .backend
    {
        Backend::Engine(engine) => engine.cool_down(now),
        Backend::Plain(plain) => plain.cool_down(now),
    }
}

fn reclaim_server(sim: &mut Simulation) {
    let name = random_server(sim);
    sim.record(format!("{name} is leaving and will be reclaimed"));
    let server = sim.servers.get_mut(&name).expect("the server exists");
    server.list_entry.leaving = true;
    server.list_entry.reclaimed = true;
    match &mut server.backend {
        Backend::Engine(engine) => engine.leave(),
        Backend::Plain(plain) => plain.leave(),
    }
}

fn take_out_data_centre(sim: &mut Simulation) {
    let (node, centre) = (random_node(sim), random_data_centre(sim));
    sim.submit_command(node, format!("take out data-centre {centre}"));
}

fn bring_back_data_centre(sim: &mut Simulation) {
    let (node, centre) = (random_node(sim), random_data_centre(sim));
    sim.submit_command(node, format!("bring back data-centre {centre}"));
}

/// Submits two conflicting commands at the same time, as two operators would.
fn submit_conflicting_commands(sim: &mut Simulation) {
    let (first, second) = (random_node(sim), random_node(sim));
    let (first_centre, second_centre) = (random_data_centre(sim), random_data_centre(sim));
    sim.submit_command(first, format!("take out data-centre {first_centre}"));
    sim.submit_command(second, format!("take out data-centre {second_centre}"));
}

fn lossy_network(sim: &mut Simulation) {
    sim.record("20 % of the frames are lost");
    sim.frame_loss = 0.2;
}
