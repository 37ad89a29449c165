//! Convergence of the views of a large fleet that starts at once, as after a loss of power.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use member::ListedInstance;
use member::Membership;
use member::OutgoingFrame;
use wire::Body;
use wire::InstanceId;
use wire::gossip::Entry;

const DATA_CENTRES: [&str; 5] = ["a", "b", "c", "d", "e"];
const STEP: Duration = Duration::from_millis(10);

fn entry(id: InstanceId) -> Entry {
    let address = SocketAddr::from(([10, 0, (id / 250) as u8, (id % 250) as u8], 80));
    Entry {
        id,
        name: format!("i{id}").as_str().into(),
        data_centre: DATA_CENTRES[id as usize % DATA_CENTRES.len()].into(),
        peers: address,
        callers: address,
        operators: address,
    }
}

/// Instances that start at once. Each frame arrives one step after it was sent.
struct Fleet {
    now: Duration,
    members: BTreeMap<SocketAddr, Membership>,
    in_transit: Vec<(InstanceId, OutgoingFrame)>,
    bytes: usize,
}

impl Fleet {
    /// Starts a fleet. Every instance knows the first three; the platform lists all of them.
    fn new(count: u64, listed: u64) -> Fleet {
        let list: Vec<ListedInstance> = (1..=listed)
            .map(|id| ListedInstance {
                name: entry(id).name,
                data_centre: entry(id).data_centre,
                peers: entry(id).peers,
                leaving: false,
            })
            .collect();
        let members = (1..=count).map(|id| {
            let mut member = Membership::new(entry(id), id);
            member.set_listed(list.clone());
            (entry(id).peers, member)
        });
        Fleet {
            now: Duration::ZERO,
            members: members.collect(),
            in_transit: Vec::new(),
            bytes: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for (from, frame) in std::mem::take(&mut self.in_transit) {
                self.deliver(from, frame);
            }
            for member in self.members.values_mut() {
                let id = member.own().id;
                let phase = self.now.as_millis() as u64 + id * 10;
                if phase.is_multiple_of(300) {
                    let sends = member.tick(self.now).sends;
                    self.in_transit
                        .extend(sends.into_iter().map(|frame| (id, frame)));
                }
            }
        }
    }

    fn deliver(&mut self, from: InstanceId, frame: OutgoingFrame) {
        let Some(member) = self.members.get_mut(&frame.address) else {
            return;
        };
        let to = member.own().id;
        let replies = match &frame.body {
            Body::Ping { probe, gossip } => member.on_ping(self.now, from, *probe, gossip),
            Body::Ack { probe, gossip } => member.on_ack(self.now, from, *probe, gossip),
            Body::PingRequest { probe, target } => {
                member.on_ping_request(self.now, from, *probe, *target)
            }
            Body::SyncOffer { digest } => member.on_sync_offer(from, *digest),
            Body::SyncView { rumours, is_reply } => {
                self.bytes += rumours.len() * 80;
                member.on_sync_view(self.now, from, rumours, *is_reply)
            }
            _ => Vec::new(),
        };
        self.in_transit
            .extend(replies.into_iter().map(|reply| (to, reply)));
    }

    /// Returns the smallest and the greatest number of instances that one believes to be running.
    fn view_sizes(&self) -> (usize, usize) {
        let sizes = self
            .members
            .values()
            .map(|member| member.running_others().count() + 1);
        let sizes: Vec<usize> = sizes.collect();
        (
            sizes.iter().copied().min().unwrap_or(0),
            sizes.iter().copied().max().unwrap_or(0),
        )
    }
}

#[test]
fn three_hundred_instances_that_start_at_once_know_each_other_within_three_seconds() {
    let mut fleet = Fleet::new(300, 300);
    fleet.run(Duration::from_secs(3));
    assert_eq!(fleet.view_sizes(), (300, 300));
}

#[test]
fn fleet_converges_from_three_seeds_alone() {
    let mut fleet = Fleet::new(120, 3);
    fleet.run(Duration::from_secs(4));
    assert_eq!(fleet.view_sizes(), (120, 120));
}

#[test]
fn equal_views_are_not_exchanged() {
    let mut fleet = Fleet::new(60, 60);
    fleet.run(Duration::from_secs(10));
    fleet.bytes = 0;
    fleet.run(Duration::from_secs(30));
    assert_eq!(fleet.bytes, 0);
}
