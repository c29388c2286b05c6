//! Options for connecting to the admin interface of a daemon.

use std::net;
use std::path;

use bpaf::Bpaf;

/// Admin address and secret of a daemon
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Daemon {
    /// The `admin-address` of the daemon
    #[bpaf(long, argument("ADDRESS"))]
    pub(crate) admin: net::SocketAddr,
    /// Path of a file that contains the `secret` of the daemons
    #[bpaf(long, env("BASILGRADE_SECRET_FILE"), argument("FILE"))]
    pub(crate) secret_file: path::PathBuf,
}
