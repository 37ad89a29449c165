//! The instructions in a prompt, and the text of the tokens generated from it.

use compact_str::CompactString;
use compact_str::format_compact;

/// Instructions for a stand-in server, written into the prompt or the body of a call.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Marker {
    /// Number of the caller's request, which identifies it in the servers' records.
    pub request: u64,
    /// Output length, in tokens.
    pub length: u32,
    /// Whether each generation of the same prompt produces different tokens.
    pub sampled: bool,
    /// Whether the request crashes the server that runs it.
    pub poison: bool,
}

impl Marker {
    /// Returns the marker as text, to be put at the start of a prompt or body.
    pub fn to_text(self) -> String {
        let sampled = if self.sampled { " sampled" } else { "" };
        let poison = if self.poison { " poison" } else { "" };
        format!(
            "[request={:x} length={}{sampled}{poison}]",
            self.request, self.length
        )
    }

    /// Parses the first text in square brackets as a marker. Missing or invalid fields take default
    /// values: 16 tokens, request number zero.
    pub fn from_text(text: &str) -> Marker {
        let mut marker = Marker {
            length: 16,
            ..Marker::default()
        };
        let fields = text
            .split_once('[')
            .and_then(|(_, rest)| rest.split_once(']'));
        let Some((fields, _)) = fields else {
            return marker;
        };
        for field in fields.split_whitespace() {
            match field.split_once('=') {
                Some(("request", id)) => {
                    marker.request = u64::from_str_radix(id, 16).unwrap_or(0);
                }
                Some(("length", length)) => marker.length = length.parse().unwrap_or(16),
                _ if field == "sampled" => marker.sampled = true,
                _ if field == "poison" => marker.poison = true,
                _ => {}
            }
        }
        marker
    }
}

/// Returns the text of a token, which depends on the generation id only for sampled requests.
pub fn text(marker: &Marker, generation: u64, index: u32) -> CompactString {
    let generation_salt = if marker.sampled { generation } else { 0 };
    let seed = marker.request ^ generation_salt.rotate_left(17);
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&index.to_le_bytes(), seed);
    format_compact!("{:08x} ", hash as u32)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn marker_is_parsed_back_from_its_text() {
        let marker = Marker {
            request: 0xab,
            length: 70,
            sampled: true,
            poison: false,
        };
        assert_eq!(
            Marker::from_text(&format!("{} Dear", marker.to_text())),
            marker
        );
    }
}
