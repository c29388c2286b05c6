//! Plain services, each of which is served by one pool without stages.

use basilgrade_types::clock;
use basilgrade_types::id;
use serde::Deserialize;
use serde::Serialize;

use crate::model::stage;

/// A plain service, reached under `/v1/services/{pool}/`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The pool that serves requests; its name is also the name of the service in the path.
    pub pool: id::PoolId,
    /// The default deadline of a request, and the longest deadline that a request may ask for.
    pub deadline: clock::Millis,
    /// The default idempotency of requests that do not state their own; `GET` and `HEAD` requests
    /// are always idempotent.
    pub idempotency: stage::Idempotency,
}
