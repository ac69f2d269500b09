//! Detection of stalls, after which a process may read requests that were given up long ago.

use {hemlockspool_core::fleet::stall_meter::StallMeter, std::time::Duration};

const TICK: Duration = Duration::from_millis(25);

fn after(millis: u64) -> Duration {
    Duration::from_secs(100) + Duration::from_millis(millis)
}

#[test]
fn stall_meter_regular_ticks() {
    let mut meter = StallMeter::new(after(0));
    for index in 0..200 {
        let now = after(0) + index * TICK;
        meter.record_tick(now);
        assert!(!meter.has_backlog(now + TICK), "{index}");
    }
}

/// Guards against orders that a process carries out before its first tick after a stall.
#[test]
fn stall_meter_before_first_tick() {
    let meter = StallMeter::new(after(0));
    assert!(!meter.has_backlog(after(400)));
    assert!(meter.has_backlog(after(600)));
}

/// Guards against orders that a process carries out after its first tick after a stall, and against
/// one that refuses them for good.
#[test]
fn stall_meter_after_stall() {
    let mut meter = StallMeter::new(after(0));
    meter.record_tick(after(4_000));
    for millis in [4_000, 4_025, 4_900] {
        meter.record_tick(after(millis));
        assert!(meter.has_backlog(after(millis)), "{millis}");
    }
    for millis in (4_925..6_000).step_by(25) {
        meter.record_tick(after(millis));
    }
    assert!(!meter.has_backlog(after(6_000)));
}

/// Guards against a stall that is seen, or an overflow, when the clock is read out of order.
#[test]
fn stall_meter_earlier_time() {
    let mut meter = StallMeter::new(after(1_000));
    meter.record_tick(after(900));
    assert!(!meter.has_backlog(after(800)));
}
