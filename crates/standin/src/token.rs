//! What generations contain.

use compact_str::CompactString;
use compact_str::format_compact;

/// What a prompt says to the stand-in that gets it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Marker {
    /// Number of the caller's request.
    pub request: u64,
    /// Tokens of the output.
    pub length: u32,
    /// Whether two generations of the same prompt differ.
    pub sampled: bool,
    /// Whether a server that runs it crashes.
    pub poison: bool,
}

impl Marker {
    /// Returns the text that stands at the start of a prompt or body.
    pub fn to_text(self) -> String {
        let sampled = if self.sampled { " sampled" } else { "" };
        let poison = if self.poison { " poison" } else { "" };
        format!(
            "[request={:x} length={}{sampled}{poison}]",
            self.request, self.length
        )
    }

    /// Returns the marker at the start of a prompt, or the default one.
    pub fn from_text(text: &str) -> Marker {
        let mut marker = Marker {
            length: 16,
            ..Marker::default()
        };
        let inner = text
            .split_once('[')
            .and_then(|(_, rest)| rest.split_once(']'));
        let Some((inner, _)) = inner else {
            return marker;
        };
        for word in inner.split_whitespace() {
            match word.split_once('=') {
                Some(("request", id)) => {
                    marker.request = u64::from_str_radix(id, 16).unwrap_or(0);
                }
                Some(("length", length)) => marker.length = length.parse().unwrap_or(16),
                _ if word == "sampled" => marker.sampled = true,
                _ if word == "poison" => marker.poison = true,
                _ => {}
            }
        }
        marker
    }
}

/// Returns the text of one token.
pub fn text(marker: &Marker, generation: u64, index: u32) -> CompactString {
    let source = if marker.sampled { generation } else { 0 };
    let seed = marker.request ^ source.rotate_left(17);
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(&index.to_le_bytes(), seed);
    format_compact!("{:08x} ", hash as u32)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn marker_survives_its_text() {
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
