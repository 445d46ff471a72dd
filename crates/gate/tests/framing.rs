//! Requests with two contradictory body lengths, and similar requests that are valid.

use gate::framing::FramingScanner;

struct Case {
    name: &'static str,
    bytes: &'static str,
    /// Name of the header that is invalidated; empty if none is.
    invalidated: &'static str,
}

const CASES: [Case; 13] = [
    Case {
        name: "length, then encoding",
        bytes: "POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        invalidated: "Transfer-Encoding",
    },
    Case {
        name: "encoding, then length",
        bytes: "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        invalidated: "Content-Length",
    },
    Case {
        name: "a length of zero counts too",
        bytes: "POST / HTTP/1.1\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n",
        invalidated: "Transfer-Encoding",
    },
    Case {
        name: "in mixed case, with headers between",
        bytes: "PUT /a HTTP/1.1\r\ntRANSFER-eNCODING: gzip, chunked\r\nHost: a\r\ncONTENT-lENGTH:1\r\n\r\n",
        invalidated: "cONTENT-lENGTH",
    },
    Case {
        name: "in the second request, after a body with a length",
        bytes: "PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        invalidated: "Content-Length",
    },
    Case {
        name: "in the second request, after a body in chunks with extension and trailer",
        bytes: "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1a;x=y\r\nabcdefghijklmnopqrstuvwxyz\r\n0\r\nA: b\r\n\r\n\r\nPUT / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        invalidated: "Transfer-Encoding",
    },
    Case {
        name: "after requests without a body",
        bytes: "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\nHost: a\n\nPUT / HTTP/1.1\nTransfer-Encoding: chunked\nContent-Length: 3\n\n",
        invalidated: "Content-Length",
    },
    Case {
        name: "each in a request of its own",
        bytes: "PUT / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPUT / HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
        invalidated: "",
    },
    Case {
        name: "in a body with a length",
        bytes: "PUT / HTTP/1.1\r\nContent-Length: 47\r\n\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        invalidated: "",
    },
    Case {
        name: "in a chunk",
        bytes: "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nContent-Length: 3\r\n0\r\n\r\n",
        invalidated: "",
    },
    Case {
        name: "in a value, and in longer names that contain it",
        bytes: "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nX: Content-Length: 3\r\nContent-Length-Max: 3\r\nX-Content-Length: 3\r\n\r\n",
        invalidated: "",
    },
    Case {
        name: "in the path",
        bytes: "GET /Content-Length:3 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
        invalidated: "",
    },
    Case {
        name: "HTTP/2 is left alone",
        bytes: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        invalidated: "",
    },
];

#[test]
fn contradictory_body_lengths_are_invalidated() {
    for case in CASES {
        for step in [1, 2, 7, 1_000] {
            let mut bytes = case.bytes.as_bytes().to_vec();
            let mut framing = FramingScanner::default();
            for chunk in bytes.chunks_mut(step) {
                framing.scan(chunk);
            }
            let seen = String::from_utf8(bytes).expect("still text");
            let expected = if case.invalidated.is_empty() {
                case.bytes.to_owned()
            } else {
                let at =
                    case.bytes.rfind(case.invalidated).expect("named") + case.invalidated.len();
                let (before, after) = case.bytes.split_at(at);
                format!("{before}\0{}", &after[1..])
            };
            assert_eq!(seen, expected, "{}, {step} bytes at once", case.name);
        }
    }
}
