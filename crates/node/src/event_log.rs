/*!
The log of numbered events that operators read.
*/

use {
    crate::settings::DaemonSettings,
    hemlockspool_core::log_events::{LogEvent, LogLevel},
    log::LevelFilter,
    miette::Diagnostic,
    simplelog::{ConfigBuilder, WriteLogger},
    std::{fs::OpenOptions, io, path::PathBuf},
    thiserror::Error,
};

/// The error of opening the log.
#[derive(Debug, Diagnostic, Error)]
#[error("{path}: can't open the log")]
#[diagnostic(code(hemlockspool::log::unopened))]
pub(crate) struct LogOpenError {
    path: PathBuf,
    #[source]
    source: io::Error,
}

/// Opens the log: the file named in the settings, or else standard error.
///
/// # Errors
///
/// Returns [`LogOpenError`] if the file can't be opened for appending.
pub(crate) fn open(settings: &DaemonSettings) -> Result<(), LogOpenError> {
    let mut config = ConfigBuilder::new();
    config.set_time_format_rfc3339().add_filter_allow_str("hemlockspoold");
    let config = config.build();
    let level = LevelFilter::Info;
    // `init` fails if the process already has a logger, which then stays in use.
    match &settings.log_file {
        Some(path) => {
            let file = OpenOptions::new().create(true).append(true).open(path);
            let file = file.map_err(|source| LogOpenError { path: path.clone(), source })?;
            let _ = WriteLogger::init(level, config, file);
        }
        None => {
            let _ = WriteLogger::init(level, config, io::stderr());
        }
    }
    Ok(())
}

/// Writes an event to the log.
pub(crate) fn write(event: &LogEvent) {
    match event.level() {
        LogLevel::Warn => log::warn!("{event}"),
        LogLevel::Info => log::info!("{event}"),
    }
}
