/*!
Errors of commands, with their messages and exit codes.
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

/// An error that ends a command.
#[derive(Debug, Diagnostic, Error)]
pub(crate) enum CommandError {
    /// The async runtime cannot be created.
    #[error("the runtime can't be created")]
    #[diagnostic(code(hemlockspool::runtime))]
    Runtime {
        /// The cause.
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
    /// The profile file cannot be read.
    #[error("{path}: the profile can't be read")]
    #[diagnostic(code(hemlockspool::options::profile))]
    UnreadableProfile {
        /// The path of the profile.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// The profile file is not valid JSON or has unknown fields.
    #[error("{path}: the profile is malformed")]
    #[diagnostic(code(hemlockspool::options::profile_form))]
    MalformedProfile {
        /// The path of the profile.
        path: PathBuf,
        /// The cause.
        #[source]
        source: serde_json::Error,
    },
    /// A folder or file cannot be read.
    #[error("{path}: the folder or file can't be read")]
    #[diagnostic(code(hemlockspool::folder::read))]
    Unreadable {
        /// The path of the folder or file.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// Declarations are malformed or declare an object twice.
    #[error("the declarations have {} error(s)\n  {}", errors.len(), lines(errors))]
    #[diagnostic(code(hemlockspool::folder::declarations))]
    InvalidDeclarations {
        /// The errors with their paths.
        errors: Vec<FileError>,
    },
    /// The set failed validation.
    #[error("the set has {} error(s)\n  {}", errors.len(), lines(errors))]
    #[diagnostic(code(hemlockspool::check))]
    InvalidSet {
        /// The errors of the set.
        errors: Vec<SetError>,
    },
    /// The base version isn't the current one, usually because another publication was committed
    /// since.
    #[error("the base version is outdated; changes up to version {current}\n  {}", lines(changed))]
    #[diagnostic(
        code(hemlockspool::publish::conflict),
        help("merge these changes into the folder and publish again")
    )]
    Conflict {
        /// The current version.
        current: ConfigVersion,
        /// The changes since the base version, one line per object.
        changed: Vec<String>,
    },
    /// The token is missing or unknown to the server.
    #[error("the token is missing or unknown to the server")]
    #[diagnostic(code(hemlockspool::unauthorised))]
    Unauthorised,
    /// No server gave a usable response or a definite outcome, or the HTTP client can't be created.
    #[error("no definite response from any server{}", last_error.as_ref().map_or(String::new(), |e| format!(": {e}")))]
    #[diagnostic(
        code(hemlockspool::unanswered),
        help("a change may still come into force; repeat a publication with the same --request")
    )]
    NoResponse {
        /// The latest error of a request, or of creating the HTTP client. `None` if there was none,
        /// or if it was printed before.
        last_error: Option<reqwest::Error>,
    },
    /// The version did not come into force at some entries in time.
    #[error("version {version} did not come into force in time at: {}", missing.join(", "))]
    #[diagnostic(code(hemlockspool::publish::wait))]
    NotInForce {
        /// The version.
        version: ConfigVersion,
        /// The entries at which the version is not in force, or that did not respond. Empty if no
        /// list of the entries at that version was available.
        missing: Vec<String>,
    },
    /// A change of the replicas was refused, reached no leader or did not complete in time.
    #[error("the change of the replicas was refused or has not completed: {response:?}")]
    #[diagnostic(code(hemlockspool::replica::refused))]
    ReplicaChange {
        /// The refusal. On a timeout, the last `Busy` or `NotKnown` response, or `NotLeader` if
        /// there was none. `Busy` if the new replica did not become a voter in time.
        response: ReplicaResponse,
    },
    /// A route table is malformed or failed validation.
    #[error("{path}: the table has {} error(s)\n  {}", errors.len(), lines(errors))]
    #[diagnostic(code(hemlockspool::table::faulty))]
    InvalidTable {
        /// The path of the table.
        path: PathBuf,
        /// The errors of the table.
        errors: Vec<TableError>,
    },
    /// A replica refused a request.
    #[error("refused with status {status}: {reason}")]
    #[diagnostic(
        code(hemlockspool::table::refused),
        help("on status 409 or 412, show the current table and publish on top of its version")
    )]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The body of the response.
        reason: String,
    },
    /// No drain has the given subject, or the set in force that a server returned declares an
    /// object twice.
    #[error("no such object")]
    #[diagnostic(code(hemlockspool::no_such_object))]
    NoSuchObject,
}

/// An error in a file of declarations, or a duplicate in a folder of them, with the path.
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
            | Self::UnreadableProfile { .. }
            | Self::MalformedProfile { .. }
            | Self::InvalidDeclarations { .. }
            | Self::Unreadable { .. }
            | Self::InvalidSet { .. }
            | Self::InvalidTable { .. }
            | Self::NoSuchObject => 2,
            Self::Conflict { .. } | Self::Refused { status: 409 | 412, .. } => 3,
            Self::NoResponse { .. } => 4,
            Self::Runtime { .. }
            | Self::Unauthorised
            | Self::NotInForce { .. }
            | Self::Refused { .. }
            | Self::ReplicaChange { .. } => 1,
        }
    }
}
