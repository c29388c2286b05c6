//! Result of a lookup in the prefix index.

/// An upstream that is expected to have leading blocks of the prompt in its cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hit {
    /// Position of the upstream in the configuration in force.
    pub upstream: u32,
    /// Number of leading blocks expected in the cache.
    pub blocks: u32,
}

/// Hits for one prompt. The buffer is reused, so that a lookup does not allocate.
#[derive(Clone, Debug, Default)]
pub struct Hits {
    pub(crate) found: Vec<Hit>,
}

impl Hits {
    /// Number of leading blocks that `upstream` is expected to have cached; 0 without a hit.
    pub fn blocks(&self, upstream: u32) -> u32 {
        self.found
            .iter()
            .find(|hit| hit.upstream == upstream)
            .map_or(0, |hit| hit.blocks)
    }

    /// All hits, in unspecified order.
    pub fn as_slice(&self) -> &[Hit] {
        &self.found
    }
}
