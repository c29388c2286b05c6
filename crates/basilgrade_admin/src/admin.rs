//! What a daemon offers its operators.

use basilgrade_config::settings::log::level;
use basilgrade_types::request;
use futures::future;

use crate::configuration;
use crate::status;

/// Implemented by the daemon.
///
/// The methods are called on the thread of the [`Server`](crate::Server), so they should hand long
/// work to the daemon's own runtime and return.
pub trait Admin: Send + Sync {
    /// What the daemon knows and does.
    fn status(&self) -> future::BoxFuture<'_, status::Status>;

    /// The decisions of a request in order, one log line each; `None` if none are kept.
    fn explain(&self, request: request::RequestId) -> future::BoxFuture<'_, Option<Vec<String>>>;

    /// Starts to drain, as SIGTERM does, and returns without waiting for the end.
    fn drain(&self) -> future::BoxFuture<'_, ()>;

    /// Changes the log level of the process until it ends.
    fn set_level(&self, level: level::Level) -> future::BoxFuture<'_, ()>;

    /// The configuration in force; `None` if the daemon has none yet.
    fn configuration(&self) -> future::BoxFuture<'_, Option<configuration::Configuration>>;
}
