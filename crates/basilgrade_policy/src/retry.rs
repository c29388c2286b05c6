//! Second calls for the same stage: after a failure, or as a hedge against a slow answer.

pub mod backoff;
pub mod hedge;
pub mod retry_budget;
pub mod retry_rules;
