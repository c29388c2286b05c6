//! Option for the address of the platform.

use std::net;

use bpaf::Bpaf;

/// Address of the platform
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Platform {
    /// Address of the platform's HTTP interface, such as `10.0.0.2:9000`
    #[bpaf(long, env("BASILGRADE_PLATFORM"), argument("ADDRESS"))]
    pub(crate) platform: net::SocketAddr,
}
