//! The controller's clock, which begins [`CLOCK_LEAD`] before the process's start and has a resolution of 1 µs.

use std::time::Duration;

/// Time between the start of the controller's clock and the start of the process. It is longer than any server's
/// warm-up, so that start times of servers that are still warming up can be represented.
pub const CLOCK_LEAD: Duration = Duration::from_secs(3600);

/// Rounds down to whole microseconds, the resolution of the record: a decision taken at a finer time could not be
/// replayed.
pub(crate) fn truncate_to_microseconds(time: Duration) -> Duration {
    Duration::from_micros(time.as_micros() as u64)
}

/// Converts between the controller's clock and the wall clock, based on the process's start time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct WallClock {
    /// Start of the process, in milliseconds since 1970.
    pub epoch_ms: u64,
}

impl WallClock {
    /// Converts milliseconds since 1970 to the controller's clock; `None` for times before that clock began.
    pub fn to_controller_time(self, wall_ms: u64) -> Option<Duration> {
        (wall_ms + CLOCK_LEAD.as_millis() as u64).checked_sub(self.epoch_ms).map(Duration::from_millis)
    }

    /// Converts a time of the controller's clock to milliseconds since 1970.
    pub fn to_wall_ms(self, controller_time: Duration) -> u64 {
        (self.epoch_ms + controller_time.as_millis() as u64).saturating_sub(CLOCK_LEAD.as_millis() as u64)
    }
}
