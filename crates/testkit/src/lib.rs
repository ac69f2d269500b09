/*!
Test support for hemlockspool: stand-ins, a fault proxy, clusters of real processes and a load
generator. The integration tests, the examples and the demo use it.

* [`stand_in`] provides stand-ins for a target and for the platform's list of instances.
* [`fault_proxy`] delays, throttles, stalls and cuts TCP connections.
* [`node_process`] runs a daemon as a child process.
* [`cluster`] runs a cluster of daemons with settings in a temporary folder.
* [`fleet`] runs a fleet of entries and replicas whose targets come from a list.
* [`process_stat`] reads the processor time and the memory of a process.
* [`shared_link`] queues all connections of an instance behind one backlog.
* [`timed_target`] provides a target that works for a given time on each request.
* [`load`] sends open-loop load and measures outcomes and latencies.
*/
#![allow(missing_docs)]

pub mod cluster;
pub mod endless_target;
pub mod fault_proxy;
pub mod fleet;
pub mod load;
pub mod node_process;
pub mod process_stat;
pub mod shared_link;
pub mod stand_in;
pub mod timed_target;
