/*!
What the replicated log decides: publications, route tables, claims, tallies and the
audit trail.

A [`LedgerState`] is a deterministic machine. Every replica applies the same commands in the same
order, with the calendar of the leader that took them in, and comes to the same state and the same
answers. Every command is idempotent by what it carries (a request tag, a claim token, a source's
cumulative count), since a sender that loses an answer sends again.
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
