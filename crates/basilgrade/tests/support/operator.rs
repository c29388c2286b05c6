//! An operator's connection to a daemon.

use std::net;

use basilgrade_admin::client;
use basilgrade_admin::client::error;
use basilgrade_admin::status;
use basilgrade_config::settings::peers::secret;

use super::daemon;

/// Connects to the daemon whose operators' address is `address` and makes `call`.
///
/// The client belongs to one thread, so the call runs on a thread of its own.
pub(crate) async fn ask<T, F>(
    address: net::SocketAddr,
    call: impl FnOnce(client::Client) -> F + Send + 'static,
) -> Result<T, error::ClientError>
where
    T: Send + 'static,
    F: Future<Output = Result<T, error::ClientError>>,
{
    let ask = move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime starts");
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, async move {
            let secret = secret::Secret::new(daemon::SECRET).expect("the secret is long enough");
            call(client::Client::connect(address, &secret).await?).await
        })
    };
    tokio::task::spawn_blocking(ask)
        .await
        .expect("the operator's thread ends")
}

/// What the daemon whose operators' address is `address` reports.
pub(crate) async fn status(address: net::SocketAddr) -> Result<status::Status, error::ClientError> {
    ask(address, |client| async move { client.status().await }).await
}
