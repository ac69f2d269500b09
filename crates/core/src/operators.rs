/*!
Operators' calls: publications and changes of the replicas.

The audit trail records every accepted change, every publication refused for a conflict or an
invalid set, and every call without a valid token. No call waits for the record of an accepted
change of the replicas, or of a request for one without a valid token: such a record is lost if the
process ends or `RECORD_TIMEOUT` passes before it is committed.
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

/// The time after which the sender of a publication is told that its outcome is unknown.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(6);
/// The time for which a node resends an audit record that isn't committed yet.
const RECORD_TIMEOUT: Duration = Duration::from_secs(300);

/// A call by an operator.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// Publishes a change of the set of objects.
    Publish {
        /// The identifier of the request, chosen by the sender.
        request: RequestTag,
        /// The operator, or `None` if the token isn't known.
        operator: Option<OperatorName>,
        /// The version that the change is based on.
        base: ConfigVersion,
        /// The change.
        change: SetChange,
    },
    /// Changes the replicas.
    Replicas {
        /// The operator, or `None` if the token isn't known.
        operator: Option<OperatorName>,
        /// The requested change.
        body: ReplicaRequest,
    },
}

/// A change of the set in force.
#[derive(Clone, Debug)]
pub enum SetChange {
    /// A whole set that replaces the current one.
    Whole(Box<ObjectSet>),
    /// Objects to insert and to remove.
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
                    return self.refuse_publish(ticket, request, clock.now);
                };
                let delta = self.delta_of(base, change);
                let operator = Some(operator);
                let publish = PublishCommand { request, operator, base, delta, faults: Vec::new() };
                let command = LedgerCommand::Publish(publish);
                self.submit_for_reply(ticket, command, clock.now)
            }
            OperatorCall::Replicas { operator, body } => {
                let Some(operator) = operator else {
                    return self.refuse_replicas(ticket, clock.now);
                };
                self.handle_replica_request(ticket, operator, body, clock.now)
            }
        }
    }

    /// Returns the delta from the base to the requested set, or `None` if computing it requires a
    /// base that isn't in force at this instance.
    fn delta_of(&self, base: ConfigVersion, change: SetChange) -> Option<SetDelta> {
        match change {
            SetChange::Delta(delta) => Some(delta),
            SetChange::Whole(set) => {
                let has_base = self.config.version() == Some(base);
                has_base.then(|| SetDelta::between(self.config.set(), &set))
            }
        }
    }

    fn submit_for_reply(
        &mut self,
        ticket: ReplyTicket,
        command: LedgerCommand,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let purpose = CommandPurpose::Operator(ticket);
        self.submitter.submit(command, purpose, PUBLISH_TIMEOUT, &self.seeds, now)
    }

    /// Submits the audit record of a publication without a known token; the sender waits for it.
    fn refuse_publish(
        &mut self,
        ticket: ReplyTicket,
        request: RequestTag,
        now: Moment,
    ) -> Vec<NodeEffect> {
        self.submit_for_reply(ticket, LedgerCommand::Unauthorised { request }, now)
    }

    fn refuse_replicas(&mut self, ticket: ReplyTicket, now: Moment) -> Vec<NodeEffect> {
        let command = LedgerCommand::Unauthorised { request: RequestTag::new("replicas") };
        let mut effects = self.submit_audit_record(command, now);
        let reply = OperatorReply::Replica(ReplicaResponse::Unauthorised);
        effects.push(NodeEffect::Reply { ticket, reply });
        effects
    }

    /// Submits an audit record that no call waits for.
    fn submit_audit_record(&mut self, command: LedgerCommand, now: Moment) -> Vec<NodeEffect> {
        let purpose = CommandPurpose::Record;
        self.submitter.submit(command, purpose, RECORD_TIMEOUT, &self.seeds, now)
    }

    fn handle_replica_request(
        &mut self,
        ticket: ReplyTicket,
        operator: OperatorName,
        body: ReplicaRequest,
        now: Moment,
    ) -> Vec<NodeEffect> {
        let (name, peer) = (self.identity.name.clone(), self.identity.peer);
        let requested = body.clone();
        let mut effects = self.change_replicas(ticket, |replica| match requested {
            ReplicaRequest::Init => replica.init(ReplicaMember { name, peer, voter: true }, now),
            ReplicaRequest::Add(name) => replica.add(&name, now).map(|()| Vec::new()),
            ReplicaRequest::Remove(name) => replica.remove(&name, now).map(|()| Vec::new()),
        });
        let reply = OperatorReply::Replica(ReplicaResponse::Done);
        if effects.contains(&NodeEffect::Reply { ticket, reply }) {
            effects
                .extend(self.submit_audit_record(LedgerCommand::Replicas { operator, body }, now));
        }
        effects
    }

    fn change_replicas<F>(&mut self, ticket: ReplyTicket, change: F) -> Vec<NodeEffect>
    where
        F: FnOnce(&mut ReplicaNode) -> Result<Vec<NodeEffect>, MembershipError>,
    {
        let reply =
            |response| NodeEffect::Reply { ticket, reply: OperatorReply::Replica(response) };
        let Some(replica) = self.replicas.get_mut(&GroupId::default()) else {
            return vec![reply(ReplicaResponse::NoFolder)];
        };
        let (response, mut effects) = match change(replica) {
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
        effects.push(reply(response));
        effects
    }
}
