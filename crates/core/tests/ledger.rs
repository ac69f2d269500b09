//! Ledger: claims, tallies and retried publications, with commands that arrive twice, late or in
//! any order, and with state restored from a snapshot.

use {
    hemlockspool_core::ledger::{
        ClaimCommand, ClaimKey, ClaimOutcome, ClaimToken, LedgerCommand, LedgerOutcome,
        LedgerState, PublishCommand, StoredResponse, TallyCount, TallyKey, TallyReport,
        TallySource, claims::CLAIMS_MAX,
    },
    hemlockspool_model::{
        api::PublishOutcome,
        delta::SetDelta,
        names::{ConfigVersion, RequestTag},
        objects::{DeclaredObject, RegionObject},
    },
    quickcheck::{Arbitrary, Gen},
};

const SEEDS: std::ops::Range<u64> = 0..300;

fn key(text: &str) -> ClaimKey {
    ClaimKey { service: "s".into(), key: text.to_owned() }
}

fn token(request: u64) -> ClaimToken {
    ClaimToken { entry: "e".into(), incarnation: 1, request }
}

fn claim(text: &str, request: u64, digest: u8) -> LedgerCommand {
    let (key, token) = (key(text), token(request));
    LedgerCommand::Claim(ClaimCommand { key, token, digest: [digest; 32], retention_ms: 1_000 })
}

fn settle(text: &str, request: u64) -> LedgerCommand {
    let response =
        StoredResponse { status: 200, content_type: None, body: Some(vec![request as u8]) };
    LedgerCommand::Settle { key: key(text), token: token(request), answer: response }
}

fn release(text: &str, request: u64) -> LedgerCommand {
    LedgerCommand::Release { key: key(text), token: token(request) }
}

/// Returns the outcome of a claim.
fn claimed(outcome: LedgerOutcome) -> ClaimOutcome {
    match outcome {
        LedgerOutcome::Claimed(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

/// Guards against a claim that is granted although its release was applied first, and against a key
/// that is then granted to a different request.
#[test]
fn claims_release_before_claim() {
    let mut ledger = LedgerState::default();
    ledger.apply(1, release("k", 1));
    assert_ne!(claimed(ledger.apply(2, claim("k", 1, 7))), ClaimOutcome::Granted);
    assert_eq!(claimed(ledger.apply(3, claim("k", 2, 7))), ClaimOutcome::Granted);
    assert_ne!(claimed(ledger.apply(4, claim("k", 1, 7))), ClaimOutcome::Granted);
    assert_eq!(claimed(ledger.apply(5, claim("k", 3, 8))), ClaimOutcome::KeyReused);
}

#[test]
fn claims_retained_until_expiry() {
    let mut ledger = LedgerState::default();
    assert_eq!(claimed(ledger.apply(1_000, claim("k", 1, 7))), ClaimOutcome::Granted);
    ledger.apply(1_001, settle("k", 1));
    let outcome = claimed(ledger.apply(1_999, claim("k", 2, 7)));
    assert!(matches!(outcome, ClaimOutcome::Settled(_)));
    // A leader whose wall clock is behind returns the response as well. This holds even if the time
    // in the ledger goes back, which isn't checked.
    let outcome = claimed(ledger.apply(5, claim("k", 3, 7)));
    assert!(matches!(outcome, ClaimOutcome::Settled(_)));
    assert_eq!(claimed(ledger.apply(2_000, claim("k", 4, 7))), ClaimOutcome::Granted);
}

/// Guards against claims without a bound, and against a granted claim that is refused when it is
/// resent.
#[test]
fn claims_refused_when_full() {
    let mut ledger = LedgerState::default();
    for number in 0..CLAIMS_MAX {
        ledger.apply(1, claim(&format!("k{number}"), number as u64, 7));
    }
    assert_eq!(claimed(ledger.apply(1, claim("one more", 0, 7))), ClaimOutcome::Full);
    assert_eq!(claimed(ledger.apply(1, claim("k0", 0, 7))), ClaimOutcome::Granted);
}

/// Guards against a key with two owners, against a claim that is granted after its release or after
/// a response was recorded, and against a ledger that differs when it is restored from a snapshot.
/// Four requests use one key, and every command arrives twice and in any order.
#[test]
fn claims_any_command_order() {
    for seed in SEEDS {
        let mut generator = Gen::from_size_and_seed(50, seed);
        let mut commands = Vec::new();
        for request in 1..=4 {
            let end_command = if bool::arbitrary(&mut generator) {
                settle("k", request)
            } else {
                release("k", request)
            };
            commands.extend([
                claim("k", request, 7),
                claim("k", request, 7),
                end_command.clone(),
                end_command,
            ]);
        }
        let mut ledger = LedgerState::default();
        let mut released = Vec::new();
        let mut owner: Option<u64> = None;
        let mut settled = false;
        while !commands.is_empty() {
            let index = usize::arbitrary(&mut generator) % commands.len();
            let command = commands.swap_remove(index);
            let outcome = ledger.apply(1, command.clone());
            match command {
                LedgerCommand::Claim(claim) => {
                    let request = claim.token.request;
                    if claimed(outcome) == ClaimOutcome::Granted {
                        assert!(!settled, "seed {seed}: granted after a response was recorded");
                        assert!(!released.contains(&request), "seed {seed}: granted after release");
                        assert!(
                            owner.is_none_or(|owner| owner == request),
                            "seed {seed}: two owners"
                        );
                        owner = Some(request);
                    }
                }
                LedgerCommand::Release { token, .. } => {
                    released.push(token.request);
                    owner = owner.filter(|owner| *owner != token.request || settled);
                }
                LedgerCommand::Settle { token, .. } => settled |= owner == Some(token.request),
                _ => {}
            }
            let bytes = ledger.encode();
            assert_eq!(LedgerState::decode(&bytes).unwrap(), ledger, "seed {seed}");
        }
    }
}

#[test]
fn tallies_counted_once() {
    let report = |incarnation, requests| {
        let key = TallyKey { month: 202_612, service: "s".into(), kind: "k".into() };
        let count = TallyCount { requests, weighted: requests * 5 };
        let source = TallySource { incarnation, entry: "e".into() };
        LedgerCommand::Tally(TallyReport { source, totals: vec![(key, count)] })
    };
    let mut ledger = LedgerState::default();
    // Reports are duplicated, late, or from an earlier incarnation. Each incarnation counts with
    // its highest total.
    for (incarnation, requests) in [(1, 10), (1, 10), (2, 4), (1, 25), (1, 10), (2, 4), (3, 1)] {
        ledger.apply(1, report(incarnation, requests));
    }
    let totals = ledger.tallies().monthly_totals(Some(202_612));
    assert_eq!((totals[0].requests, totals[0].weighted), (30, 150));
}

/// Guards against a retried publication that gets another outcome than the first time, or is
/// recorded again, after the ledger was restored from a snapshot.
#[test]
fn publication_retry_after_snapshot() {
    let publish = |tag: &str, base, region: &str| {
        let object = DeclaredObject::Region(RegionObject { name: region.into() });
        LedgerCommand::Publish(PublishCommand {
            request: RequestTag::new(tag),
            operator: Some("o".into()),
            base: ConfigVersion(base),
            delta: Some(SetDelta { upserts: vec![object], removals: Vec::new() }),
            faults: Vec::new(),
        })
    };
    let mut ledger = LedgerState::default();
    let accepted = ledger.apply(1, publish("a", 0, "r1"));
    let conflict = ledger.apply(1, publish("b", 0, "r2"));
    assert!(matches!(conflict, LedgerOutcome::Published(PublishOutcome::Conflict { .. })));
    let mut restored = LedgerState::decode(&ledger.encode()).unwrap();
    assert_eq!(restored.apply(2, publish("a", 0, "r1")), accepted);
    assert_eq!(restored.apply(2, publish("b", 0, "r2")), conflict);
    assert_eq!(restored.version(), ConfigVersion(1));
    assert_eq!(restored.audit().last_sequence(), 2, "a retry was recorded again");
}
