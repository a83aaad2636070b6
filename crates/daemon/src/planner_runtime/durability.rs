//! Writes the state that a restart needs: accepted edits, the endpoint list and learned state of servers. The
//! persistence worker writes it; the progress of each write is tracked here.

use super::core::{record_micros, PlannerCore};
use super::operator_sessions::OperatorSessions;
use super::test_hooks::CrashPoint;
use crate::persistence::{PersistenceResult, PersistenceWorker};
use runloom_event_loop::EventLoop;
use runloom_inventory::Inventory;
use runloom_store::{LearnedServer, LearnedServers};
use std::time::Duration;

/// Shortest time between two writes of the endpoint list.
const LIST_WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two writes of the learned state.
const LEARNED_WRITE_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two checks whether edits can be written again, after a write has failed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// The persistence worker, and what is still to be written.
pub(super) struct Durability {
    worker: PersistenceWorker,
    /// The learned state that was last handed to the worker.
    learned: LearnedServers,
    next_learned_write: Duration,
    next_retry: Duration,
    last_list_write: Option<Duration>,
    /// Whether the endpoint list has changed since it was last handed to the worker.
    pub is_list_unsaved: bool,
    /// Whether a batch of edits was written since replies were last sent.
    has_written_edits: bool,
    /// Where the process aborts, for tests; `None`: nowhere.
    pub crash_point: Option<CrashPoint>,
}

impl Durability {
    pub(super) fn new(worker: PersistenceWorker, learned: LearnedServers) -> Durability {
        Durability {
            worker,
            learned,
            next_learned_write: LEARNED_WRITE_INTERVAL,
            next_retry: Duration::ZERO,
            last_list_write: None,
            is_list_unsaved: false,
            has_written_edits: false,
            crash_point: None,
        }
    }

    /// When the next write is due.
    pub(super) fn next_wakeup(&self) -> Duration {
        let list_write = self.last_list_write.map_or(Duration::ZERO, |at| at + LIST_WRITE_INTERVAL);
        if self.is_list_unsaved {
            self.next_learned_write.min(list_write)
        } else {
            self.next_learned_write
        }
    }

    /// Handles results of earlier writes, and hands the edits accepted since to the worker. Edits that arrive while a
    /// batch is being written share the next batch.
    pub(super) fn write_edits(
        &mut self,
        core: &mut PlannerCore,
        operators: &mut OperatorSessions,
        event_loop: &mut EventLoop,
        now: Duration,
    ) {
        while let Some(result) = self.worker.poll_result() {
            self.handle_result(core, operators, event_loop, result);
        }
        if let Some(patch) = core.config.take_patch() {
            self.abort_if_at(CrashPoint::BeforeWrite);
            core.edit_batches.submitted += 1;
            if !self.worker.write_edits(patch) {
                roll_back_edits(core, operators, event_loop, "the write queue is full".into());
            }
        } else if core.config.unavailable_reason.is_some() && now >= self.next_retry {
            self.next_retry = now + RETRY_INTERVAL;
            self.worker.probe();
        }
    }

    fn handle_result(
        &mut self,
        core: &mut PlannerCore,
        operators: &mut OperatorSessions,
        event_loop: &mut EventLoop,
        result: PersistenceResult,
    ) {
        match result {
            PersistenceResult::EditsWritten(Ok(elapsed)) => {
                record_micros(&mut core.statistics.edit_write_time, elapsed);
                core.config.patch_written();
                core.edit_batches.durable = core.edit_batches.submitted;
                self.has_written_edits = true;
                self.abort_if_at(CrashPoint::Written);
            }
            PersistenceResult::EditsWritten(Err(error)) => {
                roll_back_edits(core, operators, event_loop, error.to_string());
            }
            PersistenceResult::Probed(Ok(())) => {
                if core.config.unavailable_reason.take().is_some() {
                    tracing::info!("edits can be written again");
                }
            }
            PersistenceResult::Probed(Err(_)) => {}
            PersistenceResult::WriteFailed { what, error } => {
                tracing::warn!(what, why = %error, "a snapshot could not be written to the state folder");
            }
        }
    }

    /// Writes the learned state, if that is due.
    pub(super) fn write_learned_if_due(&mut self, core: &PlannerCore, inventory: &Inventory, now: Duration) {
        if now >= self.next_learned_write {
            self.next_learned_write = now + LEARNED_WRITE_INTERVAL;
            self.write_learned(core, inventory);
        }
    }

    /// Hands the controller's learned state of servers to the worker.
    pub(super) fn write_learned(&mut self, core: &PlannerCore, inventory: &Inventory) {
        let servers = inventory.servers();
        let learned = core.control.learned_states().into_iter().filter_map(|state| {
            let server = servers.get(&state.name)?;
            Some(LearnedServer {
                name: state.name,
                address: server.address.to_string(),
                started_ms: server.started_ms,
                speed_factor: state.speed_factor,
                last_ejected_ms: state.last_ejected_ms,
                is_long_ejected: state.is_long_ejected,
            })
        });
        let learned = LearnedServers { written_ms: core.config.wall_ms, servers: learned.collect() };
        self.learned = learned.merge_earlier(&self.learned);
        if !self.worker.write_learned(self.learned.clone()) {
            tracing::warn!("the learned state could not be written: the write queue is full");
        }
    }

    /// Writes the endpoint list, if it has changed and [`LIST_WRITE_INTERVAL`] has passed since the last write.
    pub(super) fn write_list_if_due(&mut self, core: &PlannerCore, now: Duration) {
        let is_due = self.last_list_write.is_none_or(|at| now >= at + LIST_WRITE_INTERVAL);
        if self.is_list_unsaved && is_due {
            self.last_list_write = Some(now);
            let is_accepted = self.worker.write_endpoint_list(core.config.endpoint_list_element().to_text());
            self.is_list_unsaved = !is_accepted;
        }
    }

    /// Called when replies were sent: the processing of written edits is complete.
    pub(super) fn replies_sent(&mut self) {
        if std::mem::take(&mut self.has_written_edits) {
            self.abort_if_at(CrashPoint::Replied);
        }
    }

    /// Aborts the process if a test chose this point.
    fn abort_if_at(&self, point: CrashPoint) {
        if self.crash_point == Some(point) {
            std::process::abort();
        }
    }
}

/// Rolls back edits that could not be written: they count as never accepted, and none is accepted until writing works
/// again.
fn roll_back_edits(
    core: &mut PlannerCore,
    operators: &mut OperatorSessions,
    event_loop: &mut EventLoop,
    why: String,
) {
    tracing::error!(why, "edits cannot be written: none is accepted until they can");
    core.config.roll_back(why);
    operators.abort_unsaved(core, event_loop);
}
