//! Runs stand-in targets and the platform's list of instances from a JSON plan, until it is ended.

use {
    hemlockspool_testkit::stand_in::{ListServer, TargetPlan, TargetServer},
    serde::Deserialize,
    std::{error::Error, fs, net::SocketAddr},
    tokio::signal::unix::{SignalKind, signal},
};

#[derive(Deserialize)]
struct StandIns {
    list: SocketAddr,
    targets: Vec<PlacedTarget>,
}

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
    let path = std::env::args().nth(1).ok_or("give the path of a plan")?;
    let plan: StandIns = serde_json::from_str(&fs::read_to_string(path)?)?;
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
