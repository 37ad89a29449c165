//! A model engine with continuous batching, bounded cache memory and cold starts.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use crate::token;
use crate::token::Marker;

/// Time for which a generation without a reader goes on.
const UNREAD_TIME: Duration = Duration::from_secs(4);
/// Time for which an ended generation can still be read.
const ENDED_TIME: Duration = Duration::from_secs(6);
/// Time after which an engine that turned cold shows it in its reports.
pub const CHILL_NOTICE: Duration = Duration::from_millis(1_000);
/// Tokens of one part of a prompt that has a prefix hash.
const PART_TOKENS: u32 = 64;
/// Cache events kept to be published.
const EVENTS_MAX: usize = 128;

/// How an engine behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Time of a step with an empty batch.
    pub step: Duration,
    /// Time that each generation adds to a step.
    pub step_each: Duration,
    /// Prompt tokens processed in a second.
    pub prefill_rate: f64,
    /// Generations in one batch.
    pub batch: usize,
    /// Cache tokens.
    pub capacity: u64,
    /// Requests that a cold engine bears.
    pub cold_bear: usize,
    /// Completed requests after which it bears all.
    pub warm_after: u64,
    /// Factor on the time of a step while a cold engine has more than it bears.
    pub collapse: u32,
    /// Lag of its reports.
    pub lag: Duration,
    /// Prefixes in its cache.
    pub prefixes: usize,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Time that an order to load a model takes.
    pub load_time: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            step: Duration::from_millis(12),
            step_each: Duration::from_micros(400),
            prefill_rate: 20_000.0,
            batch: 48,
            capacity: 6_000,
            cold_bear: 3,
            warm_after: 14,
            collapse: 12,
            lag: Duration::from_millis(150),
            prefixes: 8,
            fenced: true,
            load_time: Duration::from_millis(800),
        }
    }
}

/// A request to generate.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// The attempt that sends it.
    pub attempt: u64,
    /// What the prompt says.
    pub marker: Marker,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Greatest number of tokens that may be generated.
    pub limit: u32,
    /// The greater, the later it is preempted.
    pub priority: u8,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<u64>,
}

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Its life.
    pub boot: u64,
    /// Generations in the batch.
    pub running: u32,
    /// Generations that wait.
    pub waiting: u32,
    /// Cache tokens in use.
    pub used: u64,
    /// Cache tokens in all.
    pub capacity: u64,
    /// Preemptions so far.
    pub preemptions: u64,
    /// Requests completed since it was last cold.
    pub served: u64,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Whether it is cold.
    pub cold: bool,
}

/// A token, or the end of a generation.
#[derive(Clone, Debug, PartialEq)]
pub enum Emission {
    /// A token.
    Token {
        /// The generation.
        generation: u64,
        /// Its place.
        index: u32,
        /// Its text.
        text: CompactString,
    },
    /// The end.
    End {
        /// The generation.
        generation: u64,
        /// Tokens in all.
        total: u32,
    },
    /// The engine crashed.
    Crash,
}

/// What an engine saw.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Starts of generations: time, request, generation.
    pub starts: Vec<(Duration, u64, u64)>,
    /// Times that it had more than a cold engine bears.
    pub over_cold: u64,
    /// Preemptions in all lives.
    pub preemptions: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Orders taken: time, fencing number, model.
    pub orders: Vec<(Duration, u64, String)>,
    /// Orders refused for their fencing number.
    pub stale_orders: u64,
    /// Crashes.
    pub crashes: u64,
}

/// One engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    /// What it saw.
    pub record: Record,
    boot: u64,
    up: bool,
    leaving: bool,
    generations: BTreeMap<u64, Generation>,
    waiting: VecDeque<u64>,
    batch: Vec<u64>,
    next_generation: u64,
    next_step: Option<Duration>,
    preemptions: u64,
    served: u64,
    prefixes: VecDeque<u64>,
    events: VecDeque<(bool, u64)>,
    first_event: u64,
    reports: VecDeque<(Duration, Load)>,
    fence: u64,
    setup: BTreeMap<String, String>,
    loading_until: Duration,
    noticed_at: Duration,
}

#[derive(Debug)]
struct Generation {
    ask: Ask,
    generated: u32,
    total: u32,
    prefill: u32,
    ended: Option<Duration>,
    unread_since: Option<Duration>,
    arrived: u64,
}

/// Why an engine does not take a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It is down.
    Down,
    /// It is about to go.
    Leaving,
    /// It loads a model.
    Loading,
}

impl Engine {
    /// Returns a cold engine in its first life.
    pub fn new(settings: Settings, boot: u64) -> Engine {
        Engine {
            settings,
            record: Record::default(),
            boot,
            up: true,
            leaving: false,
            generations: BTreeMap::new(),
            waiting: VecDeque::new(),
            batch: Vec::new(),
            // Numbers of different lives must not meet.
            next_generation: boot << 24,
            next_step: None,
            preemptions: 0,
            served: 0,
            prefixes: VecDeque::new(),
            events: VecDeque::new(),
            first_event: 0,
            reports: VecDeque::new(),
            fence: 0,
            setup: BTreeMap::new(),
            loading_until: Duration::ZERO,
            noticed_at: Duration::ZERO,
        }
    }

    /// Returns whether it answers at all.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Returns its life.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Makes it warm, as one that has run for long.
    pub fn warm_up(&mut self) {
        self.served = self.settings.warm_after;
    }

    /// Makes it cold again without a restart. Nobody can know at once, so more than it bears is
    /// recorded only after a time in which its own reports show it.
    pub fn chill(&mut self, now: Duration) {
        self.note_state(now);
        self.served = 0;
        self.noticed_at = now + CHILL_NOTICE;
        self.note_state(now);
    }

    /// Says that it is about to go.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Loses all that it holds.
    pub fn crash(&mut self) {
        self.up = false;
        self.record.crashes += 1;
        self.generations.clear();
        self.waiting.clear();
        self.batch.clear();
        self.next_step = None;
    }

    /// Starts a new life.
    pub fn restart(&mut self) {
        let record = std::mem::take(&mut self.record);
        let settings = self.settings;
        let setup = std::mem::take(&mut self.setup);
        *self = Engine::new(settings, self.boot + 1);
        self.record = record;
        self.setup = setup;
    }

    /// Returns how many requests it bears now.
    pub fn bears(&self) -> usize {
        if self.served >= self.settings.warm_after {
            return usize::MAX;
        }
        self.settings.cold_bear + usize::try_from(self.served).unwrap_or(usize::MAX)
    }

    /// Takes a request.
    ///
    /// # Errors
    ///
    /// If it takes none. The request was not run then.
    pub fn submit(&mut self, now: Duration, ask: Ask) -> Result<u64, Refusal> {
        if !self.up {
            return Err(Refusal::Down);
        }
        if self.leaving {
            return Err(Refusal::Leaving);
        }
        if now < self.loading_until {
            return Err(Refusal::Loading);
        }
        self.next_generation += 1;
        let id = self.next_generation;
        let marker = ask.marker;
        self.record.starts.push((now, marker.request, id));
        let cached = self.cached(&ask);
        let prefill = ask.prompt - cached;
        self.remember_prefixes(&ask.prefixes);
        self.generations.insert(
            id,
            Generation {
                total: marker.length.min(ask.limit).max(1),
                prefill,
                ask,
                generated: 0,
                ended: None,
                unread_since: None,
                arrived: id,
            },
        );
        self.waiting.push_back(id);
        if self.waiting.len() + self.batch.len() > self.bears() && now >= self.noticed_at {
            self.record.over_cold += 1;
        }
        self.next_step.get_or_insert(now);
        self.note_state(now);
        Ok(id)
    }

    /// Returns the generation that an attempt has begun.
    pub fn find(&self, attempt: u64) -> Option<u64> {
        self.generations
            .iter()
            .find(|(_, generation)| generation.ask.attempt == attempt)
            .map(|(id, _)| *id)
    }

    /// Returns what a reader of a generation has missed from an index on, or `None` if it is lost.
    pub fn resume(&mut self, id: u64, from: u32) -> Option<Vec<Emission>> {
        let generation = self.generations.get_mut(&id)?;
        generation.unread_since = None;
        let marker = generation.ask.marker;
        let mut missed: Vec<Emission> = (from..generation.generated)
            .map(|index| Emission::Token {
                generation: id,
                index,
                text: token::text(&marker, id, index),
            })
            .collect();
        if generation.ended.is_some() {
            missed.push(Emission::End {
                generation: id,
                total: generation.generated,
            });
        }
        Some(missed)
    }

    /// Notes that nobody reads a generation any more.
    pub fn unread(&mut self, now: Duration, id: u64) {
        if let Some(generation) = self.generations.get_mut(&id) {
            generation.unread_since.get_or_insert(now);
        }
    }

    /// Stops a generation.
    pub fn cancel(&mut self, id: u64) {
        self.generations.remove(&id);
        self.waiting.retain(|other| *other != id);
        self.batch.retain(|other| *other != id);
    }

    /// Returns when [`Engine::step`] is next due.
    pub fn next_step(&self) -> Option<Duration> {
        self.next_step
    }

    /// Makes one step of the batch, if it is due.
    pub fn step(&mut self, now: Duration) -> Vec<Emission> {
        if !self.up || self.next_step.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.forget(now);
        self.note_state(now);
        let prefilled = self.admit();
        if self
            .batch
            .iter()
            .any(|id| self.generations[id].ask.marker.poison)
        {
            self.crash();
            return vec![Emission::Crash];
        }
        self.make_room();
        let emissions = self.generate(now);
        self.next_step = self.is_busy().then(|| now + self.step_time(prefilled));
        emissions
    }

    /// Returns a report of the state some time ago.
    pub fn load(&mut self, now: Duration) -> Option<Load> {
        if !self.up {
            return None;
        }
        self.note_state(now);
        self.reports.front().map(|(_, load)| load.clone())
    }

    /// Notes the state for reports, which show it after their lag.
    fn note_state(&mut self, now: Duration) {
        self.reports.push_back((now, self.present_load()));
        let due = |at: Duration| at + self.settings.lag <= now;
        while self.reports.len() > 1 && due(self.reports[1].0) {
            self.reports.pop_front();
        }
    }

    /// Returns the number of the first of the newest cache events, and the events: stored or not, and
    /// the prefix. Now and then some are lost.
    pub fn events(&mut self) -> (u64, Vec<(bool, u64)>) {
        (self.first_event, self.events.iter().copied().collect())
    }

    /// Takes an order to serve a model. Returns whether it obeys.
    pub fn order(&mut self, now: Duration, fence: u64, setup: BTreeMap<String, String>) -> bool {
        if self.settings.fenced && fence < self.fence {
            self.record.stale_orders += 1;
            return false;
        }
        self.fence = self.fence.max(fence);
        let model = setup.get("model").cloned().unwrap_or_default();
        self.record.orders.push((now, fence, model));
        if setup != self.setup {
            self.setup = setup;
            self.loading_until = now + self.settings.load_time;
        }
        true
    }

    /// Returns the requests that it runs or that wait in it.
    pub fn requests(&self) -> Vec<u64> {
        let present = self.batch.iter().chain(&self.waiting);
        present
            .map(|id| self.generations[id].ask.marker.request)
            .collect()
    }

    /// Returns what it serves.
    pub fn setup(&self) -> &BTreeMap<String, String> {
        &self.setup
    }

    /// Returns whether it takes work.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.up && !self.leaving && now >= self.loading_until
    }

    fn present_load(&self) -> Load {
        Load {
            boot: self.boot,
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            used: self.used(),
            capacity: self.settings.capacity,
            preemptions: self.preemptions,
            served: self.served,
            leaving: self.leaving,
            cold: self.served < self.settings.warm_after,
        }
    }

    fn is_busy(&self) -> bool {
        !self.batch.is_empty() || !self.waiting.is_empty()
    }

    fn used(&self) -> u64 {
        self.batch.iter().map(|id| self.held(*id)).sum()
    }

    fn held(&self, id: u64) -> u64 {
        let generation = &self.generations[&id];
        u64::from(generation.ask.prompt) + u64::from(generation.generated)
    }

    fn cached(&self, ask: &Ask) -> u32 {
        let matched = ask
            .prefixes
            .iter()
            .take_while(|prefix| self.prefixes.contains(prefix))
            .count() as u32;
        (matched * PART_TOKENS).min(ask.prompt)
    }

    fn remember_prefixes(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            if let Some(index) = self.prefixes.iter().position(|known| known == prefix) {
                // The one used last is dropped last.
                self.prefixes.remove(index);
                self.prefixes.push_back(*prefix);
                continue;
            }
            self.prefixes.push_back(*prefix);
            self.publish(true, *prefix);
            if self.prefixes.len() > self.settings.prefixes
                && let Some(old) = self.prefixes.pop_front()
            {
                self.publish(false, old);
            }
        }
    }

    fn publish(&mut self, stored: bool, prefix: u64) {
        self.events.push_back((stored, prefix));
        if self.events.len() > EVENTS_MAX {
            self.events.pop_front();
            self.first_event += 1;
        }
    }

    /// Takes waiting generations into the batch. Returns the prompt tokens to be processed for them.
    fn admit(&mut self) -> u32 {
        let mut prefilled = 0;
        let mut order: Vec<u64> = self.waiting.iter().copied().collect();
        order.sort_by_key(|id| {
            let generation = &self.generations[id];
            (
                std::cmp::Reverse(generation.ask.priority),
                generation.arrived,
            )
        });
        for id in order {
            let fits = self.used() + self.held(id) <= self.settings.capacity;
            let alone = self.batch.is_empty();
            if self.batch.len() >= self.settings.batch || !(fits || alone) {
                break;
            }
            self.waiting.retain(|other| *other != id);
            self.batch.push(id);
            if let Some(generation) = self.generations.get_mut(&id) {
                prefilled += std::mem::take(&mut generation.prefill);
            }
        }
        prefilled
    }

    /// Preempts generations until the next step fits into memory.
    fn make_room(&mut self) {
        while self.batch.len() > 1 && self.used() + self.batch.len() as u64 > self.settings.capacity
        {
            let victim = self
                .batch
                .iter()
                .copied()
                .min_by_key(|id| {
                    let generation = &self.generations[id];
                    (
                        generation.ask.priority,
                        std::cmp::Reverse(generation.arrived),
                    )
                })
                .expect("the batch is not empty");
            self.batch.retain(|id| *id != victim);
            self.waiting.push_front(victim);
            if let Some(generation) = self.generations.get_mut(&victim) {
                // Its cache is gone and has to be computed again.
                generation.prefill = generation.ask.prompt + generation.generated;
            }
            self.preemptions += 1;
            self.record.preemptions += 1;
        }
    }

    fn generate(&mut self, now: Duration) -> Vec<Emission> {
        let mut emissions = Vec::new();
        for id in self.batch.clone() {
            let Some(generation) = self.generations.get_mut(&id) else {
                continue;
            };
            let index = generation.generated;
            generation.generated += 1;
            emissions.push(Emission::Token {
                generation: id,
                index,
                text: token::text(&generation.ask.marker, id, index),
            });
            self.record.tokens += 1;
            if generation.generated >= generation.total {
                generation.ended = Some(now);
                emissions.push(Emission::End {
                    generation: id,
                    total: generation.total,
                });
                self.batch.retain(|other| *other != id);
                self.served += 1;
            }
        }
        emissions
    }

    fn step_time(&self, prefilled: u32) -> Duration {
        let each = self.settings.step_each * self.batch.len() as u32;
        let prefill = Duration::from_secs_f64(f64::from(prefilled) / self.settings.prefill_rate);
        let time = self.settings.step + each + prefill;
        if self.batch.len() + self.waiting.len() > self.bears() {
            time * self.settings.collapse
        } else {
            time
        }
    }

    fn forget(&mut self, now: Duration) {
        let gone: Vec<u64> = self
            .generations
            .iter()
            .filter(|(_, generation)| {
                let ended = generation
                    .ended
                    .is_some_and(|at| now.saturating_sub(at) > ENDED_TIME);
                let unread = generation
                    .unread_since
                    .is_some_and(|at| now.saturating_sub(at) > UNREAD_TIME);
                ended || unread
            })
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.cancel(id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ask(request: u64, length: u32) -> Ask {
        Ask {
            attempt: request,
            marker: Marker {
                request,
                length,
                ..Marker::default()
            },
            prompt: 10,
            limit: u32::MAX,
            priority: 1,
            prefixes: Vec::new(),
        }
    }

    fn run(engine: &mut Engine) -> (Duration, Vec<Emission>) {
        let mut now = Duration::ZERO;
        let mut all = Vec::new();
        while let Some(at) = engine.next_step() {
            now = at;
            all.extend(engine.step(now));
        }
        (now, all)
    }

    #[test]
    fn overloaded_cold_engine_collapses_and_is_recorded() {
        let settings = Settings::default();
        let mut cold = Engine::new(settings, 1);
        let mut warm = Engine::new(settings, 1);
        warm.warm_up();
        for request in 0..8 {
            cold.submit(Duration::ZERO, ask(request, 20)).unwrap();
            warm.submit(Duration::ZERO, ask(request, 20)).unwrap();
        }
        assert!(run(&mut cold).0 > run(&mut warm).0 * 3);
        assert_eq!(cold.record.over_cold, 5);
        assert_eq!(warm.record.over_cold, 0);
    }

    #[test]
    fn full_memory_preempts_and_all_tokens_still_come_once() {
        let settings = Settings {
            capacity: 100,
            ..Settings::default()
        };
        let mut engine = Engine::new(settings, 1);
        engine.warm_up();
        for request in 0..4 {
            engine.submit(Duration::ZERO, ask(request, 40)).unwrap();
        }
        let (_, emissions) = run(&mut engine);
        assert!(engine.record.preemptions > 0);
        let tokens = emissions
            .iter()
            .filter(|e| matches!(e, Emission::Token { .. }))
            .count();
        assert_eq!(tokens, 160);
    }

    #[test]
    fn old_fencing_number_is_refused_only_where_it_is_checked() {
        let mut checks = Engine::new(Settings::default(), 1);
        let mut ignores = Engine::new(
            Settings {
                fenced: false,
                ..Settings::default()
            },
            1,
        );
        for engine in [&mut checks, &mut ignores] {
            assert!(engine.order(Duration::ZERO, 9, BTreeMap::new()));
        }
        assert!(!checks.order(Duration::ZERO, 8, BTreeMap::new()));
        assert!(ignores.order(Duration::ZERO, 8, BTreeMap::new()));
    }
}
