//! Checks that a request which comes in pieces is recognised with the same piece as by parsing it from its start.

use crate::net::http::parse_request;
use crate::net::request_progress::RequestProgress;

/// Requests of each framing, with more behind them, and invalid ones.
const INPUTS: [&str; 8] = [
    "GET /healthz HTTP/1.1\r\n\r\nGET",
    "POST /plan HTTP/1.1\r\nContent-Length: 12\r\nX-Request-Id: i1\r\n\r\nhello worldsPOST",
    "POST /plan HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0b;x=y\r\nhello world\r\n0\r\n\r\nGET",
    "POST /plan HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\n",
    "POST /plan HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nxy\r\n0\r\n\r\n",
    "POST /plan HTTP/1.1\nContent-Length: 3\n\nabc",
    "POST /plan HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
    "POST /plan HTTP/1.1\r\nbad header\r\n\r\n",
];

/// How a parse ends: the bytes used and the body, or the reason of the error.
type Outcome = Result<(usize, Vec<u8>), &'static str>;

/// How a parse ends; none while the request is incomplete.
fn outcome(input: &[u8]) -> Option<Outcome> {
    match parse_request(input) {
        Ok(None) => None,
        Ok(Some((request, used))) => Some(Ok((used, request.body))),
        Err(error) => Some(Err(error.1)),
    }
}

/// The length at which the request at the start of `input` is recognised, in pieces of this size, and how.
fn recognise(input: &[u8], piece: usize) -> Option<(usize, Outcome)> {
    let mut progress = RequestProgress::New;
    let ends = (piece..input.len()).step_by(piece).chain([input.len()]);
    for end in ends {
        let arrived = &input[..end];
        if !progress.may_be_complete(arrived) {
            continue;
        }
        match outcome(arrived) {
            Some(outcome) => return Some((end, outcome)),
            None => progress.note_incomplete(arrived).unwrap(),
        }
    }
    None
}

/// Guards against a request that is never answered, as its last piece was not parsed.
#[test]
fn a_request_in_pieces_is_recognised_with_the_same_piece() {
    let many_fields = format!("POST /plan HTTP/1.1\r\n{}", "a:\r\n".repeat(70));
    let long_head = format!("POST /plan HTTP/1.1\r\nX: {}", "x".repeat(17 << 10));
    let long_body = format!(
        "POST /plan HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        format!("ff\r\n{}\r\n", "x".repeat(255)).repeat(260)
    );
    let long_inputs = [many_fields, long_head, long_body];
    for input in INPUTS.into_iter().chain(long_inputs.iter().map(String::as_str)).map(str::as_bytes) {
        for piece in [1, 2, 3, 7, 50, 1_000] {
            if input.len() > 10_000 && piece < 50 {
                continue;
            }
            let ends = (piece..input.len()).step_by(piece).chain([input.len()]);
            let expected = ends.into_iter().find_map(|end| Some((end, outcome(&input[..end])?)));
            let shown = String::from_utf8_lossy(&input[..input.len().min(200)]);
            // An invalid head or chunk may be recognised only with the end of its line or of the chunk.
            let recognised = recognise(input, piece);
            if let Some((_, Err(reason))) = expected {
                assert!(matches!(recognised, Some((_, Err(known))) if known == reason), "{piece}: {shown}");
            } else {
                assert_eq!(recognised, expected, "{piece}: {shown}");
            }
        }
    }
}
