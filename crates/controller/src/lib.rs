//! Decision logic of a runloom planner, independent of sockets, clocks and wire formats.
//!
//! [`Controller::step`] takes the [`Event`]s since the last step and returns the [`Command`]s to carry out. It is
//! deterministic: the same configuration, seed and events give the same commands. Endpoints, proxies, zones,
//! machine kinds and traffic classes are small indices, which [`IdMap`] assigns; times are durations since the
//! start of the caller's clock.
//!
//! Each decision has a module: [`outlier_detection`] ejects endpoints, [`panic_threshold`] readmits them when too
//! few are left, [`slow_start`] limits endpoints that warm up, [`speed_estimation`] corrects configured weights,
//! [`admission_control`] and [`retry_policy`] shed load, [`subsetting`] divides endpoints and proxies, and
//! [`publication`] and [`table_assignment`] send changes and tables to proxies within the limits that [`flow_control`]
//! tracks.
//!
//! ```
//! use runloom_controller::{Command, Controller, DeploymentConfig, Event};
//! let start = Event::Start { seed: 1, config: Box::new(DeploymentConfig::default()) };
//! let commands = Controller::default().step(std::time::Duration::ZERO, &[start]);
//! assert!(matches!(commands[..], [Command::SetTimer { .. }]));
//! ```

#![warn(missing_docs)]

pub mod admission_control;
pub mod command;
pub mod config;
pub mod controller;
pub mod delayed_removals;
pub mod ejection_report;
pub mod endpoint;
pub mod endpoint_list;
pub mod event;
pub mod flow_control;
pub mod id_map;
pub mod outlier_detection;
pub mod panic_threshold;
pub mod proxy;
pub mod publication;
pub mod queue_shortage;
pub mod retry_policy;
pub mod slow_start;
pub mod speed_estimation;
mod statistics;
pub mod subsetting;
pub mod table_assignment;
mod update_draft;
pub mod warm_start;

pub use command::Command;
pub use config::DeploymentConfig;
pub use controller::Controller;
pub use delayed_removals::DelayedRemovals;
pub use ejection_report::EjectionReport;
pub use event::{
    ClassId, EndpointRecord, EndpointUpdate, Event, HealthCheckResult, KindId, ListedState, ProxyId,
    ServerId, TableId, ZoneId,
};
pub use id_map::IdMap;
pub use queue_shortage::QueueShortage;
pub use retry_policy::RetryPolicy;
pub use warm_start::{LearnedState, WarmStartHint};

#[cfg(test)]
mod tests;
