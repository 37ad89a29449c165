//! Clients: each request on a new connection.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::http::Message;

/// Time that a client allows for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request for a generation.
pub struct Letter<'a> {
    pub path: &'a str,
    /// Tokens of the prompt and most tokens of the output.
    pub tokens: &'a str,
    /// How long the client waits.
    pub deadline: Duration,
    /// Id of this client attempt.
    pub attempt: &'a str,
    /// The parts of the prompt.
    pub parts: &'a str,
    pub body: &'a [u8],
}

pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(CONNECT_TIMEOUT)).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    http::read_message(&mut BufReader::new(stream))
}

/// Sends a request and returns the answer. Returns `None` if the connection ended before its head,
/// or the time of the client was over.
pub fn send(address: SocketAddr, letter: &Letter<'_>) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    let _ = stream.set_nodelay(true);
    let leaving = stream.try_clone().ok()?;
    let deadline = letter.deadline;
    std::thread::spawn(move || {
        std::thread::sleep(deadline);
        let _ = leaving.shutdown(Shutdown::Both);
    });
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {}\r\nX-Model: m\r\n\
         X-Token-Counts: {}\r\nX-Prompt-Prefix: {}\r\nX-Deadline-Ms: {}\r\n\
         Authorization: Bearer key-1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        letter.path,
        letter.attempt,
        letter.tokens,
        letter.parts,
        letter.deadline.as_millis(),
        letter.body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(letter.body).ok()?;
    http::read_message(&mut BufReader::new(stream))
}

/// The operator's configuration: a route for letters, which may run once at most, and one for tags,
/// which may be resumed and are kept waiting for 4 s at most.
pub const CONFIG: &str = "{\"version\":3,\"routes\":[{\"name\":\"letters\",\"host\":\"shop.example\",\
    \"prefix\":\"/letters/\",\"kind\":\"stream\",\"timeout_ms\":39000,\"goal_ms\":1800,\"priority\":1,\
    \"service\":\"redacteurs\",\"attempts\":1,\"anonymous\":false,\"sticky\":true,\"resumable\":false,\
    \"gap_aim_ms\":180},{\"name\":\"tags\",\"host\":\"shop.example\",\"prefix\":\"/tags/\",\
    \"kind\":\"stream\",\"timeout_ms\":4000,\"goal_ms\":1500,\"priority\":0,\
    \"service\":\"redacteurs\",\"attempts\":2,\"anonymous\":false,\"sticky\":true,\
    \"resumable\":true,\"gap_aim_ms\":180}],\"services\":[{\"name\":\"redacteurs\",\"cold_per_s\":25,\"engine\":\
    {\"slots\":24,\"kv_tokens\":34306,\"backups\":false,\"stride\":4}}],\"limits\":\
    {\"header_bytes\":16384,\"body_bytes\":4194304,\"header_ms\":3000,\"idle_ms\":15000},\
    \"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"key-1\"]}]}";
