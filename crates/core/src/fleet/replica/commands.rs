/*!
Operators' calls at a replica: commands and reads of the table, both of which go through the
leader's log.
*/

use {
    super::ReplicaState,
    crate::{
        clock::Moment,
        effect::{NodeEffect, OperatorReply, ReplyTicket},
        ledger::{LedgerCommand, LedgerOutcome, TableCommand, TableOutcome},
        submit::{CommandPurpose, CompletedCommand},
    },
    std::time::Duration,
};

/// The time after which an operator gets the reply that a command's outcome is unknown. Operators'
/// clients try another replica after one second. A read that was confirmed waits up to this time
/// again for its change.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(950);

impl ReplicaState {
    /// Submits the confirmation that a read of the table waits for.
    pub(super) fn read_table(&mut self, ticket: ReplyTicket, now: Moment) -> Vec<NodeEffect> {
        self.unconfirmed_reads.insert(ticket);
        self.submit_command(ticket, TableCommand::Confirm, now)
    }

    /// Submits an operator's command to the leader.
    pub(super) fn submit_command(
        &mut self,
        ticket: ReplyTicket,
        command: TableCommand,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let peers = self.command_peers();
        let command = LedgerCommand::Table(command);
        let purpose = CommandPurpose::Operator(ticket);
        self.submitter.submit(command, purpose, COMMAND_TIMEOUT, &peers, now)
    }

    /// Replies to the operator of a completed command. A read waits until this replica has applied
    /// its change.
    pub(super) fn handle_completed_command(
        &mut self,
        command: CompletedCommand,
    ) -> Vec<NodeEffect> {
        let CommandPurpose::Operator(ticket) = command.purpose else {
            return Vec::new();
        };
        let is_read = self.unconfirmed_reads.remove(&ticket);
        let reply = match command.outcome {
            Some(LedgerOutcome::Tabled(TableOutcome::Accepted { change })) if is_read => {
                self.confirmed_reads.insert(ticket, change);
                return Vec::new();
            }
            Some(LedgerOutcome::Tabled(outcome)) => OperatorReply::Table(outcome),
            _ => OperatorReply::OutcomeUnknown,
        };
        vec![NodeEffect::Reply { ticket, reply }]
    }

    /// Replies to the confirmed reads whose change this replica has applied, and to those that have
    /// timed out.
    pub(super) fn reply_to_reads(&mut self, effects: &mut Vec<NodeEffect>, now: Moment) {
        let tables = self.replica.ledger().tables();
        for (ticket, change) in std::mem::take(&mut self.confirmed_reads) {
            let deadline = *self.read_deadlines.entry(ticket).or_insert(now.after(COMMAND_TIMEOUT));
            let reply = if tables.change() >= change {
                OperatorReply::TableText(tables.text().to_owned())
            } else if now >= deadline {
                OperatorReply::OutcomeUnknown
            } else {
                self.confirmed_reads.insert(ticket, change);
                continue;
            };
            self.read_deadlines.remove(&ticket);
            effects.push(NodeEffect::Reply { ticket, reply });
        }
    }
}
