//! Table commands in the ledger: concurrent operators, retries, and state restored from a snapshot.

use {
    hemlockspool_core::ledger::{
        LedgerCommand, LedgerOutcome, LedgerState, TableCommand, TableOutcome,
    },
    hemlockspool_model::{api::AuditAction, names::DomainName},
};

fn apply(ledger: &mut LedgerState, command: TableCommand) -> TableOutcome {
    match ledger.apply(1_000, LedgerCommand::Table(command)) {
        LedgerOutcome::Tabled(outcome) => outcome,
        other => panic!("{other:?}"),
    }
}

fn replace(ledger: &mut LedgerState, base: u64, version: u64, text: &str) -> TableOutcome {
    let text = text.to_owned();
    apply(ledger, TableCommand::Replace { base: Some(base), version, text })
}

/// Returns the ledger as restored from its snapshot.
fn restored(ledger: &LedgerState) -> LedgerState {
    LedgerState::decode(&ledger.encode()).unwrap()
}

#[test]
fn table_store_concurrent_replacements() {
    let mut ledger = LedgerState::default();
    assert_eq!(replace(&mut ledger, 0, 5, "five"), TableOutcome::Accepted { change: 1 });
    assert_eq!(replace(&mut ledger, 5, 9, "nine"), TableOutcome::Accepted { change: 2 });
    assert_eq!(replace(&mut ledger, 5, 9, "other"), TableOutcome::Conflict { current: 9 });
    assert_eq!(replace(&mut ledger, 5, 12, "twelve"), TableOutcome::Conflict { current: 9 });
    assert_eq!((ledger.tables().version(), ledger.tables().text()), (9, "nine"));
}

#[test]
fn table_store_stale_version() {
    let mut ledger = LedgerState::default();
    replace(&mut ledger, 0, 5, "five");
    for version in [0, 4, 5] {
        let outcome = replace(&mut ledger, 5, version, "other");
        assert_eq!(outcome, TableOutcome::Stale { current: 5 }, "version {version}");
    }
    assert_eq!(ledger.tables().text(), "five");
}

#[test]
fn table_store_retry_after_restore() {
    let mut ledger = LedgerState::default();
    replace(&mut ledger, 0, 5, "five");
    replace(&mut ledger, 5, 7, "seven");
    let mut ledger = restored(&ledger);
    // Retries of the current and of an earlier replacement: both were accepted and are acknowledged
    // again.
    assert_eq!(replace(&mut ledger, 5, 7, "seven"), TableOutcome::Accepted { change: 2 });
    assert_eq!(replace(&mut ledger, 0, 5, "five"), TableOutcome::Accepted { change: 2 });
    assert_eq!((ledger.tables().version(), ledger.tables().text()), (7, "seven"));
}

/// Guards against an evacuation that counts as a second change when it is resent, or that is lost
/// when the ledger is restored.
#[test]
fn table_store_repeated_evacuation() {
    let mut ledger = LedgerState::default();
    let domain = DomainName::new("a");
    let evacuate = |begins| TableCommand::Evacuate { domain: domain.clone(), begins };
    assert_eq!(apply(&mut ledger, evacuate(true)), TableOutcome::Accepted { change: 1 });
    assert_eq!(apply(&mut ledger, evacuate(true)), TableOutcome::Accepted { change: 1 });
    let mut ledger = restored(&ledger);
    assert!(ledger.tables().evacuated().contains(&domain));
    assert_eq!(apply(&mut ledger, evacuate(false)), TableOutcome::Accepted { change: 2 });
    assert!(ledger.tables().evacuated().is_empty());
}

/// Guards against an order about an evacuation that takes effect after a later one, because it was
/// delayed between replicas.
#[test]
fn table_store_delayed_evacuation() {
    let mut ledger = LedgerState::default();
    let domain = DomainName::new("a");
    let evacuate =
        |base, begins| TableCommand::EvacuateFrom { base, domain: domain.clone(), begins };
    assert_eq!(apply(&mut ledger, evacuate(0, true)), TableOutcome::Accepted { change: 1 });
    // The first end is delayed; it is sent again, and a new evacuation follows.
    assert_eq!(apply(&mut ledger, evacuate(1, false)), TableOutcome::Accepted { change: 2 });
    assert_eq!(apply(&mut ledger, evacuate(2, true)), TableOutcome::Accepted { change: 3 });
    let mut ledger = restored(&ledger);
    assert_eq!(apply(&mut ledger, evacuate(1, false)), TableOutcome::Conflict { current: 0 });
    assert!(ledger.tables().evacuated().contains(&domain));
    // Without effect, but confirmed.
    assert_eq!(apply(&mut ledger, evacuate(3, true)), TableOutcome::Accepted { change: 3 });
    replace(&mut ledger, 0, 5, "five");
    assert_eq!(apply(&mut ledger, evacuate(3, false)), TableOutcome::Conflict { current: 5 });
    assert_eq!(apply(&mut ledger, evacuate(4, false)), TableOutcome::Accepted { change: 5 });
    // A conflict isn't an operator's, and isn't audited.
    let records = ledger.audit().records_from(0, 100);
    assert!(records.iter().all(|record| record.action == AuditAction::Accepted), "{records:?}");
}

/// Guards against a replacement that is missing from the audit trail because it was refused, and
/// against a record of a confirmation, which changes nothing.
#[test]
fn table_store_audit_records() {
    let mut ledger = LedgerState::default();
    replace(&mut ledger, 0, 5, "five");
    replace(&mut ledger, 0, 6, "six");
    apply(&mut ledger, TableCommand::Confirm);
    let records = ledger.audit().records_from(0, 10);
    let actions: Vec<&AuditAction> = records.iter().map(|record| &record.action).collect();
    assert_eq!(actions, [&AuditAction::Accepted, &AuditAction::Conflict]);
}
