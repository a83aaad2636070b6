//! External names and the indices that the controller uses for them.

use runloom_controller::IdMap;

/// The names in the protocol's messages, mapped to the controller's indices.
#[derive(Debug, Clone, Default)]
pub struct NameRegistry {
    /// Zones: those of the settings in their order, then those that only endpoint lists name.
    pub zones: IdMap<String>,
    /// Kinds of machines, in the order in which they first appear in endpoint lists.
    pub kinds: IdMap<String>,
    /// Traffic classes, in the order of the settings.
    pub classes: IdMap<String>,
    /// Servers that appeared in an endpoint list and whose index is not released.
    pub servers: IdMap<String>,
    /// Names of the metrics of a load report, in the order in which the controller takes their values.
    pub load_metrics: Vec<String>,
    /// Exclusive upper bound of proxy ids.
    pub proxy_limit: usize,
}
