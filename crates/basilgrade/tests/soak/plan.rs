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

/// Kinds of faults that a run may have, by number.
const KINDS: usize = 11;

fn kind(random: &mut rngs::SmallRng, number: usize) -> Kind {
    match number {
        0 => Kind::Pause,
        1 => Kind::Kill,
        2 => Kind::Stop,
        3 => Kind::StopKill,
        4 => Kind::StopPause,
        5 => Kind::Reload,
        6 => Kind::Link(harm(random)),
        7 => Kind::Store(harm(random)),
        8 => Kind::Mood(mood(random)),
        9 => Kind::Drain,
        _ => Kind::Publish(random.random_range(1..5)),
    }
}

/// Draws the faults of a run of `length`.
///
/// Each run has some of the kinds only, in its own density: where everything fails all the time,
/// each promise has an excuse.
pub(crate) fn draw(random: &mut rngs::SmallRng, length: time::Duration) -> Vec<Fault> {
    let mut kinds: Vec<usize> = (0..KINDS).filter(|_| random.random()).collect();
    if kinds.is_empty() {
        kinds.extend(0..KINDS);
    }
    let gap = random.random_range(60..900);
    let mut faults = Vec::new();
    let mut at = time::Duration::from_millis(500);
    while at < length {
        let number = *kinds.choose(random).expect("there are some");
        faults.push(Fault {
            at,
            span: time::Duration::from_millis(random.random_range(200..2500)),
            target: random.random_range(0..1000),
            kind: kind(random, number),
        });
        at += time::Duration::from_millis(random.random_range(gap / 3..gap * 2));
    }
    faults
}
