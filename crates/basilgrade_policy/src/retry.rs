//! Second calls for the same stage: after a failure, or as a hedge against a slow answer.

pub mod backoff;
pub mod budget;
pub mod hedge;
pub mod permission;
