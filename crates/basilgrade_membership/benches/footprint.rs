//! Footprint of a daemon's control traffic: many nodes in one process, in virtual time, with the
//! real codec.

mod footprint {
    pub(crate) mod counting;
    pub(crate) mod fit;
    pub(crate) mod latency;
    pub(crate) mod report;
    pub(crate) mod sample;
    pub(crate) mod scenario;
    pub(crate) mod shape;
    pub(crate) mod workload;
    pub(crate) mod world;
}

#[global_allocator]
static ALLOCATOR: footprint::counting::Counting = footprint::counting::Counting;

fn main() {
    footprint::report::run();
}
