/*!
Why a command fails.
*/

use {
    hemlockspool_model::{
        api::ReplicaResponse, declaration::DeclarationError, names::ConfigVersion,
        table::TableError, validation::SetError,
    },
    miette::Diagnostic,
    std::{io, path::PathBuf},
    thiserror::Error,
};

/// Why a command fails.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum CommandError {
    /// No runtime.
    #[error("the runtime can't be made")]
    #[diagnostic(code(hemlockspool::runtime))]
    Runtime {
        /// Why.
        #[source]
        source: io::Error,
    },
    /// No servers are given.
    #[error("no servers are given")]
    #[diagnostic(
        code(hemlockspool::options::servers),
        help("use --server, HEMLOCKSPOOL_SERVERS or a profile file")
    )]
    NoServers,
    /// A profile can't be read.
    #[error("{path}: the profile can't be read")]
    #[diagnostic(code(hemlockspool::options::profile))]
    Profile {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// A profile isn't in the right form.
    #[error("{path}: the profile is malformed")]
    #[diagnostic(code(hemlockspool::options::profile_form))]
    ProfileForm {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: serde_json::Error,
    },
    /// A folder or file can't be read.
    #[error("{path}: can't be read")]
    #[diagnostic(code(hemlockspool::folder::read))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// Declarations can't be read.
    #[error("{} declaration(s) can't be taken in\n  {}", faults.len(), lines(faults))]
    #[diagnostic(code(hemlockspool::folder::declarations))]
    Declarations {
        /// Each file with its fault.
        faults: Vec<FileError>,
    },
    /// The set has faults.
    #[error("the set has {} fault(s)\n  {}", faults.len(), lines(faults))]
    #[diagnostic(code(hemlockspool::check))]
    Faulty {
        /// Each of them.
        faults: Vec<SetError>,
    },
    /// Another publication came first.
    #[error("version {current} came first and changed\n  {}", lines(changed))]
    #[diagnostic(
        code(hemlockspool::publish::conflict),
        help("look at what changed, bring it into the folder and publish again")
    )]
    Conflict {
        /// The version that stands.
        current: ConfigVersion,
        /// What it changed.
        changed: Vec<String>,
    },
    /// The token isn't known.
    #[error("the token is not known there")]
    #[diagnostic(code(hemlockspool::unauthorised))]
    Unauthorised,
    /// No entry answered, or not for certain.
    #[error("no certain answer from any server{}", last.as_ref().map_or(String::new(), |e| format!(": {e}")))]
    #[diagnostic(
        code(hemlockspool::unanswered),
        help("a publication may still come into force: repeat it with the same --request")
    )]
    Unanswered {
        /// What the last server's answer was.
        last: Option<reqwest::Error>,
    },
    /// The version isn't in force at some entries.
    #[error("version {version} is not in force in time at: {}", missing.join(", "))]
    #[diagnostic(code(hemlockspool::publish::wait))]
    NotInForce {
        /// The version.
        version: ConfigVersion,
        /// Entries that haven't got it.
        missing: Vec<String>,
    },
    /// A change of the replicas was refused.
    #[error("refused: {answer:?}")]
    #[diagnostic(code(hemlockspool::replica::refused))]
    Replica {
        /// The answer.
        answer: ReplicaResponse,
    },
    /// A route table has faults.
    #[error("{path}: the table has {} fault(s)\n  {}", faults.len(), lines(faults))]
    #[diagnostic(code(hemlockspool::table::faulty))]
    Table {
        /// The file.
        path: PathBuf,
        /// Each of them.
        faults: Vec<TableError>,
    },
    /// A replica refused an order.
    #[error("refused with status {status}: {reason}")]
    #[diagnostic(
        code(hemlockspool::table::refused),
        help("412 and 409: look at the table that stands and publish on top of its version")
    )]
    Order {
        /// The HTTP status.
        status: u16,
        /// What the replica says.
        reason: String,
    },
    /// Nothing of that name.
    #[error("no such object")]
    #[diagnostic(code(hemlockspool::no_such_object))]
    NoSuchObject,
}

/// A file with what is wrong in it.
#[derive(Debug, Error)]
#[error("{}: {error}", path.display())]
pub(crate) struct FileError {
    pub path: PathBuf,
    #[source]
    pub error: DeclarationError,
}

fn lines<T>(items: &[T]) -> String
where
    T: ToString,
{
    let lines: Vec<String> = items.iter().map(ToString::to_string).collect();
    lines.join("\n  ")
}

impl CommandError {
    /// Returns the exit code of the process.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::NoServers
            | Self::Profile { .. }
            | Self::ProfileForm { .. }
            | Self::Declarations { .. }
            | Self::Unreadable { .. }
            | Self::Faulty { .. }
            | Self::Table { .. }
            | Self::NoSuchObject => 2,
            Self::Conflict { .. } | Self::Order { status: 409 | 412, .. } => 3,
            Self::Unanswered { .. } => 4,
            Self::Runtime { .. }
            | Self::Unauthorised
            | Self::NotInForce { .. }
            | Self::Order { .. }
            | Self::Replica { .. } => 1,
        }
    }
}
