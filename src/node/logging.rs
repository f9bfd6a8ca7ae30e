//! Structured logs on standard error, as text or JSON.

use log::LevelFilter;
use logforth::append;
use logforth::bridge::log::LogBridge;
use logforth::layout::{JsonLayout, TextLayout};

use crate::node::settings::LogFormat;

/// Installs the process's logger. A second call changes nothing.
pub fn init(format: LogFormat, level: LevelFilter) {
    let stderr = append::Stderr::default();
    let stderr = match format {
        LogFormat::Text => stderr.with_layout(TextLayout::default().no_color()),
        LogFormat::Json => stderr.with_layout(JsonLayout::default()),
    };
    let logger = logforth::core::builder()
        .dispatch(|dispatch| dispatch.filter(only_own()).append(stderr))
        .build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(level);
    }
}

/// Libraries log at their own levels; operators asked for this program's.
fn only_own() -> logforth::filter::rustlog::RustLogFilter {
    logforth::filter::rustlog::RustLogFilterBuilder::from_spec("dragonflywall=all").build()
}
