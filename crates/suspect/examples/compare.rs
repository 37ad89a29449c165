//! Compares the exact table of strikes with SpreadSketch, at two sizes of fleet.
//!
//! Each instance sees its part of a day's strikes. Told are: memory of one instance, bytes that it
//! sends so that all others know what it knows, requests that are barred though they were struck once
//! only, and requests that crashed two servers and are not barred.

use std::collections::BTreeMap;
use std::time::Duration;

use suspect::Status;
use suspect::Table;
use suspect::sketch::Sketch;

/// Bytes of one strike on the wire: fingerprint, server, age.
const STRIKE_BYTES: usize = 22;
/// Bytes of one strike in a table: two keys, a time, and the share of the nodes that hold them.
const ENTRY_BYTES: usize = 96;
/// The time of all strikes.
const NOW: Duration = Duration::from_secs(1);

/// One fleet.
struct Fleet {
    name: &'static str,
    instances: usize,
    crashes: usize,
    requests_a_crash: usize,
    poison: usize,
}

/// A day's strikes: request and server.
fn strikes(fleet: &Fleet, rng: &mut fastrand::Rng) -> Vec<(u64, u64)> {
    let mut all = Vec::new();
    for crash in 0..fleet.crashes {
        let server = crash as u64 + 1;
        for _ in 0..fleet.requests_a_crash {
            all.push((rng.u64(..), server));
        }
    }
    for request in 0..fleet.poison {
        let fingerprint = 0xbad0_0000 + request as u64;
        for _ in 0..2 {
            all.push((fingerprint, rng.u64(1..=fleet.crashes as u64)));
        }
    }
    all
}

fn main() {
    let fleets = [
        Fleet {
            name: "today",
            instances: 9,
            crashes: 10,
            requests_a_crash: 12,
            poison: 2,
        },
        Fleet {
            name: "two years",
            instances: 320,
            crashes: 300,
            requests_a_crash: 16,
            poison: 20,
        },
    ];
    println!("fleet      way                 memory B  sent B/instance  barred wrongly  missed");
    for fleet in &fleets {
        let mut rng = fastrand::Rng::with_seed(1);
        let strikes = strikes(fleet, &mut rng);
        show_table(fleet, &strikes);
        for width in [64, 512, 4_096] {
            show_sketch(fleet, &strikes, width);
        }
    }
}

/// Servers of each request, to judge by.
fn truth(strikes: &[(u64, u64)]) -> BTreeMap<u64, usize> {
    let mut servers: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for (request, server) in strikes {
        let known = servers.entry(*request).or_default();
        if !known.contains(server) {
            known.push(*server);
        }
    }
    servers
        .into_iter()
        .map(|(request, known)| (request, known.len()))
        .collect()
}

fn judge(strikes: &[(u64, u64)], is_barred: impl Fn(u64) -> bool) -> (usize, usize) {
    let mut wrongly = 0;
    let mut missed = 0;
    for (request, servers) in truth(strikes) {
        let barred = is_barred(request);
        wrongly += usize::from(barred && servers < 2);
        missed += usize::from(!barred && servers >= 2);
    }
    (wrongly, missed)
}

fn show_table(fleet: &Fleet, strikes: &[(u64, u64)]) {
    let mut table = Table::new(2);
    for (request, server) in strikes {
        table.strike(NOW, *request, *server);
    }
    let (wrongly, missed) = judge(strikes, |r| table.status(NOW, r) == Status::Barred);
    let sent = strikes.len() * STRIKE_BYTES / fleet.instances * (fleet.instances - 1);
    row(
        fleet,
        "table",
        strikes.len() * ENTRY_BYTES,
        sent,
        wrongly,
        missed,
    );
}

fn show_sketch(fleet: &Fleet, strikes: &[(u64, u64)], width: usize) {
    let mut parts = vec![Sketch::new(4, width); fleet.instances];
    for (index, (request, server)) in strikes.iter().enumerate() {
        parts[index % fleet.instances].add(*request, *server);
    }
    let mut merged = Sketch::new(4, width);
    for part in &parts {
        merged.merge(part);
    }
    let (wrongly, missed) = judge(strikes, |r| merged.estimate(r) >= 1.5);
    let sent = merged.bytes() * (fleet.instances - 1);
    let name = format!("sketch 4 x {width}");
    row(fleet, &name, merged.bytes(), sent, wrongly, missed);
}

fn row(fleet: &Fleet, way: &str, memory: usize, sent: usize, wrongly: usize, missed: usize) {
    let name = fleet.name;
    println!("{name:<10} {way:<18} {memory:>9} {sent:>16} {wrongly:>15} {missed:>7}");
}
