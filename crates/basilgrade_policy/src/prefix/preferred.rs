//! Common choice of all daemons for the upstream that caches a prefix.

use crate::router::settings;

/// Upstream that every daemon prefers for prompts whose last block has the hash `last_block`.
///
/// Rendezvous hashing sends the same prefix to the same upstream from all daemons, even if the
/// daemons exchange no information. When an upstream leaves, only its prefixes move.
pub fn preferred(last_block: u64, upstreams: impl IntoIterator<Item = u32>) -> Option<u32> {
    upstreams
        .into_iter()
        .max_by_key(|upstream| mix(last_block ^ mix(u64::from(*upstream) + 1)))
}

/// Whether to send calls with a prefix to the preferred upstream even in another region.
///
/// It is worthwhile if `price`, the price of the traffic, is worth less than the `saved_ms`
/// milliseconds of recomputing the prefix, given `left_ms` milliseconds until the deadline. Within
/// a region, cache events predict hits better than the hash does: preferring an upstream in
/// the daemon's region lowered the hit rate from 0.69 to 0.66.
pub fn is_cross_region_worthwhile(
    settings: &settings::ScoreSettings,
    price: f32,
    saved_ms: f32,
    left_ms: f32,
) -> bool {
    settings.weighted_cost(price, 0.0, left_ms) < settings.weighted_cost(0.0, saved_ms, left_ms)
}

/// Finalizer of `SplitMix64`: a bijection in which each input bit affects all output bits.
const fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    bits ^ (bits >> 31)
}
