//! Seeded interleavings of a few reducers: messages lost, doubled, late and reordered; crashes between
//! any two effects with writes that did or didn't reach the disk; lost disks; standstills; one-way cuts.

mod common;

use {
    common::{TestFaults, TestNet, form, set_of},
    hemlockspool_model::{api::PublishOutcome, names::ConfigVersion},
};

const STEPS: usize = 2_400;
/// The bound of the brief's letter.
const IN_FORCE_SECONDS: u64 = 7;
const SEEDS: [u64; 8] = [1, 2, 3, 5, 8, 13, 21, 34];

fn version_at(net: &TestNet, index: usize) -> ConfigVersion {
    let state = net.nodes[index].state.as_ref();
    state.and_then(|state| state.config().version()).unwrap_or_default()
}

/// Publishes now and then, some of it twice or from an old base, while faults go on.
fn run(count: usize, seed: u64, faults: TestFaults) -> TestNet {
    let mut net = TestNet::new(count, seed, faults);
    form(&mut net);
    let mut sent: Vec<(String, ConfigVersion, Vec<String>)> = Vec::new();
    for step in 0..STEPS {
        net.step();
        if net.random(12) != 0 {
            continue;
        }
        let index = net.random(count as u32) as usize;
        let again = net.random(4) == 0 && !sent.is_empty();
        let (tag, base, regions) = if again {
            let pick = net.random(sent.len() as u32) as usize;
            sent[pick].clone()
        } else {
            let regions = vec![format!("r{step}"), "kept".to_owned()];
            (format!("tag-{step}"), version_at(&net, index), regions)
        };
        net.publish(index, &tag, base, set_of(&regions));
        sent.push((tag, base, regions));
    }
    settle(&mut net);
    publish_calm(&mut net);
    net
}

/// Lets everything calm down and checks that the nodes come to agree.
fn settle(net: &mut TestNet) {
    let agreed = net.calm_until(60, |net| {
        let Some(leader) = net.leader() else { return false };
        let want = version_at(net, leader);
        let full = net.nodes[leader].state.as_ref().unwrap().replica().unwrap().group();
        let voters = full.members().values().filter(|member| member.voter).count();
        let answered = net
            .nodes
            .iter()
            .all(|node| node.state.as_ref().is_some_and(|state| state.submits_pending() == 0));
        answered
            && want > ConfigVersion::default()
            && voters == net.nodes.len()
            && (0..net.nodes.len()).all(|index| version_at(net, index) == want)
    });
    assert!(agreed, "the nodes agree again: {}", net.describe());
    net.check_answers();
    let accepted = net.answers.values().filter(|a| matches!(a, PublishOutcome::Accepted { .. }));
    assert!(accepted.count() >= 3, "some publications got through the faults");
}

/// Publishes once more, without faults, and checks that it is in force everywhere in time.
fn publish_calm(net: &mut TestNet) {
    let before = version_at(net, 0);
    net.publish(0, "calm", before, set_of(&["calm".to_owned()]));
    let everywhere =
        |net: &TestNet| (0..net.nodes.len()).all(|index| version_at(net, index) == before.next());
    assert!(
        net.calm_until(IN_FORCE_SECONDS, everywhere),
        "in force in time: {:?} {}",
        net.answers.last_key_value(),
        net.describe()
    );
}

#[test]
fn interleavings_lossy_network() {
    let faults = TestFaults { lose: 10, double: 5, crash: 0, wipe: 0, freeze: 0, cut: 2 };
    for seed in SEEDS {
        run(3, seed, faults);
    }
}

#[test]
fn interleavings_crashes() {
    let faults = TestFaults { lose: 3, double: 3, crash: 6, wipe: 0, freeze: 3, cut: 0 };
    for seed in SEEDS {
        run(3, seed, faults);
    }
}

#[test]
fn interleavings_five_nodes_everything() {
    let faults = TestFaults { lose: 5, double: 5, crash: 4, wipe: 0, freeze: 3, cut: 2 };
    for seed in SEEDS {
        run(5, seed, faults);
    }
}

#[test]
fn interleavings_lost_disks() {
    let faults = TestFaults { lose: 2, double: 2, crash: 2, wipe: 2, freeze: 0, cut: 0 };
    for seed in SEEDS {
        run(5, seed, faults);
    }
}
