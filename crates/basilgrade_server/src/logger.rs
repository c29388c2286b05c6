//! Logging to standard error; the level can be changed while the daemon runs.

use basilgrade_config::settings::log::level;

/// Starts logging to standard error.
///
/// # Errors
///
/// Fails if a logger is already installed.
pub fn start(level: level::Level) -> Result<(), log::SetLoggerError> {
    // The logger accepts every level; `set_level` filters by the global maximum, which can change.
    let mut config = simplelog::ConfigBuilder::new();
    config
        .set_target_level(log::LevelFilter::Off)
        .set_thread_level(log::LevelFilter::Off)
        .set_location_level(log::LevelFilter::Off)
        .set_time_format_rfc3339()
        .add_filter_allow_str("basilgrade");
    simplelog::WriteLogger::init(log::LevelFilter::Trace, config.build(), std::io::stderr())?;
    set_level(level);
    Ok(())
}

/// Sets the maximum level of messages that are logged.
pub fn set_level(level: level::Level) {
    log::set_max_level(match level {
        level::Level::Off => log::LevelFilter::Off,
        level::Level::Error => log::LevelFilter::Error,
        level::Level::Warn => log::LevelFilter::Warn,
        level::Level::Info => log::LevelFilter::Info,
        level::Level::Debug => log::LevelFilter::Debug,
        level::Level::Trace => log::LevelFilter::Trace,
    });
}
