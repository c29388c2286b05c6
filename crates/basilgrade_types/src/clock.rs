//! The one type for instants and spans of time, and the clock that supplies them.

use std::fmt;
use std::ops;
use std::str;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// An instant or a span, in milliseconds.
///
/// Instants count from the Unix epoch as read once at process start and then advance
/// monotonically, so a step of the system clock never moves time backwards in a process.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The latest instant.
    pub const MAX: Self = Self(u64::MAX);
    /// An empty span.
    pub const ZERO: Self = Self(0);

    /// A span of whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }

    /// This value as fractional milliseconds.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// This span as a standard duration.
    pub const fn duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }

    /// The span since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// The sum, capped at [`Millis::MAX`].
    #[must_use]
    pub const fn plus(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl str::FromStr for Millis {
    type Err = parse::ParseError;

    /// Reads `250ms`, `3s`, `15m` or `1h`; a bare number is an error because its unit is unclear.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || parse::ParseError::new(text, "a time with unit, such as `250ms` or `3s`");
        let split = text
            .find(|c: char| !c.is_ascii_digit())
            .ok_or_else(invalid)?;
        let (digits, unit) = text.split_at(split);
        let value: u64 = digits.parse().map_err(|_| invalid())?;
        let factor = match unit {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(invalid()),
        };
        value.checked_mul(factor).map(Self).ok_or_else(invalid)
    }
}

impl ops::Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        self.plus(other)
    }
}

impl ops::Sub for Millis {
    type Output = Self;

    /// Saturates at zero.
    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

/// A source of the current instant.
pub trait Clock: Send + Sync {
    /// The current instant; never earlier than one returned before.
    fn now(&self) -> Millis;
}

/// The process clock: wall time at start, monotonic from there.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    anchor: Millis,
    start: time::Instant,
}

impl SystemClock {
    /// Reads the wall clock once and counts monotonically from there.
    pub fn new() -> Self {
        let wall = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            anchor: Millis(wall.as_millis() as u64),
            start: time::Instant::now(),
        }
    }
}

impl Default for SystemClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Millis {
        self.anchor
            .plus(Millis(self.start.elapsed().as_millis() as u64))
    }
}
