//! Tests of deltas, caller block lookups and validation, mostly on random sets from fixed seeds.

use {
    hemlockspool_model::{
        delta::SetDelta,
        objects::{
            BlockObject, DeclaredObject, DomainObject, KindPolicy, RegionObject, RepeatPolicy,
            ServiceObject,
        },
        set::ObjectSet,
        validation,
    },
    quickcheck::{Arbitrary, Gen},
    std::net::{IpAddr, Ipv4Addr},
};

const SEEDS: std::ops::Range<u64> = 0..200;

fn random_set(generator: &mut Gen) -> ObjectSet {
    let mut set = ObjectSet::default();
    let count = usize::arbitrary(generator) % 40;
    for _ in 0..count {
        let name = format!("n{}", u8::arbitrary(generator) % 20);
        let name = name.as_str();
        set.upsert(match u8::arbitrary(generator) % 3 {
            0 => DeclaredObject::Region(RegionObject { name: name.into() }),
            1 => {
                let region = format!("n{}", u8::arbitrary(generator) % 20).as_str().into();
                DeclaredObject::FailureDomain(DomainObject { name: name.into(), region })
            }
            _ => {
                let [a, b] = [u8::arbitrary(generator), u8::arbitrary(generator)];
                let length = 9 + u8::arbitrary(generator) % 24;
                let prefix = format!("10.{a}.{b}.0/{length}").parse().unwrap();
                let (domain, caller) = (name.into(), "c".into());
                DeclaredObject::CallerBlock(BlockObject { prefix, domain, caller })
            }
        });
    }
    set
}

#[test]
fn delta_changes_one_set_into_another() {
    for seed in SEEDS {
        let mut generator = Gen::from_size_and_seed(60, seed);
        let (from, to) = (random_set(&mut generator), random_set(&mut generator));
        let delta = SetDelta::between(&from, &to);
        let mut changed = from.clone();
        delta.apply(&mut changed);
        assert_eq!(changed, to, "seed {seed}");
        assert!(SetDelta::between(&to, &to).is_empty());
        let bytes = postcard::to_allocvec(&to).unwrap();
        assert_eq!(postcard::from_bytes::<ObjectSet>(&bytes).unwrap(), to);
    }
}

#[test]
fn block_lookup_equals_linear_search() {
    for seed in SEEDS {
        let mut generator = Gen::from_size_and_seed(60, seed);
        let mut set = random_set(&mut generator);
        // Drops overlapping blocks, which validation refuses and the lookup does not support.
        let mut kept: Vec<ipnet::IpNet> = Vec::new();
        for prefix in set.blocks.keys() {
            if !kept.iter().any(|other| other.contains(prefix) || prefix.contains(other)) {
                kept.push(*prefix);
            }
        }
        set.blocks.retain(|prefix, _| kept.contains(prefix));
        for _ in 0..200 {
            let [b, c, d] = [0; 3].map(|_: u8| u8::arbitrary(&mut generator));
            let address = IpAddr::V4(Ipv4Addr::new(10, b, c, d));
            let expected = set.blocks.values().find(|block| block.prefix.contains(&address));
            assert_eq!(set.find_block(address), expected, "seed {seed}: {address}");
        }
    }
}

#[test]
fn validation_finds_overlaps() {
    for seed in SEEDS {
        let mut generator = Gen::from_size_and_seed(60, seed);
        let set = random_set(&mut generator);
        // A prefix sorts after all prefixes that contain it.
        let prefixes: Vec<&ipnet::IpNet> = set.blocks.keys().collect();
        let overlap = (0..prefixes.len()).any(|first| {
            (first + 1..prefixes.len()).any(|second| prefixes[first].contains(prefixes[second]))
        });
        let found = validation::validate(&set)
            .iter()
            .any(|error| matches!(error, validation::SetError::Overlap { .. }));
        assert_eq!(found, overlap, "seed {seed}");
    }
}

#[test]
fn validation_requires_retention_of_ten_deadlines() {
    let errors = |retention_ms| {
        let policy = KindPolicy {
            repeat: RepeatPolicy::Never,
            deadline_ms: 5_000,
            request_bytes: 1_000,
            retention_ms,
            ..KindPolicy::default()
        };
        let kinds = [("pay".into(), policy)].into();
        let service = ServiceObject { name: "s".into(), kinds, lookup_ttl_ms: 1_000 };
        let mut set = ObjectSet::default();
        set.upsert(DeclaredObject::Service(service));
        validation::validate(&set)
    };
    assert!(errors(50_000).is_empty());
    assert!(matches!(errors(49_999)[..], [validation::SetError::RetentionTooShort { .. }]));
}
