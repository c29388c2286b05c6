//! The upstream on which a prefix is best cached when no evidence says where it is.

/// The upstream that every daemon prefers for a prompt that ends in block `last`.
///
/// Rendezvous hashing: daemons that do not share evidence still send the same prefix to the same
/// upstream, and when an upstream leaves only its own prefixes move.
pub fn preferred(last: u64, upstreams: impl IntoIterator<Item = u32>) -> Option<u32> {
    upstreams
        .into_iter()
        .max_by_key(|upstream| mix(last ^ mix(u64::from(*upstream) + 1)))
}

/// A bijection that spreads differences in any bit over all bits (the finalizer of `SplitMix64`).
const fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}
