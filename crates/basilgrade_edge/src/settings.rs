//! Settings of a process, an INI file that the platform fills in from `deploy/settings.ini`.

use std::net;
use std::str;

use basilgrade_fleet::budget;
use basilgrade_types::clock;
use basilgrade_types::id;
use indexmap::IndexMap;
use quick_error::quick_error;

quick_error! {
    /// Why settings cannot be used.
    #[derive(Debug)]
    pub enum SettingsError {
        /// The text is not an INI file.
        Syntax(reason: String) {
            display("the settings are not an INI file: {reason}")
        }
        /// A key is missing.
        Missing(section: &'static str, key: &'static str) {
            display("`{key}` is missing in section `[{section}]`; add it")
        }
        /// A value does not fit.
        Invalid(section: &'static str, key: String, value: String) {
            display("`{value}` does not fit `{key}` in section `[{section}]`; correct it")
        }
    }
}

/// Settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the VM.
    pub name: id::VmId,
    /// Failure domain of the VM.
    pub domain: id::DomainId,
    /// Region of each failure domain.
    pub regions: IndexMap<id::DomainId, id::RegionId>,
    /// Where callers connect.
    pub callers: net::SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness: net::SocketAddr,
    /// Where other daemons connect.
    pub peers: net::SocketAddr,
    /// Where metrics are served, if anywhere.
    pub metrics: Option<net::SocketAddr>,
    /// Some daemons to ask when the store does not answer.
    pub seeds: Vec<net::SocketAddr>,
    /// The platform's store.
    pub store: net::SocketAddr,
    /// Time between the termination signal and the kill.
    pub grace: clock::Millis,
    /// The retry budget of all daemons together.
    pub retries: budget::Config,
    /// Least severity of log lines that are written.
    pub level: log::LevelFilter,
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

    /// A span with a unit, such as `250ms` or `8.5s`.
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

/// Reads settings.
///
/// # Errors
///
/// [`SettingsError`] names the key and what is wrong with it.
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
        grace: reader.duration("shutdown", "grace")?,
        retries: budget::Config {
            ratio: reader.value("retries", "ratio")?,
            floor: reader.value("retries", "floor")?,
            window: reader.duration("retries", "window")?,
        },
        level,
    })
}
