//! Tests fitted lines, medians, parsed gauges and readings of CPU time.

use measure::path::fit::{fit_line, median};
use measure::path::gauges::parse_gauge;
use measure::path::usage::ProcessUsage;

#[test]
fn a_line_goes_through_points_that_lie_on_one() {
    let fitted = fit_line(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).expect("x values differ");
    assert!((fitted.slope - 2.0).abs() < 1e-9, "{fitted:?}");
    assert!((fitted.intercept - 3.0).abs() < 1e-9, "{fitted:?}");
    assert!((fitted.r_squared - 1.0).abs() < 1e-9, "{fitted:?}");
}

#[test]
fn no_line_without_two_causes() {
    assert!(fit_line(&[]).is_none());
    assert!(fit_line(&[(1.0, 2.0), (1.0, 3.0)]).is_none());
}

#[test]
fn the_median_needs_no_order() {
    struct Case {
        values: &'static [f64],
        median: f64,
    }
    let cases = [
        Case {
            values: &[],
            median: 0.0,
        },
        Case {
            values: &[3.0, 1.0, 2.0],
            median: 2.0,
        },
        Case {
            values: &[4.0, 1.0, 2.0, 3.0],
            median: 2.5,
        },
    ];
    for case in cases {
        let found = median(case.values.iter().copied());
        assert!((found - case.median).abs() < 1e-9, "{:?}", case.values);
    }
}

#[test]
fn gauges_are_distinguished_from_other_metrics() {
    let found = parse_gauge("medlardyke.latency.queue.p50:120|g").expect("a gauge");
    assert_eq!(found.0, "medlardyke.latency.queue.p50");
    assert!((found.1 - 120.0).abs() < 1e-9);
    assert!(parse_gauge("medlardyke.requests:3|c").is_none());
    assert!(parse_gauge("no metric").is_none());
}

#[test]
fn the_cpu_time_of_a_busy_thread_shows_under_its_name() {
    let me = std::process::id();
    let before = ProcessUsage::read(me).expect("this process runs");
    let busy = std::thread::Builder::new().name("busy".to_owned());
    let (ready_tx, ready) = std::sync::mpsc::channel();
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let run = move || {
        let mut sum = 0_u64;
        for n in 0..20_000_000_u64 {
            sum = std::hint::black_box(sum.wrapping_add(n));
        }
        ready_tx.send(sum).expect("the test waits");
        // Returns when the sender is dropped, so that the thread lives until its usage is read.
        let _closed = stopped.recv();
    };
    let thread = busy.spawn(run).expect("a thread");
    ready.recv().expect("the thread is done");
    let used = ProcessUsage::read(me)
        .expect("this process runs")
        .since(&before);
    drop(stop);
    thread.join().expect("no panic");
    assert!(used.threads["busy"] > std::time::Duration::ZERO, "{used:?}");
    assert!(used.cpu() >= used.threads["busy"]);
    assert!(used.rss_kib > 0);
}
