/*!
Membership changes, one voter at a time.

A change is refused until the previous one is committed and the leader has committed an entry of its
own term. Under these conditions, any two quorums of consecutive member sets share a voter.
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

/// The number of voters from which no more learners are promoted automatically.
pub const VOTERS_MAX: usize = 7;

/// The reason for refusing a membership change.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum MembershipError {
    /// This replica isn't the leader.
    #[error("this replica is not the leader")]
    NotLeader,
    /// An earlier membership change isn't committed, or the leader has committed no entry of its
    /// term.
    #[error("an earlier membership change, or the leader's first entry, is not committed yet")]
    Busy,
    /// There is no such member or, for an addition, no valid join request.
    #[error("the replica is not known")]
    NotKnown,
    /// The responsive voters would be no quorum after the change.
    #[error("the responsive voters would be no quorum after the change")]
    WouldBreakQuorum,
    /// The data folder already belongs to a deployment, or has stored the term of one.
    #[error("the data folder already belongs to a deployment")]
    NotEmpty,
}

impl ConsensusGroup {
    /// Starts a new deployment with this blank replica as its only voter.
    ///
    /// # Errors
    ///
    /// [`MembershipError::NotEmpty`] if it belongs to a deployment already, or has stored the term
    /// of one.
    pub fn init(&mut self, member: ReplicaMember, now: Moment) -> Result<(), MembershipError> {
        let members = MemberSet::from([(self.me, ReplicaMember { voter: true, ..member })]);
        self.bootstrap(members, now)?;
        self.election_due = now;
        Ok(())
    }

    /// Adds a replica as a learner and removes an earlier incarnation of the same instance in the
    /// same change. Does nothing if the replica is a member already.
    ///
    /// # Errors
    ///
    /// [`MembershipError::NotLeader`], [`MembershipError::Busy`] or
    /// [`MembershipError::WouldBreakQuorum`].
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

    /// Removes the replica of an instance.
    ///
    /// # Errors
    ///
    /// [`MembershipError::NotKnown`] if no member has this name; [`MembershipError::NotLeader`],
    /// [`MembershipError::Busy`] or [`MembershipError::WouldBreakQuorum`].
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
        let in_current_term = self.log.term_at(self.commit_index) == Some(self.hard.term);
        if pending || !in_current_term { Err(MembershipError::Busy) } else { Ok(()) }
    }

    fn change_members(&mut self, members: MemberSet, now: Moment) -> Result<(), MembershipError> {
        let voters = members.iter().filter(|(_, member)| member.voter);
        let (mut count, mut responsive) = (0, 0);
        for (id, _) in voters {
            count += 1;
            responsive += usize::from(self.is_responsive(*id, now));
        }
        if responsive < count / 2 + 1 {
            return Err(MembershipError::WouldBreakQuorum);
        }
        self.propose(LogPayload::Members(members), now);
        Ok(())
    }

    /// Returns whether a replica replied to a message that this leader sent within the last
    /// `ELECTION_TIMEOUT_MIN`; always true of this replica itself.
    pub(crate) fn is_responsive(&self, id: ReplicaId, now: Moment) -> bool {
        let echo = self.progress.get(&id).and_then(|progress| progress.echo);
        let is_recent = |at: Moment| now.since(at) < super::types::ELECTION_TIMEOUT_MIN;
        id == self.me || echo.is_some_and(is_recent)
    }

    /// Promotes a learner that has caught up to a voter, if this happens automatically and there
    /// are fewer than [`VOTERS_MAX`] voters.
    pub(crate) fn promote_learners(&mut self, now: Moment) {
        if !self.auto_promote || self.voters().count() >= VOTERS_MAX {
            return;
        }
        let mut learners = self.members().iter().filter(|(_, member)| !member.voter);
        let caught_up = learners.find(|(id, _)| self.is_caught_up(**id, now)).map(|(id, _)| *id);
        if let Some(id) = caught_up {
            // A refusal is ignored, for example while another change is pending: the next append
            // reply of any replica retries.
            let _ = self.set_voter(id, true, now);
        }
    }

    /// Returns whether a replica is responsive and has every committed entry.
    pub(crate) fn is_caught_up(&self, id: ReplicaId, now: Moment) -> bool {
        self.is_responsive(id, now)
            && self.match_index(id).is_some_and(|at| at >= self.commit_index)
    }

    /// Promotes a replica to a voter, or demotes it to a learner.
    ///
    /// # Errors
    ///
    /// [`MembershipError::NotKnown`] if the replica isn't a member; [`MembershipError::NotLeader`],
    /// [`MembershipError::Busy`] or [`MembershipError::WouldBreakQuorum`].
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
        let event = |name| match voter {
            true => LogEvent::ReplicaPromoted { name },
            false => LogEvent::ReplicaDemoted { name },
        };
        self.log_event(event(name));
        Ok(())
    }

    /// Starts a deployment whose initial voters are known to all of them in advance. Each of them
    /// writes the same first entry, so that their logs agree before they exchange any message.
    ///
    /// # Errors
    ///
    /// [`MembershipError::NotEmpty`] if this replica belongs to a deployment already, or has stored
    /// the term of one.
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
        self.reset_election_timer(now);
        Ok(())
    }

    pub(crate) fn step_down_if_removed(&mut self, now: Moment) {
        let committed =
            self.member_log.last().is_some_and(|(index, _)| *index <= self.commit_index);
        if committed && !self.members().contains_key(&self.me) {
            self.become_follower(None, now);
        }
    }
}
