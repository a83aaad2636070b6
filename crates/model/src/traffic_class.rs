//! Traffic classes (`<class>`) in the settings of a fleet or a proxy.

use crate::leaf_reader::LeafReader;
use crate::settings_error::InvalidSettings;
use runloom_netconf::tree::Element;
use std::time::Duration;

/// Whether a request of a class may be executed twice, and so be retried after it may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// A repeated execution does no harm.
    Safe,
    /// Servers recognize a repeated request by its key. Proxies retry it no more than an unsafe one.
    Keyed,
    /// A repeated execution may do harm.
    Unsafe,
}

/// Settings of a traffic class.
#[derive(Debug, Clone, PartialEq)]
pub struct ClassSettings {
    /// Its name.
    pub name: String,
    /// Value of one answered request, relative to other classes.
    pub priority_weight: f64,
    /// A response within this time counts in full; above 0.
    pub latency_objective: Duration,
    /// A response after this time counts for nothing; at least the latency objective.
    pub deadline: Duration,
    /// Whether a request may be executed twice.
    pub retry_safety: RetrySafety,
}

impl ClassSettings {
    /// Reads all `<class>` elements of `parent`.
    pub(crate) fn read_all(parent: &Element) -> Result<Vec<ClassSettings>, InvalidSettings> {
        parent.named("class").map(|element| ClassSettings::read(parent, element)).collect()
    }

    fn read(parent: &Element, element: &Element) -> Result<ClassSettings, InvalidSettings> {
        let name = element.text_of("name").unwrap_or_default();
        let path = format!("/{}/class[name='{name}']", parent.name);
        let reader = LeafReader { element, path: &path };
        let class = ClassSettings {
            name: name.to_string(),
            priority_weight: reader.number("payoff")?,
            latency_objective: reader.duration("soft-limit-ms")?,
            deadline: reader.duration("outer-limit-ms")?,
            retry_safety: read_retry_safety(reader.text("repeats")),
        };
        if class.latency_objective.is_zero() || class.deadline < class.latency_objective {
            let reason = "is under the soft limit, or there is no soft limit";
            return Err(reader.invalid_leaf("outer-limit-ms", reason));
        }
        Ok(class)
    }
}

fn read_retry_safety(word: &str) -> RetrySafety {
    match word {
        "safe" => RetrySafety::Safe,
        "keyed" => RetrySafety::Keyed,
        _ => RetrySafety::Unsafe,
    }
}
