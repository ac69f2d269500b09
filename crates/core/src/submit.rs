/*!
Submission of commands to the leader.

An instance sends a command to the replica that it believes to lead, and resends it to the next
replica until the outcome arrives or the command times out. A command that arrives twice takes
effect once, but `LedgerCommand::Unauthorised`, `LedgerCommand::Replicas` and a refused
`LedgerCommand::Table` then add two audit records.
*/

use {
    crate::{
        clock::Moment,
        consensus::GroupId,
        effect::{NodeEffect, ReplyTicket},
        ledger::{LedgerCommand, LedgerOutcome},
        requests::RequestId,
        wire::{CommandId, PeerMessage, SubmitReply},
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// The time without an outcome after which a command is resent.
const RESEND_DELAY: Duration = Duration::from_millis(400);
/// The number of pending commands from which requests that run at most once are refused. Other
/// commands are submitted regardless.
const PENDING_COMMANDS_MAX: usize = 20_000;

/// The purpose of a command, which determines who gets its outcome.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CommandPurpose {
    /// An operator's call.
    Operator(ReplyTicket),
    /// A request's claim.
    Claim(RequestId),
    /// A record whose outcome nobody waits for.
    Record,
    /// A tally report. At most one is pending at a time.
    Tally,
}

#[derive(Clone, Debug)]
struct PendingCommand {
    command: LedgerCommand,
    purpose: CommandPurpose,
    expires_at: Moment,
    resend_at: Moment,
    redirects: u32,
}

/// The commands that this instance has submitted and that are pending.
#[derive(Clone, Debug)]
pub(crate) struct CommandSubmitter {
    pending: BTreeMap<CommandId, PendingCommand>,
    last_id: CommandId,
    leader: Option<SocketAddr>,
    seed_index: usize,
}

/// A command that was committed with an outcome, or timed out without one.
#[derive(Clone, Debug)]
pub(crate) struct CompletedCommand {
    pub purpose: CommandPurpose,
    pub outcome: Option<LedgerOutcome>,
}

impl CommandSubmitter {
    pub fn new(incarnation: u64) -> Self {
        let last_id = CommandId { incarnation, number: 0 };
        Self { pending: BTreeMap::new(), last_id, leader: None, seed_index: 0 }
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_full(&self) -> bool {
        self.pending.len() >= PENDING_COMMANDS_MAX
    }

    /// Sends a command to the leader, and resends it until the outcome arrives or it times out.
    pub fn submit(
        &mut self,
        command: LedgerCommand,
        purpose: CommandPurpose,
        timeout: Duration,
        seeds: &[SocketAddr],
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.last_id.number += 1;
        let id = self.last_id;
        let expires_at = now.after(timeout);
        let resend_at = now.after(RESEND_DELAY);
        let pending = PendingCommand { command, purpose, expires_at, resend_at, redirects: 0 };
        let effects = self.send(id, &pending, seeds);
        self.pending.insert(id, pending);
        effects
    }

    /// Processes a reply. Returns the command if it is completed, and the effects that redirect it
    /// if the replica doesn't lead but names another that does. After two redirects, the command
    /// waits to be resent.
    pub fn handle_reply(
        &mut self,
        id: CommandId,
        reply: SubmitReply,
        from: SocketAddr,
        seeds: &[SocketAddr],
    ) -> (Option<CompletedCommand>, Vec<NodeEffect>) {
        match reply {
            SubmitReply::Done(outcome) => {
                self.leader = Some(from);
                let pending = self.pending.remove(&id);
                let outcome = Some(outcome);
                (
                    pending.map(|command| CompletedCommand { purpose: command.purpose, outcome }),
                    Vec::new(),
                )
            }
            SubmitReply::NotLeader { leader } => {
                self.leader = leader.filter(|leader| *leader != from);
                let Some(mut pending) = self.pending.remove(&id) else {
                    return (None, Vec::new());
                };
                pending.redirects += 1;
                let redirect = self.leader.is_some() && pending.redirects <= 2;
                let effects = if redirect { self.send(id, &pending, seeds) } else { Vec::new() };
                self.pending.insert(id, pending);
                (None, effects)
            }
        }
    }

    /// Resends the commands without an outcome that are due, and returns those that timed out.
    pub fn tick(
        &mut self,
        seeds: &[SocketAddr],
        now: Moment,
    ) -> (Vec<CompletedCommand>, Vec<NodeEffect>) {
        let due: Vec<CommandId> = (self.pending.iter())
            .filter(|(_, command)| now >= command.resend_at || now >= command.expires_at)
            .map(|(id, _)| *id)
            .collect();
        let mut timed_out = Vec::new();
        let mut effects = Vec::new();
        if !due.is_empty() {
            self.leader = None;
            self.seed_index += 1;
        }
        for id in due {
            let Some(mut pending) = self.pending.remove(&id) else {
                continue;
            };
            if now >= pending.expires_at {
                timed_out.push(CompletedCommand { purpose: pending.purpose, outcome: None });
                continue;
            }
            pending.resend_at = now.after(RESEND_DELAY);
            pending.redirects = 0;
            effects.extend(self.send(id, &pending, seeds));
            self.pending.insert(id, pending);
        }
        (timed_out, effects)
    }

    fn send(
        &self,
        id: CommandId,
        pending: &PendingCommand,
        seeds: &[SocketAddr],
    ) -> Vec<NodeEffect> {
        let seed = || seeds.get(self.seed_index % seeds.len().max(1)).copied();
        let Some(to) = self.leader.or_else(seed) else {
            return Vec::new();
        };
        let (group, command) = (GroupId::default(), pending.command.clone());
        vec![NodeEffect::send(to, PeerMessage::Submit { group, id, command })]
    }
}
