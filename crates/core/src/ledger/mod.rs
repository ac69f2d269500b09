/*!
The replicated state machine: publications, route tables, evacuations, claims, tallies and the audit
trail.

A [`LedgerState`] is deterministic. Every replica applies the same commands in the same order, with
the wall-clock time of the leader that accepted them, and arrives at the same state and the same
outcomes. A sender that loses a reply sends the command again, so commands are idempotent through
their content (a request tag, a claim token, the cumulative count of a source, the version and
digest of a table, the domain of an evacuation). The exceptions are [`LedgerCommand::Unauthorised`],
[`LedgerCommand::Replicas`] and a route table that is refused, which add an audit record each time.
*/

pub mod audit;
pub mod claims;
pub mod publication;
pub mod state;
pub mod tables;
pub mod tallies;

pub use {
    claims::{ClaimCommand, ClaimKey, ClaimOutcome, ClaimToken, StoredResponse},
    publication::{PublishCommand, VersionStep},
    state::{LedgerCommand, LedgerError, LedgerOutcome, LedgerState},
    tables::{TableCommand, TableOutcome, TableStore},
    tallies::{TallyCount, TallyKey, TallyReport, TallySource},
};
