//! Elections among replicas of which some have lost their disks.

use {
    hemlockspool_core::{
        clock::Moment,
        consensus::{
            ConsensusEffect, ConsensusGroup, ConsensusMessage, HardState, LogEntry, LogPayload,
            LogPosition, MemberSet, ReplicaId, ReplicaMember, RestoredLog, SnapshotImage,
            SnapshotMeta,
        },
    },
    rand::SeedableRng,
    std::{collections::BTreeMap, net::SocketAddr},
};

/// The time that a message takes, in milliseconds.
const DELAY_MS: u64 = 35;
/// The platform's bound on recovery, in milliseconds, without what restarts take of it.
const ELECTED_MS: u64 = 5_000;

fn at(millis: u64) -> Moment {
    Moment(60_000_000 + millis * 1_000)
}

fn peer(id: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, id as u8], 1))
}

/// Returns a replica of five voters whose log ends at an index.
fn replica(id: u64, last: u64, seed: u64) -> ConsensusGroup {
    let member = |id: u64| {
        let name = format!("n{id}").as_str().into();
        (ReplicaId(id), ReplicaMember { name, peer: peer(id), voter: true })
    };
    let members: MemberSet = (1..=5).map(member).collect();
    let base = LogPosition { term: 3, index: 100 };
    let image = SnapshotImage { meta: SnapshotMeta { last: base, members }, bytes: Vec::new() };
    let entry =
        |index| LogEntry { position: LogPosition { term: 3, index }, payload: LogPayload::Noop };
    let restored = RestoredLog {
        hard: HardState { term: 3, voted_for: None, commit: 100 },
        image,
        base,
        entries: (101..=last).map(entry).collect(),
    };
    ConsensusGroup::restore(
        ReplicaId(id),
        restored,
        at(0),
        rand_pcg::Pcg32::seed_from_u64(seed + id),
    )
}

/// Lets replicas talk until one leads; returns it with the time that it took.
fn elect(groups: BTreeMap<u64, ConsensusGroup>) -> Option<(u64, u64)> {
    let (groups, millis) = run_until(groups, |_, _| {}, |groups| leader_of(groups).is_some())?;
    Some((leader_of(&groups)?, millis))
}

fn leader_of(groups: &BTreeMap<u64, ConsensusGroup>) -> Option<u64> {
    groups.iter().find(|(_, group)| group.is_leader()).map(|(id, _)| *id)
}

/// Lets replicas talk until something holds, and does something to them at each step; returns them with
/// the time that it took.
fn run_until<F, D>(
    mut groups: BTreeMap<u64, ConsensusGroup>,
    mut each_step: F,
    done: D,
) -> Option<(BTreeMap<u64, ConsensusGroup>, u64)>
where
    F: FnMut(&mut BTreeMap<u64, ConsensusGroup>, u64),
    D: Fn(&BTreeMap<u64, ConsensusGroup>) -> bool,
{
    let mut sent: Vec<(u64, u64, u64, ConsensusMessage)> = Vec::new();
    for millis in (0..ELECTED_MS).step_by(5) {
        let due = sent.extract_if(.., |(when, ..)| *when <= millis).collect::<Vec<_>>();
        let mut effects: Vec<(u64, ConsensusEffect)> = Vec::new();
        each_step(&mut groups, millis);
        for (_, from, to, message) in due {
            if let Some(group) = groups.get_mut(&to) {
                let out = group.receive(ReplicaId(from), peer(from), message, at(millis));
                effects.extend(out.into_iter().map(|effect| (to, effect)));
            }
        }
        for (id, group) in &mut groups {
            effects.extend(group.tick(at(millis)).into_iter().map(|effect| (*id, effect)));
        }
        while let Some((id, effect)) = effects.pop() {
            match effect {
                ConsensusEffect::Send { to, message, .. } => {
                    sent.push((millis + DELAY_MS, id, to.0, message));
                }
                ConsensusEffect::Persist { ticket, .. } => {
                    let out = groups.get_mut(&id).unwrap().persisted(ticket, at(millis));
                    effects.extend(out.into_iter().map(|effect| (id, effect)));
                }
                _ => {}
            }
        }
        if done(&groups) {
            return Some((groups, millis));
        }
    }
    None
}

#[test]
fn election_only_one_can_win() {
    // Two of five disks are lost with all processes. All three others must vote, and only the one with
    // the longest log can win.
    for seed in 0..200 {
        let groups = [(1, 103), (2, 102), (3, 102)];
        let groups = groups.map(|(id, last)| (id, replica(id, last, 1_000 * seed)));
        let elected = elect(BTreeMap::from(groups));
        assert!(matches!(elected, Some((1, _))), "{elected:?} with seed {seed}");
    }
}

/// Returns the mean and the highest time until a leader is there, from when a majority of five is up, in
/// milliseconds. What the first ones ask of those that are still down is lost.
fn election_times(starts_ms: [u64; 5]) -> (u64, u64) {
    const SEEDS: u64 = 200;
    let (mut sum, mut most) = (0, 0);
    for seed in 0..SEEDS {
        let start = |groups: &mut BTreeMap<u64, ConsensusGroup>, millis| {
            for (id, start) in (1..).zip(starts_ms) {
                if start == millis {
                    let mut group = replica(id, 101, 1_000 * seed);
                    group.allow_early_election(at(millis));
                    groups.insert(id, group);
                }
            }
        };
        let elected = run_until(BTreeMap::new(), start, |groups| leader_of(groups).is_some());
        let took = elected.unwrap().1 - starts_ms[2];
        sum += took;
        most = most.max(took);
    }
    (sum / SEEDS, most)
}

#[test]
fn election_after_all_lost_power() {
    // A wait and two far round trips.
    let (mean, most) = election_times([0, 100, 300, 350, 400]);
    assert!(mean <= 250 && most <= 500, "{mean} ms in the mean, {most} ms at most");
}

#[test]
fn election_all_start_at_once() {
    let (mean, most) = election_times([0, 0, 5, 5, 10]);
    assert!(mean <= 260 && most <= 600, "{mean} ms in the mean, {most} ms at most");
}

#[test]
fn election_first_commit_is_told() {
    // What a new leader finds is in force once its first entry has been copied to a majority and all
    // know that: three one-way trips, and a step of 5 ms for each.
    const TOLD_MS: u64 = 3 * (DELAY_MS + 5);
    const LAST: u64 = 101;
    for seed in 0..50 {
        let groups = (1..=5).map(|id| (id, replica(id, LAST, 1_000 * seed))).collect();
        let mut led = None;
        let note = |groups: &mut BTreeMap<u64, ConsensusGroup>, millis| {
            led = led.or(leader_of(groups).map(|_| millis));
        };
        let all_know = |groups: &BTreeMap<u64, ConsensusGroup>| {
            groups.values().all(|group| group.commit_index() > LAST)
        };
        let (_, millis) = run_until(groups, note, all_know).unwrap();
        let took = millis - led.unwrap();
        assert!(took <= TOLD_MS, "{took} ms with seed {seed}");
    }
}
