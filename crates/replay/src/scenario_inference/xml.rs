//! Writes a scenario as the XML that the testbed reads.

use super::{FleetChange, InferredEdit, InferredFault, InferredScenario};

impl InferredScenario {
    /// The scenario as a `<day>` element with its sizes, faults and edits.
    pub fn to_xml(&self) -> String {
        let faults: String = self.faults.iter().map(fault_xml).collect();
        let edits: String =
            self.edits.iter().enumerate().map(|(number, edit)| edit_xml(number, edit)).collect();
        format!("<day xmlns=\"urn:runloom:day\">\n{}{faults}{edits}</day>\n", self.sizes_xml())
    }

    fn sizes_xml(&self) -> String {
        let fleet = &self.fleet;
        format!(
            "  <seconds>{:.0}</seconds><servers>{}</servers><forwarders>{}</forwarders><zones>{}</zones>\n  \
             <planners>{:.0}</planners><rate>{:.1}</rate><work-ms>{:.1}</work-ms><cores>{}</cores>\n  \
             <warm-ms>{}</warm-ms><drain-ms>{}</drain-ms><bare-ms>{}</bare-ms><feed-late-ms>0</feed-late-ms>\n  \
             <only-drains-bind>{}</only-drains-bind><pick>{}</pick><levels>{}</levels>\n  \
             <lines-per-second>{:.0}</lines-per-second>\n",
            self.seconds,
            self.server_count,
            self.proxy_count,
            self.zone_count,
            fleet.planner_count,
            self.request_rate,
            self.service_time_ms,
            self.cores,
            fleet.warm_up.as_millis(),
            fleet.grace.drain.as_millis(),
            fleet.grace.max_unserved.as_millis(),
            fleet.only_draining_binds,
            fleet.selection,
            fleet.admission,
            fleet.channel.entries_per_second
        )
    }
}

fn fault_xml(fault: &InferredFault) -> String {
    let servers: String = fault.servers.iter().map(|server| format!("<server>{server}</server>")).collect();
    format!(
        "  <trouble><at>{:.1}</at><kind>{}</kind><count>{}</count><seconds>{:.1}</seconds><size>{:.2}</size>\
         {servers}</trouble>\n",
        fault.at, fault.kind, fault.count, fault.duration, fault.magnitude
    )
}

fn edit_xml(number: usize, edit: &InferredEdit) -> String {
    let change = match &edit.change {
        FleetChange::ZoneShare { zone, share } => format!("<zone>{zone}</zone><share>{share}</share>"),
        FleetChange::Drain { server, is_draining } => {
            format!("<server>{server}</server><drain>{is_draining}</drain>")
        }
    };
    format!("  <edit><at>{:.1}</at><id>e{number}</id>{change}</edit>\n", edit.at)
}
