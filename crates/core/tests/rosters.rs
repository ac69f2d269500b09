//! Roster of targets: versions, updates, and lists that must not replace newer ones.

use {
    hemlockspool_core::{
        clock::Moment,
        fleet::roster::{RosterVersion, TargetInfo, TargetList, TargetRoster},
    },
    hemlockspool_model::names::TargetName,
    rand::{Rng, SeedableRng},
    std::time::Duration,
};

/// Incarnation of the process that reads the list.
const READER: u64 = 7;

fn target_info(slots: u32, cold_ms: u64) -> TargetInfo {
    TargetInfo {
        service: "s".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "d".into(),
        slots,
        draining: false,
        cold_ms,
    }
}

/// Returns a list of warm targets from their names and slots.
fn list(targets: &[(&str, u32)]) -> TargetList {
    targets.iter().map(|(name, slots)| (TargetName::new(name), target_info(*slots, 0))).collect()
}

#[test]
fn roster_change_on_new_cold_start() {
    let mut roster = TargetRoster::default();
    let cold = |millis| TargetList::from([(TargetName::new("a"), target_info(1, millis))]);
    assert!(roster.record_read(READER, cold(3_000), Moment(0)));
    assert!(
        !roster.record_read(READER, cold(2_000), Moment(1)),
        "a cold start that goes on was recorded as a change"
    );
    assert!(
        roster.record_read(READER, cold(4_000), Moment(2)),
        "another cold start was not recorded as a change"
    );
    assert!(roster.record_read(READER, cold(0), Moment(3)));
}

/// Guards against an update that is applied twice. The update is incremental, from the empty
/// roster; a repeated whole list isn't checked.
#[test]
fn roster_repeated_whole_list() {
    let mut source = TargetRoster::default();
    source.record_read(READER, list(&[("a", 1)]), Moment(0));
    let update = source.update_since(RosterVersion::default(), Moment(0)).unwrap();
    let mut receiver = TargetRoster::default();
    assert!(receiver.apply(update.clone(), Moment(0)));
    assert!(!receiver.apply(update, Moment(1)), "the update was applied twice");
}

#[test]
fn roster_random_changes() {
    for seed in 0..100 {
        let mut random = rand_pcg::Pcg32::seed_from_u64(seed);
        let (mut source, mut receiver) = (TargetRoster::default(), TargetRoster::default());
        for step in 0..200_u64 {
            let names = ["a", "b", "c", "d", "e"];
            let mut next = TargetList::new();
            for name in names {
                if random.random_bool(0.6) {
                    next.insert(TargetName::new(name), target_info(random.random_range(1..3), 0));
                }
            }
            source.record_read(READER, next, Moment(step));
            // Most updates are lost. One that arrives brings the receiver from any older version to
            // the source's list.
            if random.random_bool(0.1)
                && let Some(update) = source.update_since(receiver.version(), Moment(step))
            {
                assert!(receiver.apply(update, Moment(step)));
                assert_eq!(receiver.targets(), source.targets(), "seed {seed} step {step}");
            }
        }
    }
}

/// Guards against two lists that have the same version, so that a follower keeps the wrong one: two
/// processes read the list, and the leader reads again after it has applied the other's list.
#[test]
fn roster_version_names_one_read() {
    const OTHER_READER: u64 = 8;
    let (mut leader, mut other) = (TargetRoster::default(), TargetRoster::default());
    leader.record_read(READER, list(&[("a", 1)]), Moment(0));
    leader.record_read(READER, list(&[("a", 2)]), Moment(1_000_000));
    let version_before = leader.version();
    let mut follower = leader.clone();
    // Another process reads the list by itself; the leader applies that list and then reads again.
    other.record_read(OTHER_READER, list(&[("b", 1)]), Moment(2_000_000));
    let whole = other.update_since(version_before, Moment(2_000_000)).unwrap();
    assert!(leader.apply(whole, Moment(2_000_000)));
    leader.record_read(READER, list(&[("c", 1)]), Moment(3_000_000));
    assert_ne!(leader.version(), version_before, "two lists have the same version");
    // A follower that still has the leader's earlier list must not treat it as current, and the
    // update must bring it to the newest list.
    follower.refresh(leader.version(), 0, Moment(3_000_000));
    assert_eq!(follower.age(Moment(3_000_000)), Some(Duration::from_secs(2)));
    let update = leader.update_since(follower.version(), Moment(3_000_000)).unwrap();
    assert!(follower.apply(update, Moment(3_000_000)));
    assert_eq!(follower.targets(), leader.targets());
}

#[test]
fn roster_ignores_older_whole_list() {
    let (mut leader, mut other) = (TargetRoster::default(), TargetRoster::default());
    other.record_read(8, list(&[("a", 1)]), Moment(700_000));
    leader.record_read(READER, list(&[]), Moment(1_000_000));
    let whole = other.update_since(leader.version(), Moment(1_100_000)).unwrap();
    assert!(
        !leader.apply(whole, Moment(1_120_000)),
        "a list that was read earlier brought a removed target back"
    );
    assert!(leader.targets().is_empty());
    let whole = leader.update_since(other.version(), Moment(1_150_000)).unwrap();
    assert!(other.apply(whole, Moment(1_170_000)));
    assert!(other.targets().is_empty());
}
