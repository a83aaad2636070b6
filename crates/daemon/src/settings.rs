//! Reads settings files and validates them against the schema. Faults name file, line, element and reason.

use runloom_model::planner_settings::PlannerSettings;
use runloom_model::proxy_settings::ProxySettings;
use runloom_model::schema::SchemaValidator;
use runloom_model::InvalidSettings;
use runloom_model::FLEET_XSD;
use runloom_netconf::tree::Element;
use std::fmt;
use std::path::{Path, PathBuf};

/// Size limit of a settings file, in bytes; larger files are rejected unread.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// Stands for the element of a fault that concerns no particular element.
const UNKNOWN_ELEMENT: &str = "?";

/// Valid settings, by the component that they configure.
#[derive(Debug, Clone)]
pub enum Settings {
    /// Settings of a planner.
    Planner(Box<PlannerSettings>),
    /// Settings of a proxy.
    Proxy(Box<ProxySettings>),
    /// Another element of the schema, by its name: valid, but no component starts from it.
    Fragment(String),
}

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsFault {
    /// Line from 1; 0 if it is not known.
    pub line: usize,
    /// Column from 1; 0 if it is not known.
    pub column: usize,
    /// The name of the element; `?` if the fault concerns no particular one.
    pub element: String,
    /// What is wrong there.
    pub reason: String,
}

impl SettingsFault {
    /// A fault of the file as a whole.
    fn of_file(reason: impl ToString) -> SettingsFault {
        SettingsFault { line: 0, column: 0, element: UNKNOWN_ELEMENT.into(), reason: reason.to_string() }
    }
}

/// All faults of a settings file; displayed one per line, as `file:line:column: <element>: reason`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidFile {
    /// The file.
    pub path: PathBuf,
    /// The faults; at least one.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for InvalidFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            let SettingsFault { line, column, element, reason } = fault;
            write!(f, "{}:{line}:{column}: <{element}>: {reason}", self.path.display())?;
        }
        Ok(())
    }
}

impl std::error::Error for InvalidFile {}

/// Reads and validates a file.
pub fn read(path: &Path) -> Result<Settings, InvalidFile> {
    read_settings(path).map_err(|faults| InvalidFile { path: path.to_path_buf(), faults })
}

fn read_settings(path: &Path) -> Result<Settings, Vec<SettingsFault>> {
    let text = read_text(path).map_err(|fault| vec![fault])?;
    check_schema(&text)?;
    let root = Element::parse(&text).map_err(|malformed| {
        vec![SettingsFault {
            line: malformed.line,
            column: malformed.column,
            element: UNKNOWN_ELEMENT.into(),
            reason: malformed.reason,
        }]
    })?;
    let settings = match root.name.as_str() {
        "planner" => PlannerSettings::read(&root).map(|settings| Settings::Planner(Box::new(settings))),
        "forwarder" => ProxySettings::read(&root).map(|settings| Settings::Proxy(Box::new(settings))),
        name => Ok(Settings::Fragment(name.to_string())),
    };
    settings.map_err(|invalid| vec![locate(&text, invalid)])
}

fn read_text(path: &Path) -> Result<String, SettingsFault> {
    let bytes = std::fs::metadata(path).map_err(SettingsFault::of_file)?.len();
    if bytes > MAX_FILE_BYTES {
        return Err(SettingsFault::of_file("the file is too large"));
    }
    std::fs::read_to_string(path).map_err(SettingsFault::of_file)
}

fn check_schema(text: &str) -> Result<(), Vec<SettingsFault>> {
    let schema = SchemaValidator::new(FLEET_XSD).map_err(|reason| {
        vec![SettingsFault { element: "schema".into(), ..SettingsFault::of_file(reason) }]
    })?;
    let violations = schema.validate(text);
    if violations.is_empty() {
        return Ok(());
    }
    let faults = violations.into_iter().map(|violation| SettingsFault {
        line: violation.line,
        column: violation.column,
        element: violation.element,
        reason: violation.reason,
    });
    Err(faults.collect())
}

/// Parsed settings hold no positions, so the fault is placed at the first line with the name of the entry or element.
fn locate(text: &str, invalid: InvalidSettings) -> SettingsFault {
    let element = invalid.path.rsplit('/').next().unwrap_or_default().to_string();
    let entry = invalid.path.split('\'').nth(1).unwrap_or(&element);
    let line = text.lines().position(|line| line.contains(entry)).map_or(0, |index| index + 1);
    let reason = format!("{} ({})", invalid.reason, invalid.path);
    SettingsFault { line, column: 1, element, reason }
}
