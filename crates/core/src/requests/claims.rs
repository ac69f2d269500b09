/*!
Claims of requests that run at most once: acquiring and releasing them. `attempts` settles them.

A claim is durable at a quorum before the first byte can reach a target. A caller that is told that
its request did not run may use the key again: the claim is released, and a marker in the ledger
refuses the claim command if that arrives after its release.
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

/// The longest time for which an entry resends a claim command; the request's deadline may end it
/// sooner.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);
/// The time for which an entry resends the settlement or release of a claim.
const RECORD_TIMEOUT: Duration = Duration::from_secs(300);
/// The retry delay for a caller whose key has an open claim, neither settled nor released.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(1);

impl RequestScheduler {
    /// Submits the command that claims the request's idempotency key.
    pub(super) fn start_claim(
        &mut self,
        id: RequestId,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        let Some(request) = self.open.get_mut(&id) else {
            return Vec::new();
        };
        let key = ClaimKey {
            service: request.incoming.service.clone(),
            key: request.incoming.key.clone().unwrap_or_default(),
        };
        let token = ClaimToken {
            entry: ctx.identity.name.clone(),
            incarnation: ctx.identity.incarnation,
            request: id.0,
        };
        request.claim = Some((key.clone(), token.clone()));
        let digest = request.incoming.digest;
        let retention_ms = request.policy.retention_ms;
        let time_left = request.deadline_at.since(ctx.clock.now);
        let command = LedgerCommand::Claim(ClaimCommand { key, token, digest, retention_ms });
        let timeout = CLAIM_TIMEOUT.min(time_left);
        let purpose = CommandPurpose::Claim(id);
        ctx.submitter.submit(command, purpose, timeout, ctx.seeds, ctx.clock.now)
    }

    /// Continues or ends a request whose claim command was committed or timed out.
    pub(crate) fn handle_claim_outcome(
        &mut self,
        id: RequestId,
        outcome: Option<LedgerOutcome>,
        ctx: &mut RequestContext<'_>,
    ) -> Vec<NodeEffect> {
        if !self.open.contains_key(&id) {
            return Vec::new();
        }
        let not_run = RunOutcome::NotRun;
        match outcome {
            Some(LedgerOutcome::Claimed(ClaimOutcome::Granted)) => self.place(id, ctx),
            Some(LedgerOutcome::Claimed(ClaimOutcome::Settled(response))) => {
                self.forget_claim(id);
                vec![NodeEffect::Request { id, action: RequestAction::Replay(response) }]
            }
            Some(LedgerOutcome::Claimed(ClaimOutcome::Open)) => {
                self.forget_claim(id);
                self.refuse(
                    id,
                    RefusalReason::ClaimOpen,
                    RunOutcome::Unknown,
                    Some(CLAIM_RETRY_AFTER),
                    ctx,
                )
            }
            Some(LedgerOutcome::Claimed(ClaimOutcome::KeyReused)) => {
                self.forget_claim(id);
                self.refuse(id, RefusalReason::KeyReused, not_run, None, ctx)
            }
            Some(LedgerOutcome::Claimed(ClaimOutcome::Full)) => {
                self.forget_claim(id);
                self.refuse(id, RefusalReason::ClaimsFull, not_run, None, ctx)
            }
            _ => self.refuse(id, RefusalReason::NoQuorum, not_run, None, ctx),
        }
    }

    /// Drops a claim that this request doesn't own, so that it isn't released.
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
        submit_detached(LedgerCommand::Release { key, token }, ctx)
    }
}

/// Submits a command whose outcome nobody waits for. It is resent until a replica replies with its
/// outcome, for at most `RECORD_TIMEOUT`.
pub(super) fn submit_detached(
    command: LedgerCommand,
    ctx: &mut RequestContext<'_>,
) -> Vec<NodeEffect> {
    let (purpose, timeout) = (CommandPurpose::Record, RECORD_TIMEOUT);
    ctx.submitter.submit(command, purpose, timeout, ctx.seeds, ctx.clock.now)
}
