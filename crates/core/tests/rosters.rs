//! The list of targets: what changes, what travels, and what is left out of date.

use {
    hemlockspool_core::{
        clock::Moment,
        fleet::roster::{RosterVersion, TargetInfo, TargetList, TargetRoster},
    },
    hemlockspool_model::names::TargetName,
    rand::{Rng, SeedableRng},
    std::time::Duration,
};

const READER: u64 = 7;

fn fact(slots: u32, cold_ms: u64) -> TargetInfo {
    TargetInfo {
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "d".into(),
        slots,
        draining: false,
        cold_ms,
    }
}

fn list(names: &[(&str, u32)]) -> TargetList {
    names.iter().map(|(name, slots)| (TargetName::new(name), fact(*slots, 0))).collect()
}

#[test]
fn roster_cold_time_runs_down() {
    let mut book = TargetRoster::default();
    let cold = |millis| TargetList::from([(TargetName::new("a"), fact(1, millis))]);
    assert!(book.record_read(READER, cold(3_000), Moment(0)));
    assert!(!book.record_read(READER, cold(2_000), Moment(1)), "the same cold start");
    assert!(book.record_read(READER, cold(4_000), Moment(2)), "another cold start");
    assert!(book.record_read(READER, cold(0), Moment(3)));
}

#[test]
fn roster_older_whole_list() {
    let mut source = TargetRoster::default();
    source.record_read(READER, list(&[("a", 1)]), Moment(0));
    let whole = source.update_since(RosterVersion::default(), Moment(0)).unwrap();
    let mut holder = TargetRoster::default();
    assert!(holder.apply(whole.clone(), Moment(0)));
    assert!(!holder.apply(whole, Moment(1)), "twice is once");
}

#[test]
fn roster_seeded_changes() {
    for seed in 0..100 {
        let mut random = rand_pcg::Pcg32::seed_from_u64(seed);
        let (mut source, mut holder) = (TargetRoster::default(), TargetRoster::default());
        for step in 0..200_u64 {
            let names = ["a", "b", "c", "d", "e"];
            let mut next = TargetList::new();
            for name in names {
                if random.random_bool(0.6) {
                    next.insert(TargetName::new(name), fact(random.random_range(1..3), 0));
                }
            }
            source.record_read(READER, next, Moment(step));
            // Most updates get lost; one that arrives leads to the same list from wherever it starts.
            if random.random_bool(0.1)
                && let Some(update) = source.update_since(holder.version(), Moment(step))
            {
                assert!(holder.apply(update, Moment(step)));
                assert_eq!(holder.targets(), source.targets(), "seed {seed} step {step}");
            }
        }
    }
}

#[test]
fn roster_mark_names_one_reading() {
    const OTHER: u64 = 8;
    let (mut leader, mut other) = (TargetRoster::default(), TargetRoster::default());
    leader.record_read(READER, list(&[("a", 1)]), Moment(0));
    leader.record_read(READER, list(&[("a", 2)]), Moment(1_000_000));
    let first = leader.version();
    let mut follower = leader.clone();
    // Another process reads by itself, and the leader takes its list over and goes on from there.
    other.record_read(OTHER, list(&[("b", 1)]), Moment(2_000_000));
    let whole = other.update_since(first, Moment(2_000_000)).unwrap();
    assert!(leader.apply(whole, Moment(2_000_000)));
    leader.record_read(READER, list(&[("c", 1)]), Moment(3_000_000));
    assert_ne!(leader.version(), first, "two lists under one mark");
    // One that still has the first list isn't told that it is fresh, and gets the new one.
    follower.refresh(leader.version(), 0, Moment(3_000_000));
    assert_eq!(follower.age(Moment(3_000_000)), Some(Duration::from_secs(2)));
    let update = leader.update_since(follower.version(), Moment(3_000_000)).unwrap();
    assert!(follower.apply(update, Moment(3_000_000)));
    assert_eq!(follower.targets(), leader.targets());
}

#[test]
fn roster_whole_list_read_before() {
    let (mut leader, mut other) = (TargetRoster::default(), TargetRoster::default());
    other.record_read(8, list(&[("a", 1)]), Moment(700_000));
    leader.record_read(READER, list(&[]), Moment(1_000_000));
    let whole = other.update_since(leader.version(), Moment(1_100_000)).unwrap();
    assert!(!leader.apply(whole, Moment(1_120_000)), "a target that has gone comes back");
    assert!(leader.targets().is_empty());
    let whole = leader.update_since(other.version(), Moment(1_150_000)).unwrap();
    assert!(other.apply(whole, Moment(1_170_000)));
    assert!(other.targets().is_empty());
}
