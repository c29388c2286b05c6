//! Options of the check of a configuration of the platform.

use std::path;

use basilgrade_types::id;
use basilgrade_types::parse;
use bpaf::Bpaf;
use bpaf::Parser;

/// Options for JSON files
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct PlatformCheck {
    #[bpaf(external, optional)]
    pub(crate) regions: Option<Vec<id::RegionId>>,
    /// Configuration in force, to which the differences are shown
    #[bpaf(long, argument("FILE"))]
    pub(crate) against: Option<path::PathBuf>,
}

fn regions() -> impl Parser<Vec<id::RegionId>> {
    bpaf::long("regions")
        .help("Regions of the deployment, such as `north,south`")
        .argument::<String>("NAMES")
        .parse(|names| {
            let names = names.split(',').map(|name| name.trim().parse());
            names.collect::<Result<_, parse::ParseError>>()
        })
}
