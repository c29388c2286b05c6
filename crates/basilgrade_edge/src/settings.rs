//! Settings of an edge daemon, an INI file that the platform renders from `deploy/settings.ini`.

use std::net;
use std::str;

use basilgrade_fleet::admission::policy as admission_policy;
use basilgrade_fleet::balance;
use basilgrade_fleet::batch::policy;
use basilgrade_fleet::budget;
use basilgrade_fleet::limit;
use basilgrade_fleet::news_pace;
use basilgrade_types::clock;
use basilgrade_types::id;
use basilgrade_types::size;
use indexmap::IndexMap;
use quick_error::quick_error;

/// Interval at which upstreams renew their registrations if the settings do not state it.
const DEFAULT_HEARTBEAT: clock::Millis = clock::Millis(1200);

/// Bound on learning a change if the settings do not state it.
const DEFAULT_NEWS_BOUND: clock::Millis = clock::Millis(2500);

/// Bounds on requests at cold upstreams if the settings do not state them: no more than the rate, and
/// one request more.
const DEFAULT_COLD: limit::ColdBounds = limit::ColdBounds {
    overshoot: 1.0,
    slack: 1.0,
};

/// Memory of the VM if the settings do not state it: that of the smallest VM.
const DEFAULT_MEMORY: size::ByteCount = size::ByteCount(160_000_000);

/// Minimum memory of a VM; the daemon does not run in less.
const MIN_MEMORY: size::ByteCount = size::ByteCount(32_000_000);

quick_error! {
    /// Error in the settings file.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The file is not valid INI.
        Syntax(reason: String) {
            display("the settings are not a valid INI file: {reason}; correct the syntax")
        }
        /// A required key is missing or empty.
        Missing(section: &'static str, key: &'static str) {
            display("missing key `{key}` in section `[{section}]`; add it")
        }
        /// A value cannot be parsed as the type of its key.
        Invalid(section: &'static str, key: String, value: String) {
            display("invalid value `{value}` for `{key}` in section `[{section}]`; correct it")
        }
    }
}

/// What the time left to the target of a stage accounts for, beside the later stages' calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Plan {
    /// Nothing else.
    #[default]
    Calls,
    /// The later stages' waits in queues and on the network.
    Waits,
}

impl str::FromStr for Plan {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "calls" => Ok(Self::Calls),
            "waits" => Ok(Self::Waits),
            _ => Err(()),
        }
    }
}

/// Settings of an edge daemon.
#[derive(Clone, Debug)]
pub struct Settings {
    pub name: id::VmId,
    pub domain: id::DomainId,
    /// Region of each failure domain.
    pub regions: IndexMap<id::DomainId, id::RegionId>,
    /// Listen address for callers.
    pub callers: net::SocketAddr,
    /// Listen address for the balancer's readiness probe.
    pub readiness: net::SocketAddr,
    /// Listen address for other daemons.
    pub peers: net::SocketAddr,
    /// Listen address for metrics; `None` if metrics are not served.
    pub metrics: Option<net::SocketAddr>,
    /// Addresses of daemons to ask for configuration and upstreams if the store does not answer.
    pub seeds: Vec<net::SocketAddr>,
    /// Address of the platform's store.
    pub store: net::SocketAddr,
    /// Interval at which upstreams renew their registrations.
    pub heartbeat: clock::Millis,
    /// Longest time from the acknowledgement of a change by the store until the daemon acts on it.
    pub news_bound: clock::Millis,
    /// By how much the requests at a cold upstream may exceed its rate.
    pub cold: limit::ColdBounds,
    /// Time from the termination signal until the platform kills the process.
    pub grace: clock::Millis,
    /// Retry budget, shared by all daemons.
    pub retries: budget::Config,
    /// Memory of the VM; the process is killed when it takes more.
    pub memory: size::ByteCount,
    /// Decisions of the queues of stage pieces.
    pub queue: policy::Policy,
    /// Decisions on the path of a request.
    pub admission: admission_policy::Policy,
    /// Accounting for the stages that follow a stage.
    pub plan: Plan,
    /// How upstreams of requests that one upstream serves as a whole are selected.
    pub balance: balance::Mode,
    /// Minimum severity of log lines that are written.
    pub level: log::LevelFilter,
}

impl Settings {
    /// Times at which changes in the store are read and passed on.
    pub fn news_pace(&self) -> news_pace::NewsPace {
        news_pace::NewsPace::within(self.news_bound)
    }
}

struct SectionReader {
    file: ini::Ini,
}

impl SectionReader {
    fn required(&self, section: &'static str, key: &'static str) -> Result<&str, SettingsError> {
        let value = self.file.get_from(Some(section), key).unwrap_or_default();
        if value.is_empty() {
            return Err(SettingsError::Missing(section, key));
        }
        Ok(value)
    }

    fn value<T: str::FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<T, SettingsError> {
        let text = self.required(section, key)?;
        text.parse()
            .map_err(|_| SettingsError::Invalid(section, key.into(), text.into()))
    }

    /// Parses a duration with a unit, such as `250ms` or `8.5s`.
    fn duration(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<clock::Millis, SettingsError> {
        let text = self.required(section, key)?;
        let (digits, factor) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
            (Some(digits), _) => (digits, 1.0),
            (None, Some(digits)) => (digits, 1000.0),
            (None, None) => ("", 1.0),
        };
        digits
            .parse::<f64>()
            .ok()
            .filter(|value| *value >= 0.0)
            .map(|value| clock::Millis((value * factor) as u64))
            .ok_or_else(|| SettingsError::Invalid(section, key.into(), text.into()))
    }

    /// Parses the duration of `key` in the section `[bounds]`.
    fn bound(
        &self,
        key: &'static str,
        default: clock::Millis,
    ) -> Result<clock::Millis, SettingsError> {
        match self.file.get_from(Some("bounds"), key) {
            None | Some("") => Ok(default),
            Some(_) => self.duration("bounds", key),
        }
    }

    /// Parses a number that is not negative.
    fn number(
        &self,
        section: &'static str,
        key: &'static str,
        default: f64,
    ) -> Result<f64, SettingsError> {
        let Some(text) = self.file.get_from(Some(section), key) else {
            return Ok(default);
        };
        let number = text.parse().ok();
        number
            .filter(|number: &f64| number.is_finite() && *number >= 0.0)
            .ok_or_else(|| SettingsError::Invalid(section, key.into(), text.into()))
    }

    /// Parses the optional value of `key`; if it is missing or empty, the default.
    fn optional<T: Default + str::FromStr>(
        &self,
        section: &'static str,
        key: &'static str,
    ) -> Result<T, SettingsError> {
        match self.file.get_from(Some(section), key) {
            None | Some("") => Ok(T::default()),
            Some(_) => self.value(section, key),
        }
    }

    /// Parses the section `[queue]`.
    fn queue(&self) -> Result<policy::Policy, SettingsError> {
        Ok(policy::Policy {
            order: self.optional("queue", "order")?,
            customers: self.optional("queue", "customers")?,
            wait: self.optional("queue", "wait")?,
            slow_upstreams: self.optional("queue", "slow-upstreams")?,
            drops_unservable: self.admission()?.drop_unservable.is_on(),
        })
    }

    /// Parses the section `[admission]`.
    fn admission(&self) -> Result<admission_policy::Policy, SettingsError> {
        Ok(admission_policy::Policy {
            protect_urgent: self.optional("admission", "protect-urgent")?,
            drained_retry: self.optional("admission", "drained-retry")?,
            prefer_retried: self.optional("admission", "prefer-retried")?,
            drop_unservable: self.optional("admission", "drop-unservable")?,
        })
    }

    /// Parses the memory of the VM, a size with a unit.
    fn memory(&self) -> Result<size::ByteCount, SettingsError> {
        let (section, key) = ("limits", "memory");
        let memory: size::ByteCount = self.value(section, key)?;
        if memory < MIN_MEMORY {
            let text = self.required(section, key)?;
            return Err(SettingsError::Invalid(section, key.into(), text.into()));
        }
        Ok(memory)
    }

    fn seeds(&self) -> Result<Vec<net::SocketAddr>, SettingsError> {
        let text = self
            .file
            .get_from(Some("peers"), "seeds")
            .unwrap_or_default();
        let parts = text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty());
        let invalid = |part: &str| SettingsError::Invalid("peers", "seeds".into(), part.into());
        parts
            .map(|part| part.parse().map_err(|_| invalid(part)))
            .collect()
    }

    fn regions(&self) -> Result<IndexMap<id::DomainId, id::RegionId>, SettingsError> {
        let Some(section) = self.file.section(Some("regions")) else {
            return Ok(IndexMap::new());
        };
        let invalid =
            |key: &str, value: &str| SettingsError::Invalid("regions", key.into(), value.into());
        section
            .iter()
            .map(|(key, value)| {
                let domain = key.parse().map_err(|_| invalid(key, value))?;
                let region = value.parse().map_err(|_| invalid(key, value))?;
                Ok((domain, region))
            })
            .collect()
    }
}

/// Parses the text of a settings file.
///
/// # Errors
///
/// [`SettingsError`] names the section, the key and the invalid value.
pub fn parse(text: &str) -> Result<Settings, SettingsError> {
    let file =
        ini::Ini::load_from_str(text).map_err(|error| SettingsError::Syntax(error.to_string()))?;
    let reader = SectionReader { file };
    let peers: net::SocketAddr = reader.value("listen", "peers")?;
    let level = match reader.file.get_from(Some("log"), "level") {
        None | Some("") => log::LevelFilter::Info,
        Some(_) => reader.value("log", "level")?,
    };
    let metrics = match reader.file.get_from(Some("listen"), "metrics") {
        None | Some("") => None,
        Some(_) => {
            let port: u16 = reader.value("listen", "metrics")?;
            Some(net::SocketAddr::new(peers.ip(), port))
        }
    };
    let heartbeat = match reader.file.get_from(Some("platform"), "heartbeat") {
        None | Some("") => DEFAULT_HEARTBEAT,
        Some(_) => reader.duration("platform", "heartbeat")?,
    };
    let memory = match reader.file.get_from(Some("limits"), "memory") {
        None | Some("") => DEFAULT_MEMORY,
        Some(_) => reader.memory()?,
    };
    let balance = match reader.file.get_from(Some("balance"), "mode") {
        None | Some("") => balance::Mode::Off,
        Some(_) => reader.value("balance", "mode")?,
    };
    Ok(Settings {
        name: reader.value("vm", "name")?,
        domain: reader.value("vm", "domain")?,
        regions: reader.regions()?,
        callers: reader.value("listen", "callers")?,
        readiness: reader.value("listen", "readiness")?,
        peers,
        metrics,
        seeds: reader.seeds()?,
        store: reader.value("platform", "address")?,
        heartbeat,
        news_bound: [
            reader.bound("leaving", DEFAULT_NEWS_BOUND)?,
            reader.bound("configuration", DEFAULT_NEWS_BOUND)?,
            reader.bound("evacuation", clock::Millis::MAX)?,
        ]
        .into_iter()
        .fold(clock::Millis::MAX, clock::Millis::min),
        cold: limit::ColdBounds {
            overshoot: reader.number("cold", "overshoot", DEFAULT_COLD.overshoot)?,
            slack: reader.number("cold", "slack", DEFAULT_COLD.slack)?,
        },
        grace: reader.duration("shutdown", "grace")?,
        retries: budget::Config {
            ratio: reader.value("retries", "ratio")?,
            floor: reader.value("retries", "floor")?,
            window: reader.duration("retries", "window")?,
        },
        memory,
        queue: reader.queue()?,
        admission: reader.admission()?,
        plan: reader.optional("queue", "plan")?,
        balance,
        level,
    })
}
