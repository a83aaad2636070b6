//! What a planner is told before it starts: where it listens, where discovery is, what it may use, and the
//! settings.

use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// What the platform lets a planner use.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    pub memory_mb: u64,
    pub sockets: usize,
}

impl Default for ResourceLimits {
    /// The least that the platform gives.
    fn default() -> Self {
        ResourceLimits { memory_mb: 32, sockets: 256 }
    }
}

#[derive(Debug, Clone, Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<Value>,
    #[serde(default)]
    limits: ResourceLimits,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Debug, Clone, PartialEq)]
pub struct BootstrapConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub bounds: ResourceLimits,
    /// The list as last held, in discovery's form.
    pub known: Value,
    /// The settings as the decisions' first message has them.
    pub settings: Value,
}

/// What the environment says where the file does not.
#[derive(Debug, Clone, Default)]
pub struct Told {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
}

fn seed(value: Option<Value>) -> Option<u64> {
    match value? {
        Value::String(hex) => u64::from_str_radix(&hex, 16).ok(),
        value => value.as_u64(),
    }
}

impl BootstrapConfig {
    /// Reads the file's text; what is wrong, in one line.
    pub fn read(text: &str, told: Told) -> Result<BootstrapConfig, String> {
        let file: File = serde_json::from_str(text).map_err(|e| format!("not as it should be: {e}"))?;
        let address = |name: &str, value: Option<String>| {
            let value = value.ok_or(format!("{name} is not given"))?;
            value.parse::<SocketAddr>().map_err(|e| format!("{name} {value:?}: {e}"))
        };
        if !file.settings.is_object() {
            return Err("settings is not an object".into());
        }
        Ok(BootstrapConfig {
            name: file.name.or(told.name).unwrap_or_default(),
            listen: address("listen", file.listen.or(told.listen))?,
            discovery: address("discovery", file.discovery.or(told.discovery))?,
            seed: seed(file.seed).ok_or("seed is no number")?,
            bounds: file.limits,
            known: file.known,
            settings: file.settings,
        })
    }
}
