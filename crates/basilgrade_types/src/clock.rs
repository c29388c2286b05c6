//! A type for instants and durations, and clocks that return the current instant.

use std::fmt;
use std::ops;
use std::str;
use std::time;

use serde::Deserialize;
use serde::Serialize;

use crate::parse;

/// An instant or a duration, in milliseconds.
///
/// Instants count from the Unix epoch. A process reads the system clock once, at its start, and
/// adds the time elapsed on the monotonic clock, so that a step of the system clock cannot move
/// time backwards.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The latest instant and the longest duration.
    pub const MAX: Self = Self(u64::MAX);
    /// A duration of zero.
    pub const ZERO: Self = Self(0);

    /// A duration of `secs` seconds, capped at [`Millis::MAX`].
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(1000))
    }

    /// The number of milliseconds as a floating-point number.
    pub fn as_f64(self) -> f64 {
        self.0 as f64
    }

    /// Converts a duration to the type of the standard library.
    pub const fn duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }

    /// The duration from `earlier` to this instant, or zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// This duration `factor` times, capped at [`Millis::MAX`].
    #[must_use]
    pub const fn times(self, factor: u64) -> Self {
        Self(self.0.saturating_mul(factor))
    }

    /// The sum of this value and `duration`, capped at [`Millis::MAX`].
    #[must_use]
    pub const fn plus(self, duration: Self) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl str::FromStr for Millis {
    type Err = parse::ParseError;

    /// Parses a number with one of the units `ms`, `s`, `m` and `h`, such as `250ms` or `3s`.
    ///
    /// A number without a unit is an error, because the intended unit is unknown.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || parse::ParseError::new(text, "a time with unit, such as `250ms` or `3s`");
        let unit_start = text
            .find(|c: char| !c.is_ascii_digit())
            .ok_or_else(invalid)?;
        let (digits, unit) = text.split_at(unit_start);
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

    /// The difference, or zero if `other` is larger.
    fn sub(self, other: Self) -> Self {
        self.since(other)
    }
}

/// A clock that returns the current instant.
pub trait Clock: Send + Sync {
    /// The current instant, never earlier than one that this clock returned before.
    fn now(&self) -> Millis;
}

/// The clock of a process: the wall-clock time at its start plus the monotonic time since then.
#[derive(Clone, Copy, Debug)]
pub struct SystemClock {
    wall_start: Millis,
    monotonic_start: time::Instant,
}

impl SystemClock {
    /// Creates a clock that starts at the current wall-clock time and advances monotonically.
    pub fn new() -> Self {
        let wall = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            wall_start: Millis(wall.as_millis() as u64),
            monotonic_start: time::Instant::now(),
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
        self.wall_start
            .plus(Millis(self.monotonic_start.elapsed().as_millis() as u64))
    }
}
