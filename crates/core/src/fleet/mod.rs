/*!
Instances that discover their routes, targets and peers at run time.

A fleet consists of replicas and entries. Replicas store the state that operators publish and read
the platform's list of targets. Entries forward callers' requests to targets. An instance is
configured with the addresses of a few replicas only and discovers all other instances.

* [`replica`] is the state of a replica; `membership` manages the members of its consensus group.
* [`entry`] is the state of an entry; [`crate::traffic`] routes its requests.
* [`entry_registry`] tracks the live entries.
* [`roster`] is the versioned list of targets; `list_schedule` determines when a process reads the
  platform's list.
* [`routes`] finds the route of a request; [`compressed_table`] compresses route tables for entries.
* `loads` collects the loads that targets report, [`rate_limits`] the limits that they state, and
  [`outages`] reports of unreachable targets; [`crash_tracker`] collects requests under which targets
  ended, and [`stored_crashes`] is what replicas store of them.
* [`clock_offsets`] keeps what entries know about clocks until they restart.
* [`stall_meter`] detects that the process stood still for a while.
* [`link_watch`] tells which connections to other instances carry nothing.
* [`messages`] defines the messages between instances; [`decision_events`] defines what they log.
*/

pub mod clock_offsets;
pub mod compressed_table;
pub mod crash_tracker;
pub mod decision_events;
pub mod entry;
pub mod entry_registry;
pub mod link_watch;
mod list_schedule;
mod loads;
pub(crate) mod membership;
pub mod messages;
pub mod outages;
pub mod rate_limits;
pub mod replica;
pub mod roster;
pub mod routes;
pub mod stall_meter;
pub mod stored_crashes;
