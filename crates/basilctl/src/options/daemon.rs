//! How to reach a daemon.

use std::net;
use std::path;

use bpaf::Bpaf;

/// How to reach a daemon
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Daemon {
    /// The `admin-address` of the daemon
    #[bpaf(long, argument("ADDRESS"))]
    pub(crate) admin: net::SocketAddr,
    /// A file that holds the daemons' `secret`
    #[bpaf(long, env("BASILGRADE_SECRET_FILE"), argument("FILE"))]
    pub(crate) secret_file: path::PathBuf,
}
