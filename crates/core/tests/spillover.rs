//! Tests of the planned spillover over waves of demand.

use {
    hemlockspool_core::{clock::Moment, traffic::spillover::SpilloverPlan},
    hemlockspool_model::names::RegionName,
    std::{collections::BTreeMap, f64::consts::TAU},
};

/// Slots of a region with few targets, and of two others.
const SLOTS: [(&str, f64); 3] = [("few", 84.0), ("many", 432.0), ("some", 360.0)];
/// Mean demand of each region, in busy slots: more than `few` can serve.
const MEAN_DEMAND: f64 = 118.0;
/// Interval of the plan's updates, in microseconds.
const STEP_US: u64 = 250_000;

fn by_region<F>(value: F) -> BTreeMap<RegionName, f64>
where
    F: Fn(&str, f64) -> f64,
{
    SLOTS.iter().map(|(name, slots)| (RegionName::new(name), value(name, *slots))).collect()
}

/// Runs the plan of the region `few` and returns, for each second, its planned share and the
/// utilization that remains.
fn run_plan<F>(seconds: u64, few_demand: F) -> Vec<(f64, f64)>
where
    F: Fn(f64) -> f64,
{
    let mut plan = SpilloverPlan::default();
    let slots = by_region(|_, slots| slots);
    let mut samples = Vec::new();
    for step in 0..seconds * 4 {
        let now = Moment(1 + step * STEP_US);
        let demand = few_demand(step as f64 / 4.0);
        let all = by_region(|name, _| if name == "few" { demand } else { MEAN_DEMAND });
        plan.update(&RegionName::new("few"), &all, &slots, now);
        plan.choose_region(step, 0.0, now);
        if step % 4 == 0 {
            samples.push((plan.share(), demand * (1.0 - plan.share()) / SLOTS[0].1));
        }
    }
    samples
}

/// Guards against a region that is overloaded when its demand rises again after a trough: the share
/// may rise by 5% a second only, and the demand of a wave triples within twelve.
#[test]
fn spillover_demand_rises_after_trough() {
    let wave = |at: f64| MEAN_DEMAND * (1.0 - 0.55 * (TAU * (at + 18.0) / 36.0).sin());
    for (second, (share, utilization)) in run_plan(90, wave).into_iter().enumerate().skip(5) {
        assert!(utilization <= 1.0, "utilization {utilization:.2} at {second} s, share {share:.2}");
    }
}

/// Guards against a region that is overloaded when callers who had moved to another region come
/// back.
#[test]
fn spillover_callers_come_back() {
    let away = |at: f64| if (20.0..27.0).contains(&at) { 0.35 } else { 1.0 };
    let samples = run_plan(60, |at| MEAN_DEMAND * away(at));
    for (second, (share, utilization)) in samples.into_iter().enumerate().skip(5) {
        assert!(utilization <= 1.0, "utilization {utilization:.2} at {second} s, share {share:.2}");
    }
}

/// Guards against requests that run in another region for good although their own has capacity.
#[test]
fn spillover_ends_with_the_demand() {
    let samples = run_plan(120, |at| if at < 20.0 { MEAN_DEMAND } else { 20.0 });
    assert!(samples[19].0 > 0.3, "{:?}", samples[19]);
    assert_eq!(samples[119].0, 0.0);
}
