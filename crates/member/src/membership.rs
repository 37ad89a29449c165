//! The SWIM state machine.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Time;
use wire::ANY_INSTANCE;
use wire::Body;
use wire::InstanceId;
use wire::Name;
use wire::gossip::Entry;
use wire::gossip::Gossip;
use wire::gossip::RUMOURS_MAX;
use wire::gossip::Rumour;
use wire::gossip::State;

use crate::rendezvous;
use crate::sync::Schedule;

/// Time between two probes.
pub const PROBE_PERIOD: Duration = Duration::from_millis(300);
/// Time after which an unanswered direct probe is followed by indirect ones.
const DIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an unanswered indirect probe has failed.
const INDIRECT_PROBE_TIMEOUT: Duration = Duration::from_millis(350);
/// Time after which a suspect that has not refuted the suspicion is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(900);
/// Time for which a dead instance is kept in the view.
const DEAD_RETENTION: Duration = Duration::from_secs(120);
/// Delay of a tick, beyond the probe period, from which this process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(900);
/// Number of instances that probe a target indirectly.
const INDIRECT_PROBERS: usize = 2;
/// Number of probes within the own data centre for each probe of another data centre.
const LOCAL_PROBES_PER_REMOTE: u64 = 2;
/// Number of ticks between two probes of listed or formerly live instances that are not known to
/// run.
const RECONNECT_INTERVAL_TICKS: u64 = 5;
/// Number of times that a rumour is sent for each doubling of the fleet's size.
const SENDS_PER_DOUBLING: u32 = 3;

/// An instance as the platform lists it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedInstance {
    /// Name of the instance.
    pub name: Name,
    /// Data centre of the instance.
    pub data_centre: Name,
    /// Address at which the instance receives frames.
    pub peers: SocketAddr,
    /// Whether the instance will shut down soon.
    pub leaving: bool,
}

/// A frame to be sent to another instance.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingFrame {
    /// Address of the receiver.
    pub address: SocketAddr,
    /// Incarnation of the receiver, or [`ANY_INSTANCE`] if it is not known.
    pub to: InstanceId,
    /// The message.
    pub body: Body,
}

/// Result of [`Membership::tick`].
#[derive(Debug, Default, PartialEq)]
pub struct Tick {
    /// Frames to be sent.
    pub sends: Vec<OutgoingFrame>,
    /// Whether this process was paused before the tick.
    pub was_paused: bool,
}

/// One instance's view of the fleet.
#[derive(Debug)]
pub struct Membership {
    own: Rumour,
    peers: BTreeMap<InstanceId, Peer>,
    listed: Vec<ListedInstance>,
    piggyback: Gossip,
    probes: BTreeMap<u64, Probe>,
    local_targets: Vec<InstanceId>,
    remote_targets: Vec<InstanceId>,
    remaining_sends: BTreeMap<InstanceId, u32>,
    pub(crate) rng: fastrand::Rng,
    pub(crate) sync: Schedule,
    next_probe: u64,
    ticks: u64,
    last_tick: Option<Time>,
    changes: u64,
    coordinators: RefCell<Coordinators>,
}

/// The coordinators that were computed since the view last changed, by data centre and key.
#[derive(Debug, Default)]
struct Coordinators {
    /// The change count of the view for which they hold.
    changes: u64,
    found: BTreeMap<(Name, Name), Option<InstanceId>>,
}

/// Another instance in this view, and the time at which its state last changed or its timeout
/// restarted.
#[derive(Clone, Debug)]
struct Peer {
    rumour: Rumour,
    state_since: Time,
}

/// A probe that has not been acknowledged yet. `requester` is the instance that asked for the
/// probe, with the number of its own probe, or `None` if this instance probes for itself.
#[derive(Clone, Debug)]
struct Probe {
    target: InstanceId,
    sent: Time,
    indirect: bool,
    requester: Option<(InstanceId, u64)>,
}

impl Membership {
    /// Returns the view of an instance that knows no other instances. The seed determines the order
    /// in which instances are probed.
    pub fn new(own: Entry, seed: u64) -> Membership {
        Membership {
            own: Rumour {
                entry: own,
                state: State::Alive,
                version: 0,
            },
            peers: BTreeMap::new(),
            listed: Vec::new(),
            piggyback: Gossip::default(),
            probes: BTreeMap::new(),
            local_targets: Vec::new(),
            remote_targets: Vec::new(),
            remaining_sends: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
            sync: Schedule::default(),
            next_probe: 0,
            ticks: 0,
            last_tick: None,
            changes: 0,
            coordinators: RefCell::default(),
        }
    }

    /// Returns this instance's own entry.
    pub fn own(&self) -> &Entry {
        &self.own.entry
    }

    /// Returns a counter that increases at least whenever the set of live instances changes.
    pub fn change_count(&self) -> u64 {
        self.changes
    }

    /// Sets the facts that are piggybacked on probes. The rumours among them are replaced by those
    /// of this view.
    pub fn set_piggyback(&mut self, gossip: Gossip) {
        self.piggyback = gossip;
    }

    /// Marks this instance as leaving: it finishes its running work and accepts no new work from
    /// other instances.
    pub fn leave(&mut self) {
        self.own.state = State::Leaving;
        self.own.version += 1;
        self.changes += 1;
    }

    /// Marks this instance as dead and returns the frames that announce it to a few other
    /// instances.
    pub fn announce_stop(&mut self) -> Vec<OutgoingFrame> {
        self.own.state = State::Dead;
        self.own.version += 1;
        self.changes += 1;
        let targets: Vec<InstanceId> = self.running_others().collect();
        let mut sends = Vec::new();
        for target in targets.into_iter().take(RUMOURS_MAX) {
            sends.extend(self.ping(target, Time::ZERO));
        }
        sends
    }

    /// Sets the platform's list of instances.
    pub fn set_listed(&mut self, listed: Vec<ListedInstance>) {
        self.listed = listed;
    }

    /// Returns the names of the instances that the platform lists.
    pub fn listed_names(&self) -> impl Iterator<Item = &Name> {
        self.listed.iter().map(|listed| &listed.name)
    }

    /// Returns the entry of an instance, or `None` if the instance is not known.
    pub fn entry(&self, id: InstanceId) -> Option<&Entry> {
        if id == self.own.entry.id {
            return Some(&self.own.entry);
        }
        self.peers.get(&id).map(|peer| &peer.rumour.entry)
    }

    /// Returns the rumours about all known instances, starting with this one.
    pub fn rumours(&self) -> impl Iterator<Item = &Rumour> {
        std::iter::once(&self.own).chain(self.peers.values().map(|peer| &peer.rumour))
    }

    /// Returns the instances of a data centre that may be coordinators: those alive or suspect.
    pub fn live<'a>(&'a self, data_centre: &'a str) -> impl Iterator<Item = InstanceId> + 'a {
        self.rumours()
            .filter(move |rumour| rumour.entry.data_centre == data_centre)
            .filter(|rumour| matches!(rumour.state, State::Alive | State::Suspect))
            .map(|rumour| rumour.entry.id)
    }

    /// Returns whether an instance is this one, or known and not dead.
    pub fn is_running(&self, id: InstanceId) -> bool {
        id == self.own.entry.id
            || self
                .peers
                .get(&id)
                .is_some_and(|peer| peer.rumour.state != State::Dead)
    }

    /// Returns the instance of a data centre that coordinates a key, or `None` if no instance there
    /// is live.
    pub fn coordinator(&self, data_centre: &str, key: &str) -> Option<InstanceId> {
        let mut coordinators = self.coordinators.borrow_mut();
        if coordinators.changes != self.changes {
            coordinators.changes = self.changes;
            coordinators.found.clear();
        }
        let place = (Name::from(data_centre), Name::from(key));
        *coordinators
            .found
            .entry(place)
            .or_insert_with(|| rendezvous::first(key, self.live(data_centre)))
    }

    /// Returns the instance that coordinates a key for all data centres, or `None` if no instance
    /// is live.
    pub fn global_coordinator(&self, key: &str) -> Option<InstanceId> {
        let live = self
            .rumours()
            .filter(|rumour| matches!(rumour.state, State::Alive | State::Suspect))
            .map(|rumour| rumour.entry.id);
        rendezvous::first(key, live)
    }

    /// Returns whether this instance is among the `count` highest-ranked live instances of its data
    /// centre for a key.
    pub fn is_top_ranked(&self, key: &str, count: usize) -> bool {
        let live = self.live(&self.own.entry.data_centre);
        rendezvous::order(key, live, count).contains(&self.own.entry.id)
    }

    /// Returns whether the live instances of the own data centre in this view are more than half as
    /// many as the platform lists there, leaving instances not counted. Returns `false` before the
    /// first list has been set.
    pub fn has_majority(&self) -> bool {
        let data_centre = &self.own.entry.data_centre;
        let expected = self
            .listed
            .iter()
            .filter(|listed| listed.data_centre == *data_centre && !listed.leaving)
            .count();
        expected > 0 && self.live(data_centre).count() * 2 > expected
    }

    /// Returns the part that the live instances in this view make of those that the platform lists,
    /// leaving instances not counted: of a data centre, or of all. On the two sides of a partition
    /// the parts add up to one at most. Returns 1 if none is listed.
    pub fn live_part(&self, data_centre: Option<&str>) -> f64 {
        let is_counted = |place: &Name| data_centre.is_none_or(|data_centre| place == data_centre);
        let expected = self
            .listed
            .iter()
            .filter(|listed| is_counted(&listed.data_centre) && !listed.leaving)
            .count();
        let live = self
            .rumours()
            .filter(|rumour| matches!(rumour.state, State::Alive | State::Suspect))
            .filter(|rumour| is_counted(&rumour.entry.data_centre))
            .count();
        if expected == 0 {
            return 1.0;
        }
        (live as f64 / expected as f64).min(1.0)
    }

    /// Sends the next probe, times out probes and suspicions, and detects a pause of this process.
    pub fn tick(&mut self, now: Time) -> Tick {
        let was_paused = self
            .last_tick
            .is_some_and(|last| now.saturating_sub(last) > PROBE_PERIOD + PAUSE_THRESHOLD);
        self.last_tick = Some(now);
        if was_paused {
            self.restart_timeouts(now);
        }
        self.ticks += 1;
        let mut sends = self.time_out_probes(now);
        self.time_out_states(now);
        sends.extend(self.probe_next(now));
        sends.extend(self.reconnect());
        sends.extend(self.offer_sync(now));
        Tick { sends, was_paused }
    }

    /// Handles a probe and returns the acknowledgement.
    pub fn on_ping(
        &mut self,
        now: Time,
        from: InstanceId,
        probe: u64,
        gossip: &Gossip,
    ) -> Vec<OutgoingFrame> {
        let previous = self.peers.get(&from).map(|peer| peer.rumour.clone());
        self.merge_gossip(now, from, gossip);
        // A sender that was suspect or dead in this view needs the rumour in order to refute it.
        let outdated = previous.filter(|rumour| rumour.state > State::Leaving);
        self.ack(from, probe, outdated)
    }

    /// Handles the acknowledgement of a probe. If the probe was requested by another instance,
    /// returns the frame that acknowledges it to that instance.
    pub fn on_ack(
        &mut self,
        now: Time,
        from: InstanceId,
        probe: u64,
        gossip: &Gossip,
    ) -> Vec<OutgoingFrame> {
        self.merge_gossip(now, from, gossip);
        let Some(found) = self.probes.get(&probe) else {
            return Vec::new();
        };
        if found.target != from && !found.indirect {
            return Vec::new();
        }
        let requester = found.requester;
        let target = found.target;
        self.probes.remove(&probe);
        self.extend_suspicion(now, target);
        match requester {
            Some((requester, number)) => self.ack(requester, number, None),
            None => Vec::new(),
        }
    }

    /// Returns the acknowledgement of a probe, with an extra rumour if one is given.
    fn ack(&mut self, to: InstanceId, probe: u64, extra: Option<Rumour>) -> Vec<OutgoingFrame> {
        let mut gossip = self.gossip();
        gossip.rumours.extend(extra);
        let body = Body::Ack { probe, gossip };
        self.send(to, body).into_iter().collect()
    }

    /// Handles a request for an indirect probe: probes the target for the instance `from`.
    pub fn on_ping_request(
        &mut self,
        now: Time,
        from: InstanceId,
        probe: u64,
        target: InstanceId,
    ) -> Vec<OutgoingFrame> {
        let sends = self.ping(target, now);
        if let Some(new_probe) = self.probes.get_mut(&self.next_probe) {
            new_probe.requester = Some((from, probe));
        }
        sends
    }

    /// Returns the other instances that are known and not dead.
    pub fn running_others(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.peers
            .values()
            .filter(|peer| peer.rumour.state != State::Dead)
            .map(|peer| peer.rumour.entry.id)
    }

    /// Discards the pending probes and restarts all suspicion timeouts after a pause of this
    /// process, since this process could not receive answers meanwhile. Also raises the version of
    /// the own rumour.
    fn restart_timeouts(&mut self, now: Time) {
        self.probes.clear();
        self.sync.restart();
        self.own.version += 1;
        for peer in self.peers.values_mut() {
            peer.state_since = now;
        }
    }

    fn time_out_probes(&mut self, now: Time) -> Vec<OutgoingFrame> {
        let late: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, probe)| {
                let limit = if probe.indirect {
                    INDIRECT_PROBE_TIMEOUT
                } else {
                    DIRECT_PROBE_TIMEOUT
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
            if probe.requester.is_some() {
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

    fn probe_through_others(
        &mut self,
        now: Time,
        number: u64,
        target: InstanceId,
    ) -> Vec<OutgoingFrame> {
        let mut probers: Vec<InstanceId> =
            self.running_others().filter(|id| *id != target).collect();
        self.rng.shuffle(&mut probers);
        let probe = Probe {
            target,
            sent: now,
            indirect: true,
            requester: None,
        };
        self.probes.insert(number, probe);
        let body = Body::PingRequest {
            probe: number,
            target,
        };
        probers
            .into_iter()
            .take(INDIRECT_PROBERS)
            .filter_map(|prober| self.send(prober, body.clone()))
            .collect()
    }

    fn time_out_states(&mut self, now: Time) {
        let mut dead = Vec::new();
        for (id, peer) in &mut self.peers {
            let age = now.saturating_sub(peer.state_since);
            if peer.rumour.state == State::Suspect && age >= SUSPICION_TIMEOUT {
                peer.rumour.state = State::Dead;
                peer.state_since = now;
                dead.push(*id);
            }
        }
        for id in dead {
            self.disseminate(id);
        }
        self.peers.retain(|_, peer| {
            peer.rumour.state != State::Dead
                || now.saturating_sub(peer.state_since) < DEAD_RETENTION
        });
    }

    fn probe_next(&mut self, now: Time) -> Vec<OutgoingFrame> {
        let is_local_turn = !self.ticks.is_multiple_of(LOCAL_PROBES_PER_REMOTE + 1);
        let target = match is_local_turn {
            true => self.next_target(true).or_else(|| self.next_target(false)),
            false => self.next_target(false).or_else(|| self.next_target(true)),
        };
        target.map_or_else(Vec::new, |target| self.ping(target, now))
    }

    fn next_target(&mut self, local: bool) -> Option<InstanceId> {
        let is_empty = match local {
            true => self.local_targets.is_empty(),
            false => self.remote_targets.is_empty(),
        };
        if is_empty {
            let own = self.own.entry.data_centre.clone();
            let mut targets: Vec<InstanceId> = self
                .running_others()
                .filter(|id| (self.peers[id].rumour.entry.data_centre == own) == local)
                .collect();
            self.rng.shuffle(&mut targets);
            match local {
                true => self.local_targets = targets,
                false => self.remote_targets = targets,
            }
        }
        let targets = match local {
            true => &mut self.local_targets,
            false => &mut self.remote_targets,
        };
        targets.pop().filter(|id| {
            self.peers
                .get(id)
                .is_some_and(|peer| peer.rumour.state != State::Dead)
        })
    }

    /// Probes a random instance that is not known to run: one that is listed but has not been
    /// contacted yet, or one that is dead in this view. This reconnects the two sides of a healed
    /// partition.
    fn reconnect(&mut self) -> Option<OutgoingFrame> {
        let is_starting = self.ticks <= RECONNECT_INTERVAL_TICKS || self.peers.is_empty();
        if !is_starting && !self.ticks.is_multiple_of(RECONNECT_INTERVAL_TICKS) {
            return None;
        }
        let live: Vec<SocketAddr> = self
            .running_others()
            .map(|id| self.peers[&id].rumour.entry.peers)
            .collect();
        let contacted = self.peers.values().map(|peer| peer.rumour.entry.peers);
        let known = self
            .listed
            .iter()
            .map(|listed| listed.peers)
            .chain(contacted);
        let absent: Vec<SocketAddr> = known
            .filter(|address| *address != self.own.entry.peers && !live.contains(address))
            .collect();
        let address = self.rng.choice(absent)?;
        let gossip = self.gossip();
        Some(OutgoingFrame {
            address,
            to: ANY_INSTANCE,
            body: Body::Ping { probe: 0, gossip },
        })
    }

    fn ping(&mut self, target: InstanceId, now: Time) -> Vec<OutgoingFrame> {
        self.next_probe += 1;
        let probe = Probe {
            target,
            sent: now,
            indirect: false,
            requester: None,
        };
        self.probes.insert(self.next_probe, probe);
        let body = Body::Ping {
            probe: self.next_probe,
            gossip: self.gossip(),
        };
        self.send(target, body).into_iter().collect()
    }

    pub(crate) fn send(&self, to: InstanceId, body: Body) -> Option<OutgoingFrame> {
        let address = self.entry(to)?.peers;
        Some(OutgoingFrame { address, to, body })
    }

    /// Merges the rumours of a frame into the view. The first rumour is about the frame's sender.
    fn merge_gossip(&mut self, now: Time, from: InstanceId, gossip: &Gossip) {
        for rumour in &gossip.rumours {
            if self.merge_rumour(now, rumour) {
                self.disseminate(rumour.entry.id);
            }
        }
        if gossip
            .rumours
            .first()
            .is_some_and(|sender| sender.entry.id == from)
        {
            self.mark_replaced_dead(now, &gossip.rumours[0]);
        }
    }

    /// Merges a rumour into the view. Returns whether it was newer than what was known.
    pub(crate) fn merge_rumour(&mut self, now: Time, rumour: &Rumour) -> bool {
        let id = rumour.entry.id;
        if id == self.own.entry.id {
            self.refute(rumour);
            return false;
        }
        let is_newer = match self.peers.get(&id) {
            Some(peer) => (rumour.version, rumour.state) > (peer.rumour.version, peer.rumour.state),
            None => true,
        };
        if !is_newer {
            return false;
        }
        let peer = Peer {
            rumour: rumour.clone(),
            state_since: now,
        };
        self.peers.insert(id, peer);
        self.changes += 1;
        true
    }

    /// Refutes a rumour that this instance is suspect or dead, with a higher version of the own
    /// rumour.
    fn refute(&mut self, rumour: &Rumour) {
        if rumour.state > State::Leaving && rumour.version >= self.own.version {
            self.own.version = rumour.version + 1;
        }
    }

    /// Marks earlier incarnations at the sender's address as dead, since the sender has replaced
    /// them.
    fn mark_replaced_dead(&mut self, now: Time, sender: &Rumour) {
        if sender.state > State::Leaving {
            return;
        }
        let replaced: Vec<InstanceId> = self
            .peers
            .values()
            .map(|peer| &peer.rumour)
            .filter(|rumour| rumour.entry.peers == sender.entry.peers)
            .filter(|rumour| rumour.entry.id != sender.entry.id && rumour.state != State::Dead)
            .map(|rumour| rumour.entry.id)
            .collect();
        for id in replaced {
            if let Some(peer) = self.peers.get_mut(&id) {
                peer.rumour.state = State::Dead;
                peer.state_since = now;
            }
            self.disseminate(id);
        }
    }

    fn suspect(&mut self, now: Time, id: InstanceId) {
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        if peer.rumour.state < State::Suspect {
            peer.rumour.state = State::Suspect;
            peer.state_since = now;
            self.disseminate(id);
        }
    }

    /// Restarts the timeout of a suspect that has answered. It remains suspect until its own
    /// refutation arrives, which also reaches the other instances.
    fn extend_suspicion(&mut self, now: Time, id: InstanceId) {
        if let Some(peer) = self.peers.get_mut(&id)
            && peer.rumour.state == State::Suspect
        {
            peer.state_since = now;
        }
    }

    /// Schedules the rumour about an instance to be piggybacked on the next frames.
    fn disseminate(&mut self, id: InstanceId) {
        let doublings = usize::BITS - self.peers.len().leading_zeros();
        self.remaining_sends
            .insert(id, SENDS_PER_DOUBLING * doublings.max(1));
        self.changes += 1;
    }

    /// Returns the gossip for the next frame: this instance's own rumour, the rumours that have the
    /// most sends left, and the piggybacked facts.
    fn gossip(&mut self) -> Gossip {
        let mut least_sent: Vec<(u32, InstanceId)> = self
            .remaining_sends
            .iter()
            .map(|(id, remaining)| (*remaining, *id))
            .collect();
        least_sent.sort_unstable_by(|a, b| b.cmp(a));
        let mut rumours = vec![self.own.clone()];
        for (remaining, id) in least_sent.into_iter().take(RUMOURS_MAX - 1) {
            if remaining <= 1 {
                self.remaining_sends.remove(&id);
            } else {
                self.remaining_sends.insert(id, remaining - 1);
            }
            if let Some(peer) = self.peers.get(&id) {
                rumours.push(peer.rumour.clone());
            }
        }
        Gossip {
            rumours,
            ..self.piggyback.clone()
        }
    }
}
