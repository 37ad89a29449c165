//! Verdicts on requests, by the fingerprint of all that a server is sent and by that of path, caller
//! and body.

use std::time::Duration;

use clock::Time;
use suspect::Finding;
use suspect::REQUESTS;
use suspect::Status;
use suspect::Table;
use wire::Fingerprint;
use wire::gossip::Evidence;

const NOW: Time = Duration::from_secs(1_000);
const REQUEST: Fingerprint = 7;
const GROUP: Fingerprint = 1_000_000;

fn after(ms: u64) -> Time {
    NOW + Duration::from_millis(ms)
}

/// Merges the crash of a server under a request of the group.
fn crash(table: &mut Table, now: Time, server: u64, request: Fingerprint) {
    for subject in [request, GROUP] {
        let evidence = Evidence::Crash { server, request };
        table.merge(now, &Finding::new(subject, evidence));
    }
}

fn sound(table: &mut Table, now: Time, request: Fingerprint) {
    for subject in [request, GROUP] {
        table.merge(now, &Finding::new(subject, Evidence::Sound));
    }
}

fn is_barred(table: &Table, now: Time, subject: Fingerprint) -> bool {
    matches!(table.status(now, subject), Status::Barred { .. })
}

#[test]
fn request_is_barred_with_the_third_server_that_crashes_under_it() {
    let mut table = Table::new(REQUESTS);
    for number in 0..3 {
        assert!(!is_barred(&table, after(number * 800), REQUEST));
        crash(&mut table, after(number * 800), number, REQUEST);
    }
    assert!(is_barred(&table, after(1_600), REQUEST));
    assert_eq!(table.status(after(1_600), GROUP), Status::Clear);
}

#[test]
fn servers_that_fail_together_bar_no_request() {
    let mut table = Table::new(REQUESTS);
    for server in 0..20 {
        crash(&mut table, after(server), server, REQUEST);
    }
    assert_eq!(table.status(after(100), REQUEST), Status::Clear);
    assert_eq!(table.status(after(100), GROUP), Status::Clear);
}

#[test]
fn servers_that_fail_one_by_one_bar_no_request_that_is_served_meanwhile() {
    let mut table = Table::new(REQUESTS);
    for number in 0..40 {
        crash(&mut table, after(number * 2_000), number, REQUEST);
        sound(&mut table, after(number * 2_000 + 60), REQUEST);
    }
    assert_eq!(table.status(after(80_000), REQUEST), Status::Clear);
    assert_eq!(table.status(after(80_000), GROUP), Status::Clear);
}

/// Sound requests of the same path, caller and body are told apart from the one that crashes servers.
#[test]
fn request_is_barred_alone_among_sound_ones_of_its_group() {
    let mut table = Table::new(REQUESTS);
    for number in 0..6 {
        let at = after(number * 800);
        crash(&mut table, at, number, REQUEST);
        crash(&mut table, at, number, 100 + number);
        for other in 200..210 {
            sound(&mut table, at + Duration::from_millis(100), other);
        }
    }
    assert!(is_barred(&table, after(4_100), REQUEST));
    assert_eq!(table.status(after(4_100), GROUP), Status::Clear);
    for number in 0..6 {
        assert_eq!(table.status(after(4_100), 100 + number), Status::Clear);
    }
}

/// Requests that were lost beside the one at fault do not bar what they have in common with it.
#[test]
fn crashes_that_a_barred_request_explains_do_not_count_against_its_group() {
    let mut table = Table::new(REQUESTS);
    for number in 0..6 {
        crash(&mut table, after(number * 800), number, 100 + number);
        assert_eq!(table.status(after(number * 800), GROUP), Status::Clear);
        crash(&mut table, after(number * 800 + 1), number, REQUEST);
    }
    assert!(is_barred(&table, after(4_100), REQUEST));
    assert_eq!(table.status(after(4_100), GROUP), Status::Clear);
}

#[test]
fn request_that_comes_with_another_query_each_time_is_barred_by_its_group() {
    let mut table = Table::new(REQUESTS);
    for number in 0..4 {
        crash(&mut table, after(number * 800), number, 100 + number);
    }
    assert!(is_barred(&table, after(2_400), GROUP));
}

/// A request that crashes its servers reaches three more at most within the hour after the third.
#[test]
fn bar_ends_in_trials_that_grow_rare() {
    let mut table = Table::new(REQUESTS);
    for number in 0..3 {
        crash(&mut table, after(number * 800), number, REQUEST);
    }
    let barred_at = after(1_600);
    let mut now = barred_at;
    let mut trials = 0;
    while let Status::Barred { until } = table.status(now, REQUEST) {
        now = until;
        if now - barred_at > Duration::from_secs(3_600) {
            break;
        }
        assert_eq!(table.status(now, REQUEST), Status::OnTrial);
        trials += 1;
        crash(&mut table, now, 100 + trials, REQUEST);
    }
    assert_eq!(trials, 3);
}

#[test]
fn runs_that_were_under_way_when_a_request_was_barred_do_not_lengthen_its_bar() {
    let mut table = Table::new(REQUESTS);
    for number in 0..6 {
        crash(&mut table, after(number * 200), number, REQUEST);
    }
    let Status::Barred { until } = table.status(after(1_000), REQUEST) else {
        panic!("the request is barred");
    };
    assert_eq!(until, after(1_000) + REQUESTS.bar_time);
}

/// The time of a strike of an earlier build is known to the second only.
#[test]
fn findings_with_vague_times_are_no_episodes_of_their_own() {
    let mut table = Table::new(REQUESTS);
    for number in 0..3 {
        let finding = Finding {
            age: Duration::from_millis(number * 400),
            precision: Duration::from_millis(1_500),
            ..Finding::new(
                GROUP,
                Evidence::Crash {
                    server: number,
                    request: number,
                },
            )
        };
        table.merge(after(5_000), &finding);
    }
    assert_eq!(table.status(after(5_000), GROUP), Status::Clear);
}

#[test]
fn request_that_crashed_two_servers_is_remembered_among_many_innocent_ones() {
    let mut table = Table::new(REQUESTS);
    crash(&mut table, after(0), 1, REQUEST);
    crash(&mut table, after(800), 2, REQUEST);
    for number in 0..20_000 {
        let subject = 10_000 + number;
        let evidence = Evidence::Crash {
            server: 3,
            request: subject,
        };
        table.merge(after(900 + number), &Finding::new(subject, evidence));
    }
    crash(&mut table, after(25_000), 4, REQUEST);
    assert!(is_barred(&table, after(25_000), REQUEST));
}

/// A part of a fleet that was cut off learns of a request that the others have barred.
#[test]
fn bar_is_gossiped_to_an_instance_that_was_cut_off() {
    let mut table = Table::new(REQUESTS);
    for number in 0..3 {
        crash(&mut table, after(number * 800), number, REQUEST);
    }
    for _ in 0..100 {
        table.take_gossip(after(2_000));
    }
    let mut late = Table::new(REQUESTS);
    for finding in table.take_gossip(after(6_000)) {
        late.merge(after(6_000), &finding);
    }
    assert!(is_barred(&late, after(6_000), REQUEST));
}

/// Guards against a request that stays on trial for ever, since its crashes are forgotten and a sound run
/// refutes nothing.
#[test]
fn sound_run_long_after_a_bar_clears_the_request() {
    let mut table = Table::new(REQUESTS);
    for number in 0..3 {
        crash(&mut table, after(number * 800), number, REQUEST);
    }
    let later = NOW + Duration::from_secs(7_200);
    assert_eq!(table.status(later, REQUEST), Status::OnTrial);
    sound(&mut table, later, REQUEST);
    assert_eq!(table.status(later, REQUEST), Status::Clear);
}

/// The time of a strike gets no more exact on the way.
#[test]
fn findings_with_vague_times_are_not_gossiped() {
    let mut table = Table::new(REQUESTS);
    crash(&mut table, NOW, 1, REQUEST);
    for server in 2..6 {
        let vague = Finding {
            precision: Duration::from_millis(1_500),
            ..Finding::new(
                GROUP,
                Evidence::Crash {
                    server,
                    request: server,
                },
            )
        };
        table.merge(NOW, &vague);
    }
    let gossiped = table.take_gossip(NOW);
    let is_exact = |finding: &Finding| {
        finding.evidence
            == Evidence::Crash {
                server: 1,
                request: REQUEST,
            }
    };
    assert_eq!(gossiped.len(), 2);
    assert!(gossiped.iter().all(is_exact));
}

/// Guards against a strike that arrives before the findings which it repeats, and hides their times.
#[test]
fn finding_replaces_a_vaguer_one_of_the_same_crash() {
    let mut table = Table::new(REQUESTS);
    for server in 0..3 {
        let vague = Finding {
            age: Duration::from_millis(300),
            precision: Duration::from_millis(1_500),
            ..Finding::new(
                REQUEST,
                Evidence::Crash {
                    server,
                    request: server,
                },
            )
        };
        table.merge(after(2_000), &vague);
    }
    assert!(!is_barred(&table, after(2_000), REQUEST));
    for server in 0..3 {
        let evidence = Evidence::Crash {
            server,
            request: REQUEST,
        };
        let exact = Finding {
            age: Duration::from_millis(2_000 - server * 800),
            ..Finding::new(REQUEST, evidence)
        };
        assert!(table.merge(after(2_000), &exact));
    }
    assert!(is_barred(&table, after(2_000), REQUEST));
}

/// Guards against forgetting a bar in a process that has just started: the crashes that it is told of
/// happened before its clock began.
#[test]
fn crashes_before_the_start_of_the_process_are_told_apart() {
    let mut table = Table::new(REQUESTS);
    let now = Duration::from_millis(300);
    for (server, age_s) in [(1, 12), (2, 8), (3, 4)] {
        let request = REQUEST;
        let finding = Finding {
            age: Duration::from_secs(age_s),
            ..Finding::new(REQUEST, Evidence::Crash { server, request })
        };
        table.merge(now, &finding);
    }
    let until = now + Duration::from_secs(6);
    assert_eq!(table.status(now, REQUEST), Status::Barred { until });
}
