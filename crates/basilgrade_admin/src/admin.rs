//! Operations that a daemon offers through the admin interface.

use basilgrade_config::settings::log::level;
use basilgrade_types::request;
use futures::future;

use crate::configuration;
use crate::status;

/// Handler of the operators' calls, implemented by the daemon.
///
/// The methods are called on the single thread of the [`Server`](crate::Server), so they should
/// hand long-running work to the daemon's own runtime and return.
pub trait Admin: Send + Sync {
    /// The current status of the daemon.
    fn status(&self) -> future::BoxFuture<'_, status::Status>;

    /// The decisions that the daemon made for `request`, in order, one log line each; `None` if
    /// the daemon has no record of the request.
    fn explain(&self, request: request::RequestId) -> future::BoxFuture<'_, Option<Vec<String>>>;

    /// Starts draining the daemon, as SIGTERM does, and returns without waiting for the end.
    fn drain(&self) -> future::BoxFuture<'_, ()>;

    /// Changes the log level of the daemon until its process ends.
    fn set_level(&self, level: level::Level) -> future::BoxFuture<'_, ()>;

    /// The configuration in force; `None` if the daemon has none yet.
    fn configuration(&self) -> future::BoxFuture<'_, Option<configuration::Configuration>>;
}
