//! Replication under resets, crashes, pauses and slow disks in random orders: what a replica has
//! acknowledged stays on its disk, a leader counts nothing that isn't there, and each replica
//! follows again when the faults end.

#[path = "common/disk.rs"]
mod disk;
#[path = "common/replica_group.rs"]
mod replica_group;
#[path = "common/replica_log.rs"]
mod replica_log;

use self::replica_group::{GroupFaults, STEP_MS, TestGroup};

/// Simulated time with faults in each run, in milliseconds.
const FAULTS_MS: u64 = 10_000;
/// Longest time until all replicas follow again after the faults, in milliseconds.
const CONVERGENCE_MS: u64 = 4_000;
const SEEDS: u64 = 24;

/// Proposes numbers in bursts while faults are injected, then checks that all replicas converge.
/// Returns the number of installed snapshots.
fn run_seed(seed: u64, faults: GroupFaults) -> u64 {
    let mut group = TestGroup::new(seed, faults);
    for step in 0..FAULTS_MS / STEP_MS {
        group.step();
        if step % 9 < 3 {
            group.propose();
        }
    }
    let converges = group.converges(CONVERGENCE_MS);
    assert!(converges, "seed {seed}: not all replicas follow:\n{}", group.describe());
    group.installed
}

fn run_seeds(faults: GroupFaults) {
    let installed: u64 = (0..SEEDS).map(|seed| run_seed(seed, faults)).sum();
    assert!(installed >= SEEDS, "{installed} snapshots were installed in {SEEDS} runs");
}

/// Guards against a replica that drops entries which it has acknowledged, and follows no more, when
/// connections are reset while snapshots are taken.
#[test]
fn replication_resets() {
    run_seeds(GroupFaults { resets: 12, ..GroupFaults::NONE });
}

#[test]
fn replication_resets_and_reordered_messages() {
    run_seeds(GroupFaults { resets: 12, reordered: 30, ..GroupFaults::NONE });
}

/// Guards against a snapshot that is acknowledged but not stored, because a leader that ended and its
/// successor sent a part each.
#[test]
fn replication_crashes_and_slow_disks() {
    run_seeds(GroupFaults { resets: 6, crashes: 4, stalls: 4, ..GroupFaults::NONE });
}

#[test]
fn replication_membership_changes() {
    run_seeds(GroupFaults { resets: 6, crashes: 2, removals: 4, ..GroupFaults::NONE });
}

#[test]
fn replication_mixed_faults() {
    run_seeds(GroupFaults {
        resets: 6,
        crashes: 3,
        pauses: 3,
        cuts: 4,
        stalls: 3,
        removals: 2,
        reordered: 10,
    });
}
