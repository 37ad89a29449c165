//! Frames of an earlier build: what it sends is read, and what is sent to it is what it reads.

use std::net::SocketAddr;
use std::time::Duration;

use wire::Body;
use wire::Name;
use wire::admission::Denial;
use wire::admission::End;
use wire::admission::Endpoint;
use wire::admission::Grant;
use wire::admission::Item;
use wire::admission::Report;
use wire::admission::Reservation;
use wire::admission::Work;
use wire::gossip::Entry;
use wire::gossip::Evidence;
use wire::gossip::Gossip;
use wire::gossip::Leaving;
use wire::gossip::PartFinding;
use wire::gossip::Rumour;
use wire::gossip::State;
use wire::gossip::Strike;
use wire::ledger::Answer;
use wire::ledger::Claim;
use wire::ledger::ClaimStatus;
use wire::ledger::Outcome;
use wire::ledger::Settle;
use wire::limit::Limit;
use wire::limit::Permit;
use wire::limit::PermitRequest;
use wire::origin::Origin;
use wire::server_list::Server;
use wire::server_list::ServerListUpdate;

fn address() -> SocketAddr {
    ([10, 1, 0, 9], 8_800).into()
}

fn name(text: &str) -> Name {
    Name::from(text)
}

fn gossip() -> Gossip {
    let entry = Entry {
        id: u64::MAX - 1,
        name: name("front-1"),
        data_centre: name("east"),
        peers: address(),
        callers: address(),
        operators: address(),
    };
    let states = [State::Alive, State::Leaving, State::Suspect, State::Dead];
    let rumour = |state| Rumour {
        entry: entry.clone(),
        state,
        version: 300,
    };
    Gossip {
        rumours: states.into_iter().map(rumour).collect(),
        config: 1 << 90,
        config_digest: 77,
        strikes: vec![Strike {
            fingerprint: 5,
            server: 6,
            age_s: 7,
        }],
        leaving: leaving(),
    }
}

fn leaving() -> Vec<Leaving> {
    vec![Leaving {
        server: name("r-1"),
        boot: 1_770_889_256_100,
        age_ms: 250,
    }]
}

fn work() -> Work {
    Work {
        organisation: name("shop"),
        route: name("letters"),
        class: 3,
        prompt_tokens: 3_000,
        delivered_tokens: 16,
        expected_tokens: 900,
        prefixes: vec![1, u64::MAX],
    }
}

fn endpoint() -> Endpoint {
    Endpoint {
        server: name("r-2"),
        address: address(),
        boot: 9,
    }
}

fn origin() -> Origin {
    Origin {
        pool: name("gen"),
        software: name("v2"),
    }
}

fn answer() -> Answer {
    Answer {
        status: 200,
        media: "text/plain".into(),
        body: Some(vec![1, 2, 3]),
    }
}

fn ended(end: End) -> Item {
    Item::Ended {
        attempt: 4,
        end,
        generated: 80,
        first_token_ms: 300,
    }
}

/// Returns frames of each kind that build dd701e6 knows, with each variant of what they hold.
fn bodies() -> Vec<Body> {
    let ends = [
        End::Complete,
        End::Cancelled,
        End::Refused,
        End::Unreachable,
        End::Crashed,
        End::Unused,
        End::Failed,
    ];
    let mut items = vec![
        Item::Running {
            attempt: 4,
            server: name("r-1"),
            work: work(),
            generated: 64,
            replica: Some(name("r-2")),
        },
        Item::Progress {
            attempt: 4,
            generated: 65,
        },
    ];
    items.extend(ends.into_iter().map(ended));
    let mut bodies = vec![
        Body::Ping {
            probe: 1,
            gossip: gossip(),
        },
        Body::Ack {
            probe: 2,
            gossip: Gossip::default(),
        },
        Body::PingRequest {
            probe: 3,
            target: 4,
        },
        Body::SyncOffer { digest: 5 },
        Body::SyncView {
            rumours: gossip().rumours,
            is_reply: true,
        },
        Body::Strikes {
            strikes: gossip().strikes,
        },
        Body::Leaving { servers: leaving() },
        Body::Reserve(Reservation {
            attempt: 6,
            pool: name("gen"),
            data_centre: name("east"),
            work: work(),
            avoid: vec![name("r-3")],
            suspect: true,
            wait_ms: 1_200,
            resume_server: Some(name("r-4")),
            software: Some(name("v1")),
        }),
        Body::Queued {
            attempt: 7,
            wait_ms: 8,
        },
        Body::Grant(Grant {
            attempt: 9,
            server: name("r-1"),
            address: address(),
            boot: 10,
            priority: 200,
            age_ms: 11,
            replica: Some(endpoint()),
        }),
        Body::Redirect {
            attempt: 12,
            coordinator: 13,
        },
        Body::Withdraw { attempt: 14 },
        Body::Report(Report {
            pool: name("gen"),
            seq: 15,
            full: true,
            items,
        }),
        Body::Resync { pool: name("gen") },
        Body::Claim(Claim {
            key: 1 << 100,
            claim: 16,
            owner: 17,
            retention_s: 18,
        }),
        Body::Settle(Settle {
            key: 1 << 100,
            claim: 19,
            outcome: Outcome::Done(answer()),
        }),
        Body::Settled { claim: 20 },
        Body::FetchConfig {
            after: 21,
            digest: 22,
        },
        Body::ConfirmConfig {
            version: 23,
            digest: 24,
        },
        Body::ConfigChanges { json: vec![91, 93] },
        Body::ConfigVersion {
            version: 25,
            digest: 26,
        },
        Body::ConfigSnapshot {
            json: vec![123, 125],
        },
        Body::KeepCopy {
            attempt: 27,
            endpoint: endpoint(),
        },
        Body::CopyFailed {
            attempt: 28,
            pool: name("gen"),
        },
        Body::FetchServerList,
        Body::ServerList(ServerListUpdate {
            era: 1,
            base_revision: 2,
            revision: 3,
            servers: vec![Server {
                name: name("r-1"),
                data_centre: name("east"),
                label: name("gen"),
                address: address(),
                boot: 4,
                software: name("v1"),
                leaving: true,
                reclaimed: false,
                cold_left_ms: 5,
            }],
            removed: vec![name("r-2")],
            kept: vec![name("r-3")],
            grace_ms: 6,
            config_version: 7,
            config_digest: 8,
        }),
        Body::FetchConfigPart {
            version: 29,
            offset: 30,
        },
        Body::ConfigPart {
            version: 31,
            offset: 32,
            size: 33,
            bytes: vec![34],
        },
        Body::PartFindings {
            findings: vec![
                PartFinding {
                    part: 35,
                    age_ms: 36,
                    evidence: Evidence::Crash {
                        server: 37,
                        request: 38,
                    },
                },
                PartFinding {
                    part: 39,
                    age_ms: 40,
                    evidence: Evidence::Sound,
                },
            ],
        },
        Body::StreamBegun {
            stream: 41,
            origin: origin(),
        },
        Body::FindOrigin { stream: 42 },
        Body::OriginFound {
            stream: 43,
            origin: Some(origin()),
        },
        Body::Limits {
            limits: vec![Limit {
                server: name("r-1"),
                boot: 44,
                rate: Some(3_000),
                age_ms: 45,
            }],
        },
        Body::RequestPermit(PermitRequest {
            attempt: 46,
            server: name("r-1"),
            boot: 47,
            rate: 48,
            wait_ms: 49,
        }),
        Body::Permit(Permit {
            attempt: 50,
            is_given: true,
            wait_ms: 51,
        }),
        Body::Strained {
            server: name("r-1"),
            boot: 52,
            backoff_ms: 53,
        },
    ];
    let denials = [
        Denial::Full,
        Denial::Limited,
        Denial::NoServer,
        Denial::Learning,
    ];
    bodies.extend(denials.into_iter().map(|denial| Body::Deny {
        attempt: 54,
        denial,
        retry_ms: 55,
    }));
    let statuses = [
        ClaimStatus::Fresh,
        ClaimStatus::Done(answer()),
        ClaimStatus::Taken { owner: 56 },
        ClaimStatus::Unknown,
        ClaimStatus::Unavailable,
    ];
    bodies.extend(
        statuses
            .into_iter()
            .map(|status| Body::Claimed { claim: 57, status }),
    );
    bodies.extend([Outcome::Released, Outcome::Unknown].map(|outcome| {
        Body::Settle(Settle {
            key: 58,
            claim: 59,
            outcome,
        })
    }));
    bodies
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Returns all frames as sealed by one sender, a line each.
fn sealed() -> Vec<String> {
    let key = wire::seal::key_from_text("a shared secret");
    let mut sealer = wire::seal::Sealer::new(key, 1);
    let now = Duration::from_secs(1_700_000_000);
    let seal = |body| hex(&sealer.seal(2, now, body));
    bodies().into_iter().map(seal).collect()
}

fn from_hex(line: &str) -> Vec<u8> {
    let digits = line.as_bytes().chunks(2);
    let byte = |pair: &[u8]| {
        let text = std::str::from_utf8(pair).expect("hex digits");
        u8::from_str_radix(text, 16).expect("hex digits")
    };
    digits.map(byte).collect()
}

/// Written by build dd701e6.
const FRAMES: &str = include_str!("frames-dd701e6.txt");

#[test]
fn frames_of_an_earlier_build_are_read() {
    let key = wire::seal::key_from_text("a shared secret");
    let mut opener = wire::seal::Opener::new(key, 2);
    let now = Duration::from_secs(1_700_000_000);
    let expected = bodies();
    assert_eq!(FRAMES.lines().count(), expected.len());
    for (line, body) in FRAMES.lines().zip(expected) {
        let frame = opener.open(&from_hex(line), now).expect("it is read");
        assert_eq!(frame.body, body);
    }
}

#[test]
fn frames_for_an_earlier_build_are_unchanged() {
    let written: Vec<&str> = FRAMES.lines().collect();
    assert_eq!(sealed(), written);
}

#[test]
fn frame_of_a_kind_that_is_not_known_costs_no_other_frame() {
    let key = wire::seal::key_from_text("a shared secret");
    let mut opener = wire::seal::Opener::new(key, 2);
    let now = Duration::from_secs(1_700_000_000);
    let mut sealer = wire::seal::Sealer::new(key, 1);
    let statements = Vec::new();
    let mut unknown = sealer.seal(2, now, Body::Paths { statements });
    let kind = unknown.len() - 18;
    unknown.truncate(kind);
    unknown.extend([120, 0]);
    let tag = blake3::keyed_hash(&key, &unknown);
    unknown.extend_from_slice(&tag.as_bytes()[..16]);
    let error = opener.open(&unknown, now).expect_err("it is not known");
    assert_eq!(error.kind(), wire::Kind::Malformed);
    let known = sealer.seal(2, now, Body::FetchServerList);
    assert!(opener.open(&known, now).is_ok());
}
