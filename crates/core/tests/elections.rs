//! Elections after lost disks and after restarts of all replicas.

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

/// One-way delay of a message, in milliseconds.
const MESSAGE_DELAY_MS: u64 = 35;
/// Platform's time limit for recovery minus the time for restarts, in milliseconds.
const ELECTION_TIME_MAX_MS: u64 = 5_000;

/// Returns the moment `millis` milliseconds after the start of a test.
fn at(millis: u64) -> Moment {
    Moment(60_000_000 + millis * 1_000)
}

fn peer(id: u64) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, id as u8], 1))
}

/// Returns one of five voters whose log ends at an index.
fn replica(id: u64, last_index: u64, seed: u64) -> ConsensusGroup {
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
        entries: (101..=last_index).map(entry).collect(),
    };
    ConsensusGroup::restore(
        ReplicaId(id),
        restored,
        at(0),
        rand_pcg::Pcg32::seed_from_u64(seed + id),
    )
}

/// Runs replicas until one leads; returns its id and the elapsed time in milliseconds. Returns none
/// if no replica leads in time.
fn elect(groups: BTreeMap<u64, ConsensusGroup>) -> Option<(u64, u64)> {
    let (groups, millis) = run_until(groups, |_, _| {}, |groups| leader_of(groups).is_some())?;
    Some((leader_of(&groups)?, millis))
}

/// Returns the id of a leader, if there is one.
fn leader_of(groups: &BTreeMap<u64, ConsensusGroup>) -> Option<u64> {
    groups.iter().find(|(_, group)| group.is_leader()).map(|(id, _)| *id)
}

/// Runs replicas until a condition holds, and calls a function at each step. Returns the replicas
/// and the elapsed time in milliseconds; none if the condition doesn't hold in time.
fn run_until<F, C>(
    mut groups: BTreeMap<u64, ConsensusGroup>,
    mut each_step: F,
    condition: C,
) -> Option<(BTreeMap<u64, ConsensusGroup>, u64)>
where
    F: FnMut(&mut BTreeMap<u64, ConsensusGroup>, u64),
    C: Fn(&BTreeMap<u64, ConsensusGroup>) -> bool,
{
    // Time of delivery in milliseconds, sender, receiver, message.
    let mut in_transit: Vec<(u64, u64, u64, ConsensusMessage)> = Vec::new();
    for millis in (0..ELECTION_TIME_MAX_MS).step_by(5) {
        let due = in_transit.extract_if(.., |(due_ms, ..)| *due_ms <= millis).collect::<Vec<_>>();
        let mut effects: Vec<(u64, ConsensusEffect)> = Vec::new();
        each_step(&mut groups, millis);
        for (_, from, to, message) in due {
            if let Some(group) = groups.get_mut(&to) {
                let new_effects = group.receive(ReplicaId(from), peer(from), message, at(millis));
                effects.extend(new_effects.into_iter().map(|effect| (to, effect)));
            }
        }
        for (id, group) in &mut groups {
            effects.extend(group.tick(at(millis)).into_iter().map(|effect| (*id, effect)));
        }
        while let Some((id, effect)) = effects.pop() {
            match effect {
                ConsensusEffect::Send { to, message, .. } => {
                    in_transit.push((millis + MESSAGE_DELAY_MS, id, to.0, message));
                }
                ConsensusEffect::Persist { ticket, .. } => {
                    let new_effects = groups.get_mut(&id).unwrap().persisted(ticket, at(millis));
                    effects.extend(new_effects.into_iter().map(|effect| (id, effect)));
                }
                _ => {}
            }
        }
        if condition(&groups) {
            return Some((groups, millis));
        }
    }
    None
}

/// Guards against a group that elects no leader in time when only one replica can win.
#[test]
fn election_longest_log_wins() {
    // All processes are restarted, and two of five disks are lost. The three remaining replicas
    // must all vote for the same one, so only the one with the longest log can win.
    for seed in 0..200 {
        let groups = [(1, 103), (2, 102), (3, 102)];
        let groups = groups.map(|(id, last)| (id, replica(id, last, 1_000 * seed)));
        let elected = elect(BTreeMap::from(groups));
        assert!(matches!(elected, Some((1, _))), "{elected:?} with seed {seed}");
    }
}

/// Starts five replicas at the given times and measures the time from the start of the third, with
/// which they are a majority, until one leads. Returns the mean and the maximum over all seeds, in
/// milliseconds. Messages to replicas that haven't started are lost.
fn election_times(starts_ms: [u64; 5]) -> (u64, u64) {
    const SEEDS: u64 = 200;
    let (mut sum, mut maximum) = (0, 0);
    for seed in 0..SEEDS {
        let start_replicas = |groups: &mut BTreeMap<u64, ConsensusGroup>, millis| {
            for (id, start_ms) in (1..).zip(starts_ms) {
                if start_ms == millis {
                    let mut group = replica(id, 101, 1_000 * seed);
                    group.allow_early_election(at(millis));
                    groups.insert(id, group);
                }
            }
        };
        let elected =
            run_until(BTreeMap::new(), start_replicas, |groups| leader_of(groups).is_some());
        let elapsed = elected.unwrap().1 - starts_ms[2];
        sum += elapsed;
        maximum = maximum.max(elapsed);
    }
    (sum / SEEDS, maximum)
}

/// Guards against a slow election when all replicas have lost power and start one after the other.
#[test]
fn election_after_power_loss() {
    // An election takes a random delay and two round trips between far regions.
    let (mean, maximum) = election_times([0, 100, 300, 350, 400]);
    assert!(mean <= 250 && maximum <= 500, "mean {mean} ms, maximum {maximum} ms");
}

/// Guards against a slow election when all replicas start within a few milliseconds, and several
/// may ask for votes at once.
#[test]
fn election_simultaneous_starts() {
    let (mean, maximum) = election_times([0, 0, 5, 5, 10]);
    assert!(mean <= 260 && maximum <= 600, "mean {mean} ms, maximum {maximum} ms");
}

/// Guards against replicas that learn only from a later heartbeat that a new leader's first entry
/// is committed.
#[test]
fn election_first_commit_reaches_all() {
    // The entries of a new leader's log are committed everywhere once its first entry has been
    // copied to a majority and all replicas know that: three one-way delays, and a step of 5 ms for
    // each.
    const COMMIT_TIME_MAX_MS: u64 = 3 * (MESSAGE_DELAY_MS + 5);
    const LAST_INDEX: u64 = 101;
    for seed in 0..50 {
        let groups = (1..=5).map(|id| (id, replica(id, LAST_INDEX, 1_000 * seed))).collect();
        let mut elected_at_ms = None;
        let record_leader = |groups: &mut BTreeMap<u64, ConsensusGroup>, millis| {
            elected_at_ms = elected_at_ms.or(leader_of(groups).map(|_| millis));
        };
        let all_committed = |groups: &BTreeMap<u64, ConsensusGroup>| {
            groups.values().all(|group| group.commit_index() > LAST_INDEX)
        };
        let (_, millis) = run_until(groups, record_leader, all_committed).unwrap();
        let elapsed = millis - elected_at_ms.unwrap();
        assert!(elapsed <= COMMIT_TIME_MAX_MS, "{elapsed} ms with seed {seed}");
    }
}
