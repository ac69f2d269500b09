/*!
The shared vocabulary of hemlockspool: what operators declare, how a whole set is checked, and the
bodies that operators and callers exchange with an entry over HTTP.

This crate does no I/O and reads no clock. It is the only crate that both binaries need, so that
`hemlockspool check` refuses exactly what a running deployment would refuse.

* [`names`] gives each kind of object a name type of its own.
* [`objects`] holds the declared objects and [`set`] the whole of them at one version.
* [`delta`] is the difference between two sets, which is what travels and what an audit shows.
* [`validation`] judges a whole set and names every fault.
* [`declaration`] reads objects from JSON text.
* [`table`] is the route table, for deployments whose targets are found at run time; [`duration`] reads
  the durations in it.
* [`api`] holds HTTP bodies and header names.

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
