use super::support::*;
use crate::endpoint::Endpoint;
use crate::endpoint::HealthState::*;
use crate::{Event, HealthCheckResult};

#[test]
fn rejected_health_check_changes_nothing() {
    let mut controller = controller(vec![Endpoint { health: Probation, ..healthy_endpoint(0) }]);
    let result = HealthCheckResult::Rejected;
    controller.handle_event(
        &Event::HealthChecked { server: 0, result, elapsed: seconds(0), load: vec![] },
        &mut vec![],
    );
    assert_eq!(health_states(&controller), [Probation]);
}
