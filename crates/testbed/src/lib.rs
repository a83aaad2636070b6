//! Scripted days on loopback against stand-ins that this project writes itself.

pub mod check;
pub mod clients;
pub mod day;
pub mod fronts;
pub mod issuer;
pub mod measure;
pub mod pairs;
pub mod restart;
pub mod servers;
pub mod spoil;
pub mod staff;
pub mod world;
