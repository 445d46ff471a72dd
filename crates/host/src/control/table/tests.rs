//! How often the list of hosts is read.

use std::time::Duration;

use super::list_pause;

struct Case {
    live_hosts: u32,
    is_relay: bool,
    pause_ms: u64,
}

#[test]
fn the_pause_grows_with_the_hosts_and_a_lonely_host_never_waits_long() {
    let cases = [
        Case {
            live_hosts: 0,
            is_relay: false,
            pause_ms: 1_000,
        },
        Case {
            live_hosts: 1,
            is_relay: false,
            pause_ms: 1_000,
        },
        Case {
            live_hosts: 11,
            is_relay: true,
            pause_ms: 1_000,
        },
        Case {
            live_hosts: 11,
            is_relay: false,
            pause_ms: 10_000,
        },
        Case {
            live_hosts: 2_600,
            is_relay: true,
            pause_ms: 65_000,
        },
        Case {
            live_hosts: 2_600,
            is_relay: false,
            pause_ms: 650_000,
        },
    ];
    for case in cases {
        let pause = list_pause(case.live_hosts, case.is_relay);
        assert_eq!(
            pause,
            Duration::from_millis(case.pause_ms),
            "{} hosts, relay: {}",
            case.live_hosts,
            case.is_relay
        );
    }
}
