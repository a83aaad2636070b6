//! Unit tests, one file per module.

mod admission_control;
mod controller;
mod delayed_removals;
mod endpoint;
mod endpoint_list;
mod flow_control;
mod outlier_detection;
mod panic_threshold;
mod proxy;
mod publication;
mod slow_start;
mod speed_estimation;
mod statistics;
mod subsetting;
mod support;
mod warm_start;
