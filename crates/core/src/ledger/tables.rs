/*!
Route tables and evacuations: what operators of discovered targets publish.

A table is kept as the text that its operator sent, so that it reads back unchanged. Its operator
also chooses its version; a compare-and-set on the version that stands orders operators that race.
Digests of accepted tables are kept, so that a resend is acknowledged again after any restart, and
the same version with other content is refused.
*/

use {
    hemlockspool_model::names::DomainName,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::collections::{BTreeMap, BTreeSet},
};

/// Accepted versions whose digests are kept: over three days of the 1,200 changes a day that the
/// capacity page builds towards.
const DIGESTS_RETAINED: usize = 4_096;

/// The digest of a table's text.
pub type TableDigest = [u8; 32];

/// An operator's order, as a replica that checked it passes it on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TableCommand {
    /// Puts a table in place of the one that stands.
    Replace {
        /// The version that the table was made from; none when the operator named none.
        base: Option<u64>,
        /// The version of the table.
        version: u64,
        /// The table.
        text: String,
    },
    /// Takes the targets of a failure domain out of use, or gives them back.
    Evacuate {
        /// The failure domain.
        domain: DomainName,
        /// Whether the evacuation begins.
        begins: bool,
    },
    /// Changes nothing; its place in the log proves what stands at that point.
    Confirm,
}

/// What an order came to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TableOutcome {
    /// It stands, or stood before.
    Accepted {
        /// The change in force after it.
        change: u64,
    },
    /// Another version stands.
    Conflict {
        /// That version.
        current: u64,
    },
    /// The version isn't above the one that stands, or was accepted with other content.
    Stale {
        /// The version that stands.
        current: u64,
    },
}

/// Everything that is published: what entries need.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TableStore {
    /// Counts changes of anything here.
    pub(crate) change: u64,
    pub(crate) version: u64,
    pub(crate) text: String,
    pub(crate) evacuated: BTreeSet<DomainName>,
    digests: BTreeMap<u64, TableDigest>,
}

impl TableStore {
    /// Returns the count of changes.
    pub fn change(&self) -> u64 {
        self.change
    }

    /// Returns the version that stands; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the table that stands, as it was sent.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Returns the failure domains whose targets are out of use.
    pub fn evacuated(&self) -> &BTreeSet<DomainName> {
        &self.evacuated
    }

    pub(crate) fn apply(&mut self, order: TableCommand) -> TableOutcome {
        match order {
            TableCommand::Replace { base, version, text } => self.replace(base, version, text),
            TableCommand::Evacuate { domain, begins } => {
                let changed = if begins {
                    self.evacuated.insert(domain)
                } else {
                    self.evacuated.remove(&domain)
                };
                self.change += u64::from(changed);
                TableOutcome::Accepted { change: self.change }
            }
            TableCommand::Confirm => TableOutcome::Accepted { change: self.change },
        }
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
