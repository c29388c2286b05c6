//! One connection from an operator's tool to the admin server.

use std::io;
use std::sync::Arc;
use std::time;

use basilgrade_config::settings::peers::secret;
use capnp::message;
use capnp_rpc::rpc_twoparty_capnp;
use capnp_rpc::twoparty;
use tokio::net;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

use crate::admin;
use crate::admin_capnp;
use crate::handshake;
use crate::server::service;

/// The time limit for the handshake, after which a connection without a response is closed.
const AUTHENTICATION_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// The longest lifetime of a connection, so that connections of failed clients are closed too.
const LIFETIME: time::Duration = time::Duration::from_mins(5);
/// The largest message from a client, in words of 8 bytes; a call has at most one short text.
const MESSAGE_WORDS: usize = 8 << 10;

/// Authenticates the client and serves its calls until it closes the connection or the connection
/// reaches its longest lifetime.
pub(super) async fn run(
    mut stream: net::TcpStream,
    secret: &secret::Secret,
    admin: Arc<dyn admin::Admin>,
) -> Result<(), handshake::HandshakeError> {
    stream.set_nodelay(true)?;
    tokio::time::timeout(
        AUTHENTICATION_TIMEOUT,
        handshake::accept(&mut stream, secret.as_bytes()),
    )
    .await
    .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let (reader, writer) = stream.into_split();
    let mut options = message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MESSAGE_WORDS));
    let network = twoparty::VatNetwork::new(
        reader.compat(),
        writer.compat_write(),
        rpc_twoparty_capnp::Side::Server,
        options,
    );
    let client: admin_capnp::admin::Client = capnp_rpc::new_client(service::Service::new(admin));
    let system = capnp_rpc::RpcSystem::new(Box::new(network), Some(client.client));
    // The result is ignored because a client that closes its connection can cause an error here.
    let _ = tokio::time::timeout(LIFETIME, system).await;
    Ok(())
}
