use super::{parse_request, HttpError, Parsed, MAX_HEAD, MAX_REQUEST_BODY};

#[test]
fn requests_table() {
    let big = format!("POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n", MAX_REQUEST_BODY + 1);
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(MAX_HEAD));
    type Case<'a> = (&'a str, &'a [u8], Result<Option<(&'a str, &'a [u8], bool)>, HttpError>);
    let cases: Vec<Case> = vec![
        ("whole", b"GET /ready HTTP/1.1\r\n\r\n", Ok(Some(("/ready", b"", false)))),
        ("close", b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n", Ok(Some(("/", b"", true)))),
        ("half head", b"GET / HT", Ok(None)),
        ("half body", b"POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nab", Ok(None)),
        ("body", b"POST /b HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", Ok(Some(("/b", b"ab", false)))),
        (
            "chunks",
            b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
            Ok(Some(("/c", b"abc", false))),
        ),
        ("garbage", b"\x00\x01\x02 nonsense\r\n\r\n", Err(HttpError::Malformed)),
        ("negative length", b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Err(HttpError::Malformed)),
        (
            "two framings",
            b"POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            Err(HttpError::Malformed),
        ),
        ("too big", big.as_bytes(), Err(HttpError::BodyTooLong)),
        ("endless head", long.as_bytes(), Err(HttpError::HeadTooLong)),
    ];
    for (name, bytes, want) in cases {
        let got = parse_request(bytes).map(|p| match p {
            Parsed::Partial => None,
            Parsed::Whole(r, used) => {
                assert_eq!(used, bytes.len(), "{name}");
                Some((r.path, r.body, r.close))
            }
        });
        let want = want.map(|o| o.map(|(p, b, c)| (p.to_owned(), b.to_vec(), c)));
        assert_eq!(got, want, "{name}");
    }
}
