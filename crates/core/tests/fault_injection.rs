//! Publications in a simulated cluster with seeded faults: messages that are lost, duplicated, late
//! or reordered; crashes, with writes in progress that did or didn't reach the disk; lost disks;
//! process pauses; links cut in one direction.
//!
//! The tests guard against a version in force that goes back, two leaders in a term, audit trails
//! that differ, a request with two outcomes, a version that is accepted for two requests, and a
//! cluster that doesn't recover after the faults.

mod common;

use {
    common::{TICK_US, TestCluster, TestFaults, form_group, region_set},
    hemlockspool_core::{
        clock::Moment,
        consensus::{ConsensusMessage, GroupId, LogPosition, SnapshotMeta},
        reducer::NodeEvent,
        wire::PeerMessage,
    },
    hemlockspool_model::{api::PublishOutcome, names::ConfigVersion},
};

/// Simulation steps with faults in each run.
const STEPS: usize = 2_400;
/// Longest time until a publication is in force everywhere, as the users require, in seconds.
const IN_FORCE_TIMEOUT_S: u64 = 7;
const SEEDS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];

/// Returns the version in force on a node; version 0 if there is none.
fn version_at(cluster: &TestCluster, index: usize) -> ConfigVersion {
    let state = cluster.nodes[index].state.as_ref();
    state.and_then(|state| state.config().version()).unwrap_or_default()
}

/// Publishes at random times while faults are injected, and sometimes retries an earlier request
/// with its tag and base; then stops the faults and checks the result.
fn run_seed(count: usize, seed: u64, faults: TestFaults) -> TestCluster {
    let mut cluster = TestCluster::new(count, seed, faults);
    form_group(&mut cluster);
    let mut sent: Vec<(String, ConfigVersion, Vec<String>)> = Vec::new();
    for step in 0..STEPS {
        cluster.step();
        if cluster.random(12) != 0 {
            continue;
        }
        let index = cluster.random(count as u32) as usize;
        let is_retry = cluster.random(4) == 0 && !sent.is_empty();
        let (tag, base, regions) = if is_retry {
            let pick = cluster.random(sent.len() as u32) as usize;
            sent[pick].clone()
        } else {
            let regions = vec![format!("r{step}"), "kept".to_owned()];
            (format!("tag-{step}"), version_at(&cluster, index), regions)
        };
        cluster.publish(index, &tag, base, region_set(&regions));
        sent.push((tag, base, regions));
    }
    check_agreement(&mut cluster);
    publish_without_faults(&mut cluster);
    cluster
}

/// Stops the faults and checks that within 60 s all nodes vote, agree on the version in force and
/// have no pending commands. Also checks that the outcomes of the publications are consistent and
/// that at least three of them are acceptances.
fn check_agreement(cluster: &mut TestCluster) {
    let agreed = cluster.run_without_faults_until(60, |cluster| {
        let Some(leader) = cluster.leader() else { return false };
        let expected = version_at(cluster, leader);
        let group = cluster.nodes[leader].state.as_ref().unwrap().replica().unwrap().group();
        let voters = group.members().values().filter(|member| member.voter).count();
        let none_pending = cluster
            .nodes
            .iter()
            .all(|node| node.state.as_ref().is_some_and(|state| state.pending_commands() == 0));
        none_pending
            && expected > ConfigVersion::default()
            && voters == cluster.nodes.len()
            && (0..cluster.nodes.len()).all(|index| version_at(cluster, index) == expected)
    });
    assert!(
        agreed,
        "after 60 s without faults, nodes disagree, don't vote or have pending commands: {}",
        cluster.describe()
    );
    cluster.check_outcomes();
    let accepted = cluster
        .publish_outcomes
        .values()
        .filter(|outcome| matches!(outcome, PublishOutcome::Accepted { .. }));
    assert!(accepted.count() >= 3, "fewer than 3 outcomes of publications are acceptances");
}

/// Publishes once more without faults and checks that the publication is in force everywhere in
/// time.
fn publish_without_faults(cluster: &mut TestCluster) {
    let before = version_at(cluster, 0);
    cluster.publish(0, "calm", before, region_set(&["calm".to_owned()]));
    let in_force_everywhere = |cluster: &TestCluster| {
        (0..cluster.nodes.len()).all(|index| version_at(cluster, index) == before.next())
    };
    assert!(
        cluster.run_without_faults_until(IN_FORCE_TIMEOUT_S, in_force_everywhere),
        "not in force everywhere in time: {:?} {}",
        cluster.publish_outcomes.last_key_value(),
        cluster.describe()
    );
}

#[test]
fn publication_lossy_network() {
    let faults = TestFaults {
        loss_percent: 10,
        duplicate_percent: 5,
        crash_per_mille: 0,
        disk_loss_per_mille: 0,
        pause_per_mille: 0,
        cut_per_mille: 2,
    };
    for seed in SEEDS {
        run_seed(3, seed, faults);
    }
}

#[test]
fn publication_crashes() {
    let faults = TestFaults {
        loss_percent: 3,
        duplicate_percent: 3,
        crash_per_mille: 6,
        disk_loss_per_mille: 0,
        pause_per_mille: 3,
        cut_per_mille: 0,
    };
    for seed in SEEDS {
        run_seed(3, seed, faults);
    }
}

#[test]
fn publication_five_nodes_mixed_faults() {
    let faults = TestFaults {
        loss_percent: 5,
        duplicate_percent: 5,
        crash_per_mille: 4,
        disk_loss_per_mille: 0,
        pause_per_mille: 3,
        cut_per_mille: 2,
    };
    for seed in SEEDS {
        run_seed(5, seed, faults);
    }
}

#[test]
fn publication_lost_disks() {
    let faults = TestFaults {
        loss_percent: 2,
        duplicate_percent: 2,
        crash_per_mille: 2,
        disk_loss_per_mille: 2,
        pause_per_mille: 0,
        cut_per_mille: 0,
    };
    for seed in SEEDS {
        run_seed(5, seed, faults);
    }
}

/// Guards against changes that stay refused or unanswered after the disks of all nodes, the leader's
/// among them, were full one after the other, never two at once.
#[test]
fn publication_disks_full_in_turn() {
    const FULL_STEPS: u64 = 120;
    let faults = TestFaults {
        loss_percent: 2,
        duplicate_percent: 2,
        crash_per_mille: 0,
        disk_loss_per_mille: 0,
        pause_per_mille: 0,
        cut_per_mille: 0,
    };
    for seed in SEEDS {
        let mut cluster = TestCluster::new(5, seed, faults);
        form_group(&mut cluster);
        cluster.faults = faults;
        for turn in 0..10 {
            let leader = cluster.leader().unwrap_or_default();
            let full = if turn % 2 == 0 { leader } else { turn / 2 };
            cluster.nodes[full].disk_full_until_us = cluster.now_us + FULL_STEPS * TICK_US;
            let before = version_at(&cluster, leader);
            for step in 0..FULL_STEPS {
                cluster.step();
                if step % 10 == 0 {
                    let index = cluster.random(5) as usize;
                    let base = version_at(&cluster, index);
                    let tag = format!("tag-{turn}-{step}");
                    cluster.publish(index, &tag, base, region_set(&[format!("r{turn}{step}")]));
                }
            }
            let after = (0..5).map(|index| version_at(&cluster, index)).max().unwrap();
            assert!(after > before, "seed {seed}: no change while the disk of {full} was full");
        }
        check_agreement(&mut cluster);
        publish_without_faults(&mut cluster);
    }
}

/// Guards against an invalid set in force: a new leader that has the base of a publication in its
/// log, but hasn't applied it yet, appends the publication unchecked.
#[test]
fn publication_validated_by_new_leader() {
    let faults = TestFaults {
        loss_percent: 0,
        duplicate_percent: 0,
        crash_per_mille: 0,
        disk_loss_per_mille: 0,
        pause_per_mille: 0,
        cut_per_mille: 0,
    };
    let (mut cluster, base) = (TestCluster::new(3, 1, faults), ConfigVersion(1));
    form_group(&mut cluster);
    cluster.publish(0, "base", ConfigVersion(0), region_set(&[]));
    assert!(cluster.run_without_faults_until(10, |cluster| version_at(cluster, 0) == base));
    // The leader stops before the others learn of the commit; its publication still goes out below.
    cluster.nodes[0].paused_until_us = u64::MAX;
    cluster.in_transit.clear();
    assert!(cluster.run_without_faults_until(10, |cluster| cluster.leader() != Some(0)));
    let leader = cluster.leader().unwrap();
    let ledger = cluster.nodes[leader].state.as_ref().unwrap().replica().unwrap().ledger();
    assert_eq!(ledger.version(), ConfigVersion(0), "the base is already applied");
    cluster.publish(0, "invalid", base, region_set(&["invalid name".to_owned()]));
    let (_, _, submission) = cluster.in_transit.pop().unwrap();
    cluster.apply(leader, NodeEvent::Peer(Box::new(submission)));
    cluster.run_without_faults_until(5, |cluster| version_at(cluster, leader) > base);
    assert_eq!(version_at(&cluster, leader), base, "another version than the base is in force");
}

/// Guards against a replica that takes the place of a snapshot which it can't read: it acknowledged
/// entries that it hadn't stored, and applied later ones to an old state.
#[test]
fn publication_unreadable_snapshot() {
    let faults = TestFaults {
        loss_percent: 0,
        duplicate_percent: 0,
        crash_per_mille: 0,
        disk_loss_per_mille: 0,
        pause_per_mille: 0,
        cut_per_mille: 0,
    };
    let mut cluster = TestCluster::new(3, 1, faults);
    form_group(&mut cluster);
    cluster.publish(0, "base", ConfigVersion(0), region_set(&[]));
    let has_base = |cluster: &TestCluster| version_at(cluster, 1) == ConfigVersion(1);
    assert!(cluster.run_without_faults_until(10, has_base));
    let group = |cluster: &TestCluster, index: usize| {
        cluster.nodes[index].state.as_ref().unwrap().replica().unwrap().group().clone()
    };
    let (leader, last_index) = (group(&cluster, 0), group(&cluster, 1).last_position().index);
    let position = LogPosition { term: leader.term(), index: last_index + 1_000 };
    let message = ConsensusMessage::SnapshotChunk {
        term: leader.term(),
        meta: SnapshotMeta { last: position, members: leader.members().clone() },
        offset: 0,
        total: 3,
        data: vec![0xFF; 3],
        sent_at: Moment(cluster.now_us),
    };
    let identity = cluster.nodes[0].state.as_ref().unwrap().identity();
    let envelope = identity.envelope(PeerMessage::Consensus {
        group: GroupId::default(),
        from: leader.me(),
        to: cluster.nodes[1].replica,
        message,
    });
    cluster.apply(1, NodeEvent::Peer(Box::new(envelope)));
    assert_eq!(group(&cluster, 1).last_position().index, last_index);
    publish_without_faults(&mut cluster);
}
