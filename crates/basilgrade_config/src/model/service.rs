//! Plain services.

use basilgrade_types::clock;
use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

use crate::model::stage;

/// A plain service, reached under `/v1/services/{pool}/`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The pool that serves it; also its name in the path.
    pub pool: id::PoolId,
    /// Deadline of requests that name none, and the longest that they may name.
    pub deadline: clock::Millis,
    /// How calls are treated whose caller does not say; `GET` and `HEAD` are always idempotent.
    pub idempotency: stage::Idempotency,
}
