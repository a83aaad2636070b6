//! Composes the settings file of a planner.

use super::Testbed;
use crate::fake_servers::INITIAL_CAPACITY;
use crate::load_generator::{ClientClass, CLASSES};
use crate::planner_process::{tls_xml, PlannerAddresses};
use crate::scenario::Scenario;
use runloom_model::tls_files::TlsFiles;

/// Access rules: proxies may connect, operators may change the fleet and the state, and the feed may change the
/// endpoint list.
const ACCESS_RULES: &str = "<may><whom>spiffe://testbed.example/proxy/*</whom><join/></may>\
    <may><whom>spiffe://testbed.example/tool/staff</whom><write>fleet</write><write>state</write></may>\
    <may><whom>spiffe://testbed.example/tool/feed</whom><write>roster</write></may>";

/// Limit of an update channel's queue, as the time in seconds that the channel takes to send it.
const MAX_QUEUE_SECONDS: u64 = 2;

/// Number of table entries that may be queued at a planner.
pub(super) fn max_queued_entries(scenario: &Scenario) -> u64 {
    MAX_QUEUE_SECONDS * scenario.entries_per_second
}

fn class_xml(class: &ClientClass) -> String {
    format!(
        "<class><name>{}</name><payoff>{}</payoff><soft-limit-ms>{}</soft-limit-ms><outer-limit-ms>{}</outer-limit-ms>\
         <repeats>{}</repeats></class>",
        class.name,
        class.priority_weight,
        class.latency_objective.as_millis(),
        class.deadline.as_millis(),
        if class.is_repeatable { "safe" } else { "never" }
    )
}

/// The `fleet` element derived from a scenario, for one without [`Scenario::fleet_xml`].
fn fleet_xml(scenario: &Scenario) -> String {
    let zones: String =
        (0..scenario.zone_count).map(|zone| format!("<zone><name>z{zone}</name></zone>")).collect();
    let classes: String = CLASSES.iter().map(class_xml).collect();
    format!(
        "<fleet>{zones}{classes}\n<grace><drain-ms>{}</drain-ms>\
         <bare-ms>{}</bare-ms><reply-ms>1500</reply-ms></grace>\n<channel><lines-per-second>{}</lines-per-second>\
         <backlog>{}</backlog><overhead>4</overhead></channel>\n<cold><from>{INITIAL_CAPACITY}\
         </from><warm-after-ms>{}</warm-after-ms></cold>\n<proxies><count>{}</count><planners>{}</planners><pick>{}\
         </pick><levels>{}</levels><probes>true</probes><report-ms>500</report-ms>\
         <report-lines-per-second>2000</report-lines-per-second></proxies>\n<list><only-drains-bind>{}\
         </only-drains-bind><load>held</load></list></fleet>",
        scenario.drain_grace_period.as_millis(),
        scenario.empty_table_grace_period.as_millis(),
        scenario.entries_per_second,
        max_queued_entries(scenario),
        scenario.warm_up.as_millis(),
        scenario.proxy_count,
        scenario.planner_count,
        scenario.selection,
        scenario.admission,
        scenario.only_draining_binds
    )
}

impl Testbed {
    /// The text of a planner's settings file.
    pub(super) fn planner_settings_xml(
        &self,
        planner: usize,
        credentials: &TlsFiles,
        addresses: &PlannerAddresses,
    ) -> String {
        let state_folder = self.planner_state_folder(planner);
        let has_identities = self.scenario.identity_lifetime.is_some();
        let access_rules = if has_identities { ACCESS_RULES } else { "" };
        let fleet = self.scenario.fleet_xml.clone().unwrap_or_else(|| fleet_xml(&self.scenario));
        let list = self.endpoint_list();
        let listed: String = list.iter().map(|(name, server)| server.to_element(name).to_text()).collect();
        format!(
            "<planner xmlns=\"urn:runloom:fleet\">\n<name>planner-{planner}</name>{}<folder>{}</folder>\n{}{}\n\
             {fleet}\n<roster>{listed}</roster></planner>\n",
            addresses.to_xml(),
            state_folder.display(),
            self.record_xml(planner),
            tls_xml(credentials, access_rules),
        )
    }

    /// The `record` element of a planner's settings; empty if the scenario's planners write no event log.
    fn record_xml(&self, planner: usize) -> String {
        if !self.scenario.is_recorded {
            return String::new();
        }
        let folder = self.folder.join(format!("record-{planner}"));
        format!("<record><folder>{}</folder></record>", folder.display())
    }
}
