//! Cost of the path of a request: decisions, relayed requests and relayed tokens.
//!
//! Every figure stands beside a baseline of the same run: the random router for decisions, direct
//! calls to the same stand-in for requests and tokens.

mod counting;
mod cpu_time;
mod decisions;
mod load;
mod requests;
mod setup;
mod tokens;

#[global_allocator]
static ALLOCATOR: counting::Counting = counting::Counting;

fn main() {
    decisions::run();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .expect("a runtime starts");
    runtime.block_on(async {
        requests::run().await;
        tokens::run().await;
    });
}
