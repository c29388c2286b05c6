//! Admin connections of operators to daemons.

use std::net;

use basilgrade_admin::client;
use basilgrade_admin::client::error;
use basilgrade_admin::status;
use basilgrade_config::settings::peers::secret;

use super::daemon;

/// Connects to the daemon with the admin address `address` and passes the client to `call`.
///
/// The client cannot move between threads, so `call` runs on a thread of its own.
pub(crate) async fn with_client<T, F>(
    address: net::SocketAddr,
    call: impl FnOnce(client::Client) -> F + Send + 'static,
) -> Result<T, error::ClientError>
where
    T: Send + 'static,
    F: Future<Output = Result<T, error::ClientError>>,
{
    let run_call = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("the runtime of the client starts");
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            let secret =
                secret::Secret::new(daemon::SECRET).expect("the peer secret is long enough");
            call(client::Client::connect(address, &secret).await?).await
        })
    };
    tokio::task::spawn_blocking(run_call)
        .await
        .expect("the thread of the client does not panic")
}

/// Returns the status that the daemon with the admin address `address` reports.
pub(crate) async fn status(address: net::SocketAddr) -> Result<status::Status, error::ClientError> {
    with_client(address, |client| async move { client.status().await }).await
}
