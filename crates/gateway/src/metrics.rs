//! Counters and histograms.
//!
//! Labels are bounded: routes are those of the configuration, reasons and kinds are lists in the code, and no
//! label names an organisation or a request. The burn report has what concerns organisations.

use std::sync::atomic::AtomicI64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Label of a route and an outcome.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabel {
    route: String,
    outcome: &'static str,
    reason: &'static str,
}

/// Label of a route.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RouteLabel {
    route: String,
}

/// Label of a kind.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct KindLabel {
    kind: &'static str,
}

/// All metrics of one instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<OutcomeLabel, Counter>,
    attempts: Counter,
    resumes: Counter,
    tokens: Counter,
    dropped_tokens: Counter,
    first_token: Family<RouteLabel, Histogram>,
    token_gap: Family<RouteLabel, Histogram>,
    open: Gauge<i64, AtomicI64>,
    frames_sent: Counter,
    frame_bytes_sent: Counter,
    frames_received: Counter,
    frame_bytes_received: Counter,
    frames_dropped: Family<KindLabel, Counter>,
    violations: Family<KindLabel, Counter>,
    store_calls: Counter,
    config_version: Gauge<i64, AtomicI64>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Returns metrics that all stand at zero.
    pub fn new() -> Metrics {
        let seconds =
            || Histogram::new([0.005, 0.01, 0.025, 0.047, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0]);
        let mut metrics = Metrics {
            registry: Registry::with_prefix("wigeon"),
            requests: Family::default(),
            attempts: Counter::default(),
            resumes: Counter::default(),
            tokens: Counter::default(),
            dropped_tokens: Counter::default(),
            first_token: Family::new_with_constructor(seconds),
            token_gap: Family::new_with_constructor(seconds),
            open: Gauge::default(),
            frames_sent: Counter::default(),
            frame_bytes_sent: Counter::default(),
            frames_received: Counter::default(),
            frame_bytes_received: Counter::default(),
            frames_dropped: Family::default(),
            violations: Family::default(),
            store_calls: Counter::default(),
            config_version: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests",
            "Requests that have ended",
            self.requests.clone(),
        );
        r.register(
            "attempts",
            "Attempts dispatched to backend servers",
            self.attempts.clone(),
        );
        r.register(
            "resumes",
            "Streams read on over a new connection",
            self.resumes.clone(),
        );
        r.register("tokens", "Tokens taken into answers", self.tokens.clone());
        r.register(
            "tokens_dropped",
            "Late, repeated or crossed tokens",
            self.dropped_tokens.clone(),
        );
        r.register(
            "first_token_seconds",
            "Time to the first token",
            self.first_token.clone(),
        );
        r.register(
            "token_gap_seconds",
            "Greatest gap between two tokens",
            self.token_gap.clone(),
        );
        r.register("requests_open", "Requests under way", self.open.clone());
        r.register(
            "frames_sent",
            "Frames sent to instances",
            self.frames_sent.clone(),
        );
        r.register(
            "frame_bytes_sent",
            "Bytes of those",
            self.frame_bytes_sent.clone(),
        );
        r.register(
            "frames_received",
            "Frames taken from instances",
            self.frames_received.clone(),
        );
        r.register(
            "frame_bytes_received",
            "Bytes of those",
            self.frame_bytes_received.clone(),
        );
        r.register(
            "frames_dropped",
            "Frames that were none",
            self.frames_dropped.clone(),
        );
        r.register(
            "violations",
            "Invariants found broken",
            self.violations.clone(),
        );
        r.register(
            "store_calls",
            "Calls sent to the store",
            self.store_calls.clone(),
        );
        r.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
    }

    /// Returns all metrics as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }

    /// Counts a request that has begun.
    pub fn request_begun(&self) {
        self.open.inc();
    }

    /// Counts a request that has ended.
    pub fn request_ended(&self, route: &str, outcome: &'static str, reason: &'static str) {
        self.open.dec();
        let label = OutcomeLabel {
            route: route.to_string(),
            outcome,
            reason,
        };
        self.requests.get_or_create(&label).inc();
    }

    /// Returns how many requests are under way.
    pub fn open(&self) -> i64 {
        self.open.get()
    }

    /// Notes the times of an answer.
    pub fn answer_times(&self, route: &str, first_token: Duration, gap: Duration) {
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

    /// Counts an attempt.
    pub fn attempt(&self) {
        self.attempts.inc();
    }

    /// Returns how many attempts were made.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Counts a stream that is read on.
    pub fn resume(&self) {
        self.resumes.inc();
    }

    /// Counts tokens.
    pub fn tokens(&self, taken: u64, dropped: u64) {
        self.tokens.inc_by(taken);
        self.dropped_tokens.inc_by(dropped);
    }

    /// Counts a frame that was sent.
    pub fn frame_sent(&self, bytes: usize) {
        self.frames_sent.inc();
        self.frame_bytes_sent.inc_by(bytes as u64);
    }

    /// Counts a frame that was taken.
    pub fn frame_received(&self, bytes: usize) {
        self.frames_received.inc();
        self.frame_bytes_received.inc_by(bytes as u64);
    }

    /// Returns the bytes of all frames sent.
    pub fn bytes_sent(&self) -> u64 {
        self.frame_bytes_sent.get()
    }

    /// Counts bytes that were no frame.
    pub fn frame_dropped(&self, kind: wire::Kind) {
        let label = KindLabel {
            kind: kind.as_str(),
        };
        self.frames_dropped.get_or_create(&label).inc();
    }

    /// Counts calls to the store.
    pub fn store_call(&self) {
        self.store_calls.inc();
    }

    /// Sets the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Sets how often an invariant was found broken.
    pub fn set_violations(&self, kind: &'static str, count: u64) {
        let counter = self.violations.get_or_create(&KindLabel { kind }).clone();
        counter.inc_by(count.saturating_sub(counter.get()));
    }
}
