//! The event log: records the controller's events and commands, for replay.

use crate::config_service::ConfigService;
use runloom_control_session::ControlSession;
use runloom_event_log::{BackgroundWriter, ConversionError, RecordedEvent, Recorder, RecorderConfig};
use runloom_model::planner_settings::PlannerSettings;
use std::io;
use std::time::Duration;

/// The build's name in event logs: a replay by another build may decide otherwise.
pub const BUILD: &str = concat!("runloom ", env!("CARGO_PKG_VERSION"));

/// The event log of a planner, if its settings name a folder for one.
pub(super) struct EventRecording {
    writer: Option<BackgroundWriter>,
    /// Whether recording had stopped at the last check, so that each change is logged once.
    is_stopped: bool,
}

impl EventRecording {
    /// Opens the event log, if the settings name a folder for it, and records the start. `started_at_ms` is the
    /// wall-clock time from which the log counts, in milliseconds since 1970.
    pub(super) fn open(
        settings: &PlannerSettings,
        control: &mut ControlSession,
        config: &ConfigService,
        seed: u64,
        started_at_ms: u64,
    ) -> io::Result<EventRecording> {
        let Some(folder) = &settings.record_folder else {
            return Ok(EventRecording { writer: None, is_stopped: false });
        };
        let recorder_config =
            RecorderConfig { max_total_bytes: settings.max_record_bytes, ..RecorderConfig::default() };
        let recorder = Recorder::open(folder, recorder_config)?;
        let start = RecordedEvent::PlannerStarted {
            build: BUILD.to_string(),
            planner: settings.name.clone(),
            seed,
            epoch_ms: started_at_ms,
            fleet: config.persisted_fleet_text(),
        };
        control.recorded_events = Some(vec![(Duration::ZERO, start)]);
        Ok(EventRecording { writer: Some(BackgroundWriter::new(recorder)), is_stopped: false })
    }

    /// Writes the events of an iteration. The time from `iteration_start` to `now` is recorded as the duration of its
    /// controller step.
    pub(super) fn write(&mut self, control: &mut ControlSession, now: Duration, iteration_start: Duration) {
        let (Some(writer), Some(recorded_events)) = (&mut self.writer, &mut control.recorded_events) else {
            return;
        };
        let mut events = std::mem::take(recorded_events);
        for (_, event) in &mut events {
            if let RecordedEvent::Step { duration_us, .. } = event {
                *duration_us = now.saturating_sub(iteration_start).as_micros() as u64;
            }
        }
        writer.push(now, events);
        let status = writer.status();
        let is_stopped = status.failure.is_some();
        if is_stopped && !self.is_stopped {
            tracing::error!(why = status.failure, "recording stopped; planning goes on");
        } else if !is_stopped && self.is_stopped {
            tracing::info!(lost = status.lost_entries, "recording resumed");
        }
        self.is_stopped = is_stopped;
        log_conversion_errors(writer.take_conversion_errors());
    }

    /// Writes buffered events, and closes the log.
    pub(super) fn finish(&mut self) {
        if let Some(writer) = self.writer.take() {
            log_conversion_errors(writer.finish());
        }
    }
}

fn log_conversion_errors(errors: Vec<ConversionError>) {
    for error in errors {
        tracing::error!(why = %error, "a journal of the event log was not converted to a columnar file and is kept");
    }
}

/// Records an event that is not passed to the controller.
pub(super) fn note_event(control: &mut ControlSession, now: Duration, event: RecordedEvent) {
    if let Some(recorded_events) = &mut control.recorded_events {
        recorded_events.push((now, event));
    }
}
