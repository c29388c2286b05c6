//! Pace at which the engines of a pool generate tokens.

use basilgrade_types::clock;

/// Part of the difference to a faster stream by which the estimate falls.
const DECAY: f64 = 0.05;

/// Time that engines take for each token that a request may generate: about that of the slowest
/// streams of late.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TokenPace {
    /// Milliseconds for each token; `None` before the first stream.
    slowest: Option<f64>,
}

impl TokenPace {
    /// Records a complete stream that took `span` from its first event on, and might have generated
    /// `tokens`.
    pub fn record(&mut self, tokens: u64, span: clock::Millis) {
        if tokens == 0 {
            return;
        }
        let pace = span.as_f64() / tokens as f64;
        self.slowest = Some(match self.slowest {
            Some(slowest) if slowest > pace => slowest + (pace - slowest) * DECAY,
            _ => pace,
        });
    }

    /// Time that a stream of `tokens` may take from its first event on; `None` if that is unknown.
    pub fn span(&self, tokens: u64) -> Option<clock::Millis> {
        let pace = self.slowest?;
        Some(clock::Millis((pace * tokens as f64).ceil() as u64))
    }
}
