//! A stage that runs before a request.

use basilgrade_types::id;
use basilgrade_types::size;

/// Work that has to be done before a request can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Stage {
    /// Pool that does the work.
    pub pool: id::PoolId,
    /// Places of the stages whose results it needs.
    pub after: Vec<usize>,
    /// Approximate size of the result of a piece.
    pub bytes: size::ByteCount,
}
