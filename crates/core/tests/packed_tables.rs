//! Tables on their way to entries.

use {
    hemlockspool_core::fleet::compressed_table::{CompressedTable, TableHistory},
    std::fmt::Write,
};

/// The platform's links of entries, in bytes a second, at their narrowest.
const LINK_BYTES_PER_S: usize = 250_000;
/// The part of such a link that tables may take while three changes a second are made.
const LINK_PART: f64 = 0.05;

/// Returns a table of 350 routes; one of them depends on the version.
fn table(version: u64) -> String {
    let mut text = format!("{{\"version\":{version},\"routes\":[");
    for route in 0..350_u64 {
        let name = route.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let timeout = if route == version % 350 { version } else { 1_500 };
        write!(
            text,
            r#"{{"name":"r-{name:x}","host":"host{route}.example","prefix":"/{name:x}/","repeat":"safe",
            "timeout":"{timeout}ms","goal":"400ms","priority":1,"service":"s{}","attempts":2}},"#,
            route % 7
        )
        .unwrap();
    }
    text + "]}"
}

#[test]
fn table_changes_in_quick_succession() {
    let mut texts = TableHistory::default();
    let (mut bytes, mut held) = (0, (0, String::new()));
    for version in 1..=30 {
        let text = table(version);
        texts.push(version, &text);
        let packed = texts.compressed_for(held.0).unwrap().unwrap();
        if version > 1 {
            bytes += packed.len();
        }
        assert_eq!(packed.decompress(&held.1).unwrap(), text);
        held = (version, text);
    }
    let per_s = 3.0 * bytes as f64 / 29.0;
    let bound = LINK_PART * LINK_BYTES_PER_S as f64;
    assert!(per_s <= bound, "{per_s} bytes a second of {bound}");
}

#[test]
fn table_for_an_entry_that_starts() {
    let mut texts = TableHistory::default();
    (1..=20).for_each(|version| texts.push(version, &table(version)));
    let packed = texts.compressed_for(0).unwrap().unwrap();
    assert_eq!(packed.base, 0);
    assert_eq!(packed.decompress("").unwrap(), table(20));
    assert!(packed.len() < table(20).len() / 3, "{} bytes", packed.len());
}

#[test]
fn table_for_an_entry_far_behind() {
    let mut texts = TableHistory::default();
    (1..=20).for_each(|version| texts.push(version, &table(version)));
    assert_eq!(texts.compressed_for(1).unwrap().unwrap().base, 0, "it isn't kept");
    assert_eq!(texts.compressed_for(18).unwrap().unwrap().base, 18);
}

#[test]
fn table_unchanged_by_an_evacuation() {
    let mut texts = TableHistory::default();
    texts.push(1, &table(1));
    texts.push(2, &table(1));
    assert_eq!(texts.compressed_for(1).unwrap(), None);
    assert!(texts.compressed_for(0).unwrap().is_some());
}

#[test]
fn table_against_another_base() {
    let packed = CompressedTable::compress(3, &table(3), &table(4)).unwrap();
    assert_ne!(packed.decompress("").ok(), Some(table(4)));
}
