//! External names and the indices that the controller knows them by.

use runloom_controller::IdMap;

/// Names of the protocol mapped to the controller's indices.
#[derive(Debug, Clone, Default)]
pub struct NameRegistry {
    /// Zones, in the order of the settings.
    pub zones: IdMap<String>,
    /// Kinds of machines, in the order in which lists name them.
    pub kinds: IdMap<String>,
    /// Traffic classes, in the order of the settings.
    pub classes: IdMap<String>,
    /// Servers that lists name and that are not released.
    pub servers: IdMap<String>,
    /// The metrics of a load report, in the order in which the controller takes them.
    pub load_metrics: Vec<String>,
    /// Proxies are numbered from 0 to one less than this.
    pub proxy_limit: usize,
}
