/*!
Commands on their way to the leader.

An entry sends a command to the replica that it takes for the leader, and again, to the next one,
until an answer comes or its time is up. The ledger makes a command that arrives twice harmless.
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

/// After how long without an answer a command is sent again.
const RESEND_AFTER: Duration = Duration::from_millis(400);
/// Commands under way at most.
const COMMANDS_MAX: usize = 20_000;

/// What waits for a command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum CommandPurpose {
    /// An operator's call.
    Operator(ReplyTicket),
    /// A request's claim.
    Claim(RequestId),
    /// Nothing: it is sent until it is recorded.
    Record,
    /// The tallies, of which one report is under way at a time.
    Tally,
}

#[derive(Clone, Debug)]
struct PendingCommand {
    command: LedgerCommand,
    purpose: CommandPurpose,
    give_up: Moment,
    resend: Moment,
    redirects: u32,
}

/// Commands under way.
#[derive(Clone, Debug)]
pub(crate) struct CommandSubmitter {
    pending: BTreeMap<CommandId, PendingCommand>,
    last: CommandId,
    leader: Option<SocketAddr>,
    turn: usize,
}

/// A command that ended: with an outcome, or with its time.
#[derive(Clone, Debug)]
pub(crate) struct CompletedCommand {
    pub purpose: CommandPurpose,
    pub outcome: Option<LedgerOutcome>,
}

impl CommandSubmitter {
    pub fn new(incarnation: u64) -> Self {
        let last = CommandId { incarnation, number: 0 };
        Self { pending: BTreeMap::new(), last, leader: None, turn: 0 }
    }

    pub fn len(&self) -> usize {
        self.pending.len()
    }

    pub fn is_full(&self) -> bool {
        self.pending.len() >= COMMANDS_MAX
    }

    pub fn submit(
        &mut self,
        command: LedgerCommand,
        purpose: CommandPurpose,
        patience: Duration,
        seeds: &[SocketAddr],
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.last.number += 1;
        let id = self.last;
        let give_up = now.after(patience);
        let resend = now.after(RESEND_AFTER);
        let pending = PendingCommand { command, purpose, give_up, resend, redirects: 0 };
        let effects = self.send(id, &pending, seeds);
        self.pending.insert(id, pending);
        effects
    }

    /// Takes an answer in; an ended command comes back, or the effects of sending it elsewhere.
    pub fn handle_reply(
        &mut self,
        id: CommandId,
        answer: SubmitReply,
        from: SocketAddr,
        seeds: &[SocketAddr],
    ) -> (Option<CompletedCommand>, Vec<NodeEffect>) {
        match answer {
            SubmitReply::Done(outcome) => {
                self.leader = Some(from);
                let pending = self.pending.remove(&id);
                let outcome = Some(outcome);
                (pending.map(|p| CompletedCommand { purpose: p.purpose, outcome }), Vec::new())
            }
            SubmitReply::NotLeader { leader } => {
                self.leader = leader.filter(|leader| *leader != from);
                let Some(mut pending) = self.pending.remove(&id) else {
                    return (None, Vec::new());
                };
                pending.redirects += 1;
                let follow = self.leader.is_some() && pending.redirects <= 2;
                let effects = if follow { self.send(id, &pending, seeds) } else { Vec::new() };
                self.pending.insert(id, pending);
                (None, effects)
            }
        }
    }

    /// Sends again what got no answer, and ends what has run out of time.
    pub fn tick(
        &mut self,
        seeds: &[SocketAddr],
        now: Moment,
    ) -> (Vec<CompletedCommand>, Vec<NodeEffect>) {
        let late: Vec<CommandId> = (self.pending.iter())
            .filter(|(_, p)| now >= p.resend || now >= p.give_up)
            .map(|(id, _)| *id)
            .collect();
        let mut ended = Vec::new();
        let mut effects = Vec::new();
        if !late.is_empty() {
            self.leader = None;
            self.turn += 1;
        }
        for id in late {
            let Some(mut pending) = self.pending.remove(&id) else {
                continue;
            };
            if now >= pending.give_up {
                ended.push(CompletedCommand { purpose: pending.purpose, outcome: None });
                continue;
            }
            pending.resend = now.after(RESEND_AFTER);
            pending.redirects = 0;
            effects.extend(self.send(id, &pending, seeds));
            self.pending.insert(id, pending);
        }
        (ended, effects)
    }

    fn send(
        &self,
        id: CommandId,
        pending: &PendingCommand,
        seeds: &[SocketAddr],
    ) -> Vec<NodeEffect> {
        let turn = || seeds.get(self.turn % seeds.len().max(1)).copied();
        let Some(to) = self.leader.or_else(turn) else {
            return Vec::new();
        };
        let (group, command) = (GroupId::default(), pending.command.clone());
        vec![NodeEffect::send(to, PeerMessage::Submit { group, id, command })]
    }
}
