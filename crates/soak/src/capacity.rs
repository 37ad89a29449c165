//! What instances cost as the fleet grows: processor time, bytes of frames, calls of the store.

use std::time::Duration;

use crate::world::Cost;
use crate::world::Plan;
use crate::world::World;

/// Time before anything is counted, in which the instances find each other and what they say of that
/// has spread.
const WARM: Duration = Duration::from_secs(60);
/// Time that is counted.
const COUNTED: Duration = Duration::from_secs(10);

/// One row: what one instance costs in a second.
#[derive(Clone, Copy, Debug)]
struct Row {
    plan: Plan,
    cost: Cost,
    store_writes: u64,
}

/// Prints the slopes: each row changes one thing.
pub fn print() {
    println!("each row: one instance in one second");
    println!(
        "{:<34} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "what", "cpu %", "bytes", "member", "admit", "ledger", "config", "calls", "writes/s"
    );
    for instances in [3, 8, 16, 32, 64, 128] {
        show(
            &format!("{instances} instances, idle"),
            Plan {
                pause: IDLE,
                ..plan(instances)
            },
            0,
        );
    }
    for (name, pause_ms) in [("2", 62), ("4", 31), ("8", 16), ("16", 8)] {
        let pause = Duration::from_millis(pause_ms);
        show(
            &format!("8 instances, {name} requests/s each"),
            Plan { pause, ..plan(8) },
            0,
        );
    }
    for engines in [4, 8, 16, 32] {
        show(
            &format!("8 instances, {engines} engines a centre"),
            Plan { engines, ..plan(8) },
            0,
        );
    }
    for organisations in [1, 10, 100, 260] {
        let plan = Plan {
            organisations,
            ..plan(8)
        };
        show(
            &format!("8 instances, {organisations} organisations"),
            plan,
            0,
        );
    }
    for changes in [0, 10, 50] {
        let plan = Plan {
            pause: IDLE,
            ..plan(8)
        };
        show(
            &format!("8 instances, {changes} changes in 10 s"),
            plan,
            changes,
        );
    }
    for (name, pause_us) in [
        ("50", 20_000),
        ("100", 10_000),
        ("250", 4_000),
        ("500", 2_000),
    ] {
        let plan = Plan {
            pause: Duration::from_micros(pause_us),
            marks: Some(1.0),
            plains: 8,
            ..plan(8)
        };
        show(
            &format!("8 instances, {name} keyed requests/s in all"),
            plan,
            0,
        );
    }
}

/// Time between two requests of a fleet that has nothing to do.
const IDLE: Duration = Duration::from_secs(1_000);

fn plan(instances: usize) -> Plan {
    Plan {
        centres: 2,
        instances,
        engines: 8,
        plains: 2,
        organisations: 10,
        pause: Duration::from_millis(31),
        length: 40,
        marks: Some(0.0),
        trouble: false,
    }
}

fn show(name: &str, plan: Plan, changes: u64) {
    let row = measure(plan, changes);
    let seconds = COUNTED.as_secs_f64();
    let share = |value: f64| value / seconds / row.plan.instances as f64;
    let bytes = |index: usize| share(row.cost.by_purpose[index] as f64);
    println!(
        "{name:<34} {:>9.3} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>9.2} {:>9.1}",
        share(row.cost.time.as_secs_f64()) * 100.0,
        share(row.cost.bytes as f64),
        bytes(0),
        bytes(1),
        bytes(2),
        bytes(3),
        share(row.cost.store_calls as f64),
        row.store_writes as f64 / seconds,
    );
}

fn measure(plan: Plan, changes: u64) -> Row {
    let mut world = World::with_plan(plan, fastrand::Rng::with_seed(5));
    world.run_until(WARM);
    let before = world.cost;
    let writes = world.platform.counts.writes;
    for step in 0..changes {
        let line = format!("set route status deadline_ms {}", 3_000 + step);
        world.command(step as usize % plan.instances, line);
        world.run_until(WARM + COUNTED.mul_f64((step + 1) as f64 / changes as f64));
    }
    world.run_until(WARM + COUNTED);
    let after = world.cost;
    let mut cost = Cost {
        time: after.time - before.time,
        bytes: after.bytes - before.bytes,
        store_calls: after.store_calls - before.store_calls,
        ..Cost::default()
    };
    for (index, bytes) in cost.by_purpose.iter_mut().enumerate() {
        *bytes = after.by_purpose[index] - before.by_purpose[index];
    }
    Row {
        plan,
        cost,
        store_writes: world.platform.counts.writes - writes,
    }
}
