//! Benchmark of the network, CPU and memory footprint of membership: simulates many nodes in one
//! process in virtual time, with the production codec.

mod footprint {
    pub(crate) mod counting_allocator;
    pub(crate) mod daemon_workload;
    pub(crate) mod deployment_shape;
    pub(crate) mod latency;
    pub(crate) mod measurement;
    pub(crate) mod plane_fit;
    pub(crate) mod report;
    pub(crate) mod scenario;
    pub(crate) mod world;
}

#[global_allocator]
static ALLOCATOR: footprint::counting_allocator::CountingAllocator =
    footprint::counting_allocator::CountingAllocator;

fn main() {
    footprint::report::run();
}
