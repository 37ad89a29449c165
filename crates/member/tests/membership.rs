//! Small fleets: discovery, stops, pauses and shutdowns.

use std::net::SocketAddr;
use std::time::Duration;

use clock::Time;
use member::ListedInstance;
use member::Membership;
use member::OutgoingFrame;
use wire::Body;
use wire::InstanceId;
use wire::gossip::Entry;

const STEP: Duration = Duration::from_millis(50);

fn entry(id: InstanceId) -> Entry {
    let address = SocketAddr::from(([127, 0, 0, 1], id as u16));
    Entry {
        id,
        name: format!("i{id}").as_str().into(),
        data_centre: if id.is_multiple_of(2) { "a" } else { "b" }.into(),
        peers: address,
        callers: address,
        operators: address,
    }
}

/// A simulated fleet with one clock and immediate delivery of frames.
struct Fleet {
    now: Time,
    members: Vec<Membership>,
    stopped: Vec<InstanceId>,
}

impl Fleet {
    fn new(count: u64) -> Fleet {
        let listed: Vec<ListedInstance> = (1..=count)
            .map(|id| ListedInstance {
                name: entry(id).name,
                data_centre: entry(id).data_centre,
                peers: entry(id).peers,
                leaving: false,
            })
            .collect();
        let mut members: Vec<Membership> = (1..=count)
            .map(|id| Membership::new(entry(id), id))
            .collect();
        members
            .iter_mut()
            .for_each(|member| member.set_listed(listed.clone()));
        Fleet {
            now: Time::ZERO,
            members,
            stopped: Vec::new(),
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.members.len() {
                let id = self.members[index].own().id;
                let due = (self.now.as_millis() as u64 + id * 50).is_multiple_of(300);
                if due && !self.stopped.contains(&id) {
                    let sends = self.members[index].tick(self.now).sends;
                    self.deliver(id, sends);
                }
            }
        }
    }

    fn deliver(&mut self, from: InstanceId, sends: Vec<OutgoingFrame>) {
        for send in sends {
            let target = self
                .members
                .iter()
                .position(|m| m.own().peers == send.address);
            let Some(index) = target else { continue };
            let id = self.members[index].own().id;
            if self.stopped.contains(&id) || self.stopped.contains(&from) {
                continue;
            }
            let member = &mut self.members[index];
            let replies = match &send.body {
                Body::Ping { probe, gossip } => member.on_ping(self.now, from, *probe, gossip),
                Body::Ack { probe, gossip } => member.on_ack(self.now, from, *probe, gossip),
                Body::PingRequest { probe, target } => {
                    member.on_ping_request(self.now, from, *probe, *target)
                }
                _ => Vec::new(),
            };
            self.deliver(id, replies);
        }
    }

    fn live(&self, index: usize) -> usize {
        let member = &self.members[index];
        member.live("a").count() + member.live("b").count()
    }
}

#[test]
fn instances_discover_each_other_and_agree_on_coordinators() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(5));
    for index in 0..9 {
        assert_eq!(fleet.live(index), 9);
        assert_eq!(
            fleet.members[index].coordinator("a", "k"),
            fleet.members[0].coordinator("a", "k")
        );
    }
}

#[test]
fn stopped_instance_is_dead_in_all_views_within_four_seconds_and_rejoins() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(5));
    fleet.stopped.push(4);
    fleet.run(Duration::from_secs(4));
    assert!(
        (0..9)
            .filter(|i| *i != 3)
            .all(|index| fleet.live(index) == 8)
    );
    fleet.stopped.clear();
    let was_paused = fleet.members[3].tick(fleet.now).was_paused;
    assert!(was_paused, "the paused instance detects its pause");
    fleet.run(Duration::from_secs(6));
    assert!((0..9).all(|index| fleet.live(index) == 9));
}

#[test]
fn leaving_state_reaches_all_instances_within_two_seconds() {
    let mut fleet = Fleet::new(9);
    fleet.run(Duration::from_secs(5));
    fleet.members[0].leave();
    fleet.run(Duration::from_secs(2));
    assert!((0..9).all(|index| fleet.live(index) == 8));
}

#[test]
fn majority_requires_contact_with_listed_instances() {
    let mut fleet = Fleet::new(8);
    assert!(!fleet.members[0].has_majority());
    fleet.run(Duration::from_secs(5));
    assert!(fleet.members[0].has_majority());
}
