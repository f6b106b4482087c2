use super::{parse_request, HttpError, Parsed, MAX_HEAD_BYTES, MAX_REQUEST_BODY_BYTES};

#[test]
fn parse_request_returns_the_message_or_the_matching_error() {
    let too_long_body = format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_REQUEST_BODY_BYTES + 1);
    let too_long_head = format!("GET /{} HTTP/1.1\r\n", "x".repeat(MAX_HEAD_BYTES));
    type Case<'a> = (&'a str, &'a [u8], Result<Option<(&'a str, &'a [u8], bool)>, HttpError>);
    let cases: Vec<Case> = vec![
        ("complete request", b"GET /ready HTTP/1.1\r\n\r\n", Ok(Some(("/ready", b"", false)))),
        ("connection close", b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", Ok(Some(("/", b"", true)))),
        ("incomplete head", b"GET / HT", Ok(None)),
        ("incomplete body", b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", Ok(None)),
        ("body with a length", b"POST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", Ok(Some(("/b", b"ab", false)))),
        (
            "chunked body",
            b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            Ok(Some(("/c", b"abc", false))),
        ),
        ("malformed request line", b"\x00\x01\x02 nonsense\r\n\r\n", Err(HttpError::Malformed)),
        ("negative content length", b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Err(HttpError::Malformed)),
        (
            "content length and chunked encoding",
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            Err(HttpError::Malformed),
        ),
        ("body above the limit", too_long_body.as_bytes(), Err(HttpError::BodyTooLong)),
        ("head above the limit", too_long_head.as_bytes(), Err(HttpError::HeadTooLong)),
    ];
    for (name, bytes, expected) in cases {
        let parsed = parse_request(bytes).map(|parsed| match parsed {
            Parsed::Partial => None,
            Parsed::Complete(request, used) => {
                assert_eq!(used, bytes.len(), "{name}");
                Some((request.path, request.body, request.close))
            }
        });
        let expected =
            expected.map(|message| message.map(|(path, body, close)| (path.to_owned(), body.to_vec(), close)));
        assert_eq!(parsed, expected, "{name}");
    }
}
