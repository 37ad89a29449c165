use super::*;

const LOG: &str = r#"
no JSON at all
  28.04 front-1 {"timestamp":"2026-04-22T18:00:28.048000+00:00","message":"relay: Accepted.","kvs":{"id":"abc","request":4077,"route":"letters"}}
  28.05 front-1 {"timestamp":"2026-04-22T18:00:28.053000+00:00","message":"relay: Sent.","kvs":{"id":"abc","server":"i-7","attempt":1,"copy":""}}
  29.00 front-1 {"timestamp":"2026-04-22T18:00:29.000000+00:00","message":"relay: Sent.","kvs":{"id":"other","server":"i-7"}}
  31.00 front-1 {"timestamp":"2026-04-22T18:00:31.000000+00:00","message":"list: Server i-7 is about to go, as of revision 311.","kvs":{}}
  31.00 front-2 {"timestamp":"2026-04-22T18:00:31.000000+00:00","message":"list: Server i-7 is about to go, as of revision 311.","kvs":{}}
  33.02 front-1 {"timestamp":"2026-04-22T18:00:33.020000+00:00","message":"suspect: Request 4077 ran on i-7 when that crashed.","kvs":{}}
  33.02 front-1 {"timestamp":"2026-04-22T18:00:33.024000+00:00","message":"relay: Ended.","kvs":{"id":"abc","outcome":"failed","reason":"lost","server":"i-7"}}
  45.00 front-1 {"timestamp":"2026-04-22T18:00:45.000000+00:00","message":"list: Server i-7 is gone, as of revision 399.","kvs":{}}
"#;

#[test]
fn report_has_lines_of_the_request_and_its_server_in_order_and_the_reason() {
    let text = explain("abc", LOG).expect("the log has lines of the request");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 6, "{text}");
    assert!(
        lines[0].contains("+0.000 s")
            && lines[0].contains("Accepted")
            && lines[0].contains("route=letters")
    );
    assert!(lines[1].contains("server=i-7") && lines[1].contains("attempt=1"));
    assert!(lines[2].contains("about to go") && lines[2].contains("front-1"));
    assert!(
        lines[3].contains("Request 4077 ran on i-7"),
        "the line with the request's number is missing"
    );
    assert!(lines[4].contains("+4.976 s"));
    assert!(lines[5].starts_with("failed, lost: The server that ran the request was lost."));
}

#[test]
fn unknown_request_has_no_report() {
    assert_eq!(explain("nobody", LOG), None);
    assert_eq!(explain("abc", ""), None);
}

#[test]
fn report_without_a_logged_end_says_so() {
    let text = explain("other", LOG).expect("the log has lines of the request");
    assert!(
        text.ends_with("the process was killed while the request ran.\n"),
        "{text}"
    );
}

#[test]
fn each_reason_has_a_sentence() {
    let reasons = [
        "complete",
        "recorded",
        "no-route",
        "overloaded",
        "organisation-limit",
        "no-server",
        "ledger-unavailable",
        "key-in-use",
        "key-unknown",
        "lost",
        "retries-spent",
        "barred",
        "diverged",
        "cancelled",
        "server-error",
        "timed-out",
        "leaving",
    ];
    for reason in reasons {
        let log = format!(
            r#"{{"timestamp":"2026-04-22T18:00:28+00:00","message":"relay: Ended.","kvs":{{"id":"x","outcome":"o","reason":"{reason}"}}}}"#
        );
        let text = explain("x", &log).expect("the log has a line of the request");
        assert!(!text.contains("docs/OPERATIONS.md"), "{text}");
    }
}
