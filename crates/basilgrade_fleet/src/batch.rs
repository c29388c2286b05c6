//! Gathering of stage pieces into calls.
//!
//! Answers the load of many daemons that each have few pieces at a time: a call costs far more than
//! a piece, so one daemon of each failure domain gathers the pieces of all for the upstreams there,
//! and one routes the jobs of its failure domain to these queues. Work that can still be in time
//! goes first, then by rank, then by the earliest deadline; an idle upstream never waits for a
//! fuller call.

pub mod call;
pub mod cells;
pub mod duty;
pub mod job;
pub mod load;
mod maker;
pub mod outcome;
pub mod queue;
mod running;
mod waiting;
