//! Compares the exact table of strikes with SpreadSketch, for two sizes of fleet.
//!
//! Each instance records its part of a day's strikes. The output shows, for each method: the memory
//! of one instance, the bytes that one instance sends to share its strikes with all others, the
//! requests barred with strikes from fewer than two servers, and the requests with strikes from two
//! servers or more that are not barred.

use std::collections::BTreeMap;
use std::time::Duration;

use suspect::Finding;
use suspect::REQUESTS;
use suspect::Rule;
use suspect::Status;
use suspect::Table;
use suspect::sketch::Sketch;
use wire::gossip::Evidence;

/// Size of one strike on the wire, in bytes: fingerprint, server, age.
const STRIKE_BYTES: usize = 22;
/// Size of one strike in a table, in bytes: two keys, a time and a share of the tree nodes.
const ENTRY_BYTES: usize = 96;
/// Time of all strikes.
const NOW: Duration = Duration::from_secs(1);

/// Size of a fleet and its crashes in one day.
struct Fleet {
    name: &'static str,
    instances: usize,
    crashes: usize,
    requests_per_crash: usize,
    crashing_requests: usize,
}

/// Returns the strikes of one day, as pairs of request and server.
fn strikes(fleet: &Fleet, rng: &mut fastrand::Rng) -> Vec<(u64, u64)> {
    let mut all = Vec::new();
    for crash in 0..fleet.crashes {
        let server = crash as u64 + 1;
        for _ in 0..fleet.requests_per_crash {
            all.push((rng.u64(..), server));
        }
    }
    for request in 0..fleet.crashing_requests {
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
            requests_per_crash: 12,
            crashing_requests: 2,
        },
        Fleet {
            name: "two years",
            instances: 320,
            crashes: 300,
            requests_per_crash: 16,
            crashing_requests: 20,
        },
    ];
    println!("fleet      method              memory B  sent B/instance  barred wrongly  missed");
    for fleet in &fleets {
        let mut rng = fastrand::Rng::with_seed(1);
        let strikes = strikes(fleet, &mut rng);
        print_table(fleet, &strikes);
        for width in [64, 512, 4_096] {
            print_sketch(fleet, &strikes, width);
        }
    }
}

/// Returns the exact number of distinct servers of each request.
fn server_counts(strikes: &[(u64, u64)]) -> BTreeMap<u64, usize> {
    let mut servers: BTreeMap<u64, Vec<u64>> = BTreeMap::new();
    for (request, server) in strikes {
        let distinct = servers.entry(*request).or_default();
        if !distinct.contains(server) {
            distinct.push(*server);
        }
    }
    servers
        .into_iter()
        .map(|(request, distinct)| (request, distinct.len()))
        .collect()
}

fn count_errors(strikes: &[(u64, u64)], is_barred: impl Fn(u64) -> bool) -> (usize, usize) {
    let mut barred_wrongly = 0;
    let mut missed = 0;
    for (request, servers) in server_counts(strikes) {
        let barred = is_barred(request);
        barred_wrongly += usize::from(barred && servers < 2);
        missed += usize::from(!barred && servers >= 2);
    }
    (barred_wrongly, missed)
}

fn print_table(fleet: &Fleet, strikes: &[(u64, u64)]) {
    let mut table = Table::new(Rule {
        servers_min: 2,
        episodes_min: 1,
        ..REQUESTS
    });
    for (request, server) in strikes {
        let evidence = Evidence::Crash {
            server: *server,
            request: *request,
        };
        table.merge(NOW, &Finding::new(*request, evidence));
    }
    let is_barred = |request| matches!(table.status(NOW, request), Status::Barred { .. });
    let (barred_wrongly, missed) = count_errors(strikes, is_barred);
    let sent = strikes.len() * STRIKE_BYTES / fleet.instances * (fleet.instances - 1);
    print_row(
        fleet,
        "table",
        strikes.len() * ENTRY_BYTES,
        sent,
        barred_wrongly,
        missed,
    );
}

fn print_sketch(fleet: &Fleet, strikes: &[(u64, u64)], width: usize) {
    let mut sketches = vec![Sketch::new(4, width); fleet.instances];
    for (index, (request, server)) in strikes.iter().enumerate() {
        sketches[index % fleet.instances].add(*request, *server);
    }
    let mut merged = Sketch::new(4, width);
    for sketch in &sketches {
        merged.merge(sketch);
    }
    let (barred_wrongly, missed) = count_errors(strikes, |r| merged.estimate(r) >= 1.5);
    let sent = merged.bytes() * (fleet.instances - 1);
    let name = format!("sketch 4 x {width}");
    print_row(fleet, &name, merged.bytes(), sent, barred_wrongly, missed);
}

fn print_row(
    fleet: &Fleet,
    method: &str,
    memory: usize,
    sent: usize,
    barred_wrongly: usize,
    missed: usize,
) {
    let name = fleet.name;
    println!("{name:<10} {method:<18} {memory:>9} {sent:>16} {barred_wrongly:>15} {missed:>7}");
}
