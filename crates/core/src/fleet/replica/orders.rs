/*!
What operators ask of a replica: orders, which go to the leader's log, and reads.
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

/// How long an order may take before its sender is told that its fate is unclear: callers move on
/// to another replica after a second.
const ORDER_PATIENCE: Duration = Duration::from_millis(950);

impl ReplicaState {
    pub(super) fn order(
        &mut self,
        ticket: ReplyTicket,
        order: TableCommand,
        now: Moment,
    ) -> Vec<NodeEffect> {
        if order == TableCommand::Confirm {
            self.asked_reads.insert(ticket);
        }
        let peers = self.order_peers();
        let command = LedgerCommand::Table(order);
        let purpose = CommandPurpose::Operator(ticket);
        self.submits.submit(command, purpose, ORDER_PATIENCE, &peers, now)
    }

    pub(super) fn command_ended(&mut self, command: CompletedCommand) -> Vec<NodeEffect> {
        let CommandPurpose::Operator(ticket) = command.purpose else {
            return Vec::new();
        };
        let is_read = self.asked_reads.remove(&ticket);
        let reply = match command.outcome {
            Some(LedgerOutcome::Tabled(TableOutcome::Accepted { change })) if is_read => {
                self.reads.insert(ticket, change);
                return Vec::new();
            }
            Some(LedgerOutcome::Tabled(answer)) => OperatorReply::Table(answer),
            _ => OperatorReply::OutcomeUnknown,
        };
        vec![NodeEffect::Reply { ticket, reply }]
    }

    /// Answers the reads whose change has been applied here.
    pub(super) fn answer_reads(&mut self, effects: &mut Vec<NodeEffect>, now: Moment) {
        let tables = self.replica.ledger().tables();
        for (ticket, change) in std::mem::take(&mut self.reads) {
            let give_up = *self.read_give_up.entry(ticket).or_insert(now.after(ORDER_PATIENCE));
            let reply = if tables.change() >= change {
                OperatorReply::TableText(tables.text().to_owned())
            } else if now >= give_up {
                OperatorReply::OutcomeUnknown
            } else {
                self.reads.insert(ticket, change);
                continue;
            };
            self.read_give_up.remove(&ticket);
            effects.push(NodeEffect::Reply { ticket, reply });
        }
    }
}
