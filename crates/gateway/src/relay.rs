//! Runs the attempts of one request against backend servers.
//!
//! A relay is a task. It starts the attempts that the decider dispatches, appends their tokens to
//! the answer, resumes a generation over a new connection when the current one breaks or stays
//! silent for too long, and reports the progress and the end of each attempt to the decider.
//! [`stream::Relay`] decides which tokens are accepted.

mod link;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use clock::Time;
use compact_str::CompactString;
use conf::Delivery;
use conf::Route;
use stream::Disposition;
use stream::StallDetector;
use tokio::sync::mpsc;
use wigeon_core::Event;
use wigeon_core::Failure;
use wigeon_core::Input;
use wigeon_core::Outcome;
use wigeon_core::Request;
use wigeon_core::message::Dispatch;
use wigeon_core::outcome::Reason;
use wire::AttemptId;
use wire::ledger::ANSWER_BYTES;
use xtra::Address;

use crate::answer::Answer;
use crate::answer::Ending;
use crate::backend;
use crate::backend::BackendError;
use crate::backend::PlainAnswer;
use crate::backend::StreamLine;
use crate::decider::Decider;
use crate::decider::HandleInput;
use crate::decider::RelayCommand;
use crate::decider::Relays;
use crate::metrics::Metrics;
use crate::partition::Partition;
use crate::relay::link::Link;
use crate::relay::link::LinkEvent;
use crate::relay::link::next_link_event;

/// Number of tokens between two progress reports to the decider.
const PROGRESS_REPORT_TOKENS: u32 = 32;
/// Greatest number of resume attempts in a row without a new token.
const RESUMES_MAX: u32 = 4;
/// Delay before the first resume; it grows linearly with each further one in a row. Also the time
/// after which opening a connection over a cut link fails.
const RESUME_BACKOFF: Duration = Duration::from_millis(20);
/// Maximum number of lines in a row that bring no new token. A server that repeats tokens without end
/// is never silent.
const REPEATED_LINES_MAX: u32 = 4_096;
/// Longest wait for the response of a plain service.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Media type that is recorded for an answer made of tokens.
const TEXT_MEDIA_TYPE: &str = "text/plain; charset=utf-8";

/// The payload that is sent to the backend server.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A prompt for a model engine.
    Prompt {
        /// The text of the prompt.
        text: Arc<str>,
    },
    /// A call of a plain service.
    Call {
        /// The part of the request path after the route's name, with its leading slash.
        path: String,
        /// Content type of the body.
        media: String,
        /// Body of the request.
        body: Bytes,
    },
}

/// Dependencies that all relays of an instance share.
pub struct RelayContext {
    /// The instance's decider.
    pub decider: Address<Decider>,
    /// The registry of all relays.
    pub relays: Arc<Relays>,
    /// The clock for all timeouts and measured times.
    pub clock: Arc<dyn Clock>,
    /// Links that an experiment has cut.
    pub partition: Arc<Partition>,
    /// The instance's metrics.
    pub metrics: Arc<Metrics>,
}

/// The relay of one request.
pub struct Relay {
    context: Arc<RelayContext>,
    request: Request,
    payload: Payload,
    route: Route,
    answer: Arc<Answer>,
    stream: stream::Relay,
    attempt: Option<Attempt>,
    /// Set when a restarted decider has no record of this request.
    orphaned: bool,
    started: Time,
    /// Time from the start of the relay to the first token of the answer.
    time_to_first_token: Option<Duration>,
    last_token_at: Option<Time>,
    /// Size of the tokens that are kept, in bytes.
    answer_bytes: usize,
    /// Greatest time between two tokens of the answer so far.
    max_gap: Duration,
    ended: bool,
}

/// The attempt that is running.
struct Attempt {
    id: AttemptId,
    address: SocketAddr,
    /// Boot id that the decider expects of the server, or zero if it is not known.
    boot: u64,
    link: Link,
    stall_detector: StallDetector,
    /// Time of the last line with a new token, or of the start or last resume.
    last_activity: Time,
    /// Resumes in a row without a new token.
    resumes: u32,
    /// Lines in a row without a new token.
    repeated_lines: u32,
}

impl Relay {
    /// Returns the relay of a request.
    pub fn new(
        context: Arc<RelayContext>,
        request: Request,
        payload: Payload,
        route: Route,
        answer: Arc<Answer>,
    ) -> Relay {
        let whole = route.delivery == Delivery::Whole;
        let started = context.clock.now();
        Relay {
            stream: stream::Relay::new(whole).allow_rerun(route.rerun),
            context,
            request,
            payload,
            route,
            answer,
            attempt: None,
            orphaned: false,
            started,
            time_to_first_token: None,
            last_token_at: None,
            answer_bytes: 0,
            max_gap: Duration::ZERO,
            ended: false,
        }
    }

    /// Submits the request to the decider and runs its attempts until it has ended.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<RelayCommand>) {
        let input = Input::Request(self.request.clone());
        self.send_input(input).await;
        while !self.ended {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.on_command(command).await,
                    None => self.fail_request(Reason::Lost),
                },
                event = next_link_event(&mut self.attempt, self.context.clone()) => {
                    self.on_link_event(event).await;
                }
            }
        }
        self.context.relays.deregister(self.request.id);
    }

    async fn on_command(&mut self, command: RelayCommand) {
        match command {
            RelayCommand::Dispatch(dispatch) => self.dispatch(*dispatch).await,
            RelayCommand::Cancel(attempt) => self.cancel(attempt),
            // Engines on this interface make no replicas of a generation's KV memory: a lost
            // generation is run again, and its tokens are compared with those already delivered.
            RelayCommand::Copy(attempt, _) => self.report(attempt, Event::NotCopied).await,
            RelayCommand::Orphan => {
                self.orphaned = true;
                if self.attempt.is_none() {
                    self.fail_request(Reason::Lost);
                }
            }
            RelayCommand::Finish(outcome) => {
                let (label, reason) = outcome_labels(&outcome);
                self.end_request(Ending::Other(outcome), label, reason);
            }
        }
    }

    async fn dispatch(&mut self, dispatch: Dispatch) {
        let id = dispatch.attempt;
        if dispatch.rerun {
            if self.stream.rebind(id).is_err() {
                let delivered = self.stream.delivered();
                self.report(id, Event::Diverged { delivered }).await;
                return;
            }
            self.answer.discard_hidden();
            self.answer_bytes = self.answer.bytes();
        } else {
            self.stream.bind(id);
        }
        self.attempt = Some(Attempt {
            id,
            address: dispatch.address,
            boot: dispatch.boot,
            link: self.open_link(&dispatch),
            stall_detector: StallDetector::default(),
            last_activity: self.context.clock.now(),
            resumes: 0,
            repeated_lines: 0,
        });
    }

    fn open_link(&self, dispatch: &Dispatch) -> Link {
        match &self.payload {
            Payload::Prompt { text } => {
                let generate = backend::GenerateRequest {
                    attempt: dispatch.attempt,
                    prompt: text,
                    prompt_tokens: self.request.prompt_tokens,
                    limit: self.request.max_tokens,
                    priority: dispatch.priority,
                    prefixes: &self.request.prefixes,
                };
                let body = serde_json::to_vec(&generate).unwrap_or_default();
                Link::Opening(Box::pin(backend::generate(dispatch.address, body)))
            }
            Payload::Call { path, media, body } => {
                let (path, media, body) = (path.clone(), media.clone(), body.clone());
                let call = backend::call(dispatch.address, path, media, body);
                Link::Calling(Box::pin(call))
            }
        }
    }

    fn cancel(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempt.take_if(|attempt| attempt.id == id)
            && matches!(self.payload, Payload::Prompt { .. })
        {
            tokio::spawn(backend::cancel(attempt.address, id));
        }
        if self.orphaned {
            self.fail_request(Reason::Lost);
        }
    }

    async fn on_link_event(&mut self, event: LinkEvent) {
        let now = self.context.clock.now();
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        match event {
            LinkEvent::Opened(reader) => attempt.link = Link::Open(reader),
            LinkEvent::Line(line) => self.on_line(line, now).await,
            LinkEvent::Answer(answer) => self.on_plain_answer(answer).await,
            LinkEvent::Closed | LinkEvent::TimedOut => self.resume_stream(now).await,
            LinkEvent::Failed(error) => self.on_error(error, now).await,
        }
    }

    async fn on_line(&mut self, line: StreamLine, now: Time) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let id = attempt.id;
        match line {
            StreamLine::Token(frame) => {
                let token = frame.token.clone();
                let disposition = self.stream.accept(id, frame);
                if disposition == Disposition::Drop {
                    attempt.repeated_lines += 1;
                    if attempt.repeated_lines > REPEATED_LINES_MAX {
                        self.resume_stream(now).await;
                        return;
                    }
                } else {
                    attempt.stall_detector.record(now);
                    attempt.last_activity = now;
                    attempt.resumes = 0;
                    attempt.repeated_lines = 0;
                }
                self.on_disposition(id, disposition, token, now).await;
            }
            StreamLine::End { generation, total } => {
                if self.stream.finish(id, generation, total) {
                    self.complete(id, total).await;
                } else if self.stream.is_longer_than(total) {
                    let delivered = self.stream.delivered();
                    self.end_attempt(id, Event::Diverged { delivered }).await;
                } else {
                    // This connection skipped tokens; a resume reads them from the generation.
                    self.resume_stream(now).await;
                }
            }
        }
    }

    async fn on_disposition(
        &mut self,
        id: AttemptId,
        disposition: Disposition,
        token: CompactString,
        now: Time,
    ) {
        match disposition {
            Disposition::Deliver => {
                self.answer_bytes += token.len() + size_of::<CompactString>();
                let visible = self.route.delivery == Delivery::Stream;
                self.answer.push(token, visible);
                self.record_token_times(now);
                self.context.metrics.count_tokens(1, 0);
                if self.answer_bytes > backend::ANSWER_BYTES_MAX {
                    self.lose_too_long(id).await;
                    return;
                }
            }
            Disposition::Verified => {}
            Disposition::Drop => {
                self.context.metrics.count_tokens(0, 1);
                return;
            }
            Disposition::Diverged => {
                let delivered = self.stream.delivered();
                self.end_attempt(id, Event::Diverged { delivered }).await;
                return;
            }
        }
        let generated = self.stream.next();
        if generated == 1 {
            self.report(id, Event::FirstToken).await;
        }
        if generated.is_multiple_of(PROGRESS_REPORT_TOKENS) {
            let delivered = self.stream.delivered();
            let event = Event::Progress {
                generated,
                delivered,
            };
            self.report(id, event).await;
        }
    }

    fn record_token_times(&mut self, now: Time) {
        if let Some(last) = self.last_token_at {
            self.max_gap = self.max_gap.max(now.saturating_sub(last));
        }
        self.time_to_first_token
            .get_or_insert(now.saturating_sub(self.started));
        self.last_token_at = Some(now);
    }

    async fn complete(&mut self, id: AttemptId, generated: u32) {
        let event = Event::Complete {
            generated,
            gap: self.max_gap,
            answer: self.answer_to_record(),
        };
        self.attempt = None;
        self.report(id, event).await;
        self.end_request(Ending::Whole, "answered", "");
    }

    /// Returns the answer to record with an idempotency key. Its body is left out above
    /// [`ANSWER_BYTES`].
    fn answer_to_record(&self) -> wire::ledger::Answer {
        let size: usize = self.stream.tokens().iter().map(CompactString::len).sum();
        let body = (size <= ANSWER_BYTES).then(|| self.stream.tokens().concat().into_bytes());
        wire::ledger::Answer {
            status: 200,
            media: TEXT_MEDIA_TYPE.into(),
            body,
        }
    }

    async fn on_plain_answer(&mut self, answer: PlainAnswer) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let recorded = wire::ledger::Answer {
            status: answer.status,
            media: answer.media.clone(),
            body: (answer.body.len() <= ANSWER_BYTES).then(|| answer.body.to_vec()),
        };
        self.record_token_times(self.context.clock.now());
        self.report(attempt.id, Event::FirstToken).await;
        let event = Event::Complete {
            generated: 1,
            gap: Duration::ZERO,
            answer: recorded,
        };
        self.report(attempt.id, event).await;
        let ending = Ending::Plain {
            status: answer.status,
            media: answer.media,
            body: answer.body,
        };
        self.end_request(ending, "answered", "");
    }

    /// Resumes the generation over a new connection after the current one has closed early or timed
    /// out. Gives the attempt up after [`RESUMES_MAX`] resumes, and at once if it is a plain call.
    async fn resume_stream(&mut self, now: Time) {
        let from = self.stream.next();
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let id = attempt.id;
        let is_call = matches!(attempt.link, Link::Calling(_));
        if is_call || attempt.resumes >= RESUMES_MAX {
            self.lose_attempt(id, false).await;
            return;
        }
        attempt.resumes += 1;
        attempt.repeated_lines = 0;
        attempt.stall_detector.record_resume();
        attempt.last_activity = now;
        let (address, pause) = (attempt.address, RESUME_BACKOFF * attempt.resumes);
        attempt.link = Link::Opening(Box::pin(async move {
            tokio::time::sleep(pause).await;
            backend::resume(address, id, from).await
        }));
        self.context.metrics.count_resume();
    }

    async fn on_error(&mut self, error: BackendError, now: Time) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let (id, expected_boot, resumed) = (attempt.id, attempt.boot, attempt.resumes > 0);
        let is_call = matches!(attempt.link, Link::Calling(_));
        let generation_started = resumed || self.stream.generation().is_some();
        match error {
            BackendError::Refused if !generation_started => {
                self.end_attempt(id, Event::Refused).await;
            }
            BackendError::Unreachable if !generation_started => {
                self.end_attempt(id, Event::Unreachable).await;
            }
            BackendError::Gone { boot: found } => {
                self.lose_attempt(id, expected_boot != 0 && found != expected_boot)
                    .await;
            }
            // The generation had started, and now the server refuses connections: it has crashed.
            BackendError::Unreachable => self.lose_attempt(id, true).await,
            BackendError::Refused => self.lose_attempt(id, false).await,
            BackendError::Broken if is_call => self.lose_attempt(id, true).await,
            // The server runs: it has not stopped sending.
            BackendError::TooLong => self.lose_too_long(id).await,
            BackendError::Broken => self.resume_stream(now).await,
        }
    }

    /// Gives an attempt up whose answer exceeds the maximum size.
    async fn lose_too_long(&mut self, id: AttemptId) {
        if let Some(attempt) = &self.attempt {
            let address = attempt.address;
            log::warn!("relay: The answer of the server at {address} is too long.");
        }
        self.lose_attempt(id, false).await;
    }

    async fn lose_attempt(&mut self, id: AttemptId, crashed: bool) {
        if let Some(attempt) = self.attempt.as_ref().filter(|_| !crashed)
            && matches!(self.payload, Payload::Prompt { .. })
        {
            // The server may still run the attempt, although nothing reads its tokens any more.
            tokio::spawn(backend::cancel(attempt.address, id));
        }
        let delivered = self.stream.delivered();
        self.end_attempt(id, Event::Lost { crashed, delivered })
            .await;
    }

    async fn end_attempt(&mut self, id: AttemptId, event: Event) {
        self.attempt = None;
        self.report(id, event).await;
        if self.orphaned {
            self.fail_request(Reason::Lost);
        }
    }

    /// Fails a request that the decider no longer tracks.
    fn fail_request(&mut self, reason: Reason) {
        let failure = Failure {
            reason,
            delivered: self.stream.delivered(),
            retry_after: None,
        };
        self.end_request(
            Ending::Other(Outcome::Failed(failure)),
            "failed",
            reason.as_str(),
        );
    }

    fn end_request(&mut self, ending: Ending, outcome: &'static str, reason: &'static str) {
        self.ended = true;
        self.attempt = None;
        self.stream.fail();
        let metrics = &self.context.metrics;
        metrics.count_request_ended(&self.request.route, outcome, reason);
        if let Some(first_token) = self.time_to_first_token {
            metrics.observe_answer(&self.request.route, first_token, self.max_gap);
        }
        if outcome == "failed" {
            let (id, route) = (self.request.id, &self.request.route);
            log::warn!("relay: Request {id:016x} of route {route} failed: {reason}.");
        }
        self.answer.end(ending);
    }

    fn report(&self, attempt: AttemptId, event: Event) -> impl Future<Output = ()> + Send + use<> {
        self.send_input(Input::Attempt(attempt, event))
    }

    /// Sends an input to the decider. The returned future borrows nothing from the relay, whose
    /// link is not `Sync`, so that the future of `run` stays `Send`.
    fn send_input(&self, input: Input) -> impl Future<Output = ()> + Send + use<> {
        let decider = self.context.decider.clone();
        async move {
            let _ = decider.send(HandleInput(input)).detach().await;
        }
    }
}

/// Returns the outcome and reason texts for metrics and headers.
pub fn outcome_labels(outcome: &Outcome) -> (&'static str, &'static str) {
    match outcome {
        Outcome::Refused(refusal) => ("refused", refusal.reason().as_str()),
        Outcome::Failed(failure) => ("failed", failure.reason.as_str()),
        Outcome::Recorded(_) => ("answered", "recorded"),
    }
}
