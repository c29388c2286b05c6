//! Batching of stage pieces into calls to upstreams.
//!
//! A stage is work that a request needs before it is served. It consists of pieces, and the pieces
//! of one stage of one request form a job. The fixed time of a call is far longer than the time of
//! a piece, and each daemon has only few pieces at a time. Therefore one daemon of each failure
//! domain keeps the queue of the upstreams there and batches the pieces of all daemons, and one
//! daemon of each failure domain routes the jobs of the daemons there to these queues. Jobs that
//! can still meet their target latency go first, then jobs of higher priority, then older ones; an
//! idle upstream never waits for a fuller call.

pub mod call;
pub mod cells;
pub mod decisions;
pub mod duty;
pub mod job;
pub mod load;
pub mod order;
pub mod outcome;
pub mod policy;
pub mod queue;
mod running;
pub mod terms;
pub mod turns;
mod waiting;
mod worker;
