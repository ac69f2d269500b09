//! A router of one entry with the targets of one region, for tests of load patterns.

#![allow(dead_code)]

use {
    hemlockspool_core::{
        clock::Moment,
        fleet::roster::{TargetInfo, TargetList},
        traffic::{
            retry_budget::RetryLimit,
            router::{RequestRouter, RouterSettings},
        },
    },
    hemlockspool_model::{names::TargetName, table::RouteTable},
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// Memory for bodies, in bytes.
pub const BODY_MEMORY_BYTES: u64 = 4 << 20;

/// Returns the moment `millis` milliseconds after the start of a test.
pub fn at(millis: u64) -> Moment {
    Moment(60_000_000 + millis * 1_000)
}

/// Returns the router of an entry with a table and eight targets of the service `s`.
pub fn router_with(table: &str, slots: u32, link_bytes_per_s: f64) -> RequestRouter {
    router_of("10.0.0.1:1".parse().unwrap(), table, slots, link_bytes_per_s)
}

/// Returns the router of the entry at a peer address, with a table and eight targets of the service
/// `s`.
pub fn router_of(me: SocketAddr, table: &str, slots: u32, link_bytes_per_s: f64) -> RequestRouter {
    let settings = RouterSettings {
        me,
        callers_port: 80,
        bridges_allowed: true,
        region: "r".into(),
        domains: BTreeMap::from([("d".into(), "r".into())]),
        retry_limit: RetryLimit { ratio: 0.2, slack: 400.0, window: Duration::from_secs(10) },
        link_bytes_per_s,
        body_memory_bytes: BODY_MEMORY_BYTES,
    };
    let mut router = RequestRouter::new(settings, at(0));
    router.set_table(&RouteTable::parse(table).unwrap());
    router.set_targets(&target_list(slots), at(0));
    router
}

/// Returns eight targets of the service `s`.
pub fn target_list(slots: u32) -> TargetList {
    let target_info = |last_octet: u8| TargetInfo {
        service: "s".into(),
        address: ([10, 0, 1, last_octet], 80).into(),
        domain: "d".into(),
        slots,
        draining: false,
        cold_ms: 0,
    };
    (0..8).map(|i| (TargetName::new(&format!("t{i}")), target_info(i))).collect()
}
