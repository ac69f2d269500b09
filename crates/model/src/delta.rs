/*!
The difference between two sets of objects.

Publications carry a delta, instances send deltas to each other, and the audit trail lists them. The
size of a delta depends on the size of the change, not on the size of the set.
*/

use {
    crate::{
        objects::{DeclaredObject, ObjectKey},
        set::ObjectSet,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// The number of upserts in a delta above which interning the names of the set is worthwhile.
const INTERN_ABOVE_UPSERTS: usize = 1_000;

/// The objects to insert or replace, and the objects to remove.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct SetDelta {
    /// The objects that are new or changed.
    pub upserts: Vec<DeclaredObject>,
    /// The keys of the objects to remove.
    pub removals: Vec<ObjectKey>,
}

impl SetDelta {
    /// Returns the delta that changes one set into another.
    pub fn between(from: &ObjectSet, to: &ObjectSet) -> Self {
        let mut old: BTreeMap<ObjectKey, DeclaredObject> =
            from.objects().into_iter().map(|object| (object.key(), object)).collect();
        let mut upserts = Vec::new();
        for object in to.objects() {
            if old.remove(&object.key()).as_ref() != Some(&object) {
                upserts.push(object);
            }
        }
        let removals = old.into_keys().collect();
        Self { upserts, removals }
    }

    /// Applies the delta to a set.
    pub fn apply(&self, set: &mut ObjectSet) {
        for key in &self.removals {
            set.remove(key);
        }
        for object in &self.upserts {
            set.upsert(object.clone());
        }
        if self.upserts.len() > INTERN_ABOVE_UPSERTS {
            set.intern_names();
        }
    }

    /// Returns the number of objects that the delta changes.
    pub fn len(&self) -> usize {
        self.upserts.len() + self.removals.len()
    }

    /// Returns whether the delta changes nothing.
    pub fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removals.is_empty()
    }

    /// Returns one line for each object, marked `+` if inserted or replaced and `-` if removed.
    pub fn summary_lines(&self) -> Vec<String> {
        let upserts = self.upserts.iter().map(|object| format!("+ {}", object.key()));
        let removals = self.removals.iter().map(|key| format!("- {key}"));
        upserts.chain(removals).collect()
    }
}
