/*!
Operators' calls: publications and changes of the replicas.

Whatever an operator changes leaves a record in the audit trail, and so does a publication that is
refused and any call without a known token.
*/

use {
    crate::{
        clock::{ClockReading, Moment},
        consensus::{GroupId, MembershipError, ReplicaMember},
        effect::{NodeEffect, OperatorReply, ReplyTicket},
        ledger::{LedgerCommand, PublishCommand},
        reducer::NodeState,
        replica::ReplicaNode,
        submit::CommandPurpose,
    },
    hemlockspool_model::{
        api::{ReplicaRequest, ReplicaResponse},
        delta::SetDelta,
        names::{ConfigVersion, OperatorName, RequestTag},
        set::ObjectSet,
    },
    std::time::Duration,
};

/// How long a publication may take before its sender is told that its fate is unknown.
const PUBLISH_PATIENCE: Duration = Duration::from_secs(6);
/// How long a node tries to have something recorded for the audit trail.
const RECORD_PATIENCE: Duration = Duration::from_secs(300);

/// A call by an operator.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// Publishes a set.
    Publish {
        /// Chosen by the sender.
        request: RequestTag,
        /// Who asks; none when the token isn't known.
        operator: Option<OperatorName>,
        /// The version that the change was made from.
        base: ConfigVersion,
        /// The change.
        change: SetChange,
    },
    /// Changes the replicas.
    Replicas {
        /// Who asks; none when the token isn't known.
        operator: Option<OperatorName>,
        /// What is asked for.
        body: ReplicaRequest,
    },
}

/// A change of the set in force.
#[derive(Clone, Debug)]
pub enum SetChange {
    /// This whole set in its place.
    Whole(Box<ObjectSet>),
    /// Some objects put in and taken out.
    Delta(SetDelta),
}

impl NodeState {
    pub(crate) fn handle_operator_call(
        &mut self,
        ticket: ReplyTicket,
        call: OperatorCall,
        clock: ClockReading,
    ) -> Vec<NodeEffect> {
        match call {
            OperatorCall::Publish { request, operator, base, change } => {
                let Some(operator) = operator else {
                    return self.refuse_operator(ticket, request, clock.now);
                };
                let delta = self.delta_of(base, change);
                let operator = Some(operator);
                let publish = PublishCommand { request, operator, base, delta, faults: Vec::new() };
                let command = LedgerCommand::Publish(publish);
                self.submit_for(ticket, command, clock.now)
            }
            OperatorCall::Replicas { operator, body } => {
                let Some(operator) = operator else {
                    return self.refuse_replicas(ticket, clock.now);
                };
                self.operate_replicas(ticket, operator, body, clock.now)
            }
        }
    }

    /// Returns what leads from a base to the set that is wanted; none when that takes the base and
    /// this instance hasn't got it.
    fn delta_of(&self, base: ConfigVersion, change: SetChange) -> Option<SetDelta> {
        match change {
            SetChange::Delta(delta) => Some(delta),
            SetChange::Whole(set) => {
                let current = self.config.version() == Some(base);
                current.then(|| SetDelta::between(self.config.set(), &set))
            }
        }
    }

    fn submit_for(
        &mut self,
        ticket: ReplyTicket,
        command: LedgerCommand,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let purpose = CommandPurpose::Operator(ticket);
        self.submitter.submit(command, purpose, PUBLISH_PATIENCE, &self.seeds, now)
    }

    /// Has a request without a known token recorded; its sender waits for that.
    fn refuse_operator(
        &mut self,
        ticket: ReplyTicket,
        request: RequestTag,
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.submit_for(ticket, LedgerCommand::Unauthorised { request }, now)
    }

    fn refuse_replicas(&mut self, ticket: ReplyTicket, now: Moment) -> Vec<NodeEffect> {
        let command = LedgerCommand::Unauthorised { request: RequestTag::new("replicas") };
        let mut effects = self.record(command, now);
        let reply = OperatorReply::Replica(ReplicaResponse::Unauthorised);
        effects.push(NodeEffect::Reply { ticket, reply });
        effects
    }

    fn record(&mut self, command: LedgerCommand, now: Moment) -> Vec<NodeEffect> {
        let purpose = CommandPurpose::Record;
        self.submitter.submit(command, purpose, RECORD_PATIENCE, &self.seeds, now)
    }

    fn operate_replicas(
        &mut self,
        ticket: ReplyTicket,
        operator: OperatorName,
        body: ReplicaRequest,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let (name, peer) = (self.identity.name.clone(), self.identity.peer);
        let asked = body.clone();
        let mut effects = self.change_replicas(ticket, |replica| match asked {
            ReplicaRequest::Init => replica.init(ReplicaMember { name, peer, voter: true }, now),
            ReplicaRequest::Add(name) => replica.add(&name, now).map(|()| Vec::new()),
            ReplicaRequest::Remove(name) => replica.remove(&name, now).map(|()| Vec::new()),
        });
        let reply = OperatorReply::Replica(ReplicaResponse::Done);
        if effects.contains(&NodeEffect::Reply { ticket, reply }) {
            effects.extend(self.record(LedgerCommand::Replicas { operator, body }, now));
        }
        effects
    }

    fn change_replicas<F>(&mut self, ticket: ReplyTicket, change: F) -> Vec<NodeEffect>
    where
        F: FnOnce(&mut ReplicaNode) -> Result<Vec<NodeEffect>, MembershipError>,
    {
        let reply = |answer| NodeEffect::Reply { ticket, reply: OperatorReply::Replica(answer) };
        let Some(replica) = self.replicas.get_mut(&GroupId::default()) else {
            return vec![reply(ReplicaResponse::NoFolder)];
        };
        let (answer, mut effects) = match change(replica) {
            Ok(effects) => (ReplicaResponse::Done, effects),
            Err(MembershipError::NotLeader) => {
                let leader = replica.group().leader_name().cloned();
                (ReplicaResponse::NotLeader { leader }, Vec::new())
            }
            Err(MembershipError::Busy) => (ReplicaResponse::Busy, Vec::new()),
            Err(MembershipError::NotKnown) => (ReplicaResponse::NotKnown, Vec::new()),
            Err(MembershipError::WouldBreakQuorum) => {
                (ReplicaResponse::WouldBreakQuorum, Vec::new())
            }
            Err(MembershipError::NotEmpty) => (ReplicaResponse::NotEmpty, Vec::new()),
        };
        effects.extend(replica.drain_effects());
        effects.push(reply(answer));
        effects
    }
}
