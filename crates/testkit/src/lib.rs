/*!
What the tests and the demo need around hemlockspool: stand-ins, a fault proxy and a cluster of real
processes.

* [`stand_in`] is a target and the platform's list of instances.
* [`fault_proxy`] delays, cuts, freezes and slows TCP connections.
* [`node_process`] is one daemon as a process, and [`cluster`] many, with settings in a temporary folder.
* [`fleet`] is entries and replicas whose targets come from a list.
* [`process_stat`] reads what the system says of a process.
* [`load`] sends open-loop load and measures it.
*/
#![allow(missing_docs)]

pub mod cluster;
pub mod fault_proxy;
pub mod fleet;
pub mod load;
pub mod node_process;
pub mod process_stat;
pub mod stand_in;
