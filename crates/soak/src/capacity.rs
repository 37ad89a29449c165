//! Measures the cost of an instance as the fleet grows: processor time, bytes of frames sent and
//! store calls.

use std::time::Duration;

use crate::simulation::Cost;
use crate::simulation::Parameters;
use crate::simulation::Simulation;

/// Warm-up time before the measurement, in which the instances discover each other and the
/// membership information spreads.
const WARM_UP: Duration = Duration::from_secs(60);
/// Length of the measurement.
const MEASUREMENT: Duration = Duration::from_secs(10);

/// One row of the table: the cost of all instances during the measurement.
#[derive(Clone, Copy, Debug)]
struct Row {
    parameters: Parameters,
    cost: Cost,
    store_writes: u64,
}

/// Prints a table of the cost of one instance per second. The rows of a group differ in one
/// parameter.
pub fn print_table() {
    println!("each row: one instance in one second");
    println!(
        "{:<34} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "what", "cpu %", "bytes", "member", "admit", "ledger", "config", "calls", "writes/s"
    );
    for instances in [3, 8, 16, 32, 64, 128] {
        print_row(
            &format!("{instances} instances, idle"),
            Parameters {
                mean_interval: IDLE_INTERVAL,
                ..base_parameters(instances)
            },
            0,
        );
    }
    for (name, interval_ms) in [("2", 62), ("4", 31), ("8", 16), ("16", 8)] {
        let mean_interval = Duration::from_millis(interval_ms);
        print_row(
            &format!("8 instances, {name} requests/s each"),
            Parameters {
                mean_interval,
                ..base_parameters(8)
            },
            0,
        );
    }
    for engines in [4, 8, 16, 32] {
        print_row(
            &format!("8 instances, {engines} engines a centre"),
            Parameters {
                engines,
                ..base_parameters(8)
            },
            0,
        );
    }
    for organisations in [1, 10, 100, 260] {
        let parameters = Parameters {
            organisations,
            ..base_parameters(8)
        };
        print_row(
            &format!("8 instances, {organisations} organisations"),
            parameters,
            0,
        );
    }
    for changes in [0, 10, 50] {
        let parameters = Parameters {
            mean_interval: IDLE_INTERVAL,
            ..base_parameters(8)
        };
        print_row(
            &format!("8 instances, {changes} changes in 10 s"),
            parameters,
            changes,
        );
    }
    for (name, interval_us) in [
        ("50", 20_000),
        ("100", 10_000),
        ("250", 4_000),
        ("500", 2_000),
    ] {
        let parameters = Parameters {
            mean_interval: Duration::from_micros(interval_us),
            keyed_share: Some(1.0),
            plain_services: 8,
            ..base_parameters(8)
        };
        print_row(
            &format!("8 instances, {name} keyed requests/s in all"),
            parameters,
            0,
        );
    }
}

/// Mean interval between two requests of an idle fleet, longer than the whole measurement.
const IDLE_INTERVAL: Duration = Duration::from_secs(1_000);

fn base_parameters(instances: usize) -> Parameters {
    Parameters {
        data_centres: 2,
        instances,
        engines: 8,
        plain_services: 2,
        organisations: 10,
        mean_interval: Duration::from_millis(31),
        usual_output_tokens: 40,
        keyed_share: Some(0.0),
        inject_faults: false,
    }
}

fn print_row(name: &str, parameters: Parameters, changes: u64) {
    let row = measure(parameters, changes);
    let seconds = MEASUREMENT.as_secs_f64();
    let per_instance_second = |value: f64| value / seconds / row.parameters.instances as f64;
    let bytes = |index: usize| per_instance_second(row.cost.bytes_by_category[index] as f64);
    println!(
        "{name:<34} {:>9.3} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>8.0} {:>9.2} {:>9.1}",
        per_instance_second(row.cost.cpu_time.as_secs_f64()) * 100.0,
        per_instance_second(row.cost.frame_bytes as f64),
        bytes(0),
        bytes(1),
        bytes(2),
        bytes(3),
        per_instance_second(row.cost.store_calls as f64),
        row.store_writes as f64 / seconds,
    );
}

fn measure(parameters: Parameters, changes: u64) -> Row {
    let mut sim = Simulation::with_parameters(parameters, fastrand::Rng::with_seed(5));
    sim.run_until(WARM_UP);
    let before = sim.cost;
    let writes_before = sim.platform.counts.writes;
    for step in 0..changes {
        let line = format!("set route status deadline_ms {}", 3_000 + step);
        sim.submit_command(step as usize % parameters.instances, line);
        sim.run_until(WARM_UP + MEASUREMENT.mul_f64((step + 1) as f64 / changes as f64));
    }
    sim.run_until(WARM_UP + MEASUREMENT);
    let after = sim.cost;
    let mut cost = Cost {
        cpu_time: after.cpu_time - before.cpu_time,
        frame_bytes: after.frame_bytes - before.frame_bytes,
        store_calls: after.store_calls - before.store_calls,
        ..Cost::default()
    };
    for (index, bytes) in cost.bytes_by_category.iter_mut().enumerate() {
        *bytes = after.bytes_by_category[index] - before.bytes_by_category[index];
    }
    Row {
        parameters,
        cost,
        store_writes: sim.platform.counts.writes - writes_before,
    }
}
