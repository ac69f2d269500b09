/*!
Requests that run at most once: their claims, from the asking to the giving back.

A claim is durable at a quorum before the first byte can reach a target. A caller that is told that
its request did not run may use the key again: the claim is given back, and a mark in the ledger
refuses the claim should it arrive after that.
*/

use {
    super::{
        scheduler::{RequestContext, RequestScheduler, RequestStage},
        types::{RequestAction, RequestId},
    },
    crate::{
        effect::NodeEffect,
        ledger::{ClaimCommand, ClaimKey, ClaimOutcome, ClaimToken, LedgerCommand, LedgerOutcome},
        submit::CommandPurpose,
    },
    hemlockspool_model::api::{RefusalReason, RunOutcome},
    std::time::Duration,
};

/// How long an entry tries to have a claim recorded.
const CLAIM_PATIENCE: Duration = Duration::from_secs(3);
/// How long an entry tries to have an outcome recorded.
const RECORD_PATIENCE: Duration = Duration::from_secs(300);
/// When a caller should come back for a claim that isn't settled.
const CLAIM_RETRY: Duration = Duration::from_secs(1);

impl RequestScheduler {
    pub(super) fn start_claim(
        &mut self,
        id: RequestId,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let Some(request) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        let key = ClaimKey {
            service: request.intake.service.clone(),
            key: request.intake.key.clone().unwrap_or_default(),
        };
        let token = ClaimToken {
            entry: ctx.identity.name.clone(),
            incarnation: ctx.identity.incarnation,
            request: id.0,
        };
        request.claim = Some((key.clone(), token.clone()));
        let digest = request.intake.digest;
        let retention_ms = request.policy.retention_ms;
        let left = request.deadline_at.since(ctx.clock.now);
        let command = LedgerCommand::Claim(ClaimCommand { key, token, digest, retention_ms });
        let patience = CLAIM_PATIENCE.min(left);
        let purpose = CommandPurpose::Claim(id);
        ctx.submitter.submit(command, purpose, patience, ctx.seeds, ctx.clock.now)
    }

    /// Goes on with a request whose claim came back, or ran out of time.
    pub(crate) fn claim_ended(
        &mut self,
        id: RequestId,
        outcome: Option<LedgerOutcome>,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        if !self.open.contains_key(&id) {
            return Vec::new();
        }
        use RefusalReason as R;
        let not_run = RunOutcome::NotRun;
        match outcome {
            Some(LedgerOutcome::Claimed(ClaimOutcome::Granted)) => self.place(id, ctx),
            Some(LedgerOutcome::Claimed(ClaimOutcome::Settled(answer))) => {
                self.forget_claim(id);
                vec![NodeEffect::Request { id, action: RequestAction::Replay(answer) }]
            }
            Some(LedgerOutcome::Claimed(ClaimOutcome::Open)) => {
                self.forget_claim(id);
                self.give_up(id, R::ClaimOpen, RunOutcome::Unknown, Some(CLAIM_RETRY), ctx)
            }
            Some(LedgerOutcome::Claimed(ClaimOutcome::KeyReused)) => {
                self.forget_claim(id);
                self.give_up(id, R::KeyReused, not_run, None, ctx)
            }
            Some(LedgerOutcome::Claimed(ClaimOutcome::Full)) => {
                self.forget_claim(id);
                self.give_up(id, R::ClaimsFull, not_run, None, ctx)
            }
            _ => self.give_up(id, R::NoQuorum, not_run, None, ctx),
        }
    }

    fn forget_claim(&mut self, id: RequestId) {
        if let Some(request) = self.open.get_mut(&id) {
            request.claim = None;
            request.stage = RequestStage::Answered;
        }
    }

    pub(super) fn release_claim(
        &mut self,
        id: RequestId,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let claim = self.open.get_mut(&id).and_then(|request| request.claim.take());
        let Some((key, token)) = claim else {
            return Vec::new();
        };
        record(LedgerCommand::Release { key, token }, ctx)
    }
}

/// Has a command recorded, however long that takes within reason.
pub(super) fn record(command: LedgerCommand, ctx: &mut RequestContext<'_>) -> Vec<NodeEffect> {
    let (purpose, patience) = (CommandPurpose::Record, RECORD_PATIENCE);
    ctx.submitter.submit(command, purpose, patience, ctx.seeds, ctx.clock.now)
}
