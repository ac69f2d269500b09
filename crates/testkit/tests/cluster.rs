//! Addresses that the test kit assigns to the servers of a cluster.

use {
    hemlockspool_testkit::cluster::free_address,
    std::{
        io,
        net::{SocketAddr, TcpListener},
        process::Command,
        sync::atomic::{AtomicBool, Ordering},
        thread,
    },
};

/// Threads that start processes while the test listens on addresses.
const STARTING_THREADS: usize = 4;
/// Addresses that the test listens on.
const ADDRESSES: usize = 2_000;

/// Guards against an address that can't be listened on because another test starts a process.
/// Between fork and exec, the child holds copies of all sockets of the test process, so that a port
/// would stay in use for a moment if `free_address` itself had listened on it.
#[test]
fn cluster_free_address_while_processes_start() {
    let stop = AtomicBool::new(false);
    let failures: Vec<(SocketAddr, io::Error)> = thread::scope(|scope| {
        for _ in 0..STARTING_THREADS {
            scope.spawn(|| {
                while !stop.load(Ordering::SeqCst) {
                    assert!(Command::new("true").status().unwrap().success());
                }
            });
        }
        let listen = |_| {
            let address = free_address();
            Some((address, TcpListener::bind(address).err()?))
        };
        let failures = (0..ADDRESSES).filter_map(listen).collect();
        stop.store(true, Ordering::SeqCst);
        failures
    });
    assert!(failures.is_empty(), "{} of {ADDRESSES} failed: {failures:?}", failures.len());
}
