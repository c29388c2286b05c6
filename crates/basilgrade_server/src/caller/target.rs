//! What a caller asks for.

use basilgrade_types::id;

/// The target named by a request path.
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
    /// Whether the balancer should send requests here.
    Ready,
    /// A plain service and the path on it.
    Service(id::PoolId, String),
    /// A path that names nothing.
    Unknown,
}

impl Target {
    /// Reads the path and query of a request.
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

    /// The name used in customers' lists of targets and in metrics.
    pub fn name(&self) -> &str {
        match self {
            Self::Pipeline(pipeline) => pipeline.as_str(),
            Self::Service(pool, _) => pool.as_str(),
            Self::Health | Self::Keys | Self::Metrics | Self::Ready | Self::Unknown => "",
        }
    }
}
