//! Adaptive limit on the calls that a daemon has in flight at one upstream.

use std::sync::atomic;

use basilgrade_types::clock;

/// Ratio of latency to its floor up to which the limit grows.
///
/// A batch slows its members down by up to 1.6; a call that waited as long as it ran takes 2 or
/// more.
const TOLERANCE: f32 = 4.0;

/// Share of a new observation in the limit.
const GAIN: f32 = 0.1;

/// Calls added to the limit by each observation below the tolerance.
const HEADROOM: f32 = 0.5;

/// Least factor that one observation applies to the limit.
const LEAST_GRADIENT: f32 = 0.5;

/// Limits between which the adaptation moves.
const BOUNDS: (f32, f32) = (1.0, 1000.0);

/// Time after which the floor is measured anew, so that it follows an upstream that became slower
/// for good.
const WINDOW: clock::Millis = clock::Millis(30_000);

/// The gradient of latency against its own floor moves the limit.
///
/// Latency is given as a multiple of the expected time of the call alone, so that calls of
/// different size are comparable.
#[derive(Debug)]
pub struct AdaptiveLimit {
    /// Bits of the limit.
    limit: atomic::AtomicU32,
    /// Bits of the least ratio in this window and in the one before.
    floors: [atomic::AtomicU32; 2],
    /// When this window began.
    window: atomic::AtomicU64,
}

impl AdaptiveLimit {
    /// A limit that starts at `start` calls.
    pub fn new(start: u32) -> Self {
        Self {
            limit: atomic::AtomicU32::new((start as f32).to_bits()),
            floors: [const { atomic::AtomicU32::new(f32::MAX.to_bits()) }; 2],
            window: atomic::AtomicU64::new(0),
        }
    }

    /// Most calls in flight.
    pub fn current(&self) -> u32 {
        load(&self.limit) as u32
    }

    /// Records a finished call that took `ratio` times its expected time alone, while `inflight`
    /// calls of this daemon were at the upstream.
    pub fn observe(&self, now: clock::Millis, ratio: f32, inflight: u32) {
        let floor = self.floor(now, ratio);
        let limit = load(&self.limit);
        let gradient = (TOLERANCE * floor / ratio.max(0.01)).clamp(LEAST_GRADIENT, 1.0);
        // A limit that is not used says nothing about the load that the upstream can take.
        if gradient >= 1.0 && (inflight as f32) < limit / 2.0 {
            return;
        }
        let wanted = limit * gradient + HEADROOM;
        let next = (limit + GAIN * (wanted - limit)).clamp(BOUNDS.0, BOUNDS.1);
        store(&self.limit, next);
    }

    /// The least ratio lately, `ratio` included.
    fn floor(&self, now: clock::Millis, ratio: f32) -> f32 {
        let began = clock::Millis(self.window.load(atomic::Ordering::Relaxed));
        if now - began >= WINDOW {
            self.window.store(now.0, atomic::Ordering::Relaxed);
            store(&self.floors[1], load(&self.floors[0]));
            store(&self.floors[0], ratio);
        }
        let least = load(&self.floors[0]).min(ratio);
        store(&self.floors[0], least);
        least.min(load(&self.floors[1])).max(0.01)
    }
}

fn load(cell: &atomic::AtomicU32) -> f32 {
    f32::from_bits(cell.load(atomic::Ordering::Relaxed))
}

fn store(cell: &atomic::AtomicU32, value: f32) {
    cell.store(value.to_bits(), atomic::Ordering::Relaxed);
}
