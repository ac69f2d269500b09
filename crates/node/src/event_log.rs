/*!
The log of numbered events.
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

/// Why the log can't be opened.
#[derive(Debug, Diagnostic, Error)]
#[error("{path}: the log can't be opened")]
#[diagnostic(code(hemlockspool::log::unopened))]
pub(crate) struct LogOpenError {
    path: PathBuf,
    #[source]
    source: io::Error,
}

/// Opens the log.
///
/// # Errors
///
/// [`LogOpenError`] when the file can't be opened for appending.
pub(crate) fn open(settings: &DaemonSettings) -> Result<(), LogOpenError> {
    let mut config = ConfigBuilder::new();
    config.set_time_format_rfc3339().add_filter_allow_str("hemlockspoold");
    let config = config.build();
    let level = LevelFilter::Info;
    // A logger that is already there, in the same process, stays.
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
pub(crate) fn write(note: &LogEvent) {
    match note.level() {
        LogLevel::Warn => log::warn!("{note}"),
        LogLevel::Info => log::info!("{note}"),
    }
}
