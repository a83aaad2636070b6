//! Faults that tests inject into a planner.

use runloom_control_session::CommandTamper;

/// A point in the processing of an edit at which the process aborts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    /// The edit is accepted, and not yet handed to the persistence worker.
    BeforeWrite,
    /// The edit is on disk, and its reply not yet sent.
    Written,
    /// The reply was sent.
    Replied,
}

impl CrashPoint {
    /// The point with this name on the testbed's command line; `None` if there is none.
    pub fn from_name(name: &str) -> Option<CrashPoint> {
        match name {
            "before-kept" => Some(CrashPoint::BeforeWrite),
            "kept" => Some(CrashPoint::Written),
            "replied" => Some(CrashPoint::Replied),
            _ => None,
        }
    }
}

/// Faults to inject into a planner; none by default.
#[derive(Default)]
pub struct TestHooks {
    /// Where the process aborts; `None`: nowhere.
    pub crash_point: Option<CrashPoint>,
    /// Whether commands are sent without validation by the guard.
    pub skip_guard: bool,
    /// Changes commands before the guard validates them.
    pub command_tamper: Option<CommandTamper>,
}
