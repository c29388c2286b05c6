//! Section `[claims]`: at-most-once execution of requests by request key.

use basilgrade_types::clock;

use crate::reader;
use crate::value;

/// Time limits of at-most-once claims.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Claims {
    /// `autonomy`: how long a primary and its backup continue to grant claims while the log is
    /// unavailable. Default 15 min.
    pub autonomy: clock::Millis,
    /// `horizon`: how long claims are kept, measured by the creation times of the request keys.
    /// Default 30 min.
    pub horizon: clock::Millis,
}

impl Default for Claims {
    fn default() -> Self {
        Self {
            autonomy: clock::Millis::from_secs(15 * 60),
            horizon: clock::Millis::from_secs(30 * 60),
        }
    }
}

pub(super) fn read(reader: &mut reader::SectionReader<'_>) -> Claims {
    let default = Claims::default();
    let range = clock::Millis::from_secs(10)..=clock::Millis::from_secs(24 * 3600);
    let autonomy = reader.optional("autonomy", value::bounded(range.clone()));
    let horizon = reader.optional("horizon", value::bounded(range));
    let claims = Claims {
        autonomy: autonomy.unwrap_or(default.autonomy),
        horizon: horizon.unwrap_or(default.horizon),
    };
    if claims.horizon < claims.autonomy {
        // With a shorter horizon, claims accepted during a log outage would expire before the
        // longest permitted outage ends.
        let found = format!("`{}` is below `autonomy`", claims.horizon);
        reader.report("horizon", found, format!("at least {}", claims.autonomy));
    }
    claims
}
