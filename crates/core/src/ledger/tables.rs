/*!
Route tables and evacuations, which operators publish for discovered targets.

A table is stored as the text that its operator sent, so that it reads back unchanged. The operator
also chooses its version, which must be higher than the current one; an optional compare-and-set on
the current version resolves races between operators. The digests of accepted tables are kept, so
that a retry is acknowledged even after a restart or a later table, while the same version with
different content is refused.
*/

use {
    hemlockspool_model::names::DomainName,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::collections::{BTreeMap, BTreeSet},
};

/// The maximum number of digests kept: more than three days of 1,200 table changes a day, the rate
/// that the capacity page plans for.
const DIGESTS_RETAINED: usize = 4_096;

/// The SHA-256 digest of the text of a table.
pub type TableDigest = [u8; 32];

/// A validated command of an operator about the route table or the evacuations.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TableCommand {
    /// Replaces the current table.
    Replace {
        /// The version that the table is based on, if the operator gave one.
        base: Option<u64>,
        /// The version of the table.
        version: u64,
        /// The text of the table.
        text: String,
    },
    /// Takes the targets of a failure domain out of use, or returns them to use, whatever has changed
    /// before. Replicas of earlier builds submit it.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
        /// Whether the evacuation begins; otherwise it ends.
        begins: bool,
    },
    /// Changes nothing; its position in the log confirms the state at that point.
    Confirm,
    /// Takes the targets of a failure domain out of use, or returns them to use, unless anything has
    /// changed since the state that it is based on. A command that is delayed on its way has no
    /// effect after a later one.
    EvacuateFrom {
        /// The number of changes that the command is based on.
        base: u64,
        /// The failure domain.
        domain: DomainName,
        /// Whether the evacuation begins; otherwise it ends.
        begins: bool,
    },
}

/// The outcome of a table command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TableOutcome {
    /// The command was applied, or its table was accepted before and may have been replaced since.
    Accepted {
        /// The number of changes so far, including that of the command if it made one.
        change: u64,
    },
    /// The base isn't the current version, or isn't the current number of changes.
    Conflict {
        /// The current version.
        current: u64,
    },
    /// The version isn't higher than the current one, and the table isn't one accepted before.
    Stale {
        /// The current version.
        current: u64,
    },
}

/// The current route table and the evacuated failure domains, both of which are sent to entries.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableStore {
    /// The number of changes to the table and the evacuations so far.
    pub(crate) change: u64,
    pub(crate) version: u64,
    pub(crate) text: String,
    pub(crate) evacuated: BTreeSet<DomainName>,
    digests: BTreeMap<u64, TableDigest>,
}

impl TableStore {
    /// Returns the number of changes to the table and the evacuations so far.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Returns the version of the current table; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the text of the current table, as the operator sent it.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the evacuated failure domains, whose targets are out of use.
    pub fn evacuated(&self) -> &BTreeSet<DomainName> {
        &self.evacuated
    }

    pub(crate) fn apply(&mut self, command: TableCommand) -> TableOutcome {
        match command {
            TableCommand::Replace { base, version, text } => self.replace(base, version, text),
            TableCommand::Evacuate { domain, begins } => self.evacuate(domain, begins),
            TableCommand::EvacuateFrom { base, .. } if base != self.change => {
                TableOutcome::Conflict { current: self.version }
            }
            TableCommand::EvacuateFrom { domain, begins, .. } => self.evacuate(domain, begins),
            TableCommand::Confirm => TableOutcome::Accepted { change: self.change },
        }
    }

    fn evacuate(&mut self, domain: DomainName, begins: bool) -> TableOutcome {
        let changed =
            if begins { self.evacuated.insert(domain) } else { self.evacuated.remove(&domain) };
        self.change += u64::from(changed);
        TableOutcome::Accepted { change: self.change }
    }

    fn replace(&mut self, base: Option<u64>, version: u64, text: String) -> TableOutcome {
        let current = self.version;
        let digest: TableDigest = Sha256::digest(text.as_bytes()).into();
        if self.digests.get(&version) == Some(&digest) {
            return TableOutcome::Accepted { change: self.change };
        }
        if base.is_some_and(|base| base != current) {
            return TableOutcome::Conflict { current };
        }
        if version <= current {
            return TableOutcome::Stale { current };
        }
        self.change += 1;
        self.version = version;
        self.text = text;
        self.digests.insert(version, digest);
        while self.digests.len() > DIGESTS_RETAINED {
            self.digests.pop_first();
        }
        TableOutcome::Accepted { change: self.change }
    }
}
