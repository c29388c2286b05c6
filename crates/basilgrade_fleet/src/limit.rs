//! Limits on the rate of requests that upstreams name in their answers.
//!
//! A limit counts the requests of all daemons together, and it may be as low as one a second, which
//! cannot be divided among them. So one daemon, the holder, grants a permit for each request to the
//! upstream. Knowledge of a limit travels with the asks and their replies.
//!
//! A cold upstream has a limit too, which follows from its registration and the configuration.

use basilgrade_types::clock;
use basilgrade_types::rate;
use serde::Deserialize;
use serde::Serialize;

/// An answer without a limit ends the limit only if no answer has named it for this long, because
/// answers on different connections overtake each other.
const CLEAR_DELAY: clock::Millis = clock::Millis(500);

/// Age up to which knowledge of an upstream without a limit is used while other upstreams of its
/// pool have limits.
const FRESH_AGE: clock::Millis = clock::Millis(2000);

/// Time after which a permit that was not used is void.
const PERMIT_TTL: clock::Millis = clock::Millis(500);

/// Number of daemons that may grant permits for an upstream, in the order of their rank: the holder
/// and its substitutes.
pub const HOLDERS: usize = 3;

/// Part of the limit that each of the `HOLDERS` may grant.
///
/// Daemons that cannot reach each other cannot agree on the holder, so together they stay within
/// one and a half times the limit.
const SHARES: [f64; HOLDERS] = [1.0, 0.3, 0.2];

/// Most permits that each of the `HOLDERS` grants at once.
const BURSTS: [f64; HOLDERS] = [3.0, 1.0, 1.0];

/// Part of the most permits at once from which on permits are spare.
const SPARE_PART: f64 = 0.8;

/// Part of the limit that a new holder grants for `TAKEOVER_TIME`, while daemons that do not know it
/// may still ask its predecessor.
const TAKEOVER_SHARE: f64 = 0.5;
const TAKEOVER_TIME: clock::Millis = clock::Millis(4000);

/// Lowest rate of permits, so that the end of a limit of zero is noticed.
const MIN_RATE: f64 = 0.2;

/// Shortest and longest time after which a daemon that was denied a permit may ask again. The
/// latter grows with the number of daemons by `WAIT_PER_DAEMON`, which bounds the rate of asks.
const MIN_WAIT: clock::Millis = clock::Millis(20);
const WAIT_PER_DAEMON: clock::Millis = clock::Millis(50);
const WAIT_BOUNDS: (clock::Millis, clock::Millis) = (clock::Millis(1000), clock::Millis(20_000));

/// What a daemon tells another one about the limit of an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Limit named by the last answer that is known; `None` if it named none.
    pub rate: Option<rate::RequestRate>,
    /// Age of that answer; `None` if no answer is known. A rate without an age is what the upstream
    /// tolerates while it is cold.
    pub age: Option<clock::Millis>,
}

/// Permits that a request may take.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Claim {
    /// Any permit.
    Any,
    /// A permit that would otherwise be lost soon, as unused permits do not add up.
    Spare,
}

/// Decision of a holder on one request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Grant {
    /// The upstream has no limit, as far as the holder knows.
    Unlimited,
    /// One request may be sent now.
    Granted,
    /// No request may be sent; the daemon may ask again after this time.
    Denied(clock::Millis),
}

/// Permission to send one request to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The upstream named no limit when the permit was made.
    Unlimited,
    /// The permit was asked for at this time, and it counts towards the limit.
    Counted(clock::Millis),
}

/// Whether a request needs a permit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Need {
    /// No permit is needed.
    None,
    /// A holder must be asked.
    Ask,
    /// A holder has denied a permit and must not be asked again before this time.
    Held(clock::Millis),
}

/// Position of a daemon that grants permits for an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Holder {
    /// Rank among the daemons, 0 the first.
    pub rank: usize,
    /// Number of daemons.
    pub daemons: usize,
}

/// Permits that this daemon may grant for one run of an upstream.
#[derive(Clone, Copy, Debug, Default)]
struct Allowance {
    tokens: f64,
    refilled_at: Option<clock::Millis>,
    /// Time since which this daemon has been first in rank.
    first_since: Option<clock::Millis>,
    /// Time at which the next daemon that is denied a permit may ask again.
    next_turn: clock::Millis,
}

impl Allowance {
    /// Part of the limit that the daemon with the rank `rank` may grant.
    fn share(&mut self, now: clock::Millis, rank: usize) -> f64 {
        if rank > 0 {
            self.first_since = None;
            return SHARES[rank];
        }
        let since = *self.first_since.get_or_insert(now);
        if now < since.plus(TAKEOVER_TIME) {
            return TAKEOVER_SHARE;
        }
        SHARES[rank]
    }

    /// Takes a permit if there is one; the limit is `limit` requests per second, of which `burst` may
    /// be granted at once.
    fn take(
        &mut self,
        now: clock::Millis,
        holder: Holder,
        (limit, burst): (f64, f64),
        claim: Claim,
    ) -> Grant {
        let Holder { rank, daemons } = holder;
        let per_ms = limit.max(MIN_RATE) * self.share(now, rank) / 1000.0;
        let elapsed = now - self.refilled_at.unwrap_or(now);
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed.as_f64() * per_ms).min(burst);
        let needed = match claim {
            Claim::Any => 1.0,
            Claim::Spare => (burst * SPARE_PART).max(1.0),
        };
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Grant::Granted;
        }
        let missing = needed - self.tokens;
        let ready_at = now.plus(clock::Millis((missing / per_ms).ceil() as u64));
        let turn = self.next_turn.max(ready_at);
        let longest =
            clock::Millis(WAIT_PER_DAEMON.0 * daemons as u64).clamp(WAIT_BOUNDS.0, WAIT_BOUNDS.1);
        if turn <= now.plus(longest) {
            self.next_turn = turn.plus(clock::Millis((1.0 / per_ms) as u64));
        }
        Grant::Denied((turn - now).clamp(MIN_WAIT, longest))
    }
}

/// Limit of an upstream that is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimit {
    /// Requests that the upstream tolerates.
    pub rate: rate::RequestRate,
    /// Most permits that the holder grants at once.
    pub burst: f64,
}

/// By how much the requests of one second at a cold upstream may exceed its rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdBounds {
    /// Factor on the rate.
    pub overshoot: f64,
    /// Requests beyond the product.
    pub slack: f64,
}

impl ColdBounds {
    /// Limit by which the holder and its substitutes together stay within the bounds for `rate`, also
    /// if they cannot reach each other.
    pub fn limit(&self, rate: rate::RequestRate) -> ColdLimit {
        let all_shares: f64 = SHARES.iter().sum();
        let other_bursts: f64 = BURSTS[1..].iter().sum();
        let factor = (self.overshoot / all_shares).clamp(0.0, 1.0);
        ColdLimit {
            rate: rate::RequestRate(rate.0 * factor),
            burst: (self.slack - other_bursts).clamp(1.0, BURSTS[0]),
        }
    }
}

/// What a daemon knows of the limit of one run of an upstream, and its permits for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limit {
    rate: Option<rate::RequestRate>,
    /// Time of the last answer that named the limit.
    named_at: clock::Millis,
    /// Time of the last answer that is known.
    heard_at: Option<clock::Millis>,
    /// Time at which a holder last knew of no limit.
    checked_at: Option<clock::Millis>,
    held_until: clock::Millis,
    /// Like `held_until`, for spare permits.
    spare_held_until: clock::Millis,
    cold: Option<ColdLimit>,
    allowance: Allowance,
}

impl Limit {
    /// Rate that the upstream takes from all daemons together; `None` if it names no limit.
    pub fn rate(&self) -> Option<rate::RequestRate> {
        self.rate
    }

    /// Whether requests need permits, as the upstream names a limit or is cold.
    pub fn is_bound(&self) -> bool {
        self.rate.is_some() || self.cold.is_some()
    }

    /// Sets the limit of the upstream while it is cold; `true` if that begins or ends.
    pub fn set_cold(&mut self, now: clock::Millis, cold: Option<ColdLimit>) -> bool {
        if cold.is_some() && !self.is_bound() {
            self.begin(now);
        }
        let previous = std::mem::replace(&mut self.cold, cold);
        previous.is_some() != cold.is_some()
    }

    /// Starts to grant permits, as the upstream has a limit from `at` on.
    fn begin(&mut self, at: clock::Millis) {
        // Whoever has known the upstream without a limit sees the limit begin, so no other daemon
        // has granted permits before.
        let first_since = self.heard_at.map(|_| at - TAKEOVER_TIME);
        self.allowance = Allowance {
            first_since,
            ..Allowance::default()
        };
    }

    /// Whether an answer of the upstream is known.
    pub fn is_heard(&self) -> bool {
        self.heard_at.is_some()
    }

    /// Records an answer of the upstream, which names the limit `rate` or none; `true` if that
    /// changes the limit.
    pub fn record_answer(&mut self, at: clock::Millis, rate: Option<rate::RequestRate>) -> bool {
        if self.heard_at.is_some_and(|known| at < known) {
            return false;
        }
        if rate.is_some() {
            self.named_at = at;
        } else if self.rate.is_some() && at < self.named_at.plus(CLEAR_DELAY) {
            return false;
        }
        if rate.is_some() && !self.is_bound() {
            self.begin(at);
        }
        self.heard_at = Some(at);
        std::mem::replace(&mut self.rate, rate) != rate
    }

    /// What this daemon knows, for another daemon.
    ///
    /// Daemons of earlier builds ignore the limit of a cold upstream, whose report has no age.
    pub fn report(&self, now: clock::Millis) -> Report {
        if let (None, Some(cold)) = (self.rate, self.cold) {
            return Report {
                rate: Some(cold.rate),
                age: None,
            };
        }
        Report {
            rate: self.rate,
            age: self.heard_at.map(|at| now - at),
        }
    }

    /// Takes over what another daemon has reported, unless it is older; `true` if that changes the
    /// limit.
    pub fn merge(&mut self, now: clock::Millis, report: Report) -> bool {
        report
            .age
            .is_some_and(|age| self.record_answer(now - age, report.rate))
    }

    /// Whether a request to the upstream needs a permit.
    ///
    /// `is_doubtful` tells that other daemons may know of a limit: another upstream of the pool has
    /// one, or this daemon has not heard from the pool yet. Then knowledge must be fresh.
    pub fn need(&self, now: clock::Millis, claim: Claim, is_doubtful: bool) -> Need {
        if self.is_bound() {
            let held_until = match claim {
                Claim::Any => self.held_until,
                Claim::Spare => self.held_until.max(self.spare_held_until),
            };
            return if now < held_until {
                Need::Held(held_until)
            } else {
                Need::Ask
            };
        }
        let known_at = self.heard_at.max(self.checked_at);
        let is_fresh = known_at.is_some_and(|at| now < at.plus(FRESH_AGE));
        if is_fresh || !is_doubtful {
            Need::None
        } else {
            Need::Ask
        }
    }

    /// Records the decision of a holder; returns the permit for a request asked for at `asked_at`.
    ///
    /// # Errors
    ///
    /// The time before which no holder must be asked again.
    pub fn record_grant(
        &mut self,
        asked_at: clock::Millis,
        now: clock::Millis,
        claim: Claim,
        grant: Grant,
    ) -> Result<Permit, clock::Millis> {
        match grant {
            Grant::Unlimited => {
                self.checked_at = Some(now);
                Ok(Permit::Unlimited)
            }
            Grant::Granted => Ok(Permit::Counted(asked_at)),
            Grant::Denied(wait) => {
                let held_until = match claim {
                    Claim::Any => &mut self.held_until,
                    Claim::Spare => &mut self.spare_held_until,
                };
                *held_until = (*held_until).max(now.plus(wait));
                Err(*held_until)
            }
        }
    }

    /// Whether `permit` still allows a request at `now`.
    pub fn allows(&self, now: clock::Millis, permit: Permit) -> bool {
        match permit {
            Permit::Unlimited => !self.is_bound(),
            Permit::Counted(asked_at) => !self.is_bound() || now < asked_at.plus(PERMIT_TTL),
        }
    }

    /// Decides on one request as `holder`.
    pub fn grant(&mut self, now: clock::Millis, holder: Holder, claim: Claim) -> Grant {
        if !self.is_bound() {
            return Grant::Unlimited;
        }
        if holder.rank >= HOLDERS {
            return Grant::Denied(WAIT_BOUNDS.0);
        }
        let named = self.rate.map(|rate| rate.0);
        let rate = match (named, self.cold) {
            (Some(named), Some(cold)) => named.min(cold.rate.0),
            (None, Some(cold)) => cold.rate.0,
            (named, None) => named.unwrap_or(f64::INFINITY),
        };
        let burst = self
            .cold
            .map_or(f64::INFINITY, |cold| cold.burst)
            .min(BURSTS[holder.rank]);
        self.allowance.take(now, holder, (rate, burst), claim)
    }
}
