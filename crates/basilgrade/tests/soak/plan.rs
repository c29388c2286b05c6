//! The faults of a run, drawn from its seed.

use std::time;

use rand::RngExt as _;
use rand::rngs;
use rand::seq::IndexedRandom as _;

use crate::proxy;
use crate::upstream;

/// One fault.
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    /// A daemon is paused.
    Pause,
    /// A daemon is killed and started again.
    Kill,
    /// A daemon shuts down and is started again.
    Stop,
    /// A daemon is killed while it shuts down.
    StopKill,
    /// A daemon is paused while it shuts down.
    StopPause,
    /// A daemon reads its settings again.
    Reload,
    /// The way to an upstream is harmed.
    Link(proxy::Harm),
    /// The way to the store is harmed.
    Store(proxy::Harm),
    /// An upstream misbehaves.
    Mood(upstream::Mood),
    /// An upstream leaves, and is back later.
    Drain,
    /// So many new configurations, each of which replaces a caller's key.
    Publish(u32),
}

impl Kind {
    /// Name for reports.
    pub(crate) fn name(&self) -> String {
        let text = format!("{self:?}");
        let words = text
            .split('(')
            .take(2)
            .map(|word| word.trim_end_matches(')'));
        words.collect::<Vec<_>>().join("-")
    }
}

/// A fault with its time.
#[derive(Clone, Debug)]
pub(crate) struct Fault {
    pub(crate) at: time::Duration,
    pub(crate) span: time::Duration,
    /// Number of the daemon or upstream, modulo how many there are.
    pub(crate) target: usize,
    pub(crate) kind: Kind,
}

fn harm(random: &mut rngs::SmallRng) -> proxy::Harm {
    let delay = time::Duration::from_millis(random.random_range(20..400));
    let harms = [
        proxy::Harm::Delay(delay),
        proxy::Harm::Reset,
        proxy::Harm::Silence,
        proxy::Harm::CutAnswers,
    ];
    *harms.choose(random).expect("there are some")
}

fn mood(random: &mut rngs::SmallRng) -> upstream::Mood {
    let moods = [
        upstream::Mood::Full,
        upstream::Mood::Mute,
        upstream::Mood::Unsigned,
        upstream::Mood::Foreign,
        upstream::Mood::BreaksIn(random.random_range(1..=upstream::EVENTS)),
        upstream::Mood::Slow(random.random_range(10..300)),
    ];
    *moods.choose(random).expect("there are some")
}

/// Draws the faults of a run of `length`.
pub(crate) fn draw(random: &mut rngs::SmallRng, length: time::Duration) -> Vec<Fault> {
    let mut faults = Vec::new();
    let mut at = time::Duration::from_millis(500);
    while at < length {
        let kind = match random.random_range(0..20) {
            0 | 1 => Kind::Pause,
            2 => Kind::Kill,
            3 | 4 => Kind::Stop,
            5 => Kind::StopKill,
            6 => Kind::StopPause,
            7 => Kind::Reload,
            8..=11 => Kind::Link(harm(random)),
            12 | 13 => Kind::Store(harm(random)),
            14..=16 => Kind::Mood(mood(random)),
            17 => Kind::Drain,
            _ => Kind::Publish(random.random_range(1..5)),
        };
        faults.push(Fault {
            at,
            span: time::Duration::from_millis(random.random_range(200..2500)),
            target: random.random_range(0..1000),
            kind,
        });
        at += time::Duration::from_millis(random.random_range(20..700));
    }
    faults
}
