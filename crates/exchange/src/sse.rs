//! Parsing of server-sent events, as defined by the HTML standard.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of an event in bytes. Engines send events of up to a few KB.
const EVENT_BYTES_MAX: usize = 64 * 1_024;

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// The event's id; `None` if the event has no id or the id is not a number.
    pub id: Option<u64>,
    /// The event's bytes as received, including the terminating blank line.
    pub bytes: Bytes,
}

impl Event {
    /// Returns whether the event holds data. One without, such as a comment, is not dispatched.
    pub fn has_data(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.any(|line| line.starts_with(b"data"))
    }
}

/// An event exceeds the maximum size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer that contain no end of an event.
    searched: usize,
}

impl Parser {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`EventTooLong`] if an incomplete event exceeds the maximum size.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventTooLong> {
        let Some(end) = self.find_event_end() else {
            self.searched = self.buffer.len();
            return if self.buffer.len() > EVENT_BYTES_MAX {
                Err(EventTooLong)
            } else {
                Ok(None)
            };
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = parse_id(&bytes);
        Ok(Some(Event { id, bytes }))
    }

    /// Returns whether the buffer holds the beginning of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the end of the first event, including its blank line. Bytes that an earlier search
    /// covered are not searched again.
    fn find_event_end(&self) -> Option<usize> {
        // The first 3 bytes of the blank line may be among the bytes that were searched before.
        let start = self.searched.saturating_sub(3);
        let bytes = &self.buffer[start..];
        let lf_end = find_pattern(bytes, b"\n\n").map(|offset| start + offset + 2);
        let crlf_end = find_pattern(bytes, b"\r\n\r\n").map(|offset| start + offset + 4);
        [lf_end, crlf_end].into_iter().flatten().min()
    }
}

fn find_pattern(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn parse_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
