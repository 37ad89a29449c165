//! The state machine of the membership.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Time;
use wire::ANY;
use wire::Body;
use wire::InstanceId;
use wire::Name;
use wire::gossip::Entry;
use wire::gossip::Gossip;
use wire::gossip::RUMOURS_MAX;
use wire::gossip::Rumour;
use wire::gossip::State;

use crate::rendezvous;

/// Time between two probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// Time after which a direct probe is repeated through others.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an indirect probe has failed.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(350);
/// Time that a suspect has for its denial.
const SUSPECT_TIME: Duration = Duration::from_millis(900);
/// Time for which a dead instance is remembered.
const DEAD_TIME: Duration = Duration::from_secs(120);
/// Time between two ticks that shows that this process was paused.
const PAUSE_TIME: Duration = Duration::from_millis(900);
/// Instances that are asked for an indirect probe.
const HELPERS: usize = 2;
/// Probes of the own data centre for each probe of another one.
const LOCAL_PROBES: u64 = 2;
/// Ticks between two tries at somebody who is listed or was alive, but is not now.
const RECONNECT_TICKS: u64 = 5;
/// Times that a rumour is sent for each doubling of the fleet.
const REPEATS_A_DOUBLING: u32 = 3;

/// An instance as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Its name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Where it listens for frames.
    pub peers: SocketAddr,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// A frame to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    /// Where to.
    pub address: SocketAddr,
    /// The receiver, or [`ANY`].
    pub to: InstanceId,
    /// What it says.
    pub body: Body,
}

/// What a tick led to.
#[derive(Debug, Default, PartialEq)]
pub struct Tick {
    /// Frames to be sent.
    pub sends: Vec<Send>,
    /// Whether this process was paused before the tick.
    pub woke: bool,
}

/// One instance's view of the others.
#[derive(Debug)]
pub struct Membership {
    own: Rumour,
    peers: BTreeMap<InstanceId, Peer>,
    listed: Vec<Listed>,
    facts: Gossip,
    probes: BTreeMap<u64, Probe>,
    local_ring: Vec<InstanceId>,
    remote_ring: Vec<InstanceId>,
    repeats: BTreeMap<InstanceId, u32>,
    rng: fastrand::Rng,
    next_probe: u64,
    ticks: u64,
    last_tick: Option<Time>,
    changes: u64,
}

#[derive(Clone, Debug)]
struct Peer {
    rumour: Rumour,
    since: Time,
}

#[derive(Clone, Debug)]
struct Probe {
    target: InstanceId,
    sent: Time,
    indirect: bool,
    asker: Option<(InstanceId, u64)>,
}

impl Membership {
    /// Returns the view of an instance that knows only itself.
    pub fn new(own: Entry, seed: u64) -> Membership {
        Membership {
            own: Rumour {
                entry: own,
                state: State::Alive,
                beat: 0,
            },
            peers: BTreeMap::new(),
            listed: Vec::new(),
            facts: Gossip::default(),
            probes: BTreeMap::new(),
            local_ring: Vec::new(),
            remote_ring: Vec::new(),
            repeats: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            next_probe: 0,
            ticks: 0,
            last_tick: None,
            changes: 0,
        }
    }

    /// Returns this instance's own entry.
    pub fn own(&self) -> &Entry {
        &self.own.entry
    }

    /// Returns a number that grows whenever the set of live instances changes.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Sets the facts that travel on probes, besides the rumours.
    pub fn set_facts(&mut self, facts: Gossip) {
        self.facts = facts;
    }

    /// Says that this instance finishes its work and takes on nothing new for others.
    pub fn leave(&mut self) {
        self.own.state = State::Leaving;
        self.own.beat += 1;
        self.changes += 1;
    }

    /// Returns the frames that tell a few others that this instance stops now.
    pub fn farewell(&mut self) -> Vec<Send> {
        self.own.state = State::Dead;
        self.own.beat += 1;
        let targets: Vec<InstanceId> = self.running_others().collect();
        let mut sends = Vec::new();
        for target in targets.into_iter().take(RUMOURS_MAX) {
            sends.extend(self.ping(target, Time::ZERO));
        }
        sends
    }

    /// Takes the platform's list.
    pub fn list(&mut self, listed: Vec<Listed>) {
        self.listed = listed;
    }

    /// Returns an instance's entry, if it is known.
    pub fn entry(&self, id: InstanceId) -> Option<&Entry> {
        if id == self.own.entry.id {
            return Some(&self.own.entry);
        }
        self.peers.get(&id).map(|peer| &peer.rumour.entry)
    }

    /// Returns all that is known of all instances, this one first.
    pub fn rumours(&self) -> impl Iterator<Item = &Rumour> {
        std::iter::once(&self.own).chain(self.peers.values().map(|peer| &peer.rumour))
    }

    /// Returns the instances of a data centre that may decide for others.
    pub fn live<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = InstanceId> + 'a {
        self.rumours()
            .filter(move |rumour| rumour.entry.data_centre == data_centre)
            .filter(|rumour| matches!(rumour.state, State::Alive | State::Suspect))
            .map(|rumour| rumour.entry.id)
    }

    /// Returns whether an instance is thought to be running.
    pub fn is_running(&self, id: InstanceId) -> bool {
        id == self.own.entry.id
            || self
                .peers
                .get(&id)
                .is_some_and(|peer| peer.rumour.state != State::Dead)
    }

    /// Returns the instance of a data centre that decides for a key.
    pub fn coordinator(&self, data_centre: &str, key: &str) -> Option<InstanceId> {
        rendezvous::first(key, self.live(data_centre))
    }

    /// Returns the instance of all data centres that decides for a key.
    pub fn global_coordinator(&self, key: &str) -> Option<InstanceId> {
        let live = self
            .rumours()
            .filter(|rumour| matches!(rumour.state, State::Alive | State::Suspect))
            .map(|rumour| rumour.entry.id);
        rendezvous::first(key, live)
    }

    /// Returns whether this instance is among the first few of its data centre for a key.
    pub fn is_among_first(&self, key: &str, count: usize) -> bool {
        let live = self.live(&self.own.entry.data_centre);
        rendezvous::order(key, live, count).contains(&self.own.entry.id)
    }

    /// Returns whether this instance sees more than half of its data centre's listed instances,
    /// leaving ones not counted. One that has never had a list can't tell and says no.
    pub fn has_majority(&self) -> bool {
        let data_centre = &self.own.entry.data_centre;
        let expected = self
            .listed
            .iter()
            .filter(|listed| listed.data_centre == *data_centre && !listed.leaving)
            .count();
        expected > 0 && self.live(data_centre).count() * 2 > expected
    }

    /// Probes, times out probes and suspicions, and notices a pause of this process.
    pub fn tick(&mut self, now: Time) -> Tick {
        let woke = self
            .last_tick
            .is_some_and(|last| now.saturating_sub(last) > PROBE_PERIOD + PAUSE_TIME);
        self.last_tick = Some(now);
        if woke {
            self.forgive(now);
        }
        self.ticks += 1;
        let mut sends = self.time_out_probes(now);
        self.time_out_states(now);
        sends.extend(self.probe_next(now));
        sends.extend(self.reconnect());
        Tick { sends, woke }
    }

    /// Takes a probe and returns its answer.
    pub fn on_ping(
        &mut self,
        now: Time,
        from: InstanceId,
        probe: u64,
        gossip: &Gossip,
    ) -> Vec<Send> {
        let before = self.peers.get(&from).map(|peer| peer.rumour.clone());
        self.hear(now, from, gossip);
        // Whoever was thought dead must hear of it to deny it.
        let denied = before.filter(|rumour| rumour.state > State::Leaving);
        self.ack(from, probe, denied)
    }

    /// Takes the answer to a probe, and passes it on if the probe was for another instance.
    pub fn on_ack(
        &mut self,
        now: Time,
        from: InstanceId,
        probe: u64,
        gossip: &Gossip,
    ) -> Vec<Send> {
        self.hear(now, from, gossip);
        let Some(found) = self.probes.get(&probe) else {
            return Vec::new();
        };
        if found.target != from && !found.indirect {
            return Vec::new();
        }
        let asker = found.asker;
        let target = found.target;
        self.probes.remove(&probe);
        self.clear(now, target);
        match asker {
            Some((asker, number)) => self.ack(asker, number, None),
            None => Vec::new(),
        }
    }

    /// Returns the answer to a probe of an instance, with one more rumour than is due.
    fn ack(&mut self, to: InstanceId, probe: u64, more: Option<Rumour>) -> Vec<Send> {
        let mut gossip = self.gossip();
        gossip.rumours.extend(more);
        let body = Body::Ack { probe, gossip };
        self.send(to, body).into_iter().collect()
    }

    /// Probes a third instance for another one.
    pub fn on_ping_for(
        &mut self,
        now: Time,
        from: InstanceId,
        probe: u64,
        target: InstanceId,
    ) -> Vec<Send> {
        let sends = self.ping(target, now);
        if let Some(own) = self.probes.get_mut(&self.next_probe) {
            own.asker = Some((from, probe));
        }
        sends
    }

    /// Returns the other instances that are thought to be running.
    pub fn running_others(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.peers
            .values()
            .filter(|peer| peer.rumour.state != State::Dead)
            .map(|peer| peer.rumour.entry.id)
    }

    /// Gives every suspect its full time again: this process, not they, stood still.
    fn forgive(&mut self, now: Time) {
        self.probes.clear();
        self.own.beat += 1;
        for peer in self.peers.values_mut() {
            peer.since = now;
        }
    }

    fn time_out_probes(&mut self, now: Time) -> Vec<Send> {
        let late: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| {
                let limit = if probe.indirect {
                    INDIRECT_TIMEOUT
                } else {
                    DIRECT_TIMEOUT
                };
                now.saturating_sub(probe.sent) >= limit
            })
            .map(|(number, _)| *number)
            .collect();
        let mut sends = Vec::new();
        for number in late {
            let Some(probe) = self.probes.remove(&number) else {
                continue;
            };
            if probe.asker.is_some() {
                continue;
            }
            if probe.indirect {
                self.suspect(now, probe.target);
            } else {
                sends.extend(self.probe_through_others(now, number, probe.target));
            }
        }
        sends
    }

    fn probe_through_others(&mut self, now: Time, number: u64, target: InstanceId) -> Vec<Send> {
        let mut helpers: Vec<InstanceId> =
            self.running_others().filter(|id| *id != target).collect();
        self.rng.shuffle(&mut helpers);
        let probe = Probe {
            target,
            sent: now,
            indirect: true,
            asker: None,
        };
        self.probes.insert(number, probe);
        let body = Body::PingRequest {
            probe: number,
            target,
        };
        helpers
            .into_iter()
            .take(HELPERS)
            .filter_map(|helper| self.send(helper, body.clone()))
            .collect()
    }

    fn time_out_states(&mut self, now: Time) {
        let mut dead = Vec::new();
        for (id, peer) in &mut self.peers {
            let age = now.saturating_sub(peer.since);
            if peer.rumour.state == State::Suspect && age >= SUSPECT_TIME {
                peer.rumour.state = State::Dead;
                peer.since = now;
                dead.push(*id);
            }
        }
        for id in dead {
            self.spread(id);
        }
        self.peers.retain(|_, peer| {
            peer.rumour.state != State::Dead || now.saturating_sub(peer.since) < DEAD_TIME
        });
    }

    fn probe_next(&mut self, now: Time) -> Vec<Send> {
        let local_turn = !self.ticks.is_multiple_of(LOCAL_PROBES + 1);
        let target = match local_turn {
            true => self.next_of_ring(true).or_else(|| self.next_of_ring(false)),
            false => self.next_of_ring(false).or_else(|| self.next_of_ring(true)),
        };
        target.map_or_else(Vec::new, |target| self.ping(target, now))
    }

    fn next_of_ring(&mut self, local: bool) -> Option<InstanceId> {
        let ring_is_empty = match local {
            true => self.local_ring.is_empty(),
            false => self.remote_ring.is_empty(),
        };
        if ring_is_empty {
            let own = self.own.entry.data_centre.clone();
            let mut ring: Vec<InstanceId> = self
                .running_others()
                .filter(|id| (self.peers[id].rumour.entry.data_centre == own) == local)
                .collect();
            self.rng.shuffle(&mut ring);
            match local {
                true => self.local_ring = ring,
                false => self.remote_ring = ring,
            }
        }
        let ring = match local {
            true => &mut self.local_ring,
            false => &mut self.remote_ring,
        };
        ring.pop().filter(|id| {
            self.peers
                .get(id)
                .is_some_and(|peer| peer.rumour.state != State::Dead)
        })
    }

    /// Tries somebody who is not thought alive: listed but not met yet, or dead as far as is known.
    /// Two halves of a healed partition find each other so.
    fn reconnect(&mut self) -> Option<Send> {
        let start = self.ticks <= RECONNECT_TICKS || self.peers.is_empty();
        if !start && !self.ticks.is_multiple_of(RECONNECT_TICKS) {
            return None;
        }
        let live: Vec<SocketAddr> = self
            .running_others()
            .map(|id| self.peers[&id].rumour.entry.peers)
            .collect();
        let dead = self.peers.values().map(|peer| peer.rumour.entry.peers);
        let known = self.listed.iter().map(|listed| listed.peers).chain(dead);
        let absent: Vec<SocketAddr> = known
            .filter(|address| *address != self.own.entry.peers && !live.contains(address))
            .collect();
        let address = self.rng.choice(absent)?;
        let gossip = self.gossip();
        Some(Send {
            address,
            to: ANY,
            body: Body::Ping { probe: 0, gossip },
        })
    }

    fn ping(&mut self, target: InstanceId, now: Time) -> Vec<Send> {
        self.next_probe += 1;
        let probe = Probe {
            target,
            sent: now,
            indirect: false,
            asker: None,
        };
        self.probes.insert(self.next_probe, probe);
        let body = Body::Ping {
            probe: self.next_probe,
            gossip: self.gossip(),
        };
        self.send(target, body).into_iter().collect()
    }

    fn send(&self, to: InstanceId, body: Body) -> Option<Send> {
        let address = self.entry(to)?.peers;
        Some(Send { address, to, body })
    }

    /// Takes the rumours that came with a frame. The first one is its sender's own.
    fn hear(&mut self, now: Time, from: InstanceId, gossip: &Gossip) {
        for rumour in &gossip.rumours {
            self.learn(now, rumour);
        }
        if gossip
            .rumours
            .first()
            .is_some_and(|own| own.entry.id == from)
        {
            self.bury_predecessors(now, &gossip.rumours[0]);
        }
    }

    fn learn(&mut self, now: Time, rumour: &Rumour) {
        let id = rumour.entry.id;
        if id == self.own.entry.id {
            self.deny(rumour);
            return;
        }
        let newer = match self.peers.get(&id) {
            Some(peer) => (rumour.beat, rumour.state) > (peer.rumour.beat, peer.rumour.state),
            None => true,
        };
        if !newer {
            return;
        }
        let peer = Peer {
            rumour: rumour.clone(),
            since: now,
        };
        self.peers.insert(id, peer);
        self.spread(id);
    }

    /// Answers a rumour of the own death by a greater beat.
    fn deny(&mut self, rumour: &Rumour) {
        if rumour.state > State::Leaving && rumour.beat >= self.own.beat {
            self.own.beat = rumour.beat + 1;
        }
    }

    /// An instance that answers at the address of an earlier one has replaced it.
    fn bury_predecessors(&mut self, now: Time, own: &Rumour) {
        if own.state > State::Leaving {
            return;
        }
        let replaced: Vec<InstanceId> = self
            .peers
            .values()
            .map(|peer| &peer.rumour)
            .filter(|rumour| rumour.entry.peers == own.entry.peers)
            .filter(|rumour| rumour.entry.id != own.entry.id && rumour.state != State::Dead)
            .map(|rumour| rumour.entry.id)
            .collect();
        for id in replaced {
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.rumour.state = State::Dead;
                peer.since = now;
            }
            self.spread(id);
        }
    }

    fn suspect(&mut self, now: Time, id: InstanceId) {
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        if peer.rumour.state < State::Suspect {
            peer.rumour.state = State::Suspect;
            peer.since = now;
            self.spread(id);
        }
    }

    /// Notes that a suspect answered. Others hear it from the suspect's own denial.
    fn clear(&mut self, now: Time, id: InstanceId) {
        if let Some(peer) = self.peers.get_mut(&id)
            && peer.rumour.state == State::Suspect
        {
            peer.since = now;
        }
    }

    fn spread(&mut self, id: InstanceId) {
        let doublings = usize::BITS - self.peers.len().leading_zeros();
        self.repeats
            .insert(id, REPEATS_A_DOUBLING * doublings.max(1));
        self.changes += 1;
    }

    fn gossip(&mut self) -> Gossip {
        let mut freshest: Vec<(u32, InstanceId)> =
            self.repeats.iter().map(|(id, left)| (*left, *id)).collect();
        freshest.sort_unstable_by(|a, b| b.cmp(a));
        let mut rumours = vec![self.own.clone()];
        for (left, id) in freshest.into_iter().take(RUMOURS_MAX - 1) {
            if left <= 1 {
                self.repeats.remove(&id);
            } else {
                self.repeats.insert(id, left - 1);
            }
            if let Some(peer) = self.peers.get(&id) {
                rumours.push(peer.rumour.clone());
            }
        }
        Gossip {
            rumours,
            ..self.facts.clone()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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

    /// A few instances on one clock, with frames delivered at once.
    struct Fleet {
        now: Time,
        members: Vec<Membership>,
        stopped: Vec<InstanceId>,
    }

    impl Fleet {
        fn new(count: u64) -> Fleet {
            let listed: Vec<Listed> = (1..=count)
                .map(|id| Listed {
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
                .for_each(|member| member.list(listed.clone()));
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

        fn deliver(&mut self, from: InstanceId, sends: Vec<Send>) {
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
                        member.on_ping_for(self.now, from, *probe, *target)
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
    fn all_find_each_other_and_agree_on_coordinators() {
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
    fn a_stopped_instance_is_dead_to_all_within_four_seconds_and_returns() {
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
        let woke = fleet.members[3].tick(fleet.now).woke;
        assert!(woke, "a pause is noticed by the one that was paused");
        fleet.run(Duration::from_secs(6));
        assert!((0..9).all(|index| fleet.live(index) == 9));
    }

    #[test]
    fn leaving_spreads_to_all_within_two_seconds() {
        let mut fleet = Fleet::new(9);
        fleet.run(Duration::from_secs(5));
        fleet.members[0].leave();
        fleet.run(Duration::from_secs(2));
        assert!((0..9).all(|index| fleet.live(index) == 8));
    }

    #[test]
    fn minority_of_the_list_is_noticed() {
        let mut fleet = Fleet::new(8);
        assert!(!fleet.members[0].has_majority());
        fleet.run(Duration::from_secs(5));
        assert!(fleet.members[0].has_majority());
    }
}
