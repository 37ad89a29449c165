//! The events of a stream, as "Server-sent events" of the HTML standard writes them.

use bytes::Bytes;
use bytes::BytesMut;

/// Greatest event, in bytes. The largest that engines send are some KB.
const EVENT_BYTES: usize = 256 * 1_024;

/// A whole event with its blank line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Event {
    /// Its id, if it has one that is a number.
    pub id: Option<u64>,
    /// Its bytes as they came.
    pub bytes: Bytes,
}

/// An event is longer than any that is expected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TooLong;

/// Cuts a stream of bytes into events.
#[derive(Debug, Default)]
pub struct Scanner {
    buffer: BytesMut,
    searched: usize,
}

impl Scanner {
    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event, if there is one.
    ///
    /// # Errors
    ///
    /// If an event has not ended after more bytes than any event has.
    pub fn next_event(&mut self) -> Result<Option<Event>, TooLong> {
        let Some(end) = self.find_end() else {
            self.searched = self.buffer.len();
            return if self.buffer.len() > EVENT_BYTES {
                Err(TooLong)
            } else {
                Ok(None)
            };
        };
        self.searched = 0;
        let bytes = self.buffer.split_to(end).freeze();
        let id = id_of(&bytes);
        Ok(Some(Event { id, bytes }))
    }

    /// Returns whether bytes are left that belong to an event which has not ended.
    pub fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the end of the first blank line, from where the last search stopped.
    fn find_end(&self) -> Option<usize> {
        // The blank line may have begun in bytes that were searched already.
        let start = self.searched.saturating_sub(3);
        let bytes = &self.buffer[start..];
        let plain = find(bytes, b"\n\n").map(|at| start + at + 2);
        let carried = find(bytes, b"\r\n\r\n").map(|at| start + at + 4);
        [plain, carried].into_iter().flatten().min()
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

fn id_of(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"id:")?;
        std::str::from_utf8(value).ok()?.trim().parse().ok()
    })
}
