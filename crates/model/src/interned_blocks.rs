/*!
Decoding of caller blocks with interned names.

Names are interned block by block during decoding. Interning them afterwards would first allocate
every copy, and a process returns little of that memory to the operating system.
*/

use {
    crate::{
        names::{CallerName, DomainName},
        objects::BlockObject,
    },
    ipnet::IpNet,
    serde::{
        Deserialize, Deserializer,
        de::{MapAccess, Visitor},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        fmt,
    },
};

/// Holds one copy of each name seen so far.
#[derive(Debug, Default)]
pub(crate) struct NameInterner {
    domains: BTreeSet<DomainName>,
    callers: BTreeSet<CallerName>,
}

impl NameInterner {
    /// Replaces the names of a block by the copies seen before, or keeps them if they are new.
    pub(crate) fn intern(&mut self, block: &mut BlockObject) {
        intern(&mut self.domains, &mut block.domain);
        intern(&mut self.callers, &mut block.caller);
    }
}

fn intern<T>(known: &mut BTreeSet<T>, name: &mut T)
where
    T: Clone + Ord,
{
    match known.get(name) {
        Some(first) => *name = first.clone(),
        None => {
            known.insert(name.clone());
        }
    }
}

/// Caller blocks by prefix, whose names are interned when they are deserialized.
pub(crate) struct InternedBlocks(pub BTreeMap<IpNet, BlockObject>);

struct BlocksVisitor;

impl<'de> Deserialize<'de> for InternedBlocks {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_map(BlocksVisitor)
    }
}

impl<'de> Visitor<'de> for BlocksVisitor {
    type Value = InternedBlocks;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("caller blocks by prefix")
    }

    fn visit_map<A>(self, mut map: A) -> Result<InternedBlocks, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut blocks = BTreeMap::new();
        let mut interner = NameInterner::default();
        while let Some((prefix, mut block)) = map.next_entry::<IpNet, BlockObject>()? {
            interner.intern(&mut block);
            blocks.insert(prefix, block);
        }
        Ok(InternedBlocks(blocks))
    }
}
