//! A simulated model engine with continuous batching, limited KV cache memory and cold starts.
//!
//! [`Engine`] is a state machine over a clock that the caller passes in: [`Engine::submit`] queues
//! a generation, and each [`Engine::step`] produces one token for every generation in the batch.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use compact_str::CompactString;

use crate::token;
use crate::token::Marker;

/// Time after which a generation without a reader is cancelled.
const UNREAD_RETENTION: Duration = Duration::from_secs(4);
/// Time for which an ended generation can still be resumed.
const ENDED_RETENTION: Duration = Duration::from_secs(6);
/// Time after [`Engine::cool_down`] during which exceeding the cold limit is not recorded: load
/// balancers can't know of the change before the load reports show it.
pub const COLD_REPORT_DELAY: Duration = Duration::from_millis(1_000);
/// Prompt tokens covered by one prefix hash.
const PREFIX_BLOCK_TOKENS: u32 = 64;
/// Cache events kept for readers; older ones are dropped.
const MAX_CACHE_EVENTS: usize = 128;

/// Performance and limits of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Fixed part of a step's duration, without its generations and prompts.
    pub step: Duration,
    /// Time that each generation in the batch adds to a step.
    pub step_per_generation: Duration,
    /// Prompt tokens processed per second.
    pub prefill_rate: f64,
    /// Maximum number of generations in a batch.
    pub batch: usize,
    /// KV cache size, in tokens.
    pub capacity: u64,
    /// Concurrent requests that a freshly started engine serves without slowing down. Each
    /// completed request raises the limit by one.
    pub cold_concurrency: usize,
    /// Completed requests after which the engine is warm and has no such limit.
    pub warm_after: u64,
    /// Factor on the duration of a step while a cold engine is above its limit.
    pub overload_slowdown: u32,
    /// Age of the state that a load report shows.
    pub report_lag: Duration,
    /// Maximum number of prompt prefixes in the prefix cache.
    pub prefixes: usize,
    /// Whether the engine refuses orders whose fencing number is below the highest one seen.
    pub fenced: bool,
    /// Time to load a model after an order changes the setup.
    pub load_time: Duration,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            step: Duration::from_millis(12),
            step_per_generation: Duration::from_micros(400),
            prefill_rate: 20_000.0,
            batch: 48,
            capacity: 6_000,
            cold_concurrency: 3,
            warm_after: 14,
            overload_slowdown: 12,
            report_lag: Duration::from_millis(150),
            prefixes: 8,
            fenced: true,
            load_time: Duration::from_millis(800),
        }
    }
}

/// A generation request.
#[derive(Clone, Debug, PartialEq)]
pub struct GenerationRequest {
    /// Id of the attempt that sends the request. Resumes and cancels use it to find the
    /// generation.
    pub attempt: u64,
    /// Test instructions read from the prompt.
    pub marker: Marker,
    /// Prompt length, in tokens.
    pub prompt_tokens: u32,
    /// Maximum number of output tokens.
    pub max_tokens: u32,
    /// Requests of higher priority enter the batch first and are preempted last.
    pub priority: u8,
    /// Hashes of the prompt's prefixes, shortest first; each one covers one more block of the
    /// prompt.
    pub prefixes: Vec<u64>,
}

/// Load report of an engine or a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Boot id, which changes with every restart.
    pub boot: u64,
    /// Generations in the batch, or running calls of a plain service.
    pub running: u32,
    /// Generations waiting to enter the batch.
    pub waiting: u32,
    /// KV cache in use, in tokens.
    pub used: u64,
    /// KV cache size, in tokens.
    pub capacity: u64,
    /// Preemptions since the last restart.
    pub preemptions: u64,
    /// Requests completed since the server was last cold.
    pub served: u64,
    /// Whether the server is about to shut down.
    pub leaving: bool,
    /// Whether the server is still warming up.
    pub cold: bool,
}

/// An event of a generation, or the crash of the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Emission {
    /// A generated token.
    Token {
        /// Id of the generation.
        generation: u64,
        /// Position of the token in the output, from zero.
        index: u32,
        /// Text of the token.
        text: CompactString,
    },
    /// The generation is complete.
    End {
        /// Id of the generation.
        generation: u64,
        /// Number of output tokens.
        total: u32,
    },
    /// The engine crashed, and all of its generations are lost.
    Crash,
}

/// Events that an engine records for checks. Restarts keep them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Record {
    /// Start of each generation: time, request number, generation id.
    pub starts: Vec<(Duration, u64, u64)>,
    /// Number of requests that exceeded the limit of a cold engine.
    pub cold_overloads: u64,
    /// Preemptions, across all restarts.
    pub preemptions: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Accepted orders: time, fencing number, model.
    pub orders: Vec<(Duration, u64, String)>,
    /// Orders refused because their fencing number was too low.
    pub stale_orders: u64,
    /// Crashes.
    pub crashes: u64,
}

/// A simulated model engine.
#[derive(Debug)]
pub struct Engine {
    settings: Settings,
    /// Recorded events.
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
    cold_reported_at: Duration,
}

#[derive(Debug)]
struct Generation {
    request: GenerationRequest,
    generated: u32,
    total: u32,
    prefill: u32,
    ended: Option<Duration>,
    unread_since: Option<Duration>,
    arrival_order: u64,
}

/// Reason for which an engine refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// The engine is down.
    Down,
    /// The engine is about to shut down.
    Leaving,
    /// The engine is loading a model.
    Loading,
}

impl Engine {
    /// Returns a cold, empty engine with a boot id.
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
            // Generation ids must not repeat after a restart, so they start from the boot id.
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
            cold_reported_at: Duration::ZERO,
        }
    }

    /// Returns whether the engine is running.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Returns the boot id.
    pub fn boot(&self) -> u64 {
        self.boot
    }

    /// Makes the engine warm, as if it had completed enough requests.
    pub fn warm_up(&mut self) {
        self.served = self.settings.warm_after;
    }

    /// Makes the engine cold again without a restart. Requests above the limit are not recorded for
    /// [`COLD_REPORT_DELAY`], until the load reports show the change.
    pub fn cool_down(&mut self, now: Duration) {
        self.record_load(now);
        self.served = 0;
        self.cold_reported_at = now + COLD_REPORT_DELAY;
        self.record_load(now);
    }

    /// Announces that the engine is about to shut down. It refuses new requests and completes those
    /// it has.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Stops the engine and discards all generations.
    pub fn crash(&mut self) {
        self.up = false;
        self.record.crashes += 1;
        self.generations.clear();
        self.waiting.clear();
        self.batch.clear();
        self.next_step = None;
    }

    /// Restarts the engine, cold, with the next boot id. The record and the setup are kept, all
    /// other state is lost, including the highest fencing number.
    pub fn restart(&mut self) {
        let record = std::mem::take(&mut self.record);
        let settings = self.settings;
        let setup = std::mem::take(&mut self.setup);
        *self = Engine::new(settings, self.boot + 1);
        self.record = record;
        self.setup = setup;
    }

    /// Returns how many concurrent requests the engine serves without slowing down.
    pub fn max_concurrency(&self) -> usize {
        if self.served >= self.settings.warm_after {
            return usize::MAX;
        }
        self.settings.cold_concurrency + usize::try_from(self.served).unwrap_or(usize::MAX)
    }

    /// Queues a request and returns the id of its generation.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] if the engine is down, about to shut down or loading a model. The
    /// request has not run then.
    pub fn submit(&mut self, now: Duration, request: GenerationRequest) -> Result<u64, Refusal> {
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
        let marker = request.marker;
        self.record.starts.push((now, marker.request, id));
        let cached = self.cached_prompt_tokens(&request);
        let prefill = request.prompt_tokens - cached;
        self.cache_prefixes(&request.prefixes);
        self.generations.insert(
            id,
            Generation {
                total: marker.length.min(request.max_tokens).max(1),
                prefill,
                request,
                generated: 0,
                ended: None,
                unread_since: None,
                arrival_order: id,
            },
        );
        self.waiting.push_back(id);
        if self.waiting.len() + self.batch.len() > self.max_concurrency()
            && now >= self.cold_reported_at
        {
            self.record.cold_overloads += 1;
        }
        self.next_step.get_or_insert(now);
        self.record_load(now);
        Ok(id)
    }

    /// Returns the id of the generation that an attempt started, if the engine still has it.
    pub fn find_by_attempt(&self, attempt: u64) -> Option<u64> {
        self.generations
            .iter()
            .find(|(_, generation)| generation.request.attempt == attempt)
            .map(|(id, _)| *id)
    }

    /// Returns the emissions of a generation from a token index on, or `None` if the engine no
    /// longer has the generation.
    pub fn resume(&mut self, id: u64, from: u32) -> Option<Vec<Emission>> {
        let generation = self.generations.get_mut(&id)?;
        generation.unread_since = None;
        let marker = generation.request.marker;
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

    /// Records that a generation has lost its reader. It is cancelled after a while unless it is
    /// resumed.
    pub fn detach_reader(&mut self, now: Duration, id: u64) {
        if let Some(generation) = self.generations.get_mut(&id) {
            generation.unread_since.get_or_insert(now);
        }
    }

    /// Cancels a generation and discards its state.
    pub fn cancel(&mut self, id: u64) {
        self.generations.remove(&id);
        self.waiting.retain(|other| *other != id);
        self.batch.retain(|other| *other != id);
    }

    /// Returns when the next [`Engine::step`] is due, or `None` if the engine is idle or down.
    pub fn next_step(&self) -> Option<Duration> {
        self.next_step
    }

    /// Runs one step of the batch if it is due, and returns the tokens and ends that it produced.
    pub fn step(&mut self, now: Duration) -> Vec<Emission> {
        if !self.up || self.next_step.is_none_or(|at| now < at) {
            return Vec::new();
        }
        self.drop_expired(now);
        self.record_load(now);
        let prefill_tokens = self.fill_batch();
        if self
            .batch
            .iter()
            .any(|id| self.generations[id].request.marker.poison)
        {
            self.crash();
            return vec![Emission::Crash];
        }
        self.preempt_to_fit();
        let emissions = self.generate_tokens(now);
        self.next_step = self
            .is_busy()
            .then(|| now + self.step_duration(prefill_tokens));
        emissions
    }

    /// Returns a load report, which shows the state as of [`Settings::report_lag`] ago, or `None`
    /// if the engine is down.
    pub fn load(&mut self, now: Duration) -> Option<Load> {
        if !self.up {
            return None;
        }
        self.record_load(now);
        self.reports.front().map(|(_, load)| load.clone())
    }

    /// Queues the current load for the reports, and drops loads that a newer one has replaced.
    fn record_load(&mut self, now: Duration) {
        self.reports.push_back((now, self.current_load()));
        let due = |at: Duration| at + self.settings.report_lag <= now;
        while self.reports.len() > 1 && due(self.reports[1].0) {
            self.reports.pop_front();
        }
    }

    /// Returns the prefix cache events that are still kept, and the sequence number of the first
    /// one. An event says whether a prefix was stored (or dropped), and its hash. A reader that
    /// polls too rarely misses events.
    pub fn events(&mut self) -> (u64, Vec<(bool, u64)>) {
        (self.first_event, self.events.iter().copied().collect())
    }

    /// Applies an order to serve a model. Returns `false` if the engine checks fencing numbers and
    /// the order's is below the highest one seen.
    pub fn apply_order(
        &mut self,
        now: Duration,
        fence: u64,
        setup: BTreeMap<String, String>,
    ) -> bool {
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

    /// Returns the numbers of the running and waiting requests.
    pub fn requests(&self) -> Vec<u64> {
        let requests = self.batch.iter().chain(&self.waiting);
        requests
            .map(|id| self.generations[id].request.marker.request)
            .collect()
    }

    /// Returns the setup of the last accepted order.
    pub fn setup(&self) -> &BTreeMap<String, String> {
        &self.setup
    }

    /// Returns whether the engine accepts requests.
    pub fn is_ready(&self, now: Duration) -> bool {
        self.up && !self.leaving && now >= self.loading_until
    }

    fn current_load(&self) -> Load {
        Load {
            boot: self.boot,
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            used: self.used_tokens(),
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

    fn used_tokens(&self) -> u64 {
        self.batch.iter().map(|id| self.cache_tokens(*id)).sum()
    }

    fn cache_tokens(&self, id: u64) -> u64 {
        let generation = &self.generations[&id];
        u64::from(generation.request.prompt_tokens) + u64::from(generation.generated)
    }

    fn cached_prompt_tokens(&self, request: &GenerationRequest) -> u32 {
        let matched = request
            .prefixes
            .iter()
            .take_while(|prefix| self.prefixes.contains(prefix))
            .count() as u32;
        (matched * PREFIX_BLOCK_TOKENS).min(request.prompt_tokens)
    }

    fn cache_prefixes(&mut self, prefixes: &[u64]) {
        for prefix in prefixes {
            if let Some(index) = self.prefixes.iter().position(|known| known == prefix) {
                // Moves the prefix to the back: the least recently used one is evicted first.
                self.prefixes.remove(index);
                self.prefixes.push_back(*prefix);
                continue;
            }
            self.prefixes.push_back(*prefix);
            self.publish_event(true, *prefix);
            if self.prefixes.len() > self.settings.prefixes
                && let Some(old) = self.prefixes.pop_front()
            {
                self.publish_event(false, old);
            }
        }
    }

    fn publish_event(&mut self, stored: bool, prefix: u64) {
        self.events.push_back((stored, prefix));
        if self.events.len() > MAX_CACHE_EVENTS {
            self.events.pop_front();
            self.first_event += 1;
        }
    }

    /// Moves waiting generations into the batch, by priority and then by age. Returns the prompt
    /// tokens to prefill for them.
    fn fill_batch(&mut self) -> u32 {
        let mut prefill_tokens = 0;
        let mut order: Vec<u64> = self.waiting.iter().copied().collect();
        order.sort_by_key(|id| {
            let generation = &self.generations[id];
            (
                std::cmp::Reverse(generation.request.priority),
                generation.arrival_order,
            )
        });
        for id in order {
            let fits = self.used_tokens() + self.cache_tokens(id) <= self.settings.capacity;
            let alone = self.batch.is_empty();
            if self.batch.len() >= self.settings.batch || !(fits || alone) {
                break;
            }
            self.waiting.retain(|other| *other != id);
            self.batch.push(id);
            if let Some(generation) = self.generations.get_mut(&id) {
                prefill_tokens += std::mem::take(&mut generation.prefill);
            }
        }
        prefill_tokens
    }

    /// Preempts generations, the lowest priority and then the youngest first, until the next step
    /// fits into the KV cache.
    fn preempt_to_fit(&mut self) {
        while self.batch.len() > 1
            && self.used_tokens() + self.batch.len() as u64 > self.settings.capacity
        {
            let victim = self
                .batch
                .iter()
                .copied()
                .min_by_key(|id| {
                    let generation = &self.generations[id];
                    (
                        generation.request.priority,
                        std::cmp::Reverse(generation.arrival_order),
                    )
                })
                .expect("the batch is not empty");
            self.batch.retain(|id| *id != victim);
            self.waiting.push_front(victim);
            if let Some(generation) = self.generations.get_mut(&victim) {
                // The preempted generation's KV cache is dropped and must be recomputed.
                generation.prefill = generation.request.prompt_tokens + generation.generated;
            }
            self.preemptions += 1;
            self.record.preemptions += 1;
        }
    }

    fn generate_tokens(&mut self, now: Duration) -> Vec<Emission> {
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
                text: token::text(&generation.request.marker, id, index),
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

    fn step_duration(&self, prefill_tokens: u32) -> Duration {
        let each = self.settings.step_per_generation * self.batch.len() as u32;
        let prefill =
            Duration::from_secs_f64(f64::from(prefill_tokens) / self.settings.prefill_rate);
        let time = self.settings.step + each + prefill;
        if self.batch.len() + self.waiting.len() > self.max_concurrency() {
            time * self.settings.overload_slowdown
        } else {
            time
        }
    }

    fn drop_expired(&mut self, now: Duration) {
        let expired: Vec<u64> = self
            .generations
            .iter()
            .filter(|(_, generation)| {
                let ended = generation
                    .ended
                    .is_some_and(|at| now.saturating_sub(at) > ENDED_RETENTION);
                let unread = generation
                    .unread_since
                    .is_some_and(|at| now.saturating_sub(at) > UNREAD_RETENTION);
                ended || unread
            })
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.cancel(id);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn generation_request(request: u64, length: u32) -> GenerationRequest {
        GenerationRequest {
            attempt: request,
            marker: Marker {
                request,
                length,
                ..Marker::default()
            },
            prompt_tokens: 10,
            max_tokens: u32::MAX,
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
    fn overloaded_cold_engine_slows_down_and_records_it() {
        let settings = Settings::default();
        let mut cold = Engine::new(settings, 1);
        let mut warm = Engine::new(settings, 1);
        warm.warm_up();
        for request in 0..8 {
            cold.submit(Duration::ZERO, generation_request(request, 20))
                .unwrap();
            warm.submit(Duration::ZERO, generation_request(request, 20))
                .unwrap();
        }
        assert!(run(&mut cold).0 > run(&mut warm).0 * 3);
        assert_eq!(cold.record.cold_overloads, 5);
        assert_eq!(warm.record.cold_overloads, 0);
    }

    #[test]
    fn preemption_on_full_memory_delivers_every_token_once() {
        let settings = Settings {
            capacity: 100,
            ..Settings::default()
        };
        let mut engine = Engine::new(settings, 1);
        engine.warm_up();
        for request in 0..4 {
            engine
                .submit(Duration::ZERO, generation_request(request, 40))
                .unwrap();
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
    fn low_fencing_number_is_refused_only_if_the_engine_checks_it() {
        let mut fenced = Engine::new(Settings::default(), 1);
        let mut unfenced = Engine::new(
            Settings {
                fenced: false,
                ..Settings::default()
            },
            1,
        );
        for engine in [&mut fenced, &mut unfenced] {
            assert!(engine.apply_order(Duration::ZERO, 9, BTreeMap::new()));
        }
        assert!(!fenced.apply_order(Duration::ZERO, 8, BTreeMap::new()));
        assert!(unfenced.apply_order(Duration::ZERO, 8, BTreeMap::new()));
    }
}
