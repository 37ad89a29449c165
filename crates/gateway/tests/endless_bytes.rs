//! Servers and stores that send bytes without end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use gateway::backend;
use gateway::backend::BackendError;
use gateway::backend::PlainAnswer;
use gateway::decider::Decider;
use gateway::partition::Partition;
use gateway::platform;
use gateway::platform::Platform;
use gateway::platform::SendCall;
use store::Call;
use store::OutgoingCall;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use xtra::Mailbox;

/// Bytes that a server offers on each connection.
const OFFERED_BYTES: usize = 64 * 1_024 * 1_024;
/// Upper bound of the bytes in both kernels' buffers of a connection.
const KERNEL_BYTES_MAX: usize = 16 * 1_024 * 1_024;
/// Longest time until a connection with bytes without end is closed. It is shorter than the
/// timeouts of calls and generations.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A response without an end: what comes once, and what is repeated.
#[derive(Clone, Copy, Debug)]
struct Form {
    name: &'static str,
    start: &'static str,
    repeated: &'static str,
}

const STATUS_LINE: Form = Form {
    name: "status line",
    start: "",
    repeated: "xxxxxxxxxxxxxxxx",
};
const HEAD: Form = Form {
    name: "head",
    start: "HTTP/1.1 200 x\r\n",
    repeated: "x-a: aaaaaaaaaaaaaaaa\r\n",
};
const INTERIM: Form = Form {
    name: "interim responses",
    start: "",
    repeated: "HTTP/1.1 102 x\r\n\r\n",
};
const BODY: Form = Form {
    name: "body",
    start: "HTTP/1.1 200 x\r\n\r\n",
    repeated: "xxxxxxxxxxxxxxxx",
};
const ERROR_BODY: Form = Form {
    name: "body of an error",
    start: "HTTP/1.1 500 x\r\n\r\n",
    repeated: "xxxxxxxxxxxxxxxx",
};
const GONE_BODY: Form = Form {
    name: "body of a 410",
    start: "HTTP/1.1 410 x\r\n\r\n",
    repeated: "xxxxxxxxxxxxxxxx",
};
const LONG_BODY: Form = Form {
    name: "body with a length of 1 TiB",
    start: "HTTP/1.1 200 x\r\ncontent-length: 1099511627776\r\n\r\n",
    repeated: "xxxxxxxxxxxxxxxx",
};
const CHUNKS: Form = Form {
    name: "chunks",
    start: "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: "80\r\n\
        xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
        xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
        \r\n",
};
const TINY_CHUNKS: Form = Form {
    name: "chunks of one byte",
    start: CHUNKS.start,
    repeated: "1\r\nx\r\n",
};
const CHUNK_SIZE: Form = Form {
    name: "chunk size",
    start: "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n",
    repeated: "0000000000000000",
};
const CHUNK_EXTENSION: Form = Form {
    name: "chunk extension",
    start: "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n1;",
    repeated: "xxxxxxxxxxxxxxxx",
};
const TRAILERS: Form = Form {
    name: "trailers",
    start: "HTTP/1.1 200 x\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    repeated: "x-a: aaaaaaaaaaaaaaaa\r\n",
};
/// Forms whose response has no status that a client could act on before its end.
const FORMS: [Form; 9] = [
    STATUS_LINE,
    HEAD,
    INTERIM,
    BODY,
    LONG_BODY,
    CHUNKS,
    CHUNK_SIZE,
    CHUNK_EXTENSION,
    TRAILERS,
];

/// Counts of a server that sends bytes without end.
#[derive(Debug, Default)]
struct Counts {
    /// Most bytes sent on one connection.
    sent_max: AtomicUsize,
    /// Connections that the other side has closed.
    closed: AtomicUsize,
}

impl Counts {
    async fn wait_until_closed(&self) -> bool {
        let closing = async {
            while self.closed.load(Ordering::Relaxed) == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(CLOSE_TIMEOUT, closing).await.is_ok()
    }

    /// Returns what is wrong if a connection was not closed, or too late.
    async fn fault(&self, form: Form) -> Option<String> {
        let is_closed = self.wait_until_closed().await;
        let sent = self.sent_max.load(Ordering::Relaxed);
        let is_bounded = sent < backend::ANSWER_BYTES_MAX + KERNEL_BYTES_MAX;
        let name = form.name;
        (!is_closed || !is_bounded).then(|| format!("{name}: closed {is_closed}, {sent} bytes"))
    }
}

async fn start_server(form: Form) -> (SocketAddr, Arc<Counts>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let counts = Arc::new(Counts::default());
    let server_counts = counts.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, form, server_counts.clone()));
        }
    });
    (address, counts)
}

async fn serve(mut stream: TcpStream, form: Form, counts: Arc<Counts>) {
    let mut buffer = [0; 4_096];
    let _ = stream.read(&mut buffer).await;
    let _ = stream.write_all(form.start.as_bytes()).await;
    let repeated = form.repeated.repeat(256);
    let mut sent = 0;
    while sent < OFFERED_BYTES {
        if stream.write_all(repeated.as_bytes()).await.is_err() {
            counts.closed.fetch_add(1, Ordering::Relaxed);
            return;
        }
        sent += repeated.len();
        counts.sent_max.fetch_max(sent, Ordering::Relaxed);
    }
    // The connection stays open until the other side closes it.
    while stream.read(&mut buffer).await.is_ok_and(|read| read > 0) {}
    counts.closed.fetch_add(1, Ordering::Relaxed);
}

/// Starts a server whose answers have the given length.
async fn start_whole_server(length: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 4_096]).await;
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(&vec![b'x'; length]).await;
        }
    });
    address
}

async fn call(address: SocketAddr) -> Result<PlainAnswer, BackendError> {
    let (path, media) = ("/x".into(), "text/plain".into());
    backend::call(address, path, media, Bytes::new()).await
}

/// Reads a generation to its end.
async fn generate(address: SocketAddr) -> Result<(), BackendError> {
    let mut lines = backend::generate(address, b"{}".to_vec()).await?;
    while lines.next().await?.is_some() {}
    Ok(())
}

/// A call whose answer has no end must not be kept until memory runs out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_with_an_endless_answer_is_broken_off() {
    let mut faults = Vec::new();
    for form in FORMS.into_iter().chain([ERROR_BODY]) {
        let (address, counts) = start_server(form).await;
        match tokio::time::timeout(CLOSE_TIMEOUT, call(address)).await {
            Ok(Err(_)) => {}
            Ok(Ok(answer)) => faults.push(format!("{}: {} kept", form.name, answer.body.len())),
            Err(_) => faults.push(format!("{}: no end", form.name)),
        }
        faults.extend(counts.fault(form).await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The limit is reached late with tiny chunks: the timeout of the call ends it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn call_with_endless_tiny_chunks_ends_with_its_caller() {
    let (address, counts) = start_server(TINY_CHUNKS).await;
    let calling = tokio::time::timeout(Duration::from_millis(500), call(address));
    assert!(!matches!(calling.await, Ok(Ok(_))));
    assert_eq!(counts.fault(TINY_CHUNKS).await, None);
}

/// The limit leaves room for the longest answer that is allowed.
#[tokio::test]
async fn longest_answer_is_complete() {
    let length = backend::ANSWER_BYTES_MAX;
    let address = start_whole_server(length).await;
    let answer = call(address).await.expect("the answer is complete");
    assert_eq!((answer.status, answer.body.len()), (200, length));
    let address = start_whole_server(length + 1).await;
    assert_eq!(call(address).await, Err(BackendError::TooLong));
}

/// The lines of a generation are limited, but not what comes before, between or after them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn generation_with_an_endless_answer_is_broken_off() {
    let mut faults = Vec::new();
    for form in FORMS.into_iter().chain([ERROR_BODY, GONE_BODY]) {
        let (address, counts) = start_server(form).await;
        match tokio::time::timeout(CLOSE_TIMEOUT, generate(address)).await {
            Ok(Err(_)) => {}
            Ok(Ok(())) => faults.push(format!("{}: taken for complete", form.name)),
            Err(_) => faults.push(format!("{}: no end", form.name)),
        }
        faults.extend(counts.fault(form).await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// A report is read until its timeout, in which a server sends hundreds of megabytes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_report_is_broken_off() {
    let mut faults = Vec::new();
    for form in FORMS {
        let (address, counts) = start_server(form).await;
        let report = backend::report(address).await;
        assert!(report.is_none(), "{}", form.name);
        faults.extend(counts.fault(form).await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// An answer of the store is read until the timeout of the call, which for a watch is 12 s.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_answer_of_the_store_is_broken_off() {
    let mut faults = Vec::new();
    for form in FORMS {
        let (address, counts) = start_server(form).await;
        let (decider, _decider_mailbox) = Mailbox::<Decider>::unbounded();
        let actor = Platform::new(address, Arc::default(), decider);
        let platform = xtra::spawn_tokio(actor, Mailbox::unbounded());
        let call = OutgoingCall {
            id: 1,
            call: Call::Watch {
                key: "a".into(),
                after: 0,
            },
            timeout: CLOSE_TIMEOUT,
        };
        platform.send(SendCall(call)).await.expect("the actor runs");
        faults.extend(counts.fault(form).await);
    }
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The list is read until its timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_list_is_broken_off() {
    let mut faults = Vec::new();
    for form in FORMS {
        let (address, counts) = start_server(form).await;
        let (decider, _decider_mailbox) = Mailbox::<Decider>::unbounded();
        let partition: Arc<Partition> = Arc::default();
        let reading = tokio::spawn(platform::read_list(address, partition, decider));
        faults.extend(counts.fault(form).await);
        reading.abort();
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
