/*!
What the tests and the demo need around hemlockspool: stand-ins, a fault proxy and a cluster of real
processes.

* [`stand_in`] is a target and the platform's list of instances.
* [`fault_proxy`] delays, cuts, freezes and slows TCP connections.
* [`cluster`] starts daemons as processes, with settings in a temporary folder.
* [`load`] sends open-loop load and measures it.
*/
#![allow(missing_docs)]

pub mod cluster;
pub mod fault_proxy;
pub mod load;
pub mod stand_in;
