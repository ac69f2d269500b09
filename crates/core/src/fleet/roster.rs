/*!
The list of targets, as the platform tells it.

One replica reads the list; everybody else gets what changed. A list carries the mark of the reading
that it comes from, and a holder that lacks the reading before gets the whole list.

Two rules keep holders from taking an old list for a new one. A mark names one reading for good: a
process never gives a number twice, also when it takes over a list of another in between. And a whole
list counts only if it was read no earlier than the one that is held.
*/

use {
    crate::clock::Moment,
    hemlockspool_model::names::{DomainName, ServiceName, TargetName},
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, VecDeque},
        net::SocketAddr,
        time::Duration,
    },
};

/// Changes kept for holders that are a little behind: 30 s of one reading each half second.
const STEPS_KEPT: usize = 64;

/// What the platform says of a target.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetInfo {
    /// The service that it runs.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is about to stop.
    pub draining: bool,
    /// For how much longer it was cold when that was first seen, in milliseconds.
    pub cold_ms: u64,
}

/// The list, by name.
pub type TargetList = BTreeMap<TargetName, TargetInfo>;

/// Names a reading: the process that read, and its count.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RosterVersion {
    /// The life of the process.
    pub reader: u64,
    /// A number that the process gives once.
    pub number: u64,
}

/// What leads from one reading to another; from none, the whole list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterUpdate {
    /// The reading that it starts from; none for a whole list.
    pub from: Option<RosterVersion>,
    /// The reading that it leads to.
    pub to: RosterVersion,
    /// Targets that are new or changed.
    pub put: TargetList,
    /// Targets that are gone.
    pub gone: Vec<TargetName>,
    /// The age of the reading, in milliseconds.
    pub age_ms: u64,
}

/// The list with the changes that led to it.
#[derive(Clone, Debug, Default)]
pub struct TargetRoster {
    version: RosterVersion,
    targets: TargetList,
    steps: VecDeque<RosterUpdate>,
    read_at: Option<Moment>,
    /// The highest number that this book has held.
    highest: u64,
}

impl TargetRoster {
    /// Returns the reading that the list comes from.
    pub fn version(&self) -> RosterVersion {
        self.version
    }

    /// Returns the targets.
    pub fn targets(&self) -> &TargetList {
        &self.targets
    }

    /// Returns the age of the last reading; none before the first.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Takes in a reading of this process's own; tells whether it changed the list.
    pub fn record_read(&mut self, reader: u64, mut list: TargetList, now: Moment) -> bool {
        self.read_at = Some(now);
        for (name, fact) in &mut list {
            // Cold time runs down by itself; only a new cold start is a change.
            if let Some(old) = self.targets.get(name)
                && fact.cold_ms <= old.cold_ms
                && fact.cold_ms > 0
            {
                fact.cold_ms = old.cold_ms;
            }
        }
        let put: TargetList = (list.iter())
            .filter(|(name, fact)| self.targets.get(*name) != Some(*fact))
            .map(|(name, fact)| (name.clone(), fact.clone()))
            .collect();
        let gone: Vec<TargetName> =
            self.targets.keys().filter(|name| !list.contains_key(*name)).cloned().collect();
        if put.is_empty() && gone.is_empty() && self.version != RosterVersion::default() {
            return false;
        }
        let to = RosterVersion { reader, number: self.highest + 1 };
        let step = RosterUpdate { from: Some(self.version), to, put, gone, age_ms: 0 };
        self.step(step);
        true
    }

    /// Takes in an update; tells whether it changed the list. One that starts elsewhere is dropped,
    /// and so is a whole list that was read before the one that is held.
    pub fn apply(&mut self, update: RosterUpdate, now: Moment) -> bool {
        let read_at = Moment(now.0.saturating_sub(update.age_ms * 1_000));
        if update.to == self.version {
            self.read_at = self.read_at.max(Some(read_at));
            return false;
        }
        if update.from == Some(self.version) {
            self.read_at = Some(read_at);
            self.step(update);
            return true;
        }
        if update.from.is_none() && self.read_at.is_none_or(|held| held <= read_at) {
            self.read_at = Some(read_at);
            self.version = update.to;
            self.highest = self.highest.max(update.to.number);
            self.targets = update.put;
            self.steps.clear();
            return true;
        }
        false
    }

    /// Notes that the reading that is held still stood some time ago.
    pub fn refresh(&mut self, version: RosterVersion, age_ms: u64, now: Moment) {
        if version == self.version {
            let read_at = Moment(now.0.saturating_sub(age_ms * 1_000));
            self.read_at = self.read_at.max(Some(read_at));
        }
    }

    /// Tells whether the changes that led here from a reading are kept.
    pub fn has_history_since(&self, version: RosterVersion) -> bool {
        self.steps.iter().any(|step| step.from == Some(version))
    }

    /// Returns what leads from a reading to this one; none when the holder has it.
    pub fn update_since(&self, version: RosterVersion, now: Moment) -> Option<RosterUpdate> {
        if version == self.version || self.version == RosterVersion::default() {
            return None;
        }
        let age_ms = self.age(now).unwrap_or_default().as_millis() as u64;
        let first = self.steps.iter().position(|step| step.from == Some(version));
        let Some(first) = first else {
            let put = self.targets.clone();
            return Some(RosterUpdate {
                from: None,
                to: self.version,
                put,
                gone: Vec::new(),
                age_ms,
            });
        };
        let mut update =
            RosterUpdate { from: Some(version), to: self.version, age_ms, ..Default::default() };
        for step in self.steps.iter().skip(first) {
            for name in &step.gone {
                update.put.remove(name);
                update.gone.push(name.clone());
            }
            for (name, fact) in &step.put {
                update.gone.retain(|gone| gone != name);
                update.put.insert(name.clone(), fact.clone());
            }
        }
        Some(update)
    }

    fn step(&mut self, step: RosterUpdate) {
        self.version = step.to;
        self.highest = self.highest.max(step.to.number);
        for name in &step.gone {
            self.targets.remove(name);
        }
        self.targets.extend(step.put.clone());
        self.steps.push_back(step);
        if self.steps.len() > STEPS_KEPT {
            self.steps.pop_front();
        }
    }
}
