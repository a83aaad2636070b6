//! Faults that tests inject into a planner.

use runloom_control_session::CommandTamper;

/// A point on the way of an edit at which the process aborts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashPoint {
    /// The edit is accepted and not yet handed to the disk.
    BeforeWrite,
    /// The edit is on disk; its reply has not left.
    Written,
    /// The reply has left.
    Replied,
}

impl CrashPoint {
    /// The point by its name on the command line.
    pub fn from_name(name: &str) -> Option<CrashPoint> {
        match name {
            "before-kept" => Some(CrashPoint::BeforeWrite),
            "kept" => Some(CrashPoint::Written),
            "replied" => Some(CrashPoint::Replied),
            _ => None,
        }
    }
}

/// Faults of a planner; none by default.
#[derive(Default)]
pub struct TestHooks {
    /// Where the process aborts, once.
    pub crash_point: Option<CrashPoint>,
    /// Commands are sent without the guard's check.
    pub skip_guard: bool,
    /// Changes commands before the guard sees them.
    pub command_tamper: Option<CommandTamper>,
}
