//! The bootstrap file: addresses, resource limits, the cached endpoint list and the deployment's settings.

use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::net::{AddrParseError, SocketAddr};

/// What the platform lets a planner use.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default)]
pub struct ResourceLimits {
    /// Memory, MiB.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

impl Default for ResourceLimits {
    /// The least that the platform gives.
    fn default() -> Self {
        ResourceLimits { memory_mb: 32, sockets: 256 }
    }
}

/// The file as it is written.
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

/// What a planner is started with.
#[derive(Debug, Clone, PartialEq)]
pub struct BootstrapConfig {
    /// The planner's name, for the log.
    pub name: String,
    /// Where proxies and collectors connect.
    pub listen: SocketAddr,
    /// Where the discovery agent listens.
    pub discovery: SocketAddr,
    /// Seed of all random choices.
    pub seed: u64,
    /// What the planner may use.
    pub limits: ResourceLimits,
    /// The endpoint list as last held, in discovery's format; null for none.
    pub cached_list: Value,
    /// The deployment's settings; always an object.
    pub settings: Value,
}

/// Values from the environment, for what the file leaves out.
#[derive(Debug, Clone, Default)]
pub struct EnvironmentDefaults {
    /// The planner's name.
    pub name: Option<String>,
    /// Where to listen.
    pub listen: Option<String>,
    /// Where the discovery agent listens.
    pub discovery: Option<String>,
}

/// Why a bootstrap file cannot be used.
#[derive(Debug)]
pub enum BootstrapError {
    /// The text is not JSON or lacks a required key.
    Syntax(serde_json::Error),
    /// The settings are not a JSON object.
    SettingsNotObject,
    /// Neither the file nor the environment has this address.
    MissingAddress {
        /// The key of the file.
        key: &'static str,
    },
    /// An address cannot be parsed.
    InvalidAddress {
        /// The key of the file.
        key: &'static str,
        /// The value as written.
        value: String,
        /// What is wrong with it.
        source: AddrParseError,
    },
    /// The seed is neither a number nor a hexadecimal string.
    InvalidSeed,
}

impl fmt::Display for BootstrapError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BootstrapError::Syntax(source) => write!(formatter, "not as it should be: {source}"),
            BootstrapError::SettingsNotObject => formatter.write_str("settings is not an object"),
            BootstrapError::MissingAddress { key } => write!(formatter, "{key} is not given"),
            BootstrapError::InvalidAddress { key, value, source } => {
                write!(formatter, "{key} {value:?}: {source}")
            }
            BootstrapError::InvalidSeed => formatter.write_str("seed is no number"),
        }
    }
}

impl std::error::Error for BootstrapError {}

impl BootstrapConfig {
    /// Parses the file's text; what it leaves out comes from `environment`.
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

/// A seed is a number, or a string of hexadecimal digits.
fn parse_seed(value: Value) -> Option<u64> {
    match value {
        Value::String(hex) => u64::from_str_radix(&hex, 16).ok(),
        value => value.as_u64(),
    }
}
