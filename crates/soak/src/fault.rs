//! What goes wrong.

use std::time::Duration;

use wire::Name;

use crate::world::Backend;
use crate::world::World;

/// Makes something go wrong, or ends something that did.
pub fn strike(world: &mut World) {
    match world.rng.u8(0..15) {
        0 => restart_instance(world),
        1 => pause_instance(world),
        2 => cut_data_centre(world),
        3 | 4 => mend(world),
        5 => store_outage(world),
        6 => lost_answers(world),
        7 | 8 => crash_server(world),
        9 => chill_server(world),
        10 => server_leaves(world),
        11 => take_out(world),
        12 => bring_back(world),
        13 => race(world),
        _ => lossy_network(world),
    }
}

fn any_server(world: &mut World) -> Name {
    let names: Vec<Name> = world.servers.keys().cloned().collect();
    let index = world.rng.usize(0..names.len());
    names[index].clone()
}

fn any_node(world: &mut World) -> usize {
    world.rng.usize(0..world.nodes.len())
}

fn any_centre(world: &mut World) -> Name {
    let node = any_node(world);
    world.nodes[node].data_centre.clone()
}

fn restart_instance(world: &mut World) {
    let index = any_node(world);
    world.record(format!("i{index} is replaced"));
    world.restart_node(index);
}

fn pause_instance(world: &mut World) {
    let index = any_node(world);
    let time = Duration::from_millis(world.rng.u64(300..5_000));
    world.record(format!("i{index} is paused for {time:?}"));
    world.nodes[index].paused_until = world.now + time;
}

fn cut_data_centre(world: &mut World) {
    let centre = any_centre(world);
    let others: Vec<Name> = world
        .nodes
        .iter()
        .map(|node| node.data_centre.clone())
        .filter(|other| *other != centre)
        .collect();
    let (out, back) = match world.rng.u8(0..4) {
        0 => (true, false),
        1 => (false, true),
        _ => (true, true),
    };
    for other in others {
        if out {
            world.cuts.push((centre.clone(), other.clone()));
        }
        if back {
            world.cuts.push((other, centre.clone()));
        }
    }
    if world.rng.bool() {
        world.cut_off.push(centre.clone());
    }
    world.record(format!("{centre} is cut: out {out}, in {back}"));
}

/// Mends links, the store, and servers that are down.
fn mend(world: &mut World) {
    world.record("links, store and servers are mended");
    world.mend_links();
    world.loss = 0.01;
    end_leaving_servers(world);
}

/// Ends the servers that are about to go. Like every server that is down, they start anew later.
pub fn end_leaving_servers(world: &mut World) {
    let leaving: Vec<Name> = world
        .servers
        .iter()
        .filter(|(_, server)| server.listed.leaving)
        .map(|(name, _)| name.clone())
        .collect();
    for name in leaving {
        crash(world, &name);
    }
}

fn crash(world: &mut World, name: &Name) {
    let server = world.servers.get_mut(name).expect("the server is known");
    match &mut server.backend {
        Backend::Engine(engine) => engine.crash(),
        Backend::Plain(plain) => plain.crash(),
    }
    world.lose_all(name);
}

fn store_outage(world: &mut World) {
    world.record("the store is down");
    world.platform.faults.down = true;
}

fn lost_answers(world: &mut World) {
    world.record("answers of the store are lost");
    world.platform.faults.lost_answers = 0.3;
}

fn crash_server(world: &mut World) {
    let name = any_server(world);
    crash(world, &name);
}

fn chill_server(world: &mut World) {
    let name = any_server(world);
    world.record(format!("{name} turns cold"));
    let now = world.now;
    match &mut world
        .servers
        .get_mut(&name)
        .expect("the server is known")
        .backend
    {
        Backend::Engine(engine) => engine.chill(now),
        Backend::Plain(plain) => plain.chill(now),
    }
}

fn server_leaves(world: &mut World) {
    let name = any_server(world);
    world.record(format!("{name} is about to go"));
    let server = world.servers.get_mut(&name).expect("the server is known");
    server.listed.leaving = true;
    server.listed.reclaimed = true;
    match &mut server.backend {
        Backend::Engine(engine) => engine.leave(),
        Backend::Plain(plain) => plain.leave(),
    }
}

fn take_out(world: &mut World) {
    let (node, centre) = (any_node(world), any_centre(world));
    world.command(node, format!("take out data-centre {centre}"));
}

fn bring_back(world: &mut World) {
    let (node, centre) = (any_node(world), any_centre(world));
    world.command(node, format!("bring back data-centre {centre}"));
}

/// Two operators give conflicting commands at once.
fn race(world: &mut World) {
    let (first, second) = (any_node(world), any_node(world));
    let (one, other) = (any_centre(world), any_centre(world));
    world.command(first, format!("take out data-centre {one}"));
    world.command(second, format!("take out data-centre {other}"));
}

fn lossy_network(world: &mut World) {
    world.record("a fifth of the frames is lost");
    world.loss = 0.2;
}
