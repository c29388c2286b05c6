//! Network partition that can separate some daemons from all upstreams.

use std::net;
use std::sync;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;

use super::daemon;
use super::deployment;
use super::path;
use super::server;
use super::store;

/// The store as the daemons behind the partition see it: with addresses of paths instead of those of
/// the upstreams.
struct Registrations {
    upstreams: sync::Arc<store::Store>,
    others: sync::Arc<store::Store>,
}

impl server::Handler for Registrations {
    async fn handle(
        self: sync::Arc<Self>,
        request: Request<Bytes>,
    ) -> Option<Response<server::Body>> {
        let query = request.uri().query().unwrap_or_default();
        let store = if query.contains("topic=keyed.servers") {
            &self.upstreams
        } else {
            &self.others
        };
        server::Handler::handle(sync::Arc::clone(store), request).await
    }
}

/// Paths of some daemons to all upstreams; the other daemons and the store stay reachable.
pub(crate) struct Partition {
    paths: Vec<path::Path>,
    store_server: server::Server,
}

impl Partition {
    /// Opens a path to every upstream of `deployment`.
    pub(crate) async fn start(deployment: &deployment::Deployment) -> Self {
        let upstreams = sync::Arc::<store::Store>::default();
        let mut paths = Vec::new();
        for (id, entry) in deployment.store.newest("keyed.servers") {
            let mut entry: serde_json::Value =
                serde_json::from_slice(&entry).expect("the registration is JSON");
            let address: net::SocketAddr = entry["address"]
                .as_str()
                .and_then(|address| address.parse().ok())
                .expect("the registration has an address");
            let path = path::Path::start(address);
            entry["address"] = path.address.to_string().into();
            upstreams.put("keyed.servers", &id, &entry.to_string());
            paths.push(path);
        }
        let registrations = Registrations {
            upstreams,
            others: sync::Arc::clone(&deployment.store),
        };
        Self {
            paths,
            store_server: server::start(sync::Arc::new(registrations)).await,
        }
    }

    /// Starts a daemon of `deployment` behind the partition; returns its index.
    ///
    /// It has to be the only one of its failure domain, or it follows another one's registrations.
    pub(crate) async fn add_daemon(
        &self,
        deployment: &mut deployment::Deployment,
        name: &str,
        domain: &str,
    ) -> usize {
        let seeds = deployment.daemons.iter().map(|daemon| daemon.peer_address);
        let seeds: Vec<_> = seeds.collect();
        let mut daemon = daemon::Daemon::new(name, domain, self.store_server.address, &seeds);
        daemon.start();
        deployment.daemons.push(daemon);
        let number = deployment.daemons.len() - 1;
        deployment.wait_until_ready(number).await;
        number
    }

    /// Sets the state of all paths.
    pub(crate) fn set(&self, state: path::PathState) {
        for path in &self.paths {
            path.set(state);
        }
    }
}
