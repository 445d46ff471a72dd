//! Requests for permits as hosts of this and of an earlier version send them.

use std::time::Duration;

use direct::{PermitRequest, Priority, RateLimit};
use front::permits::messages::Acquire;
use ids::DomainId;
use prost::Message;

/// The message of a host that doesn't send the domain, the rank and whether it is a repeat.
#[derive(Clone, PartialEq)]
#[derive(prost::Message)]
struct EarlierAcquire {
    #[prost(bool, tag = "3")]
    is_urgent: bool,
    #[prost(uint32, tag = "4")]
    until_objective_ms: u32,
}

fn permit_request() -> PermitRequest {
    PermitRequest {
        priority: Priority::Equal,
        rank: 3,
        is_repeat: true,
        domain: DomainId::new("zone-2").ok(),
        until_objective: Duration::from_millis(800),
        until_deadline: Duration::from_millis(2_500),
        entry_service_time: Duration::from_millis(160),
        may_wait: true,
        cold: None,
        limit: RateLimit::default(),
        skipped_hosts: 2,
    }
}

/// Guards against fields that are lost on the way, and against a rank of zero that is taken for a
/// missing one.
#[test]
fn a_request_for_a_permit_arrives_as_it_was_sent() {
    let most_urgent = PermitRequest {
        rank: 0,
        is_repeat: false,
        domain: None,
        ..permit_request()
    };
    for sent in [permit_request(), most_urgent] {
        let bytes = Acquire::new("up-1".to_owned(), 2, &sent).encode_to_vec();
        let received = Acquire::decode(bytes.as_slice()).expect("a valid message");
        assert_eq!(received.permit_request(RateLimit::default()), sent);
        let earlier = EarlierAcquire::decode(bytes.as_slice()).expect("a valid message");
        assert_eq!(earlier.until_objective_ms, 800);
    }
}

/// Guards against wrong ranks while hosts of two versions exchange messages.
#[test]
fn missing_fields_have_the_defaults_of_an_earlier_version() {
    for (is_urgent, rank) in [(true, 0), (false, 1)] {
        let sent = EarlierAcquire {
            is_urgent,
            until_objective_ms: 800,
        };
        let received = Acquire::decode(sent.encode_to_vec().as_slice()).expect("a valid message");
        let request = received.permit_request(RateLimit::default());
        assert_eq!(
            (request.rank, request.is_repeat, request.domain),
            (rank, false, None)
        );
    }
}
