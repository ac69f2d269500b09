/*!
Decoding caller blocks so that they share the names that they repeat.

Names are shared block by block as they are read: sharing them afterwards would first need memory
for every copy, and a process gives little of that back.
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

/// Names that were met before.
#[derive(Debug, Default)]
pub(crate) struct NameInterner {
    domains: BTreeSet<DomainName>,
    callers: BTreeSet<CallerName>,
}

impl NameInterner {
    /// Lets a block share its names with those met before.
    pub(crate) fn share(&mut self, block: &mut BlockObject) {
        share(&mut self.domains, &mut block.domain);
        share(&mut self.callers, &mut block.caller);
    }
}

fn share<T>(known: &mut BTreeSet<T>, name: &mut T)
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

/// Caller blocks by prefix, as they are decoded.
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
        let mut pool = NameInterner::default();
        while let Some((prefix, mut block)) = map.next_entry::<IpNet, BlockObject>()? {
            pool.share(&mut block);
            blocks.insert(prefix, block);
        }
        Ok(InternedBlocks(blocks))
    }
}
