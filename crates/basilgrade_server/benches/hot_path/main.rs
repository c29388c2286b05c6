//! Benchmark of the request path: routing decisions, forwarded requests and streamed tokens.
//!
//! Every result is printed beside a baseline of the same run: the random router for decisions,
//! direct calls to the same stand-in for requests and tokens.

mod counting_allocator;
mod cpu_time;
mod decisions;
mod load;
mod requests;
mod setup;
mod tokens;

#[global_allocator]
static ALLOCATOR: counting_allocator::CountingAllocator = counting_allocator::CountingAllocator;

fn main() {
    decisions::run();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("expected the runtime to start");
    runtime.block_on(async {
        requests::run().await;
        tokens::run().await;
    });
}
