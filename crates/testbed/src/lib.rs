//! Scripted scenarios on loopback: planners, proxies, fake servers, a load generator, and a checker of the five safety
//! rules, which [`rule_checker`] lists.

pub mod benchmarks;
pub mod command_corruption;
pub mod fake_servers;
pub mod issuer;
pub mod load_generator;
pub mod management_clients;
pub mod planner_process;
pub mod rule_checker;
pub mod scenario;
pub mod soak;
pub mod testbed;
