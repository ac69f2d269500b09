/*!
Stable hashing and calendar arithmetic.
*/

use xxhash_rust::xxh3::xxh3_64;

/// Returns a hash that is equal at every instance and in every version of this program.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the UTC month of a Unix time in milliseconds, as year times 100 plus month.
pub fn month_of(wall_ms: u64) -> u32 {
    let days = (wall_ms / 86_400_000) as i64;
    // Converts a day count to a civil date, by eras of 400 years that start in March.
    let shifted = days + 719_468;
    let era = shifted.div_euclid(146_097);
    let day_of_era = shifted.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    (year * 100 + month) as u32
}
