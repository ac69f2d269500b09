//! Compressed route tables as sent to entries: their size, and the choice of the base.

use {
    hemlockspool_core::fleet::compressed_table::{CompressedTable, TableHistory},
    std::fmt::Write,
};

/// Capacity of the slowest link of an entry on the platform.
const LINK_BYTES_PER_S: usize = 250_000;
/// Fraction of such a link that tables may use at three changes per second.
const LINK_FRACTION_MAX: f64 = 0.05;

/// Returns the text of a table of 350 routes. Consecutive versions differ in two routes and the
/// version number.
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

/// Guards against updates of the table that take more than 5% of the slowest link when it changes
/// three times per second and the entry has the previous version.
#[test]
fn compressed_table_frequent_changes() {
    let mut history = TableHistory::default();
    let (mut total_bytes, mut received) = (0, (0, String::new()));
    for version in 1..=30 {
        let text = table(version);
        history.push(version, &text);
        let compressed = history.compressed_for(received.0).unwrap().unwrap();
        if version > 1 {
            total_bytes += compressed.len();
        }
        assert_eq!(compressed.decompress(&received.1).unwrap(), text);
        received = (version, text);
    }
    let bytes_per_s = 3.0 * total_bytes as f64 / 29.0;
    let limit = LINK_FRACTION_MAX * LINK_BYTES_PER_S as f64;
    assert!(bytes_per_s <= limit, "{bytes_per_s} bytes per second exceed {limit}");
}

/// Guards against a table that an entry without one can't decompress, or that is hardly compressed.
#[test]
fn compressed_table_for_starting_entry() {
    let mut history = TableHistory::default();
    (1..=20).for_each(|version| history.push(version, &table(version)));
    let compressed = history.compressed_for(0).unwrap().unwrap();
    assert_eq!(compressed.base, 0);
    assert_eq!(compressed.decompress("").unwrap(), table(20));
    assert!(compressed.len() < table(20).len() / 3, "{} bytes", compressed.len());
}

#[test]
fn compressed_table_for_entry_far_behind() {
    let mut history = TableHistory::default();
    (1..=20).for_each(|version| history.push(version, &table(version)));
    assert_eq!(
        history.compressed_for(1).unwrap().unwrap().base,
        0,
        "a base that is too old for the history was used"
    );
    assert_eq!(history.compressed_for(18).unwrap().unwrap().base, 18);
}

#[test]
fn compressed_table_none_if_unchanged() {
    // An evacuation is a change that leaves the table as it is.
    let mut history = TableHistory::default();
    history.push(1, &table(1));
    history.push(2, &table(1));
    assert_eq!(history.compressed_for(1).unwrap(), None);
    assert!(history.compressed_for(0).unwrap().is_some());
}

/// Guards against compression that ignores the base: without it, decompression must not return the
/// table. Whether it fails or returns another text isn't checked.
#[test]
fn compressed_table_wrong_base() {
    let compressed = CompressedTable::compress(3, &table(3), &table(4)).unwrap();
    assert_ne!(compressed.decompress("").ok(), Some(table(4)));
}
