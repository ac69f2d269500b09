/*!
The data model of hemlockspool: the objects that operators declare, their validation, and the HTTP
bodies that operators and callers exchange with entries.

An entry is an instance of hemlockspool that accepts callers' requests and sends them to targets.

This crate does no I/O and reads no clock. It is the only crate of this project that the daemon and
the command-line client share, so `hemlockspool check` refuses exactly the sets that a running
deployment would refuse.

* [`names`] defines a type for the names of each type of object, and for other names.
* [`objects`] defines the declared objects, and [`set`] the set of all objects at one version.
* [`delta`] computes and applies the difference between two sets.
* [`validation`] reports all errors of a set.
* [`declaration`] parses objects from JSON text.
* [`table`] defines the route table for deployments whose targets are discovered at run time, and
  [`duration`] the durations in it.
* [`api`] defines HTTP bodies and header names.

# Example

```
use hemlockspool_model::{declaration, set::ObjectSet, validation};

let text = r#"[{"region": {"name": "gauteng"}}]"#;
let mut set = ObjectSet::default();
for object in declaration::parse(text).unwrap() {
    set.upsert(object);
}
assert!(validation::validate(&set).is_empty());
```
*/

pub mod api;
pub mod declaration;
pub mod delta;
pub mod duration;
mod interned_blocks;
pub mod names;
pub mod objects;
pub mod set;
pub mod table;
pub mod validation;
