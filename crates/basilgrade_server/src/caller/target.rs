//! Targets of the caller interface.

use basilgrade_types::id;

/// The target that a request path names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Target {
    /// Liveness of the process.
    Health,
    /// Minting of a request key.
    Keys,
    /// Metrics for scraping.
    Metrics,
    /// A pipeline.
    Pipeline(id::PipelineId),
    /// Readiness, which tells the load balancer whether to send requests to this daemon.
    Ready,
    /// A plain service, with path and query at the service.
    Service(id::PoolId, String),
    /// A path that names no target.
    Unknown,
}

impl Target {
    /// Parses the path and query of a request.
    pub fn parse(uri: &hyper::Uri) -> Self {
        let path = uri.path();
        match path {
            "/healthz" => return Self::Health,
            "/metrics" => return Self::Metrics,
            "/readyz" => return Self::Ready,
            "/v1/keys" => return Self::Keys,
            _ => {}
        }
        if let Some(name) = path.strip_prefix("/v1/pipelines/") {
            return name.parse().map_or(Self::Unknown, Self::Pipeline);
        }
        if let Some(rest) = path.strip_prefix("/v1/services/") {
            let (name, tail) = rest.split_once('/').unwrap_or((rest, ""));
            let query = uri.query().map(|query| format!("?{query}"));
            return name.parse().map_or(Self::Unknown, |pool| {
                Self::Service(pool, format!("/{tail}{}", query.unwrap_or_default()))
            });
        }
        Self::Unknown
    }

    /// The name of the target in customers' lists of allowed targets and in metrics; empty for
    /// targets that belong to the daemon itself.
    pub fn name(&self) -> &str {
        match self {
            Self::Pipeline(pipeline) => pipeline.as_str(),
            Self::Service(pool, _) => pool.as_str(),
            Self::Health | Self::Keys | Self::Metrics | Self::Ready | Self::Unknown => "",
        }
    }
}
