//! Whether a caller was refused before and has come back.

use std::time::Duration;

use direct::Returns;

const FIRST: u64 = 2_500;

fn asked_before(returns: &mut Returns, wait_ms: u64) -> u64 {
    let before = returns.asked_before(&"r".into(), Duration::from_millis(wait_ms));
    before.as_millis() as u64
}

#[test]
fn those_who_wait_for_less_have_come_back() {
    struct Case {
        name: &'static str,
        /// Waits of the callers before, in turn, 400 of them.
        before: &'static [u64],
        wait: u64,
        /// How long ago the caller asked first, from and to, in milliseconds.
        ago: (u64, u64),
    }
    let cases = [
        Case {
            name: "one that comes for the first time",
            before: &[FIRST],
            wait: FIRST,
            ago: (0, 0),
        },
        Case {
            name: "one that comes back after 800 ms",
            before: &[FIRST],
            wait: FIRST - 800,
            ago: (780, 800),
        },
        Case {
            name: "the same while half of all come back",
            before: &[FIRST, FIRST - 800],
            wait: FIRST - 800,
            ago: (700, 800),
        },
        Case {
            name: "one that waits a little less, as its question took its time",
            before: &[FIRST],
            wait: FIRST - 20,
            ago: (0, 0),
        },
        Case {
            name: "one on a route whose callers now wait for less",
            before: &[1_000],
            wait: 1_000,
            ago: (0, 0),
        },
    ];
    for case in cases {
        let mut returns = Returns::default();
        asked_before(&mut returns, FIRST);
        for i in 0..400 {
            asked_before(&mut returns, case.before[i % case.before.len()]);
        }
        let ago = asked_before(&mut returns, case.wait);
        let (from, to) = case.ago;
        assert!((from..=to).contains(&ago), "{}: {ago} ms ago", case.name);
    }
}

/// A caller that waits for ten times as long as all others changes nothing for them.
#[test]
fn an_odd_caller_makes_nobody_a_returner() {
    let mut returns = Returns::default();
    for _ in 0..50 {
        asked_before(&mut returns, FIRST);
    }
    asked_before(&mut returns, 10 * FIRST);
    assert_eq!(asked_before(&mut returns, FIRST), 0);
}
