/*!
Durations written as text with a unit, such as `1500ms` or `2.5s`.
*/

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
    thiserror::Error,
};

/// A duration that is parsed from and printed as text.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct TextDuration(pub Duration);

/// An error for text that is not a duration.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a duration such as 1500ms or 2.5s")]
pub struct DurationError {
    text: String,
}

impl TextDuration {
    /// Returns a duration of whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Parses a duration in milliseconds (`ms`) or seconds (`s`).
    ///
    /// # Errors
    ///
    /// Returns [`DurationError`] if the unit is missing or unknown, or if the number is malformed,
    /// negative or too large.
    pub fn parse(text: &str) -> Result<Self, DurationError> {
        let error = || DurationError { text: text.to_owned() };
        let (number, units_per_second) = match text.strip_suffix("ms") {
            Some(number) => (number, 1_000.0),
            None => (text.strip_suffix('s').ok_or_else(error)?, 1.0),
        };
        let value: f64 = number.trim().parse().map_err(|_| error())?;
        Duration::try_from_secs_f64(value / units_per_second).map(Self).map_err(|_| error())
    }
}

impl TryFrom<String> for TextDuration {
    type Error = DurationError;

    fn try_from(text: String) -> Result<Self, DurationError> {
        Self::parse(&text)
    }
}

impl From<TextDuration> for String {
    fn from(duration: TextDuration) -> Self {
        duration.to_string()
    }
}

impl fmt::Display for TextDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0.as_secs_f64() * 1_000.0)
    }
}
