//! Tests of how late another host may send a call.

use std::time::Duration;

use bytes::Bytes;
use front::peer_exchange::PeerCall;
use http::Request;
use ids::{Timestamp, UpstreamId};

struct Case {
    name: &'static str,
    /// Milliseconds from the decision until the other host's message arrived.
    confirmed_after: u64,
    max_age: Option<u64>,
    send_within: Option<u64>,
}

const CASES: [Case; 4] = [
    Case {
        name: "at once",
        confirmed_after: 0,
        max_age: Some(200),
        send_within: Some(200),
    },
    Case {
        name: "the time until the other host's message counts, whoever spent it",
        confirmed_after: 90,
        max_age: Some(200),
        send_within: Some(110),
    },
    Case {
        name: "too late",
        confirmed_after: 300,
        max_age: Some(200),
        send_within: Some(0),
    },
    Case {
        name: "a call that may be late",
        confirmed_after: 300,
        max_age: None,
        send_within: None,
    },
];

/// The time in which the other host answered was not counted, so that it could send a grant 100 ms late.
#[test]
fn a_call_through_another_host_is_never_older_than_its_limit() {
    for case in CASES {
        let decided_at = Timestamp::from_millis(1_000);
        let call = PeerCall {
            upstream: UpstreamId::new("u").expect("a valid name"),
            request: Request::new(Bytes::new()),
            id: "call".into(),
            decided_at,
            max_age: case.max_age.map(Duration::from_millis),
            deadline: decided_at + Duration::from_secs(1),
        };
        let confirmed_at = decided_at + Duration::from_millis(case.confirmed_after);
        let send_within = call.send_within(confirmed_at);
        let wanted = case.send_within.map(Duration::from_millis);
        assert_eq!(send_within, wanted, "{}", case.name);
    }
}
