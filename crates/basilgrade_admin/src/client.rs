//! Client side of the admin interface, for operators' tools.

pub mod error;

use std::net;
use std::time;

use basilgrade_config::settings::log::level;
use basilgrade_config::settings::peers::secret;
use basilgrade_types::request;
use basilgrade_types::revision;
use capnp::message;
use capnp_rpc::rpc_twoparty_capnp;
use capnp_rpc::twoparty;
use tokio_util::compat::TokioAsyncReadCompatExt;
use tokio_util::compat::TokioAsyncWriteCompatExt;

use crate::admin_capnp;
use crate::configuration;
use crate::handshake;
use crate::status;
use crate::wire;

/// The time limit for connecting, including the handshake, and for each call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// The largest response, in words of 8 bytes: 16 MiB, twice the longest configuration of 8 MiB.
const MESSAGE_WORDS: usize = 2 << 20;

/// An authenticated connection from an operator's tool to a daemon.
pub struct Client {
    admin: admin_capnp::admin::Client,
}

impl Client {
    /// Connects to a daemon and authenticates; must be called inside a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    ///
    /// If the daemon cannot be reached, has another secret or uses another protocol.
    pub async fn connect(
        address: net::SocketAddr,
        secret: &secret::Secret,
    ) -> Result<Self, error::ClientError> {
        let connect = async {
            let mut stream = tokio::net::TcpStream::connect(address)
                .await
                .map_err(|error| error::ClientError::Unreachable(address, error.to_string()))?;
            stream
                .set_nodelay(true)
                .map_err(|error| error::ClientError::Unreachable(address, error.to_string()))?;
            handshake::connect(&mut stream, secret.as_bytes())
                .await
                .map_err(|error| error::ClientError::handshake(address, &error))?;
            Ok::<_, error::ClientError>(stream)
        };
        let stream = tokio::time::timeout(CALL_TIMEOUT, connect)
            .await
            .map_err(|_| {
                error::ClientError::Unreachable(address, "no response within 10 s".to_owned())
            })??;
        let (reader, writer) = stream.into_split();
        let mut options = message::ReaderOptions::new();
        options.traversal_limit_in_words(Some(MESSAGE_WORDS));
        let network = twoparty::VatNetwork::new(
            reader.compat(),
            writer.compat_write(),
            rpc_twoparty_capnp::Side::Client,
            options,
        );
        let mut system = capnp_rpc::RpcSystem::new(Box::new(network), None);
        let admin = system.bootstrap(rpc_twoparty_capnp::Side::Server);
        tokio::task::spawn_local(system);
        Ok(Self { admin })
    }

    /// Returns the current status of the daemon.
    ///
    /// # Errors
    ///
    /// If the daemon does not respond or its response is malformed.
    pub async fn status(&self) -> Result<status::Status, error::ClientError> {
        let response = await_response(self.admin.status_request().send().promise).await?;
        Ok(wire::read_status(response.get()?.get_status()?)?)
    }

    /// Returns the decisions that the daemon made for `request`, one log line each; `None` if the
    /// daemon has no record of the request.
    ///
    /// # Errors
    ///
    /// If the daemon does not respond or its response is malformed.
    pub async fn explain(
        &self,
        request: request::RequestId,
    ) -> Result<Option<Vec<String>>, error::ClientError> {
        let mut call = self.admin.explain_request();
        call.get().set_request(request.to_string().as_str());
        let response = await_response(call.send().promise).await?;
        let explanation = response.get()?;
        if !explanation.get_known() {
            return Ok(None);
        }
        let mut lines = Vec::new();
        for line in explanation.get_lines()? {
            lines.push(line?.to_string().map_err(capnp::Error::from)?);
        }
        Ok(Some(lines))
    }

    /// Starts draining the daemon and returns without waiting for the end.
    ///
    /// # Errors
    ///
    /// If the daemon does not respond; it may be draining nevertheless.
    pub async fn drain(&self) -> Result<(), error::ClientError> {
        await_response(self.admin.drain_request().send().promise).await?;
        Ok(())
    }

    /// Changes the daemon's log level until its process ends.
    ///
    /// # Errors
    ///
    /// If the daemon does not respond or refuses the call.
    pub async fn set_level(&self, level: level::Level) -> Result<(), error::ClientError> {
        let mut call = self.admin.set_level_request();
        call.get().set_level(level.as_str());
        await_response(call.send().promise).await?;
        Ok(())
    }

    /// Returns the configuration in force; `None` if the daemon has none yet.
    ///
    /// # Errors
    ///
    /// If the daemon does not respond or its response is malformed.
    pub async fn configuration(
        &self,
    ) -> Result<Option<configuration::Configuration>, error::ClientError> {
        let response = await_response(self.admin.configuration_request().send().promise).await?;
        let result = response.get()?;
        let revision = revision::Revision(result.get_revision());
        if revision == revision::Revision::default() {
            return Ok(None);
        }
        let text = result.get_text()?.to_string().map_err(capnp::Error::from)?;
        Ok(Some(configuration::Configuration { revision, text }))
    }
}

async fn await_response<T>(
    promise: impl Future<Output = Result<T, capnp::Error>>,
) -> Result<T, error::ClientError> {
    match tokio::time::timeout(CALL_TIMEOUT, promise).await {
        Ok(response) => Ok(response?),
        Err(_) => Err(error::ClientError::Failed(
            "no response within 10 s".to_owned(),
        )),
    }
}
