//! The cost of identities: the access check of a command against a hundred rules, and streams that are renewed before
//! their identities expire.

use super::figures::{milliseconds, print_figure, print_path_figures};
use super::fixtures::{quiet_scenario, ScenarioSize};
use super::BenchmarkResult;
use crate::scenario::{DeliveryMode, Scenario};
use crate::testbed::Testbed;
use runloom_identity::access::{check_access, AccessRule, Permission, Principal, RequestedAccess};
use runloom_identity::id::SpiffeId;
use std::path::Path;
use std::time::{Duration, Instant};

const PLANNER_ID: &str = "spiffe://valle.example/planner/p";
/// Rules that do not match, before the one that does.
const NON_MATCHING_RULE_COUNT: usize = 99;
const CHECK_COUNT: u32 = 1_000_000;
/// Lifetime of planners' and proxies' identities: all streams are renewed at about the same time, twice in [`SECONDS`].
const IDENTITY_LIFETIME: Duration = Duration::from_secs(15);
const SECONDS: u64 = 22;
const SEED: u64 = 1;
/// Synthetic requests per second and proxy, which pass no socket.
const REQUESTS_PER_PROXY: f64 = 4.4;

/// Measures the access check of a command, and then 150 and 592 proxies whose identities live for fifteen seconds.
pub(super) fn measure(folder: &Path, program: &Path) -> BenchmarkResult {
    measure_access_check()?;
    measure_renewals("150x107", 150, 107, folder, program)?;
    measure_renewals("592x544", 592, 544, folder, program)
}

fn access_rules() -> Result<Vec<AccessRule>, String> {
    let principal = |id: &str| Principal::parse(id).map_err(|e| e.to_string());
    let mut rules = Vec::new();
    for number in 0..NON_MATCHING_RULE_COUNT {
        let member = principal(&format!("spiffe://valle.example/staff/member-{number}"))?;
        rules.push(AccessRule { principal: member, permission: Permission::Read(vec!["fleet".into()]) });
    }
    rules.push(AccessRule { principal: principal(PLANNER_ID)?, permission: Permission::Command });
    Ok(rules)
}

fn measure_access_check() -> BenchmarkResult {
    let rules = access_rules()?;
    let id = SpiffeId::parse(PLANNER_ID).map_err(|e| e.to_string())?;
    let start = Instant::now();
    let is_allowed =
        |_: &u32| check_access(std::hint::black_box(&rules), &id, RequestedAccess::Command).is_ok();
    let allowed = (0..CHECK_COUNT).filter(is_allowed).count();
    let nanoseconds = start.elapsed().as_secs_f64() / f64::from(CHECK_COUNT) * 1e9;
    print_figure("check_of_100_rules", nanoseconds, "ns");
    if allowed != CHECK_COUNT as usize {
        return Err("not all access checks allowed the command".into());
    }
    Ok(())
}

fn measure_renewals(
    name: &str,
    proxies: usize,
    servers: usize,
    folder: &Path,
    program: &Path,
) -> BenchmarkResult {
    let size = ScenarioSize { proxies, servers, request_rate: 0.0, seconds: SECONDS };
    let scenario = Scenario {
        delivery: DeliveryMode::Mixed,
        identity_lifetime: Some(IDENTITY_LIFETIME),
        ..quiet_scenario(size)
    };
    let run_folder = folder.join(format!("identity-{name}"));
    let mut testbed = Testbed::new(scenario, SEED, &run_folder, program, &[])?;
    testbed.set_synthetic_request_rate(proxies as f64 * REQUESTS_PER_PROXY);
    let outcome = testbed.run()?;
    for (number, generation) in testbed.stream_generations().iter().filter(|(number, _)| **number > 1) {
        let figure = format!("{name}.streams_{number}");
        print_figure(&figure, generation.proxy_count as f64, "forwarders");
        let elapsed = generation.last.saturating_sub(generation.first);
        print_figure(&format!("{figure}_first_to_last"), milliseconds(elapsed), "ms");
    }
    print_path_figures(&format!("{name}.lives_15s"), SECONDS as f64, &outcome)
}
