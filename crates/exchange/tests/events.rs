//! Cutting a stream into events.

use exchange::events::Scanner;
use proptest::prelude::*;

fn feed(scanner: &mut Scanner, bytes: &[u8]) -> Vec<(Option<u64>, Vec<u8>)> {
    scanner.push(bytes);
    let mut events = Vec::new();
    while let Some(event) = scanner.next_event().expect("no event is too long") {
        events.push((event.id, event.bytes.to_vec()));
    }
    events
}

proptest! {
    #[test]
    fn events_are_the_same_however_the_stream_is_cut(
        texts in proptest::collection::vec("[a-z ]{0,30}", 1..12),
        cuts in proptest::collection::vec(1usize..9, 1..200),
        carriage in any::<bool>(),
    ) {
        let line = if carriage { "\r\n" } else { "\n" };
        let mut stream = Vec::new();
        let mut expected = Vec::new();
        for (index, text) in texts.iter().enumerate() {
            let id = index as u64 + 1;
            let event = format!("id: {id}{line}data: {text}{line}{line}").into_bytes();
            stream.extend_from_slice(&event);
            expected.push((Some(id), event));
        }
        let mut scanner = Scanner::default();
        let mut found = Vec::new();
        let mut rest = stream.as_slice();
        let mut cuts = cuts.iter().cycle();
        while !rest.is_empty() {
            let size = (*cuts.next().expect("it cycles")).min(rest.len());
            let (piece, after) = rest.split_at(size);
            found.extend(feed(&mut scanner, piece));
            rest = after;
        }
        prop_assert_eq!(found, expected);
        prop_assert!(!scanner.has_rest());
    }

    #[test]
    fn event_that_was_cut_off_is_never_passed_on(at in 1usize..20) {
        let event = b"id: 7\ndata: abcdefg\n\n";
        let mut scanner = Scanner::default();
        prop_assert!(feed(&mut scanner, &event[..at]).is_empty());
        prop_assert!(scanner.has_rest());
    }
}

#[test]
fn endless_event_is_an_error() {
    let mut scanner = Scanner::default();
    scanner.push(&vec![b'x'; 300 * 1_024]);
    assert!(scanner.next_event().is_err());
}

#[test]
fn event_without_a_number_has_no_id() {
    let mut scanner = Scanner::default();
    let events = feed(
        &mut scanner,
        b"data: a\n\nid: x\ndata: b\n\nid:9\ndata: c\n\n",
    );
    let ids: Vec<Option<u64>> = events.into_iter().map(|event| event.0).collect();
    assert_eq!(ids, [None, None, Some(9)]);
}
