//! Choice of how an engine obtains a prefix that another engine has cached.

use crate::router::settings;

/// How the prefix is made available for the call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The chosen engine imports the KV cache that the other engine exports.
    Import,
    /// The call is sent to the engine that has the prefix cached.
    Reroute,
    /// The chosen engine computes the prefix again.
    Recompute,
}

/// Quantities that determine the cost of each source.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Transfer {
    /// Tokens of the prefix that the other engine has cached.
    pub tokens: u32,
    /// Bytes of KV cache per token.
    pub token_bytes: f32,
    /// Bytes of the prompt's text and of the answer.
    pub text_bytes: f32,
    /// Time per prompt token at the chosen engine, in milliseconds.
    pub prefill: f32,
    /// Bytes per millisecond between the engines.
    pub bandwidth: f32,
    /// One-way latency between the engines, in milliseconds.
    pub latency: f32,
    /// Additional queueing time of the call at the other engine, in milliseconds.
    pub extra_wait: f32,
    /// Price of 1 MiB between the engines, in millionths of the currency.
    pub link_price: f32,
    /// Time until the deadline of the stage, in milliseconds.
    pub left_ms: f32,
}

/// Expected cost of one source.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alternative {
    /// Source that the cost belongs to.
    pub source: Source,
    /// Time that the source adds before the first token, in milliseconds.
    pub time_ms: f32,
    /// Price of the traffic between the engines, in millionths of the currency.
    pub price: f32,
}

/// Bytes per MiB, the unit in which traffic is priced.
const MIB: f32 = 1_048_576.0;

impl Transfer {
    /// Expected costs of all sources; [`Source::Recompute`] is last.
    pub fn alternatives(&self) -> [Alternative; 3] {
        let kv_bytes = self.tokens as f32 * self.token_bytes;
        let bandwidth = self.bandwidth.max(f32::MIN_POSITIVE);
        let alternative = |source, time_ms, bytes: f32| Alternative {
            source,
            time_ms,
            price: bytes / MIB * self.link_price,
        };
        [
            // One round trip for the export request, followed by the KV cache.
            alternative(
                Source::Import,
                2.0 * self.latency + kv_bytes / bandwidth,
                kv_bytes,
            ),
            alternative(
                Source::Reroute,
                2.0 * self.latency + self.text_bytes / bandwidth + self.extra_wait,
                self.text_bytes,
            ),
            alternative(Source::Recompute, self.tokens as f32 * self.prefill, 0.0),
        ]
    }

    /// Source with the lowest weighted cost.
    ///
    /// Time and price are weighted as in the choice of an upstream, so that both decisions agree.
    pub fn best(&self, settings: &settings::ScoreSettings) -> Source {
        let weighted =
            |one: &Alternative| settings.weighted_cost(one.price, one.time_ms, self.left_ms);
        let alternatives = self.alternatives();
        let best = alternatives
            .iter()
            .min_by(|one, other| weighted(one).total_cmp(&weighted(other)));
        best.map_or(Source::Recompute, |found| found.source)
    }
}
