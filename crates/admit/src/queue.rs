//! Waiting work, by class and fair between organisations.
//!
//! Classes are strict: while work of an earlier class waits that could be placed, no later one is.
//! Within a class, organisations share by weight with start-time fair queueing (Goyal, Vin and
//! Cheng, 1996): each has a virtual time that moves on by the cost of its served work over its
//! weight, and the one that is furthest behind is served first. One that was idle starts at the
//! class's current time, so it can't save up its turns, and what it leaves unused goes to the rest.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use clock::Time;
use wire::AttemptId;
use wire::InstanceId;
use wire::Name;
use wire::admission::Reservation;

/// Most reservations that wait in one scheduler.
const WAITING_MAX: usize = 4_096;
/// Most reservations of one organisation that wait in one scheduler.
const ORGANISATION_MAX: usize = 1_024;

/// Reservations of one organisation that are offered a place at a time.
const OFFERED_MAX: usize = 8;

/// One reservation that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// Who asked.
    pub holder: InstanceId,
    /// What was asked.
    pub reservation: Reservation,
    /// When it is denied if no place was found.
    pub deadline: Time,
    /// When it is forgotten unless the holder repeats it.
    pub silent_until: Time,
    /// Its cost in predicted tokens.
    pub cost: f64,
    /// Weight of its organisation.
    pub weight: f64,
}

/// All reservations that wait in one scheduler.
#[derive(Debug, Default)]
pub struct Queue {
    classes: BTreeMap<u8, Class>,
    places: BTreeMap<AttemptId, (u8, Name)>,
}

#[derive(Debug, Default)]
struct Class {
    time: f64,
    organisations: BTreeMap<Name, Line>,
}

#[derive(Debug, Default)]
struct Line {
    time: f64,
    weight: f64,
    waiting: VecDeque<Waiting>,
}

impl Line {
    /// Returns how many reservations wait for any place, and not for a server of their own.
    fn usual(&self) -> usize {
        self.waiting
            .iter()
            .filter(|one| !one.reservation.suspect)
            .count()
    }
}

impl Queue {
    /// Returns how many reservations wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns whether an attempt waits.
    pub fn contains(&self, attempt: AttemptId) -> bool {
        self.places.contains_key(&attempt)
    }

    /// Adds a reservation. Returns whether there was room for it.
    pub fn push(&mut self, waiting: Waiting) -> bool {
        if self.places.len() >= WAITING_MAX {
            return false;
        }
        let organisation = waiting.reservation.work.organisation.clone();
        let level = waiting.reservation.work.class;
        let class = self.classes.entry(level).or_default();
        let start = class.time;
        let line = class.organisations.entry(organisation.clone()).or_default();
        if line.waiting.len() >= ORGANISATION_MAX {
            return false;
        }
        if line.waiting.is_empty() {
            line.time = line.time.max(start);
        }
        line.weight = waiting.weight;
        self.places
            .insert(waiting.reservation.attempt, (level, organisation));
        line.waiting.push_back(waiting);
        true
    }

    /// Notes that a waiting reservation was repeated by its holder.
    pub fn refresh(&mut self, attempt: AttemptId, silent_until: Time) {
        if let Some(waiting) = self.get_mut(attempt) {
            waiting.silent_until = silent_until;
        }
    }

    /// Takes a reservation out.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<Waiting> {
        let (level, organisation) = self.places.remove(&attempt)?;
        let line = self.line_mut(level, &organisation)?;
        let index = line
            .waiting
            .iter()
            .position(|w| w.reservation.attempt == attempt)?;
        line.waiting.remove(index)
    }

    /// Takes out all reservations that are past their deadline or whose holder fell silent.
    pub fn expire(&mut self, now: Time) -> Vec<Waiting> {
        let late: Vec<AttemptId> = self
            .iter()
            .filter(|waiting| waiting.deadline <= now || waiting.silent_until <= now)
            .map(|waiting| waiting.reservation.attempt)
            .collect();
        late.into_iter()
            .filter_map(|attempt| self.remove(attempt))
            .collect()
    }

    /// Takes out all reservations.
    pub fn drain(&mut self) -> Vec<Waiting> {
        self.places.clear();
        std::mem::take(&mut self.classes)
            .into_values()
            .flat_map(|class| class.organisations.into_values())
            .flat_map(|line| line.waiting)
            .collect()
    }

    /// Offers the waiting reservations in their order until one is taken, and takes that one out.
    /// The offer returns whether it takes the reservation. Each organisation offers its oldest few.
    pub fn take_first(&mut self, mut offer: impl FnMut(&Waiting) -> bool) -> Option<Waiting> {
        let attempt = self
            .in_turn()
            .find(|waiting| offer(waiting))?
            .reservation
            .attempt;
        let waiting = self.remove(attempt)?;
        self.charge(&waiting);
        Some(waiting)
    }

    /// Returns how many usual reservations are served before a new one of this class and
    /// organisation, by the shares that the organisations now have.
    pub fn ahead(&self, level: u8, organisation: &str, weight: f64) -> f64 {
        let urgent: usize = self
            .classes
            .range(..level)
            .flat_map(|(_, class)| class.organisations.values())
            .map(Line::usual)
            .sum();
        let Some(class) = self.classes.get(&level) else {
            return urgent as f64;
        };
        let own = class.organisations.get(organisation).map_or(0, Line::usual);
        let rounds = (own as f64 + 1.0) / weight;
        let others: f64 = class
            .organisations
            .iter()
            .filter(|(name, _)| *name != organisation)
            .map(|(_, line)| (rounds * line.weight).min(line.usual() as f64))
            .sum();
        urgent as f64 + own as f64 + others
    }

    /// Returns when a reservation next expires.
    pub fn next_expiry(&self) -> Option<Time> {
        self.iter().map(|w| w.deadline.min(w.silent_until)).min()
    }

    fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.classes
            .values()
            .flat_map(|class| class.organisations.values())
            .flat_map(|line| &line.waiting)
    }

    /// The oldest few reservations of each organisation, by class and virtual time. One that waits
    /// for a server of its own does not hold up those behind it.
    fn in_turn(&self) -> impl Iterator<Item = &Waiting> {
        self.classes.values().flat_map(|class| {
            let mut lines: Vec<&Line> = class
                .organisations
                .values()
                .filter(|line| !line.waiting.is_empty())
                .collect();
            lines.sort_by(|a, b| a.time.total_cmp(&b.time));
            lines
                .into_iter()
                .flat_map(|line| line.waiting.iter().take(OFFERED_MAX))
        })
    }

    fn charge(&mut self, served: &Waiting) {
        let work = &served.reservation.work;
        let Some(class) = self.classes.get_mut(&work.class) else {
            return;
        };
        let Some(line) = class.organisations.get_mut(&work.organisation) else {
            return;
        };
        class.time = class.time.max(line.time);
        line.time += served.cost / served.weight;
        let idle = line.waiting.is_empty() && line.time <= class.time;
        if idle {
            class.organisations.remove(&work.organisation);
        }
    }

    fn line_mut(&mut self, level: u8, organisation: &str) -> Option<&mut Line> {
        self.classes
            .get_mut(&level)?
            .organisations
            .get_mut(organisation)
    }

    fn get_mut(&mut self, attempt: AttemptId) -> Option<&mut Waiting> {
        let (level, organisation) = self.places.get(&attempt)?.clone();
        let line = self.line_mut(level, &organisation)?;
        line.waiting
            .iter_mut()
            .find(|w| w.reservation.attempt == attempt)
    }
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use wire::admission::Work;

    use super::*;

    fn waiting(attempt: AttemptId, organisation: &str, class: u8, weight: f64) -> Waiting {
        Waiting {
            holder: 1,
            reservation: Reservation {
                attempt,
                pool: "p".into(),
                data_centre: "a".into(),
                work: Work {
                    organisation: organisation.into(),
                    route: "r".into(),
                    class,
                    prompt: 0,
                    delivered: 0,
                    hint: 0,
                    prefixes: Vec::new(),
                },
                avoid: Vec::new(),
                suspect: false,
                wait_ms: 1_000,
                at: None,
            },
            deadline: Duration::from_secs(9),
            silent_until: Duration::from_secs(9),
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
    fn one_huge_organisation_does_not_starve_nine_small_ones() {
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
        assert_eq!(queue.len(), 498, "the idle share is lent");
    }

    #[test]
    fn weights_are_shares() {
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
    fn suspect_that_waits_does_not_hold_up_its_organisation() {
        let mut queue = Queue::default();
        let mut suspect = waiting(1, "a", 1, 1.0);
        suspect.reservation.suspect = true;
        queue.push(suspect);
        assert!(queue.ahead(1, "a", 1.0) < f64::EPSILON);
        queue.push(waiting(2, "a", 1, 1.0));
        let taken = queue.take_first(|one| !one.reservation.suspect);
        assert_eq!(taken.map(|one| one.reservation.attempt), Some(2));
    }

    #[test]
    fn earlier_class_is_served_first() {
        let mut queue = Queue::default();
        queue.push(waiting(1, "a", 2, 1.0));
        queue.push(waiting(2, "a", 0, 1.0));
        assert_eq!(queue.take_first(|_| true).unwrap().reservation.attempt, 2);
        assert!(queue.ahead(0, "a", 1.0) < queue.ahead(2, "a", 1.0));
    }

    #[test]
    fn expired_and_silent_asks_leave() {
        let mut queue = Queue::default();
        queue.push(waiting(1, "a", 1, 1.0));
        queue.push(waiting(2, "a", 1, 1.0));
        queue.refresh(2, Duration::from_secs(3));
        let gone = queue.expire(Duration::from_secs(4));
        assert_eq!(gone.len(), 1);
        assert_eq!(gone[0].reservation.attempt, 2);
        assert!(queue.contains(1) && !queue.contains(2));
    }
}
