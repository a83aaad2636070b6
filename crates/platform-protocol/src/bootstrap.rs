//! The bootstrap file: addresses, resource limits, the cached endpoint list and the deployment's settings, as JSON.

use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::net::{AddrParseError, SocketAddr};

/// The resources that the platform allows a planner.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// Memory, MiB.
    pub memory_mb: u64,
    /// The number of file descriptors.
    pub sockets: usize,
}

impl Default for ResourceLimits {
    /// The smallest limits that the platform gives.
    fn default() -> Self {
        ResourceLimits { memory_mb: 32, sockets: 256 }
    }
}

/// The file's keys.
#[derive(Debug, Clone, Deserialize)]
struct BootstrapFile {
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

/// The configuration that a planner starts with.
#[derive(Debug, Clone, PartialEq)]
pub struct BootstrapConfig {
    /// The planner's name, for the log; empty if none is given.
    pub name: String,
    /// The address on which the planner listens for proxies and collectors.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed of all random choices.
    pub seed: u64,
    /// The resources that the planner may use.
    pub limits: ResourceLimits,
    /// The endpoint list as last held, in the format of discovery; null for none.
    pub cached_list: Value,
    /// The deployment's settings; always an object.
    pub settings: Value,
}

/// Values from the environment for keys that the file omits.
#[derive(Debug, Clone, Default)]
pub struct EnvironmentDefaults {
    /// The planner's name.
    pub name: Option<String>,
    /// The address to listen on.
    pub listen: Option<String>,
    /// The address of the discovery agent.
    pub discovery: Option<String>,
}

/// Why a bootstrap file cannot be used.
#[derive(Debug)]
pub enum BootstrapError {
    /// The text is not valid JSON, or a key is missing or has a value of the wrong type.
    Syntax(serde_json::Error),
    /// The settings are not a JSON object.
    SettingsNotObject,
    /// Neither the file nor the environment gives this address.
    MissingAddress {
        /// The key in the file.
        key: &'static str,
    },
    /// An address cannot be parsed.
    InvalidAddress {
        /// The key in the file.
        key: &'static str,
        /// The value as written.
        value: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The seed is missing, or is neither an unsigned integer nor a string of hexadecimal digits.
    InvalidSeed,
}

impl fmt::Display for BootstrapError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BootstrapError::Syntax(source) => write!(formatter, "invalid bootstrap file: {source}"),
            BootstrapError::SettingsNotObject => formatter.write_str("`settings` is not a JSON object"),
            BootstrapError::MissingAddress { key } => {
                write!(formatter, "neither the bootstrap file nor the environment gives `{key}`")
            }
            BootstrapError::InvalidAddress { key, value, source } => {
                write!(formatter, "invalid address {value:?} of `{key}`: {source}")
            }
            BootstrapError::InvalidSeed => formatter
                .write_str("`seed` is missing, or is neither an unsigned integer nor a hexadecimal string"),
        }
    }
}

impl std::error::Error for BootstrapError {}

impl BootstrapConfig {
    /// Parses the text of the file; name and addresses that it omits are taken from `environment`.
    pub fn parse(text: &str, environment: EnvironmentDefaults) -> Result<BootstrapConfig, BootstrapError> {
        let file: BootstrapFile = serde_json::from_str(text).map_err(BootstrapError::Syntax)?;
        if !file.settings.is_object() {
            return Err(BootstrapError::SettingsNotObject);
        }
        Ok(BootstrapConfig {
            name: file.name.or(environment.name).unwrap_or_default(),
            listen: parse_address("listen", file.listen.or(environment.listen))?,
            discovery: parse_address("discovery", file.discovery.or(environment.discovery))?,
            seed: file.seed.and_then(parse_seed).ok_or(BootstrapError::InvalidSeed)?,
            limits: file.limits,
            cached_list: file.known,
            settings: file.settings,
        })
    }
}

fn parse_address(key: &'static str, value: Option<String>) -> Result<SocketAddr, BootstrapError> {
    let value = value.ok_or(BootstrapError::MissingAddress { key })?;
    value.parse().map_err(|source| BootstrapError::InvalidAddress { key, value, source })
}

/// Parses a seed: an unsigned integer, or a string of hexadecimal digits without a prefix.
fn parse_seed(value: Value) -> Option<u64> {
    match value {
        Value::String(hex) => u64::from_str_radix(&hex, 16).ok(),
        value => value.as_u64(),
    }
}
