//! What to do when a prefix is cached on another engine than the one that will run the call.

use crate::router::score_settings;

/// How the engine gets the state of the prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// The KV cache is exported by the engine that has it and imported.
    Import,
    /// The prompt's text is sent to the engine that has the cache.
    Reroute,
    /// The prompt is computed again.
    Recompute,
}

/// What the alternatives cost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Transfer {
    /// Tokens of the prefix that the other engine has cached.
    pub tokens: u32,
    /// Bytes of KV cache per token.
    pub state: f32,
    /// Bytes of the prompt's text and the answer.
    pub text: f32,
    /// Time per prompt token at the chosen engine, in milliseconds.
    pub prefill: f32,
    /// Bytes per millisecond between the engines.
    pub bandwidth: f32,
    /// One-way latency between the engines, in milliseconds.
    pub latency: f32,
    /// Time that the call would wait longer at the other engine, in milliseconds.
    pub wait: f32,
    /// Price of 1 MiB between the engines, in millionths of the currency.
    pub link: f32,
    /// Time until the stage has to be done, in milliseconds.
    pub left: f32,
}

/// Expected time in milliseconds and price in millionths of the currency of each alternative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alternative {
    /// How the state gets there.
    pub source: Source,
    /// Time before the first token that the alternative adds.
    pub time: f32,
    /// Price of the bytes between the engines.
    pub price: f32,
}

/// Bytes in the unit that traffic is priced in.
const MIB: f32 = 1_048_576.0;

impl Transfer {
    /// The alternatives; recomputing is last.
    pub fn alternatives(&self) -> [Alternative; 3] {
        let state = self.tokens as f32 * self.state;
        let bandwidth = self.bandwidth.max(f32::MIN_POSITIVE);
        let alternative = |source, time, bytes: f32| Alternative {
            source,
            time,
            price: bytes / MIB * self.link,
        };
        [
            // A request to export, then the state.
            alternative(
                Source::Import,
                2.0 * self.latency + state / bandwidth,
                state,
            ),
            alternative(
                Source::Reroute,
                2.0 * self.latency + self.text / bandwidth + self.wait,
                self.text,
            ),
            alternative(Source::Recompute, self.tokens as f32 * self.prefill, 0.0),
        ]
    }

    /// The best alternative for a deployment with these weights.
    ///
    /// Time is valued as in the choice of an upstream, so that both decisions agree.
    pub fn best(&self, settings: &score_settings::ScoreSettings) -> Source {
        let value =
            |found: &Alternative| settings.weighted_cost(found.price, found.time, self.left);
        let alternatives = self.alternatives();
        let best = alternatives
            .iter()
            .min_by(|one, other| value(one).total_cmp(&value(other)));
        best.map_or(Source::Recompute, |found| found.source)
    }
}
