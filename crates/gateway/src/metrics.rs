//! Prometheus metrics of one instance.
//!
//! The number of label values is bounded: routes come from the configuration, reasons and kinds are
//! enumerated in the code, and no label holds an organisation or a request. Figures per
//! organisation are in the burn rate report instead.

use std::sync::atomic::AtomicI64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Labels of an ended request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabel {
    route: String,
    outcome: &'static str,
    reason: &'static str,
}

/// Label with the name of a route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RouteLabel {
    route: String,
}

/// Label with the kind of an event.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct KindLabel {
    kind: &'static str,
}

/// Label that tells whether a request may run again.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RepeatLabel {
    repeats: &'static str,
}

/// All metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabel, Counter>,
    attempts: Counter,
    resumes: Counter,
    tokens: Counter,
    tokens_dropped: Counter,
    first_token: Family<RouteLabel, Histogram>,
    token_gap: Family<RouteLabel, Histogram>,
    requests_open: Gauge<i64, AtomicI64>,
    frames_sent: Counter,
    frame_bytes_sent: Counter,
    frames_received: Counter,
    frame_bytes_received: Counter,
    frames_dropped: Family<KindLabel, Counter>,
    violations: Family<KindLabel, Counter>,
    earlier_runs: Family<KindLabel, Counter>,
    abandoned_runs: Family<KindLabel, Counter>,
    unproven_attempts: Family<RepeatLabel, Counter>,
    store_calls: Counter,
    config_version: Gauge<i64, AtomicI64>,
    instances_running: Gauge<i64, AtomicI64>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Returns metrics with all values at zero.
    pub fn new() -> Metrics {
        let seconds =
            || Histogram::new([0.005, 0.01, 0.025, 0.047, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0]);
        let mut metrics = Metrics {
            registry: Registry::with_prefix("wigeon"),
            requests: Family::default(),
            attempts: Counter::default(),
            resumes: Counter::default(),
            tokens: Counter::default(),
            tokens_dropped: Counter::default(),
            first_token: Family::new_with_constructor(seconds),
            token_gap: Family::new_with_constructor(seconds),
            requests_open: Gauge::default(),
            frames_sent: Counter::default(),
            frame_bytes_sent: Counter::default(),
            frames_received: Counter::default(),
            frame_bytes_received: Counter::default(),
            frames_dropped: Family::default(),
            violations: Family::default(),
            earlier_runs: Family::default(),
            abandoned_runs: Family::default(),
            unproven_attempts: Family::default(),
            store_calls: Counter::default(),
            config_version: Gauge::default(),
            instances_running: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests",
            "Requests that have ended",
            self.requests.clone(),
        );
        registry.register(
            "attempts",
            "Attempts dispatched to backend servers",
            self.attempts.clone(),
        );
        registry.register(
            "resumes",
            "Streams resumed over a new connection",
            self.resumes.clone(),
        );
        registry.register("tokens", "Tokens added to answers", self.tokens.clone());
        registry.register(
            "tokens_dropped",
            "Tokens dropped as late, repeated or of another attempt",
            self.tokens_dropped.clone(),
        );
        registry.register(
            "first_token_seconds",
            "Time to the first token",
            self.first_token.clone(),
        );
        registry.register(
            "token_gap_seconds",
            "Greatest time between two tokens of an answer",
            self.token_gap.clone(),
        );
        registry.register(
            "requests_open",
            "Requests in progress",
            self.requests_open.clone(),
        );
        registry.register(
            "frames_sent",
            "Frames sent to other instances",
            self.frames_sent.clone(),
        );
        registry.register(
            "frame_bytes_sent",
            "Bytes of frames sent to other instances",
            self.frame_bytes_sent.clone(),
        );
        registry.register(
            "frames_received",
            "Frames accepted from other instances",
            self.frames_received.clone(),
        );
        registry.register(
            "frame_bytes_received",
            "Bytes of frames accepted from other instances",
            self.frame_bytes_received.clone(),
        );
        registry.register(
            "frames_dropped",
            "Received data rejected as not a valid frame",
            self.frames_dropped.clone(),
        );
        registry.register(
            "violations",
            "Violations of invariants",
            self.violations.clone(),
        );
        registry.register(
            "earlier_runs",
            "Runs given up before another server was to run the request, by the proof of their end",
            self.earlier_runs.clone(),
        );
        registry.register(
            "abandoned_runs",
            "Runs whose request ended without its answer, by the proof of their end",
            self.abandoned_runs.clone(),
        );
        registry.register(
            "unproven_attempts",
            "Attempts that were sent without proof that an earlier run of the request has ended",
            self.unproven_attempts.clone(),
        );
        registry.register(
            "store_calls",
            "Calls sent to the store",
            self.store_calls.clone(),
        );
        registry.register(
            "config_version",
            "Version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "instances_running",
            "Instances that this one believes to be running, with itself",
            self.instances_running.clone(),
        );
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts a request that has begun.
    pub fn count_request_begun(&self) {
        self.requests_open.inc();
    }

    /// Counts a request that has ended.
    pub fn count_request_ended(&self, route: &str, outcome: &'static str, reason: &'static str) {
        self.requests_open.dec();
        let label = OutcomeLabel {
            route: route.to_string(),
            outcome,
            reason,
        };
        self.requests.get_or_create(&label).inc();
    }

    /// Returns the number of requests in progress.
    pub fn requests_open(&self) -> i64 {
        self.requests_open.get()
    }

    /// Records an answer's time to the first token and its greatest gap between two tokens.
    pub fn observe_answer(&self, route: &str, first_token: Duration, gap: Duration) {
        let label = RouteLabel {
            route: route.to_string(),
        };
        self.first_token
            .get_or_create(&label)
            .observe(first_token.as_secs_f64());
        self.token_gap
            .get_or_create(&label)
            .observe(gap.as_secs_f64());
    }

    /// Counts a dispatched attempt.
    pub fn count_attempt(&self) {
        self.attempts.inc();
    }

    /// Returns the number of dispatched attempts.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Counts a stream that is resumed over a new connection.
    pub fn count_resume(&self) {
        self.resumes.inc();
    }

    /// Counts tokens that were added to answers and tokens that were dropped.
    pub fn count_tokens(&self, accepted: u64, dropped: u64) {
        self.tokens.inc_by(accepted);
        self.tokens_dropped.inc_by(dropped);
    }

    /// Counts a sent frame and its bytes.
    pub fn count_frame_sent(&self, bytes: usize) {
        self.frames_sent.inc();
        self.frame_bytes_sent.inc_by(bytes as u64);
    }

    /// Counts an accepted frame and its bytes.
    pub fn count_frame_received(&self, bytes: usize) {
        self.frames_received.inc();
        self.frame_bytes_received.inc_by(bytes as u64);
    }

    /// Returns the total bytes of the sent frames.
    pub fn bytes_sent(&self) -> u64 {
        self.frame_bytes_sent.get()
    }

    /// Counts received data that was rejected as not a valid frame, by the kind of error.
    pub fn count_frame_dropped(&self, kind: wire::Kind) {
        let label = KindLabel {
            kind: kind.as_str(),
        };
        self.frames_dropped.get_or_create(&label).inc();
    }

    /// Counts a run that was given up before another server was to run the request. `end` names the
    /// proof that it has ended.
    pub fn count_earlier_run(&self, end: &'static str) {
        let label = KindLabel { kind: end };
        self.earlier_runs.get_or_create(&label).inc();
    }

    /// Counts a run whose request has ended without its answer. `end` names the proof that it has ended.
    pub fn count_abandoned_run(&self, end: &'static str) {
        let label = KindLabel { kind: end };
        self.abandoned_runs.get_or_create(&label).inc();
    }

    /// Counts an attempt that is sent without proof that an earlier run of the request has ended.
    /// `repeats` tells whether the request may run again.
    pub fn count_unproven_attempt(&self, repeats: bool) {
        let label = RepeatLabel {
            repeats: if repeats { "yes" } else { "no" },
        };
        self.unproven_attempts.get_or_create(&label).inc();
    }

    /// Counts a call to the store.
    pub fn count_store_call(&self) {
        self.store_calls.inc();
    }

    /// Sets the version of the configuration in force. Of a version with more bits than the gauge, the
    /// low ones are shown, which still tell instances with different versions apart.
    pub fn set_config_version(&self, version: conf::Version) {
        const SHOWN_BITS: conf::Version = i64::MAX as conf::Version;
        self.config_version
            .set(i64::try_from(version & SHOWN_BITS).unwrap_or(i64::MAX));
    }

    /// Sets the number of instances that are believed to be running.
    pub fn set_instances_running(&self, count: usize) {
        self.instances_running
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Sets the number of violations of an invariant. The counter never decreases.
    pub fn set_violations(&self, kind: &'static str, count: u64) {
        let counter = self.violations.get_or_create(&KindLabel { kind }).clone();
        counter.inc_by(count.saturating_sub(counter.get()));
    }
}
