/*!
Durations as operators write them: a number and its unit, `1500ms` or `2.5s`.
*/

use {
    serde::{Deserialize, Serialize},
    std::{fmt, time::Duration},
    thiserror::Error,
};

/// A duration that reads and prints as text.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(into = "String", try_from = "String")]
pub struct TextDuration(pub Duration);

/// Why a text is not a duration.
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

    /// Reads a duration.
    ///
    /// # Errors
    ///
    /// [`DurationError`] without a known unit, or when the number is negative or can't be read.
    pub fn parse(text: &str) -> Result<Self, DurationError> {
        let fail = || DurationError { text: text.to_owned() };
        let (number, per_second) = match text.strip_suffix("ms") {
            Some(number) => (number, 1_000.0),
            None => (text.strip_suffix('s').ok_or_else(fail)?, 1.0),
        };
        let value: f64 = number.trim().parse().map_err(|_| fail())?;
        Duration::try_from_secs_f64(value / per_second).map(Self).map_err(|_| fail())
    }
}

impl TryFrom<String> for TextDuration {
    type Error = DurationError;

    fn try_from(text: String) -> Result<Self, DurationError> {
        Self::parse(&text)
    }
}

impl From<TextDuration> for String {
    fn from(span: TextDuration) -> Self {
        span.to_string()
    }
}

impl fmt::Display for TextDuration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0.as_secs_f64() * 1_000.0)
    }
}
