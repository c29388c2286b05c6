//! What an index lookup found.

/// An upstream and the leading blocks of the prompt expected in its cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Hit {
    /// Position of the upstream in the configuration in force.
    pub upstream: u32,
    /// Leading blocks.
    pub blocks: u32,
}

/// The hits of one prompt; kept and reused, so that a lookup allocates nothing.
#[derive(Clone, Debug, Default)]
pub struct Hits {
    pub(crate) found: Vec<Hit>,
}

impl Hits {
    /// Leading blocks expected at `upstream`.
    pub fn blocks(&self, upstream: u32) -> u32 {
        self.found
            .iter()
            .find(|hit| hit.upstream == upstream)
            .map_or(0, |hit| hit.blocks)
    }

    /// All hits, in no particular order.
    pub fn as_slice(&self) -> &[Hit] {
        &self.found
    }
}
