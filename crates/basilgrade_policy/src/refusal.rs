//! Why no upstream was chosen.

use quick_error::quick_error;

quick_error! {
    /// A refusal before anything was sent; its verdict is always `not run`.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum Refusal {
        /// The customer is over its share.
        CustomerLimit {
            display("customer is over its share; send fewer requests")
        }
        /// No plan meets the deadline.
        Deadline {
            display("the deadline cannot be met; allow more time")
        }
        /// Every upstream that could serve the call is at its limit.
        Saturated {
            display("every upstream of the pool is at its limit; try again later")
        }
        /// No upstream can serve the call.
        Unserved {
            display("no upstream of the pool is available; check `basilctl status`")
        }
    }
}

impl Refusal {
    /// Short text for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CustomerLimit => "customer-limit",
            Self::Deadline => "deadline",
            Self::Saturated => "saturated",
            Self::Unserved => "unserved",
        }
    }
}
