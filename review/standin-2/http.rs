//! HTTP/1.1 messages as far as the stand-ins need them.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A message with its whole body.
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    /// Header fields, with their names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method and the target of a request.
    pub fn method_and_target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message. Returns `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut start = String::new();
    reader.read_line(&mut start).ok()?;
    let start = start.trim_end().to_string();
    if start.is_empty() {
        return None;
    }
    let mut fields = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        fields.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
    }
    Some(Message {
        start,
        fields,
        body: Vec::new(),
        is_complete: false,
    })
}

/// Reads a whole message. The body of one that is cut off is marked as incomplete.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = read_head(reader)?;
    let is_chunked = message.field("transfer-encoding").is_some();
    if is_chunked {
        message.is_complete = read_chunks(reader, &mut message.body).is_some();
        return Some(message);
    }
    let length = message.field("content-length").and_then(|n| n.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    message.is_complete = reader.read_exact(&mut body).is_ok();
    message.body = body;
    Some(message)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let size = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk).ok()?;
        if size == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    fields: &str,
    body: &str,
) -> std::io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} -\r\n{fields}Content-Length: {length}\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    stream.write_all(body.as_bytes())
}

/// Writes a part of a response in chunks.
pub fn write_chunk(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    stream.write_all(&chunk)
}
