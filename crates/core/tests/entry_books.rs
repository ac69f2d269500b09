//! Which entries callers are told of.

use {
    hemlockspool_core::{
        clock::Moment,
        fleet::{
            entry_registry::EntryRegistry,
            messages::{EntryHeartbeat, InstancePlace},
            roster::RosterVersion,
        },
    },
    std::{collections::BTreeMap, net::SocketAddr},
};

fn at(millis: u64) -> Moment {
    Moment(60_000_000 + millis * 1_000)
}

fn pulse(number: u16, ready: bool) -> (SocketAddr, EntryHeartbeat) {
    let peer = SocketAddr::from(([10, 0, 0, 1], number));
    let place = InstancePlace { region: "r".into(), domain: "d".into() };
    let pulse = EntryHeartbeat {
        front: peer,
        place,
        ready,
        follows: false,
        change: 1,
        roster: RosterVersion::default(),
        roster_age_ms: None,
        census: 0,
        demand: BTreeMap::new(),
        link_percent: 0,
        loads: Vec::new(),
        outages: Vec::new(),
        sent_at: at(0),
    };
    (peer, pulse)
}

fn hear(book: &mut EntryRegistry, number: u16, ready: bool, now: Moment) {
    let (peer, pulse) = pulse(number, ready);
    book.record(peer, pulse, now);
    book.tick(now);
}

fn named(book: &EntryRegistry) -> usize {
    book.front_addresses(&"r".into(), &"d".into(), &[]).len()
}

#[test]
fn book_all_lose_power_at_once() {
    // Entries come back one after the other; the first would get the callers of all.
    let mut book = EntryRegistry::default();
    (0..20).for_each(|number| hear(&mut book, number, false, at(0)));
    for number in 0..20 {
        let now = at(600 + u64::from(number) * 30);
        hear(&mut book, number, true, now);
        let named = named(&book);
        assert!(named == 0 || named >= 16, "{named} of 20 are named");
    }
    assert_eq!(named(&book), 20);
}

#[test]
fn book_some_never_serve() {
    let mut book = EntryRegistry::default();
    for millis in (0..2_600).step_by(100) {
        (0..20).for_each(|number| hear(&mut book, number, number < 4 && millis > 900, at(millis)));
        let opens = millis >= 2_000;
        assert_eq!(named(&book), if opens { 4 } else { 0 }, "after {millis} ms");
    }
}

#[test]
fn book_replica_restarts() {
    // Pulses of entries that have served all the while come within half a second.
    let mut book = EntryRegistry::default();
    for number in 0..10 {
        hear(&mut book, number, true, at(u64::from(number) * 50));
        assert_eq!(named(&book), 0, "{number} of 10 were heard");
    }
    book.tick(at(500));
    assert_eq!(named(&book), 10);
}

#[test]
fn book_once_open_stays_open() {
    let mut book = EntryRegistry::default();
    (0..10).for_each(|number| hear(&mut book, number, true, at(0)));
    book.tick(at(500));
    (0..8).for_each(|number| hear(&mut book, number, false, at(600)));
    assert_eq!(named(&book), 2);
}
