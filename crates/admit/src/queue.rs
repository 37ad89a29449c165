//! Queue of reservations, by class and fair between organisations.
//!
//! Classes have strict priority: a reservation is granted only if no reservation of an earlier
//! class can be. Within a class, organisations share by weight with start-time fair queueing
//! (Goyal, Vin and Cheng, 1996): each organisation is a flow with a virtual time that advances by
//! the cost of its served work divided by its weight, and the flow with the lowest virtual time is
//! served first. A flow that was idle starts at the class's current virtual time, so it can't save
//! up credit, and the other flows use the share that it leaves unused.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Time;
use wire::AttemptId;
use wire::InstanceId;
use wire::Name;
use wire::admission::Reservation;

/// Maximum number of queued reservations per scheduler.
const WAITING_MAX: usize = 4_096;
/// Maximum number of queued reservations per class and organisation.
const WAITING_PER_ORGANISATION_MAX: usize = 1_024;
/// Maximum number of reservations per class, organisation and required software that are tried for
/// a grant in one pass.
const TRIED_PER_ORGANISATION_MAX: usize = 8;

/// One queued reservation.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedReservation {
    /// Instance that made the reservation.
    pub holder: InstanceId,
    /// The reservation as received.
    pub reservation: Reservation,
    /// Time at which the reservation is denied.
    pub deadline: Time,
    /// Time by which the holder must repeat the reservation, which expires otherwise.
    pub repeat_by: Time,
    /// Cost charged to the organisation when the reservation is granted, in predicted tokens.
    pub cost: f64,
    /// Weight of the organisation in fair queueing.
    pub weight: f64,
}

/// All queued reservations of one scheduler.
#[derive(Debug, Default)]
pub struct Queue {
    classes: BTreeMap<u8, ClassQueue>,
    index: BTreeMap<AttemptId, (u8, Name)>,
}

#[derive(Debug, Default)]
struct ClassQueue {
    virtual_time: f64,
    organisations: BTreeMap<Name, Flow>,
}

#[derive(Debug, Default)]
struct Flow {
    virtual_time: f64,
    weight: f64,
    waiting: VecDeque<QueuedReservation>,
}

impl Flow {
    /// Returns the number of queued reservations that delay a new one with this requirement of
    /// software. Suspect ones wait for a server without other suspects, and those that require
    /// software wait for servers that have it. Neither delay other reservations behind them.
    fn delaying_len(&self, software: Option<&Name>) -> usize {
        self.waiting
            .iter()
            .map(|waiting| &waiting.reservation)
            .filter(|reservation| !reservation.suspect)
            .filter(|reservation| {
                reservation.software.is_none() || reservation.software.as_ref() == software
            })
            .count()
    }

    /// Returns the reservations that are tried for a grant, oldest first. Each requirement of
    /// software has a limit of its own, so that reservations that wait for servers with one version
    /// do not block those behind them.
    fn tried(&self) -> impl Iterator<Item = &QueuedReservation> {
        let mut counts: BTreeMap<Option<&Name>, usize> = BTreeMap::new();
        self.waiting.iter().filter(move |waiting| {
            let count = counts
                .entry(waiting.reservation.software.as_ref())
                .or_default();
            *count += 1;
            *count <= TRIED_PER_ORGANISATION_MAX
        })
    }
}

impl Queue {
    /// Returns the number of queued reservations.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns whether an attempt's reservation is queued.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.index.contains_key(&attempt)
    }

    /// Adds a reservation. Returns `false` if the queue or the organisation's part of it is full.
    pub fn push(&mut self, waiting: QueuedReservation) -> bool {
        if self.index.len() >= WAITING_MAX {
            return false;
        }
        let organisation = waiting.reservation.work.organisation.clone();
        let level = waiting.reservation.work.class;
        let class = self.classes.entry(level).or_default();
        let class_virtual_time = class.virtual_time;
        let flow = class.organisations.entry(organisation.clone()).or_default();
        if flow.waiting.len() >= WAITING_PER_ORGANISATION_MAX {
            return false;
        }
        if flow.waiting.is_empty() {
            flow.virtual_time = flow.virtual_time.max(class_virtual_time);
        }
        flow.weight = waiting.weight;
        self.index
            .insert(waiting.reservation.attempt, (level, organisation));
        flow.waiting.push_back(waiting);
        true
    }

    /// Records that the holder of a queued reservation has repeated it.
    pub fn refresh(&mut self, attempt: AttemptId, repeat_by: Time, is_suspect: bool) {
        if let Some(waiting) = self.get_mut(attempt) {
            waiting.repeat_by = repeat_by;
            waiting.reservation.suspect = is_suspect;
        }
    }

    /// Removes and returns a reservation.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<QueuedReservation> {
        let (level, organisation) = self.index.remove(&attempt)?;
        let flow = self.flow_mut(level, &organisation)?;
        let index = flow
            .waiting
            .iter()
            .position(|waiting| waiting.reservation.attempt == attempt)?;
        flow.waiting.remove(index)
    }

    /// Removes and returns all reservations that are past their deadline or were not repeated in
    /// time.
    pub fn expire(&mut self, now: Time) -> Vec<QueuedReservation> {
        self.remove_where(|waiting| waiting.deadline <= now || waiting.repeat_by <= now)
    }

    /// Removes and returns all reservations for which a predicate holds.
    pub fn remove_where(
        &mut self,
        predicate: impl Fn(&QueuedReservation) -> bool,
    ) -> Vec<QueuedReservation> {
        let found: Vec<AttemptId> = self
            .iter()
            .filter(|waiting| predicate(waiting))
            .map(|waiting| waiting.reservation.attempt)
            .collect();
        found
            .into_iter()
            .filter_map(|attempt| self.remove(attempt))
            .collect()
    }

    /// Removes and returns all reservations.
    pub fn drain(&mut self) -> Vec<QueuedReservation> {
        self.index.clear();
        std::mem::take(&mut self.classes)
            .into_values()
            .flat_map(|class| class.organisations.into_values())
            .flat_map(|flow| flow.waiting)
            .collect()
    }

    /// Calls `try_grant` on the reservations in service order until it returns `true`, then
    /// removes, charges and returns that reservation. Only the oldest few reservations of each
    /// class, organisation and required software are tried.
    pub fn take_first(
        &mut self,
        mut try_grant: impl FnMut(&QueuedReservation) -> bool,
    ) -> Option<QueuedReservation> {
        let attempt = self
            .in_service_order()
            .find(|waiting| try_grant(waiting))?
            .reservation
            .attempt;
        let waiting = self.remove(attempt)?;
        self.charge(&waiting);
        Some(waiting)
    }

    /// Returns the expected number of reservations that are served before a new one of this class,
    /// organisation and required software, given the current weights. Reservations that don't delay
    /// it are excluded: suspect ones and those that require other software.
    pub fn ahead(
        &self,
        level: u8,
        organisation: &str,
        weight: f64,
        software: Option<&Name>,
    ) -> f64 {
        let earlier_classes: usize = self
            .classes
            .range(..level)
            .flat_map(|(_, class)| class.organisations.values())
            .map(|flow| flow.delaying_len(software))
            .sum();
        let Some(class) = self.classes.get(&level) else {
            return earlier_classes as f64;
        };
        let own_waiting = class
            .organisations
            .get(organisation)
            .map_or(0, |flow| flow.delaying_len(software));
        let rounds = (own_waiting as f64 + 1.0) / weight;
        let other_organisations: f64 = class
            .organisations
            .iter()
            .filter(|(name, _)| *name != organisation)
            .map(|(_, flow)| (rounds * flow.weight).min(flow.delaying_len(software) as f64))
            .sum();
        earlier_classes as f64 + own_waiting as f64 + other_organisations
    }

    /// Returns the earliest time at which a reservation expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.iter()
            .map(|waiting| waiting.deadline.min(waiting.repeat_by))
            .min()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &QueuedReservation> {
        self.classes
            .values()
            .flat_map(|class| class.organisations.values())
            .flat_map(|flow| &flow.waiting)
    }

    /// Returns the reservations that are tried for a grant, by class and virtual time. Trying more
    /// than one of an organisation keeps a suspect reservation, which waits for a server without
    /// other suspects, from blocking those behind it.
    fn in_service_order(&self) -> impl Iterator<Item = &QueuedReservation> {
        self.classes.values().flat_map(|class| {
            let mut flows: Vec<&Flow> = class
                .organisations
                .values()
                .filter(|flow| !flow.waiting.is_empty())
                .collect();
            flows.sort_by(|a, b| a.virtual_time.total_cmp(&b.virtual_time));
            flows.into_iter().flat_map(Flow::tried)
        })
    }

    fn charge(&mut self, served: &QueuedReservation) {
        let work = &served.reservation.work;
        let Some(class) = self.classes.get_mut(&work.class) else {
            return;
        };
        let Some(flow) = class.organisations.get_mut(&work.organisation) else {
            return;
        };
        class.virtual_time = class.virtual_time.max(flow.virtual_time);
        flow.virtual_time += served.cost / served.weight;
        let idle = flow.waiting.is_empty() && flow.virtual_time <= class.virtual_time;
        if idle {
            class.organisations.remove(&work.organisation);
        }
    }

    fn flow_mut(&mut self, level: u8, organisation: &str) -> Option<&mut Flow> {
        self.classes
            .get_mut(&level)?
            .organisations
            .get_mut(organisation)
    }

    fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut QueuedReservation> {
        let (level, organisation) = self.index.get(&attempt)?.clone();
        let flow = self.flow_mut(level, &organisation)?;
        flow.waiting
            .iter_mut()
            .find(|waiting| waiting.reservation.attempt == attempt)
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use wire::admission::Work;

    use super::*;

    fn waiting(
        attempt: AttemptId,
        organisation: &str,
        class: u8,
        weight: f64,
    ) -> QueuedReservation {
        QueuedReservation {
            holder: 1,
            reservation: Reservation {
                attempt,
                pool: "p".into(),
                data_centre: "a".into(),
                work: Work {
                    organisation: organisation.into(),
                    route: "r".into(),
                    class,
                    prompt_tokens: 0,
                    delivered_tokens: 0,
                    expected_tokens: 0,
                    prefixes: Vec::new(),
                },
                avoid: Vec::new(),
                suspect: false,
                wait_ms: 1_000,
                resume_server: None,
                software: None,
            },
            deadline: Duration::from_secs(9),
            repeat_by: Duration::from_secs(9),
            cost: 10.0,
            weight,
        }
    }

    fn served(queue: &mut Queue, count: usize) -> Vec<Name> {
        (0..count)
            .filter_map(|_| queue.take_first(|_| true))
            .map(|waiting| waiting.reservation.work.organisation)
            .collect()
    }

    #[test]
    fn large_organisation_does_not_starve_small_ones() {
        let mut queue = Queue::default();
        for attempt in 0..500 {
            queue.push(waiting(attempt, "huge", 1, 1.0));
        }
        for small in 0..9 {
            queue.push(waiting(1_000 + small, &format!("small{small}"), 1, 1.0));
        }
        let first: Vec<Name> = served(&mut queue, 11);
        let small = first
            .iter()
            .filter(|name| name.starts_with("small"))
            .count();
        assert_eq!(small, 9);
        assert_eq!(
            queue.len(),
            498,
            "the two other grants go to the large organisation"
        );
    }

    #[test]
    fn organisations_are_served_in_proportion_to_their_weights() {
        let mut queue = Queue::default();
        for attempt in 0..100 {
            queue.push(waiting(attempt, "heavy", 1, 3.0));
            queue.push(waiting(attempt + 1_000, "light", 1, 1.0));
        }
        let first = served(&mut queue, 40);
        let heavy = first.iter().filter(|name| *name == "heavy").count();
        assert!((29..=31).contains(&heavy), "{heavy}");
    }

    #[test]
    fn waiting_suspect_does_not_block_its_organisation() {
        let mut queue = Queue::default();
        let mut suspect = waiting(1, "a", 1, 1.0);
        suspect.reservation.suspect = true;
        queue.push(suspect);
        assert!(queue.ahead(1, "a", 1.0, None) < f64::EPSILON);
        queue.push(waiting(2, "a", 1, 1.0));
        let served = queue.take_first(|waiting| !waiting.reservation.suspect);
        assert_eq!(served.map(|waiting| waiting.reservation.attempt), Some(2));
    }

    #[test]
    fn earlier_class_is_served_first() {
        let mut queue = Queue::default();
        queue.push(waiting(1, "a", 2, 1.0));
        queue.push(waiting(2, "a", 0, 1.0));
        assert_eq!(queue.take_first(|_| true).unwrap().reservation.attempt, 2);
        assert!(queue.ahead(0, "a", 1.0, None) < queue.ahead(2, "a", 1.0, None));
    }

    #[test]
    fn unrepeated_reservation_expires() {
        let mut queue = Queue::default();
        queue.push(waiting(1, "a", 1, 1.0));
        queue.push(waiting(2, "a", 1, 1.0));
        queue.refresh(2, Duration::from_secs(3), false);
        let expired = queue.expire(Duration::from_secs(4));
        assert_eq!(expired.len(), 1);
        assert_eq!(expired[0].reservation.attempt, 2);
        assert!(queue.contains(1) && !queue.contains(2));
    }
}
