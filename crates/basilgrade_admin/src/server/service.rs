//! Server side of the RPC calls from operators' tools.

use std::rc::Rc;
use std::sync::Arc;

use basilgrade_types::request;

use crate::admin;
use crate::admin_capnp::admin as rpc;
use crate::wire;

/// Forwards RPC calls to the daemon's [`admin::Admin`] implementation.
pub(super) struct Service {
    admin: Arc<dyn admin::Admin>,
}

impl Service {
    pub(super) fn new(admin: Arc<dyn admin::Admin>) -> Self {
        Self { admin }
    }
}

impl rpc::Server for Service {
    async fn status(
        self: Rc<Self>,
        _: rpc::StatusParams,
        mut results: rpc::StatusResults,
    ) -> Result<(), capnp::Error> {
        let status = self.admin.status().await;
        wire::write_status(&status, results.get().init_status());
        Ok(())
    }

    async fn explain(
        self: Rc<Self>,
        params: rpc::ExplainParams,
        mut results: rpc::ExplainResults,
    ) -> Result<(), capnp::Error> {
        let request: request::RequestId = wire::parse_text(params.get()?.get_request()?)?;
        let lines = self.admin.explain(request).await;
        let mut builder = results.get();
        builder.set_known(lines.is_some());
        let lines = lines.unwrap_or_default();
        let list = builder.init_lines(lines.len() as u32);
        wire::write_texts(lines.iter().map(String::as_str), list);
        Ok(())
    }

    async fn drain(
        self: Rc<Self>,
        _: rpc::DrainParams,
        _: rpc::DrainResults,
    ) -> Result<(), capnp::Error> {
        self.admin.drain().await;
        Ok(())
    }

    async fn set_level(
        self: Rc<Self>,
        params: rpc::SetLevelParams,
        _: rpc::SetLevelResults,
    ) -> Result<(), capnp::Error> {
        let level = wire::parse_text(params.get()?.get_level()?)?;
        self.admin.set_level(level).await;
        Ok(())
    }

    async fn configuration(
        self: Rc<Self>,
        _: rpc::ConfigurationParams,
        mut results: rpc::ConfigurationResults,
    ) -> Result<(), capnp::Error> {
        if let Some(configuration) = self.admin.configuration().await {
            let mut builder = results.get();
            builder.set_revision(configuration.revision.0);
            builder.set_text(configuration.text.as_str());
        }
        Ok(())
    }
}
