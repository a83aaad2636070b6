//! The controller's clock: it starts [`CLOCK_LEAD`] before the process and counts complete microseconds.

use std::time::Duration;

/// How far before the process's start the controller's clock begins: longer than any server's warm-up.
pub const CLOCK_LEAD: Duration = Duration::from_secs(3600);

/// Rounds down to complete microseconds, the resolution of a record: a decision at a finer time could not be
/// replayed.
pub(crate) fn truncate_to_microseconds(time: Duration) -> Duration {
    Duration::from_micros(time.as_micros() as u64)
}

/// Wall-clock time of the process's start, against which the controller's clock is converted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WallClock {
    /// Milliseconds since 1970 at the process's start.
    pub epoch_ms: u64,
}

impl WallClock {
    /// The controller's time at a wall-clock time; `None` for times before the controller's clock began.
    pub fn to_controller_time(self, wall_ms: u64) -> Option<Duration> {
        (wall_ms + CLOCK_LEAD.as_millis() as u64).checked_sub(self.epoch_ms).map(Duration::from_millis)
    }

    /// The wall-clock time, in milliseconds since 1970, at a time of the controller's clock.
    pub fn to_wall_ms(self, controller_time: Duration) -> u64 {
        (self.epoch_ms + controller_time.as_millis() as u64).saturating_sub(CLOCK_LEAD.as_millis() as u64)
    }
}
