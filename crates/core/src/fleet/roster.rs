/*!
The roster: a versioned copy of the platform's list of targets.

One replica reads the platform's list and sends incremental updates to the other replicas, each of
which updates the entries that follow it. If the updates stop, other replicas and then entries read
the list too. Each version of the roster names the read that produced it. An instance whose version
is too old for an incremental update gets the whole list.

Two rules prevent an old list from replacing a newer one. First, a version identifies one read
permanently: a process never reuses a number, even if it has applied another process's list in
between. Second, a whole list is applied only if it was read no earlier than the list it replaces.
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

/// The number of updates retained for instances that are slightly behind: about 30 s at two changes
/// per second.
const UPDATES_RETAINED: usize = 64;

/// The properties of a target as reported by the platform.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TargetInfo {
    /// The service that the target runs.
    pub service: ServiceName,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// The failure domain that it belongs to.
    pub domain: DomainName,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is draining before a stop.
    pub draining: bool,
    /// The remaining warm-up time when this cold start was first read, in milliseconds; 0 when
    /// warm.
    pub cold_ms: u64,
}

/// The targets by name.
pub type TargetList = BTreeMap<TargetName, TargetInfo>;

/// A version of the roster: the process that read the list and a number unique within that process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct RosterVersion {
    /// The incarnation of the process that read the list.
    pub reader: u64,
    /// A number that the process assigns at most once.
    pub number: u64,
}

/// A difference between two versions of the roster, or a whole list.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RosterUpdate {
    /// The version that the update applies to; none for a whole list.
    pub from: Option<RosterVersion>,
    /// The version after the update.
    pub to: RosterVersion,
    /// The new or changed targets.
    pub put: TargetList,
    /// The removed targets.
    pub gone: Vec<TargetName>,
    /// The time since the list was last read, in milliseconds.
    pub age_ms: u64,
}

/// The current list of targets with its most recent updates.
#[derive(Clone, Debug, Default)]
pub struct TargetRoster {
    version: RosterVersion,
    targets: TargetList,
    updates: VecDeque<RosterUpdate>,
    read_at: Option<Moment>,
    /// The highest version number seen so far, including those of other processes.
    highest_number: u64,
}

impl TargetRoster {
    /// Returns the version of the list.
    pub fn version(&self) -> RosterVersion {
        self.version
    }

    /// Returns the targets.
    pub fn targets(&self) -> &TargetList {
        &self.targets
    }

    /// Returns the time since the list was last read; none before the first read.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.read_at.map(|at| now.since(at))
    }

    /// Records a list that this process has read. Returns whether the roster changed.
    pub fn record_read(&mut self, reader: u64, mut list: TargetList, now: Moment) -> bool {
        self.read_at = Some(now);
        for (name, info) in &mut list {
            // The warm-up time decreases with every read; only a new cold start or its end is a
            // change.
            if let Some(old) = self.targets.get(name)
                && info.cold_ms <= old.cold_ms
                && info.cold_ms > 0
            {
                info.cold_ms = old.cold_ms;
            }
        }
        let put: TargetList = (list.iter())
            .filter(|(name, info)| self.targets.get(*name) != Some(*info))
            .map(|(name, info)| (name.clone(), info.clone()))
            .collect();
        let gone: Vec<TargetName> =
            self.targets.keys().filter(|name| !list.contains_key(*name)).cloned().collect();
        if put.is_empty() && gone.is_empty() && self.version != RosterVersion::default() {
            return false;
        }
        let to = RosterVersion { reader, number: self.highest_number + 1 };
        let update = RosterUpdate { from: Some(self.version), to, put, gone, age_ms: 0 };
        self.append(update);
        true
    }

    /// Applies an update from another instance. Returns whether the version changed.
    ///
    /// An incremental update for a different version is dropped, and so is a whole list that was
    /// read before the current one.
    pub fn apply(&mut self, update: RosterUpdate, now: Moment) -> bool {
        let read_at = Moment(now.0.saturating_sub(update.age_ms * 1_000));
        if update.to == self.version {
            self.read_at = self.read_at.max(Some(read_at));
            return false;
        }
        if update.from == Some(self.version) {
            self.read_at = Some(read_at);
            self.append(update);
            return true;
        }
        if update.from.is_none() && self.read_at.is_none_or(|current| current <= read_at) {
            self.read_at = Some(read_at);
            self.version = update.to;
            self.highest_number = self.highest_number.max(update.to.number);
            self.targets = update.put;
            self.updates.clear();
            return true;
        }
        false
    }

    /// Records that the current version was still up to date `age_ms` before `now`; ignores other
    /// versions.
    pub fn refresh(&mut self, version: RosterVersion, age_ms: u64, now: Moment) {
        if version == self.version {
            let read_at = Moment(now.0.saturating_sub(age_ms * 1_000));
            self.read_at = self.read_at.max(Some(read_at));
        }
    }

    /// Returns whether an incremental update from a version to the current one is available.
    pub fn has_history_since(&self, version: RosterVersion) -> bool {
        self.updates.iter().any(|update| update.from == Some(version))
    }

    /// Returns an update from a version to the current one: incremental if the history reaches back
    /// far enough, otherwise the whole list. Returns none if the versions are equal or nothing was
    /// read yet.
    pub fn update_since(&self, version: RosterVersion, now: Moment) -> Option<RosterUpdate> {
        if version == self.version || self.version == RosterVersion::default() {
            return None;
        }
        let age_ms = self.age(now).unwrap_or_default().as_millis() as u64;
        let first = self.updates.iter().position(|update| update.from == Some(version));
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
        for later in self.updates.iter().skip(first) {
            for name in &later.gone {
                update.put.remove(name);
                update.gone.push(name.clone());
            }
            for (name, info) in &later.put {
                update.gone.retain(|gone| gone != name);
                update.put.insert(name.clone(), info.clone());
            }
        }
        Some(update)
    }

    fn append(&mut self, update: RosterUpdate) {
        self.version = update.to;
        self.highest_number = self.highest_number.max(update.to.number);
        for name in &update.gone {
            self.targets.remove(name);
        }
        self.targets.extend(update.put.clone());
        self.updates.push_back(update);
        if self.updates.len() > UPDATES_RETAINED {
            self.updates.pop_front();
        }
    }
}
