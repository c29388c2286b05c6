//! Stage that runs before a request.

use basilgrade_types::id;
use basilgrade_types::size;

/// Work whose results a request or a later stage needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Pool whose upstreams run the stage.
    pub pool: id::PoolId,
    /// Indices of the stages in the same route whose results this stage needs.
    pub after: Vec<usize>,
    /// Approximate size of the result of one piece.
    pub bytes: size::ByteCount,
}
