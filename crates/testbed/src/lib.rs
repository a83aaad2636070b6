//! Scripted days on loopback against stand-ins that this project writes itself.

pub mod rule_checker;
pub mod load_generator;
pub mod scenario;
pub mod fronts;
pub mod issuer;
pub mod measure;
pub mod pairs;
pub mod restart;
pub mod fake_servers;
pub mod command_corruption;
pub mod staff;
pub mod world;
