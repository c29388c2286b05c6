//! Starts a small deployment in one process, sends requests through it and checks every answer.
//!
//! The platform and the upstreams are stand-ins on loopback. Three daemons stand in two failure
//! domains of two regions. The exit code is not 0 if any answer is wrong.

mod deployment;
mod scenario;

use std::process;

#[tokio::main]
async fn main() -> process::ExitCode {
    let outcome = async {
        let deployment = deployment::start().await?;
        scenario::run(&deployment).await?;
        deployment.stop().await;
        Ok::<_, String>(())
    };
    match outcome.await {
        Ok(()) => {
            println!("all answers were right");
            process::ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("{message}");
            process::ExitCode::FAILURE
        }
    }
}
