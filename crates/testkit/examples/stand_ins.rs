//! Runs stand-in targets and a stand-in for the platform's list of instances until SIGTERM.
//!
//! The argument is the path of a JSON file with their addresses and the capacity of each target.

use {
    hemlockspool_testkit::stand_in::{ListServer, TargetPlan, TargetServer},
    serde::Deserialize,
    std::{error::Error, fs, net::SocketAddr},
    tokio::signal::unix::{SignalKind, signal},
};

/// Contents of the JSON file.
#[derive(Deserialize)]
struct StandInPlan {
    list: SocketAddr,
    targets: Vec<PlacedTarget>,
}

/// A stand-in target and the address that it listens on.
#[derive(Deserialize)]
struct PlacedTarget {
    address: SocketAddr,
    name: String,
    slots: usize,
    queue: usize,
    service_ms: u64,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let path = std::env::args().nth(1).ok_or("missing argument: path of the JSON plan")?;
    let plan: StandInPlan = serde_json::from_str(&fs::read_to_string(path)?)?;
    let _list = ListServer::start(plan.list).await?;
    let mut servers = Vec::new();
    for target in plan.targets {
        let PlacedTarget { address, name, slots, queue, service_ms } = target;
        let plan = TargetPlan { name, slots, queue, service_ms, ..TargetPlan::default() };
        servers.push(TargetServer::start(address, plan).await?);
    }
    signal(SignalKind::terminate())?.recv().await;
    Ok(())
}
