/*!
Changes of the replicas, one voter at a time.

A change is refused while an earlier one isn't committed, and before the leader has committed an
entry of its own term; then any two quorums of neighbouring sets share a voter.
*/

use {
    crate::{
        clock::Moment,
        consensus::{
            group::ConsensusGroup,
            types::{LogPayload, MemberSet, ReplicaId, ReplicaMember},
        },
        log_events::LogEvent,
    },
    hemlockspool_model::names::InstanceName,
    thiserror::Error,
};

/// The most replicas that vote.
pub const VOTERS_MAX: usize = 7;

/// Why a change of the replicas isn't made.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum MembershipError {
    /// This replica doesn't lead.
    #[error("this replica does not lead")]
    NotLeader,
    /// An earlier change isn't committed.
    #[error("an earlier change of the replicas is under way")]
    Busy,
    /// No such replica.
    #[error("no such replica")]
    NotKnown,
    /// The voters that answer would be no quorum afterwards.
    #[error("the replicas that answer would be no quorum afterwards")]
    WouldBreakQuorum,
    /// The data folder already belongs to a deployment.
    #[error("the data folder already belongs to a deployment")]
    NotEmpty,
}

impl ConsensusGroup {
    /// Makes this blank replica the only voter of a new deployment.
    ///
    /// # Errors
    ///
    /// [`MembershipError::NotEmpty`] when it belongs to one already.
    pub fn init(&mut self, member: ReplicaMember, now: Moment) -> Result<(), MembershipError> {
        let members = MemberSet::from([(self.me, ReplicaMember { voter: true, ..member })]);
        self.bootstrap(members, now)?;
        self.election_due = now;
        Ok(())
    }

    /// Takes in a replica as a learner; an older life of the same instance goes at the same time.
    ///
    /// # Errors
    ///
    /// See [`MembershipError`].
    pub fn add_learner(
        &mut self,
        id: ReplicaId,
        member: ReplicaMember,
        now: Moment,
    ) -> Result<(), MembershipError> {
        self.check_can_change()?;
        if self.members().contains_key(&id) {
            return Ok(());
        }
        let mut members = self.members().clone();
        members.retain(|_, other| other.name != member.name);
        members.insert(id, ReplicaMember { voter: false, ..member });
        self.change_members(members, now)
    }

    /// Takes an instance out.
    ///
    /// # Errors
    ///
    /// See [`MembershipError`].
    pub fn remove(&mut self, name: &InstanceName, now: Moment) -> Result<(), MembershipError> {
        self.check_can_change()?;
        let mut members = self.members().clone();
        members.retain(|_, other| other.name != *name);
        if members.len() == self.members().len() {
            return Err(MembershipError::NotKnown);
        }
        self.change_members(members, now)
    }

    pub(crate) fn check_can_change(&self) -> Result<(), MembershipError> {
        if !self.is_leader() {
            return Err(MembershipError::NotLeader);
        }
        let pending = self.member_log.last().is_some_and(|(index, _)| *index > self.commit_index);
        let own_term = self.log.term_at(self.commit_index) == Some(self.hard.term);
        if pending || !own_term { Err(MembershipError::Busy) } else { Ok(()) }
    }

    fn change_members(&mut self, members: MemberSet, now: Moment) -> Result<(), MembershipError> {
        let voters = members.iter().filter(|(_, member)| member.voter);
        let (mut count, mut answering) = (0, 0);
        for (id, _) in voters {
            count += 1;
            answering += usize::from(self.is_responsive(*id, now));
        }
        if answering < count / 2 + 1 {
            return Err(MembershipError::WouldBreakQuorum);
        }
        self.propose(LogPayload::Members(members), now);
        Ok(())
    }

    pub(crate) fn is_responsive(&self, id: ReplicaId, now: Moment) -> bool {
        let echo = self.progress.get(&id).and_then(|progress| progress.echo);
        let recent = |at: Moment| now.since(at) < super::types::ELECTION_TIMEOUT_MIN;
        id == self.me || echo.is_some_and(recent)
    }

    /// Gives a vote to a learner that has all that is committed.
    pub(crate) fn promote_learners(&mut self, now: Moment) {
        if !self.auto_promote || self.voters().count() >= VOTERS_MAX {
            return;
        }
        let mut learners = self.members().iter().filter(|(_, member)| !member.voter);
        let ready = learners.find(|(id, _)| self.is_caught_up(**id, now)).map(|(id, _)| *id);
        if let Some(id) = ready {
            // A change under way is no fault: the next answer of the learner asks again.
            let _ = self.set_voter(id, true, now);
        }
    }

    /// Tells whether a replica answers and has all that is committed.
    pub(crate) fn is_caught_up(&self, id: ReplicaId, now: Moment) -> bool {
        self.is_responsive(id, now)
            && self.match_index(id).is_some_and(|at| at >= self.commit_index)
    }

    /// Gives a replica a vote, or takes it.
    ///
    /// # Errors
    ///
    /// See [`MembershipError`].
    pub(crate) fn set_voter(
        &mut self,
        id: ReplicaId,
        voter: bool,
        now: Moment,
    ) -> Result<(), MembershipError> {
        self.check_can_change()?;
        let mut members = self.members().clone();
        let member = members.get_mut(&id).ok_or(MembershipError::NotKnown)?;
        member.voter = voter;
        let name = member.name.clone();
        self.change_members(members, now)?;
        let note = |name| match voter {
            true => LogEvent::ReplicaPromoted { name },
            false => LogEvent::ReplicaDemoted { name },
        };
        self.note(note(name));
        Ok(())
    }

    /// Starts a deployment whose first voters are known to all of them beforehand. Each of them
    /// writes the same first entry, so that their logs agree before they have spoken.
    ///
    /// # Errors
    ///
    /// [`MembershipError::NotEmpty`] when this replica belongs to a deployment already.
    pub(crate) fn bootstrap(
        &mut self,
        members: MemberSet,
        now: Moment,
    ) -> Result<(), MembershipError> {
        if !self.is_blank() || self.hard.term != 0 {
            return Err(MembershipError::NotEmpty);
        }
        let position = super::LogPosition { term: 1, index: 1 };
        self.hard.term = 1;
        let entry = super::LogEntry { position, payload: LogPayload::Members(members) };
        self.append_local(vec![entry.clone()]);
        let hard = Some(self.hard);
        self.persist(super::PersistBatch { hard, entries: vec![entry], ..Default::default() });
        self.postpone_election(now);
        Ok(())
    }

    pub(crate) fn resign_when_removed(&mut self, now: Moment) {
        let settled = self.member_log.last().is_some_and(|(index, _)| *index <= self.commit_index);
        if settled && !self.members().contains_key(&self.me) {
            self.become_follower(None, now);
        }
    }
}
