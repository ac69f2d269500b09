//! Unused connections to far targets, for requests that must not run twice.

#[path = "common/routing.rs"]
mod routing;

use {
    hemlockspool_core::traffic::spare_plan::SparePlan, hemlockspool_model::names::TargetName,
    routing::at, std::time::Duration,
};

fn target(number: u32) -> TargetName {
    TargetName::new(&format!("i-{number}"))
}

/// Sends requests to a target at an interval, and returns how many unused connections are kept after
/// the last one.
fn spares_after(interval_ms: u64, connect_ms: u64) -> u32 {
    let mut plan = SparePlan::default();
    let mut spares = 0;
    for number in 0..20 {
        spares = plan.record_request(&target(1), at(number * interval_ms));
        plan.record_connected(&target(1), Duration::from_millis(connect_ms));
    }
    spares
}

/// Guards against requests for targets of other regions that wait for a connection each, and against
/// connections that are kept although no request is likely to use them.
#[test]
fn spare_plan_for_frequent_far_targets() {
    assert_eq!(spares_after(1_000, 110), 1);
    assert_eq!(spares_after(50, 110), 3);
    assert_eq!(spares_after(1, 110), 4);
    assert_eq!(spares_after(100, 1), 0, "a near target");
    assert_eq!(spares_after(5_000, 110), 0, "a target with few requests");
}

/// Guards against requests that are lost one after the other on connections which targets have
/// dropped.
#[test]
fn spare_plan_pauses_after_losses() {
    let mut plan = SparePlan::default();
    for now_ms in (0..5_000).step_by(500) {
        for number in 0..3 {
            plan.record_request(&target(number), at(now_ms));
            plan.record_connected(&target(number), Duration::from_millis(110));
        }
    }
    assert!(!plan.record_loss(&target(0), at(5_000)));
    assert_eq!(plan.record_request(&target(0), at(5_000)), 0);
    assert_eq!(plan.record_request(&target(1), at(5_000)), 1);
    assert!(plan.record_loss(&target(1), at(6_000)), "losses at two targets");
    assert_eq!(plan.record_request(&target(2), at(6_000)), 0);
    assert_eq!(plan.record_request(&target(2), at(37_000)), 0, "forgotten after the long gap");
    (38..50).for_each(|second| _ = plan.record_request(&target(2), at(second * 1_000)));
    assert_eq!(plan.record_request(&target(2), at(50_000)), 1);
}
