//! One request's attempts.
//!
//! A relay is a task. It makes the attempts that the decider orders, takes tokens into the answer,
//! opens a new connection when one has gone silent, and tells the decider how an attempt proceeds
//! and ends. What may be taken is decided by [`stream::Relay`].

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use clock::Clock;
use clock::Time;
use compact_str::CompactString;
use conf::Delivery;
use conf::Route;
use stream::Disposition;
use stream::Pace;
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
use crate::backend::Fault;
use crate::backend::Line;
use crate::backend::Lines;
use crate::backend::PlainAnswer;
use crate::decider::Decider;
use crate::decider::HandleInput;
use crate::decider::RelayCommand;
use crate::decider::Relays;
use crate::http::HttpClient;
use crate::metrics::Metrics;
use crate::partition::Partition;

/// Tokens between two reports of progress to the decider.
const PROGRESS_STEP: u32 = 32;
/// Times in a row that a new connection is tried for a generation.
const RESUMES_MAX: u32 = 4;
/// Pause before a new connection after one broke.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
/// Longest wait for the answer of a plain service.
const CALL_TIME: Duration = Duration::from_secs(10);
/// Media type of an answer made of tokens.
const TEXT_MEDIA: &str = "text/plain; charset=utf-8";

/// What is sent to the backend server.
#[derive(Clone, Debug)]
pub enum Payload {
    /// A prompt.
    Prompt {
        /// The text.
        text: Arc<str>,
    },
    /// A call of a plain service.
    Call {
        /// Path after the route's name, with its slash.
        path: String,
        /// Media type of the body.
        media: String,
        /// Body.
        body: Bytes,
    },
}

/// What relays share.
pub struct Shared {
    /// The decider.
    pub decider: Address<Decider>,
    /// All relays.
    pub relays: Arc<Relays>,
    /// Calls engines, on kept connections.
    pub client: HttpClient,
    /// Calls plain services, each on a new connection: a kept one that the server has just closed
    /// would leave it open whether the call has run.
    pub call_client: HttpClient,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Links that are cut.
    pub partition: Arc<Partition>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

/// One request's attempts.
pub struct Relay {
    shared: Arc<Shared>,
    request: Request,
    payload: Payload,
    route: Route,
    answer: Arc<Answer>,
    stream: stream::Relay,
    attempt: Option<Attempt>,
    orphan: bool,
    started: Time,
    first_token: Option<Duration>,
    last_token: Option<Time>,
    gap: Duration,
    over: bool,
}

/// An attempt that runs.
struct Attempt {
    id: AttemptId,
    address: SocketAddr,
    boot: u64,
    link: Link,
    pace: Pace,
    heard: Time,
    resumes: u32,
}

/// The connection of an attempt.
enum Link {
    /// It is being opened.
    Opening(Pin<Box<dyn Future<Output = Result<Lines, Fault>> + Send>>),
    /// It sends tokens.
    Open(Lines),
    /// A plain service is being called.
    Calling(Pin<Box<dyn Future<Output = Result<PlainAnswer, Fault>> + Send>>),
}

/// What a link brought.
enum News {
    Opened(Lines),
    Line(Line),
    Answer(PlainAnswer),
    Ended,
    Fault(Fault),
    Silence,
}

impl Relay {
    /// Returns the relay of a request.
    pub fn new(
        shared: Arc<Shared>,
        request: Request,
        payload: Payload,
        route: Route,
        answer: Arc<Answer>,
    ) -> Relay {
        let whole = route.delivery == Delivery::Whole;
        let started = shared.clock.now();
        Relay {
            stream: stream::Relay::new(whole).with_rerun(route.rerun),
            shared,
            request,
            payload,
            route,
            answer,
            attempt: None,
            orphan: false,
            started,
            first_token: None,
            last_token: None,
            gap: Duration::ZERO,
            over: false,
        }
    }

    /// Serves the request to its end.
    pub async fn run(mut self, mut commands: mpsc::UnboundedReceiver<RelayCommand>) {
        let input = Input::Request(self.request.clone());
        self.tell_input(input).await;
        while !self.over {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(command) => self.on_command(command).await,
                    None => self.fail(Reason::Lost),
                },
                news = next_news(&mut self.attempt, self.shared.clone()) => {
                    self.on_news(news).await;
                }
            }
        }
        self.shared.relays.leave(self.request.id);
    }

    async fn on_command(&mut self, command: RelayCommand) {
        match command {
            RelayCommand::Dispatch(dispatch) => self.dispatch(dispatch).await,
            RelayCommand::Cancel(attempt) => self.cancel(attempt),
            // Engines on this interface keep no copies: a lost generation is run anew and compared.
            RelayCommand::Copy(attempt, _) => self.tell(attempt, Event::NotCopied).await,
            RelayCommand::Orphan => {
                self.orphan = true;
                if self.attempt.is_none() {
                    self.fail(Reason::Lost);
                }
            }
            RelayCommand::Finish(outcome) => {
                let (word, reason) = outcome_words(&outcome);
                self.end(Ending::Other(outcome), word, reason);
            }
        }
    }

    async fn dispatch(&mut self, dispatch: Dispatch) {
        let id = dispatch.attempt;
        if dispatch.rerun {
            if self.stream.rebind(id).is_err() {
                let delivered = self.stream.delivered();
                self.tell(id, Event::Broken { delivered }).await;
                return;
            }
            self.answer.forget_hidden();
        } else {
            self.stream.bind(id);
        }
        self.attempt = Some(Attempt {
            id,
            address: dispatch.address,
            boot: dispatch.boot,
            link: self.open_link(&dispatch),
            pace: Pace::default(),
            heard: self.shared.clock.now(),
            resumes: 0,
        });
    }

    fn open_link(&self, dispatch: &Dispatch) -> Link {
        match &self.payload {
            Payload::Prompt { text } => {
                let generate = backend::Generate {
                    attempt: dispatch.attempt,
                    prompt: text,
                    prompt_tokens: self.request.prompt,
                    limit: self.request.limit,
                    priority: dispatch.priority,
                    prefixes: &self.request.prefixes,
                };
                let body = serde_json::to_vec(&generate).unwrap_or_default();
                let client = self.shared.client.clone();
                Link::Opening(Box::pin(backend::generate(client, dispatch.address, body)))
            }
            Payload::Call { path, media, body } => {
                let client = self.shared.call_client.clone();
                let (path, media, body) = (path.clone(), media.clone(), body.clone());
                let call = backend::call(client, dispatch.address, path, media, body);
                Link::Calling(Box::pin(call))
            }
        }
    }

    fn cancel(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempt.take_if(|attempt| attempt.id == id) {
            let client = self.shared.client.clone();
            if matches!(self.payload, Payload::Prompt { .. }) {
                tokio::spawn(backend::cancel(client, attempt.address, id));
            }
        }
        if self.orphan {
            self.fail(Reason::Lost);
        }
    }

    async fn on_news(&mut self, news: News) {
        let now = self.shared.clock.now();
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        match news {
            News::Opened(lines) => attempt.link = Link::Open(lines),
            News::Line(line) => {
                attempt.heard = now;
                attempt.resumes = 0;
                self.on_line(line, now).await;
            }
            News::Answer(answer) => self.on_plain(answer).await,
            News::Ended | News::Silence => self.on_silence(now).await,
            News::Fault(fault) => self.on_fault(fault, now).await,
        }
    }

    async fn on_line(&mut self, line: Line, now: Time) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let id = attempt.id;
        match line {
            Line::Token(frame) => {
                let token = frame.token.clone();
                let disposition = self.stream.accept(id, frame);
                if disposition != Disposition::Drop {
                    attempt.pace.record(now);
                }
                self.on_disposition(id, disposition, token, now).await;
            }
            Line::End { generation, total } => {
                if self.stream.finish(id, generation, total) {
                    self.complete(id, total).await;
                } else if self.stream.is_cut_by(total) {
                    let delivered = self.stream.delivered();
                    self.drop_attempt(id, Event::Broken { delivered }).await;
                } else {
                    // Tokens are missing on this connection; the generation still has them.
                    self.on_silence(now).await;
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
                let show = self.route.delivery == Delivery::Stream;
                self.answer.push(token, show);
                self.record_times(now);
                self.shared.metrics.tokens(1, 0);
            }
            Disposition::Verified => {}
            Disposition::Drop => {
                self.shared.metrics.tokens(0, 1);
                return;
            }
            Disposition::Diverged => {
                let delivered = self.stream.delivered();
                self.drop_attempt(id, Event::Broken { delivered }).await;
                return;
            }
        }
        let generated = self.stream.next();
        if generated == 1 {
            self.tell(id, Event::Started).await;
        }
        if generated.is_multiple_of(PROGRESS_STEP) {
            let delivered = self.stream.delivered();
            let event = Event::Progress {
                generated,
                delivered,
            };
            self.tell(id, event).await;
        }
    }

    fn record_times(&mut self, now: Time) {
        if let Some(last) = self.last_token {
            self.gap = self.gap.max(now.saturating_sub(last));
        }
        self.first_token
            .get_or_insert(now.saturating_sub(self.started));
        self.last_token = Some(now);
    }

    async fn complete(&mut self, id: AttemptId, generated: u32) {
        let event = Event::Complete {
            generated,
            gap: self.gap,
            answer: self.recorded(),
        };
        self.attempt = None;
        self.tell(id, event).await;
        self.end(Ending::Whole, "answered", "");
    }

    /// Returns the answer as it is recorded with an idempotency key.
    fn recorded(&self) -> wire::ledger::Answer {
        let size: usize = self.stream.tokens().iter().map(CompactString::len).sum();
        let body = (size <= ANSWER_BYTES).then(|| self.stream.tokens().concat().into_bytes());
        wire::ledger::Answer {
            status: 200,
            media: TEXT_MEDIA.into(),
            body,
        }
    }

    async fn on_plain(&mut self, answer: PlainAnswer) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let recorded = wire::ledger::Answer {
            status: answer.status,
            media: answer.media.clone(),
            body: (answer.body.len() <= ANSWER_BYTES).then(|| answer.body.to_vec()),
        };
        self.record_times(self.shared.clock.now());
        self.tell(attempt.id, Event::Started).await;
        let event = Event::Complete {
            generated: 1,
            gap: Duration::ZERO,
            answer: recorded,
        };
        self.tell(attempt.id, event).await;
        let ending = Ending::Plain {
            status: answer.status,
            media: answer.media,
            body: answer.body,
        };
        self.end(ending, "answered", "");
    }

    /// The connection has ended too early or has gone silent: reads the generation on over a new one.
    async fn on_silence(&mut self, now: Time) {
        let from = self.stream.next();
        let client = self.shared.client.clone();
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let id = attempt.id;
        let is_call = matches!(attempt.link, Link::Calling(_));
        if is_call || attempt.resumes >= RESUMES_MAX {
            self.lose(id, false).await;
            return;
        }
        attempt.resumes += 1;
        attempt.pace.record_resume();
        attempt.heard = now;
        let (address, pause) = (attempt.address, RESUME_PAUSE * attempt.resumes);
        attempt.link = Link::Opening(Box::pin(async move {
            tokio::time::sleep(pause).await;
            backend::resume(client, address, id, from).await
        }));
        self.shared.metrics.resume();
    }

    async fn on_fault(&mut self, fault: Fault, now: Time) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let (id, boot, resumed) = (attempt.id, attempt.boot, attempt.resumes > 0);
        let is_call = matches!(attempt.link, Link::Calling(_));
        let begun = resumed || self.stream.generation().is_some();
        match fault {
            Fault::Refused if !begun => self.drop_attempt(id, Event::Refused).await,
            Fault::Unreachable if !begun => self.drop_attempt(id, Event::Unreachable).await,
            Fault::Gone { boot: found } => self.lose(id, boot != 0 && found != boot).await,
            // It was there and now refuses connections: it has crashed.
            Fault::Unreachable => self.lose(id, true).await,
            Fault::Refused => self.lose(id, false).await,
            Fault::Broken if is_call => self.lose(id, true).await,
            Fault::Broken => self.on_silence(now).await,
        }
    }

    async fn lose(&mut self, id: AttemptId, crashed: bool) {
        if let Some(attempt) = self.attempt.as_ref().filter(|_| !crashed) {
            // It may still run there for nobody.
            let client = self.shared.client.clone();
            if matches!(self.payload, Payload::Prompt { .. }) {
                tokio::spawn(backend::cancel(client, attempt.address, id));
            }
        }
        let delivered = self.stream.delivered();
        self.drop_attempt(id, Event::Lost { crashed, delivered })
            .await;
    }

    async fn drop_attempt(&mut self, id: AttemptId, event: Event) {
        self.attempt = None;
        self.tell(id, event).await;
        if self.orphan {
            self.fail(Reason::Lost);
        }
    }

    /// Ends a request of which the decider knows nothing any more.
    fn fail(&mut self, reason: Reason) {
        let failure = Failure {
            reason,
            delivered: self.stream.delivered(),
            retry: None,
        };
        self.end(
            Ending::Other(Outcome::Failed(failure)),
            "failed",
            reason.as_str(),
        );
    }

    fn end(&mut self, ending: Ending, outcome: &'static str, reason: &'static str) {
        self.over = true;
        self.attempt = None;
        self.stream.fail();
        let metrics = &self.shared.metrics;
        metrics.request_ended(&self.request.route, outcome, reason);
        if let Some(first_token) = self.first_token {
            metrics.answer_times(&self.request.route, first_token, self.gap);
        }
        if outcome == "failed" {
            let (id, route) = (self.request.id, &self.request.route);
            log::warn!("relay: Request {id:016x} of route {route} failed: {reason}.");
        }
        self.answer.end(ending);
    }

    fn tell(&self, attempt: AttemptId, event: Event) -> impl Future<Output = ()> + Send + use<> {
        self.tell_input(Input::Attempt(attempt, event))
    }

    /// Tells the decider something. The future holds nothing of the relay, whose link can't be shared
    /// between threads.
    fn tell_input(&self, input: Input) -> impl Future<Output = ()> + Send + use<> {
        let decider = self.shared.decider.clone();
        async move {
            let _ = decider.send(HandleInput(input)).detach().await;
        }
    }
}

/// Returns the words of an outcome for metrics and headers.
pub fn outcome_words(outcome: &Outcome) -> (&'static str, &'static str) {
    match outcome {
        Outcome::Refused(refusal) => ("refused", refusal.reason().as_str()),
        Outcome::Failed(failure) => ("failed", failure.reason.as_str()),
        Outcome::Recorded(_) => ("answered", "recorded"),
    }
}

/// Waits for what the attempt's link brings, or for its silence.
async fn next_news(attempt: &mut Option<Attempt>, shared: Arc<Shared>) -> News {
    let Some(attempt) = attempt else {
        return std::future::pending().await;
    };
    let limit = match attempt.link {
        Link::Calling(_) => CALL_TIME,
        _ => attempt.pace.limit(),
    };
    let left = (attempt.heard + limit).saturating_sub(shared.clock.now());
    let cut = shared.partition.cuts(attempt.address);
    let news = async {
        if cut {
            let is_opening = matches!(attempt.link, Link::Opening(_));
            return silent_link(is_opening).await;
        }
        match &mut attempt.link {
            Link::Opening(opening) => match opening.await {
                Ok(lines) => News::Opened(lines),
                Err(fault) => News::Fault(fault),
            },
            Link::Open(lines) => match lines.next().await {
                Ok(Some(line)) => News::Line(line),
                Ok(None) => News::Ended,
                Err(fault) => News::Fault(fault),
            },
            Link::Calling(calling) => match calling.await {
                Ok(answer) => News::Answer(answer),
                Err(fault) => News::Fault(fault),
            },
        }
    };
    match tokio::time::timeout(left, news).await {
        Ok(news) => news,
        Err(_) => News::Silence,
    }
}

/// What a link over a cut connection brings: a new one can't be opened, an open one says nothing.
async fn silent_link(is_opening: bool) -> News {
    if is_opening {
        tokio::time::sleep(RESUME_PAUSE).await;
        return News::Fault(Fault::Unreachable);
    }
    std::future::pending().await
}
