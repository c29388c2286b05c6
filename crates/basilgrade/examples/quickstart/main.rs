//! Quickstart: runs a small deployment in one process, sends requests through it and checks every
//! answer.
//!
//! The platform and the upstreams are stand-ins on loopback. Three daemons run in two failure
//! domains, each of which is in a region of its own. The exit code is 1 if the deployment does not
//! start, a request fails or an answer is wrong.

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
            println!("all answers are correct");
            process::ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("{message}");
            process::ExitCode::FAILURE
        }
    }
}
