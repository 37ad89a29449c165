//! Parsing of server-sent events.

use exchange::sse::Parser;
use proptest::prelude::*;

fn parse(parser: &mut Parser, bytes: &[u8]) -> Vec<(Option<u64>, Vec<u8>)> {
    parser.push(bytes);
    let mut events = Vec::new();
    while let Some(event) = parser
        .next_event()
        .expect("each event is below the maximum size")
    {
        events.push((event.id, event.bytes.to_vec()));
    }
    events
}

proptest! {
    #[test]
    fn parsed_events_do_not_depend_on_chunk_boundaries(
        texts in proptest::collection::vec("[a-z ]{0,30}", 1..12),
        chunk_sizes in proptest::collection::vec(1usize..9, 1..200),
        crlf in any::<bool>(),
    ) {
        let line_end = if crlf { "\r\n" } else { "\n" };
        let mut stream = Vec::new();
        let mut expected = Vec::new();
        for (index, text) in texts.iter().enumerate() {
            let id = index as u64 + 1;
            let event = format!("id: {id}{line_end}data: {text}{line_end}{line_end}").into_bytes();
            stream.extend_from_slice(&event);
            expected.push((Some(id), event));
        }
        let mut parser = Parser::default();
        let mut found = Vec::new();
        let mut rest = stream.as_slice();
        let mut chunk_sizes = chunk_sizes.iter().cycle();
        while !rest.is_empty() {
            let size = (*chunk_sizes.next().expect("an endless iterator")).min(rest.len());
            let (chunk, remaining) = rest.split_at(size);
            found.extend(parse(&mut parser, chunk));
            rest = remaining;
        }
        prop_assert_eq!(found, expected);
        prop_assert!(!parser.has_partial_event());
    }

    #[test]
    fn truncated_event_is_not_returned(length in 1usize..20) {
        let event = b"id: 7\ndata: abcdefg\n\n";
        let mut parser = Parser::default();
        prop_assert!(parse(&mut parser, &event[..length]).is_empty());
        prop_assert!(parser.has_partial_event());
    }
}

#[test]
fn event_above_the_maximum_size_is_an_error() {
    let mut parser = Parser::default();
    parser.push(&vec![b'x'; 300 * 1_024]);
    assert!(parser.next_event().is_err());
}

#[test]
fn event_without_a_numeric_id_has_none() {
    let mut parser = Parser::default();
    let events = parse(
        &mut parser,
        b"data: a\n\nid: x\ndata: b\n\nid:9\ndata: c\n\n",
    );
    let ids: Vec<Option<u64>> = events.into_iter().map(|event| event.0).collect();
    assert_eq!(ids, [None, None, Some(9)]);
}
