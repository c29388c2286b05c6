//! Reasons to refuse a request or a call before anything is sent to an upstream.

use quick_error::quick_error;

quick_error! {
    /// Reason for a refusal. Nothing has been sent, so the verdict of the request is always
    /// `not run`.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// The customer has used up its share of its quota.
        CustomerLimit {
            display("customer is over its share; send fewer requests")
        }
        /// The deadline has passed, or no plan of the stages meets it.
        Deadline {
            display("the deadline cannot be met; allow more time")
        }
        /// Every upstream that could serve the call is at its limit of calls in flight.
        Saturated {
            display("every upstream of the pool is at its limit; try again later")
        }
        /// Every upstream of the pool is ejected or excluded, or the pool is empty.
        Unserved {
            display("no upstream of the pool is available; check `basilctl status`")
        }
    }
}

impl Refusal {
    /// Identifier of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CustomerLimit => "customer-limit",
            Self::Deadline => "deadline",
            Self::Saturated => "saturated",
            Self::Unserved => "unserved",
        }
    }
}
