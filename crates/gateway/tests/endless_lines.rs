//! Generations whose lines have no end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use clock::System;
use conf::Route;
use gateway::answer::Answer;
use gateway::backend;
use gateway::decider::Decider;
use gateway::decider::RelayCommand;
use gateway::decider::Relays;
use gateway::metrics::Metrics;
use gateway::relay::Payload;
use gateway::relay::Relay;
use gateway::relay::RelayContext;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use wigeon_core::Request;
use wigeon_core::message::Dispatch;
use wigeon_core::message::ListPosition;
use wire::Name;
use xtra::Mailbox;

/// Bytes that a server offers on each connection.
const OFFERED_BYTES: usize = 64 * 1_024 * 1_024;
/// Longest time until a connection with lines without end is closed.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);

/// Starts a server whose generations have no end. Returns the number of its connections that the
/// other side has closed.
async fn start_server(line: fn(usize) -> String) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let closed = Arc::new(AtomicUsize::new(0));
    let counter = closed.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let counter = counter.clone();
            tokio::spawn(async move {
                if !serve(stream, line).await {
                    counter.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
    });
    (address, closed)
}

/// Returns whether all bytes were taken.
async fn serve(mut stream: TcpStream, line: fn(usize) -> String) -> bool {
    let _ = stream.read(&mut [0; 4_096]).await;
    let _ = stream.write_all(b"HTTP/1.1 200 x\r\n\r\n").await;
    let mut sent = 0;
    let mut index = 0;
    while sent < OFFERED_BYTES {
        let lines: String = (index..index + 256).map(line).collect();
        if stream.write_all(lines.as_bytes()).await.is_err() {
            return false;
        }
        index += 256;
        sent += lines.len();
    }
    true
}

fn request() -> Request {
    Request {
        id: 1,
        organisation: Name::default(),
        route: Name::default(),
        key: None,
        fingerprint: 0,
        group: 0,
        prompt_tokens: 1,
        prefixes: Vec::new(),
        parts: Vec::new(),
        max_tokens: None,
        expected_tokens: None,
        timeout: None,
        stream: None,
        handed_over: false,
    }
}

fn dispatch(address: SocketAddr) -> Dispatch {
    Dispatch {
        request: 1,
        attempt: 1,
        server: Name::default(),
        address,
        boot: 0,
        software: Name::default(),
        priority: 0,
        rerun: false,
        copy: None,
        resume_from: None,
        silence: None,
        list: ListPosition::default(),
        hands_over: false,
        ends_at: None,
    }
}

/// Relays a generation until a connection to its server is closed. Returns the size of the answer
/// then, in bytes.
async fn relay_until_closed(line: fn(usize) -> String) -> usize {
    let (address, closed) = start_server(line).await;
    let (decider, _decider_mailbox) = Mailbox::<Decider>::unbounded();
    let relays = Arc::new(Relays::default());
    let context = RelayContext {
        decider,
        relays: relays.clone(),
        clock: Arc::new(System::default()),
        partition: Arc::default(),
        metrics: Arc::new(Metrics::new()),
    };
    let answer = Arc::new(Answer::default());
    let payload = Payload::Prompt { text: "a".into() };
    let (request, route) = (request(), Route::default());
    let relay = Relay::new(Arc::new(context), request, payload, route, answer.clone());
    let (commands, receiver) = tokio::sync::mpsc::unbounded_channel();
    let running = tokio::spawn(relay.run(receiver));
    let dispatch = RelayCommand::Dispatch(Box::new(dispatch(address)));
    commands.send(dispatch).expect("the relay runs");
    let closing = async {
        while closed.load(Ordering::Relaxed) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let is_closed = tokio::time::timeout(CLOSE_TIMEOUT, closing).await.is_ok();
    running.abort();
    assert!(is_closed, "{} bytes are kept", answer.bytes());
    answer.bytes()
}

/// Each line is short and valid, but all of them together are kept for the answer's readers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generation_of_endless_tokens_is_broken_off() {
    let line = |index: usize| format!("{{\"g\":1,\"i\":{index},\"t\":\"{}\"}}\n", "a".repeat(64));
    let kept = relay_until_closed(line).await;
    let line_bytes_max = 128;
    assert!(kept < backend::ANSWER_BYTES_MAX + line_bytes_max, "{kept}");
}

/// Tokens that the caller already has kept a generation from counting as stalled.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generation_that_repeats_a_token_without_end_is_broken_off() {
    let kept = relay_until_closed(|_| "{\"g\":1,\"i\":0,\"t\":\"a\"}\n".into()).await;
    assert!(kept < backend::ANSWER_BYTES_MAX, "{kept}");
}
