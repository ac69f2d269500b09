//! Operators that race, resends, and what outlasts a snapshot.

use {
    hemlockspool_core::ledger::{
        LedgerCommand, LedgerOutcome, LedgerState, TableCommand, TableOutcome,
    },
    hemlockspool_model::{api::AuditAction, names::DomainName},
};

fn order(ledger: &mut LedgerState, order: TableCommand) -> TableOutcome {
    match ledger.apply(1_000, LedgerCommand::Table(order)) {
        LedgerOutcome::Tabled(answer) => answer,
        other => panic!("{other:?}"),
    }
}

fn replace(ledger: &mut LedgerState, base: u64, version: u64, text: &str) -> TableOutcome {
    let text = text.to_owned();
    order(ledger, TableCommand::Replace { base: Some(base), version, text })
}

fn reloaded(ledger: &LedgerState) -> LedgerState {
    LedgerState::decode(&ledger.encode()).unwrap()
}

#[test]
fn tables_race() {
    let mut ledger = LedgerState::default();
    assert_eq!(replace(&mut ledger, 0, 5, "five"), TableOutcome::Accepted { change: 1 });
    assert_eq!(replace(&mut ledger, 5, 9, "nine"), TableOutcome::Accepted { change: 2 });
    assert_eq!(replace(&mut ledger, 5, 9, "other"), TableOutcome::Conflict { current: 9 });
    assert_eq!(replace(&mut ledger, 5, 12, "twelve"), TableOutcome::Conflict { current: 9 });
    assert_eq!((ledger.tables().version(), ledger.tables().text()), (9, "nine"));
}

#[test]
fn tables_stale_version() {
    let mut ledger = LedgerState::default();
    replace(&mut ledger, 0, 5, "five");
    for version in [0, 4, 5] {
        let answer = replace(&mut ledger, 5, version, "other");
        assert_eq!(answer, TableOutcome::Stale { current: 5 }, "{version}");
    }
    assert_eq!(ledger.tables().text(), "five");
}

#[test]
fn tables_resend_after_reload() {
    let mut ledger = LedgerState::default();
    replace(&mut ledger, 0, 5, "five");
    replace(&mut ledger, 5, 7, "seven");
    let mut ledger = reloaded(&ledger);
    // The newest, and one that another has followed: both were accepted and are so again.
    assert_eq!(replace(&mut ledger, 5, 7, "seven"), TableOutcome::Accepted { change: 2 });
    assert_eq!(replace(&mut ledger, 0, 5, "five"), TableOutcome::Accepted { change: 2 });
    assert_eq!((ledger.tables().version(), ledger.tables().text()), (7, "seven"));
}

#[test]
fn tables_evacuations_twice() {
    let mut ledger = LedgerState::default();
    let domain = DomainName::new("a");
    let evacuate = |begins| TableCommand::Evacuate { domain: domain.clone(), begins };
    assert_eq!(order(&mut ledger, evacuate(true)), TableOutcome::Accepted { change: 1 });
    assert_eq!(order(&mut ledger, evacuate(true)), TableOutcome::Accepted { change: 1 });
    let mut ledger = reloaded(&ledger);
    assert!(ledger.tables().evacuated().contains(&domain));
    assert_eq!(order(&mut ledger, evacuate(false)), TableOutcome::Accepted { change: 2 });
    assert!(ledger.tables().evacuated().is_empty());
}

#[test]
fn tables_audited() {
    let mut ledger = LedgerState::default();
    replace(&mut ledger, 0, 5, "five");
    replace(&mut ledger, 0, 6, "six");
    order(&mut ledger, TableCommand::Confirm);
    let records = ledger.audit().records_from(0, 10);
    let actions: Vec<&AuditAction> = records.iter().map(|record| &record.action).collect();
    assert_eq!(actions, [&AuditAction::Accepted, &AuditAction::Conflict]);
}
