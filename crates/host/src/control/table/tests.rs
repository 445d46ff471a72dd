//! Tests of the time between two reads of the list of hosts.

use std::time::Duration;

use super::list_interval;

struct Case {
    live_hosts: u32,
    is_table_reader: bool,
    interval_ms: u64,
}

#[test]
fn the_interval_grows_with_the_hosts_and_is_short_without_other_hosts() {
    let cases = [
        Case {
            live_hosts: 0,
            is_table_reader: false,
            interval_ms: 1_000,
        },
        Case {
            live_hosts: 1,
            is_table_reader: false,
            interval_ms: 1_000,
        },
        Case {
            live_hosts: 11,
            is_table_reader: true,
            interval_ms: 1_000,
        },
        Case {
            live_hosts: 11,
            is_table_reader: false,
            interval_ms: 10_000,
        },
        Case {
            live_hosts: 2_600,
            is_table_reader: true,
            interval_ms: 65_000,
        },
        Case {
            live_hosts: 2_600,
            is_table_reader: false,
            interval_ms: 650_000,
        },
    ];
    for case in cases {
        let interval = list_interval(case.live_hosts, case.is_table_reader);
        assert_eq!(
            interval,
            Duration::from_millis(case.interval_ms),
            "{} hosts, table reader: {}",
            case.live_hosts,
            case.is_table_reader
        );
    }
}
