//! Settings files: read whole, judged by the schema, told with file, line, element and reason.

use runloom_model::fleet::{InvalidSettings, PlannerSettings};
use runloom_model::forwarder::ProxySettings;
use runloom_model::schema::SchemaValidator;
use runloom_model::FLEET_XSD;
use runloom_netconf::tree::Element;
use std::path::Path;

/// Larger files are no settings.
const FILE_MOST: u64 = 16 << 20;

/// What a settings file is for.
#[derive(Debug, Clone)]
pub enum Settings {
    Planner(Box<PlannerSettings>),
    Forwarder(Box<ProxySettings>),
    /// A part on its own: valid, and for nothing to start with.
    Part(String),
}

/// Reads a file; on faults, one line for each: `file:line:column: <element>: reason`.
pub fn read(path: &Path) -> Result<Settings, Vec<String>> {
    let told = |line: usize, column: usize, element: &str, reason: &str| {
        vec![format!("{}:{line}:{column}: <{element}>: {reason}", path.display())]
    };
    let size = std::fs::metadata(path).map_err(|e| told(0, 0, "?", &e.to_string()))?.len();
    if size > FILE_MOST {
        return Err(told(0, 0, "?", "the file is too large"));
    }
    let text = std::fs::read_to_string(path).map_err(|e| told(0, 0, "?", &e.to_string()))?;
    let judge = SchemaValidator::new(FLEET_XSD).map_err(|e| told(0, 0, "schema", &e))?;
    let faults = judge.faults(&text);
    if !faults.is_empty() {
        return Err(faults.iter().map(|f| format!("{}:{f}", path.display())).collect());
    }
    let root = Element::parse(&text).map_err(|e| told(e.line, e.column, "?", &e.reason))?;
    let misfit = |m: InvalidSettings| {
        let element = m.path.rsplit('/').next().unwrap_or_default().to_string();
        // The schema's places are gone by now: the first place where the name of the entry stands.
        let entry = m.path.split('\'').nth(1).unwrap_or(&element);
        let line = text.lines().position(|l| l.contains(entry)).map_or(0, |k| k + 1);
        told(line, 1, &element, &format!("{} ({})", m.reason, m.path))
    };
    match root.name.as_str() {
        "planner" => PlannerSettings::read(&root).map(|p| Settings::Planner(Box::new(p))).map_err(misfit),
        "forwarder" => ProxySettings::read(&root).map(|s| Settings::Forwarder(Box::new(s))).map_err(misfit),
        other => Ok(Settings::Part(other.to_string())),
    }
}
