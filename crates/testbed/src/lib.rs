//! Scripted days on loopback against stand-ins that this project writes itself.

pub mod command_corruption;
pub mod fake_servers;
pub mod fronts;
pub mod issuer;
pub mod load_generator;
pub mod measure;
pub mod pairs;
pub mod restart;
pub mod rule_checker;
pub mod scenario;
pub mod staff;
pub mod world;
