//! Edits per second through the configuration service, on one core and without disk.

use super::figures::print_figure;
use super::fixtures::small_fleet_xml;
use super::BenchmarkResult;
use runloom_daemon::client::edit_config;
use runloom_daemon::config_service::{schema, ConfigService};
use runloom_daemon::tls_credentials::CertificateHolder;
use runloom_inventory::edit_history::EditHistory;
use runloom_model::FLEET_NAMESPACE;
use runloom_netconf::service::{Service, ServiceLimits};
use runloom_netconf::session::{Role, Session, SessionEvent, SessionLimits};
use runloom_netconf::tree::Element;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SERVER_COUNT: u32 = 544;
const FEED_EDIT_COUNT: u32 = 10_000;
const OPERATOR_EDIT_COUNT: u32 = 3_000;

/// Measures edits of one server each: of the endpoint list, as the feed sends them, and of the fleet, as operators do.
/// Each is read from its frames, parsed, applied, validated, committed and answered.
pub(super) fn measure() -> BenchmarkResult {
    let data = Arc::new(Element::parse(&data_xml()).map_err(|e| e.reason)?);
    measure_edits("feed", "roster", FEED_EDIT_COUNT, &data)?;
    measure_edits("operator", "fleet", OPERATOR_EDIT_COUNT, &data)
}

fn data_xml() -> String {
    let server = |number: u32| {
        format!(
            "<server><name>s{number}</name><address>127.0.0.1:9</address><zone>a</zone><mode>ready</mode></server>"
        )
    };
    let listed: String = (0..SERVER_COUNT).map(server).collect();
    format!("<data>{}<roster xmlns='{FLEET_NAMESPACE}'>{listed}</roster></data>", small_fleet_xml("a"))
}

fn measure_edits(client: &str, datastore_part: &str, count: u32, data: &Arc<Element>) -> BenchmarkResult {
    let mut config = ConfigService::new(data.clone(), EditHistory::default()).map_err(|e| e.to_string())?;
    config.register_client(&CertificateHolder { name: "feed".into(), ..CertificateHolder::default() });
    let schema = schema().map_err(|e| e.to_string())?;
    let mut service =
        Service::new(schema, ServiceLimits { edits_per_second: 1e9, ..ServiceLimits::default() });
    let id = service.open_session("feed", Duration::ZERO).ok_or("the service did not open a session")?;
    let mut client_session = Session::new(Role::Client, &[], SessionLimits::default());
    let mut server_session = Session::new(Role::Server { id }, &[], SessionLimits::default());
    server_session.receive(&client_session.take_output(usize::MAX)).map_err(|e| e.to_string())?;
    client_session.receive(&server_session.take_output(usize::MAX)).map_err(|e| e.to_string())?;
    let messages: Vec<Vec<u8>> =
        (0..count).map(|number| edit_message(&mut client_session, datastore_part, number)).collect();
    let mut accepted = 0u32;
    let start = Instant::now();
    for bytes in &messages {
        for event in server_session.receive(bytes).map_err(|e| e.to_string())? {
            let SessionEvent::Rpc(rpc) = event else { continue };
            let answer = service.handle(Duration::ZERO, id, &rpc, &mut config);
            accepted += u32::from(answer.content.first().is_some_and(|element| element.name == "ok"));
            server_session.reply(&rpc, answer.content);
            server_session.take_output(usize::MAX);
        }
    }
    if accepted != count {
        return Err(format!("{accepted} of {count} edits were accepted"));
    }
    let edits_per_second = f64::from(count) / start.elapsed().as_secs_f64();
    print_figure(&format!("{client}_edits_per_second"), edits_per_second, "edits/s");
    Ok(())
}

/// The bytes of an edit of one server's weight. Operators' edits have an id.
fn edit_message(session: &mut Session, datastore_part: &str, number: u32) -> Vec<u8> {
    let server = Element::new(FLEET_NAMESPACE, "server")
        .with_leaf("name", format!("s{}", number % SERVER_COUNT))
        .with_leaf("weight", 1.0 + f64::from(number % 7));
    let edit = edit_config("running", Element::new(FLEET_NAMESPACE, datastore_part).with(server));
    let id = (datastore_part == "fleet").then(|| format!("e{number}"));
    session.send_rpc_with_id(edit, id.as_deref());
    session.take_output(usize::MAX)
}
