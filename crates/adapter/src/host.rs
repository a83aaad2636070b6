//! Hosts independent planners in one process, and runs their controllers on batches of events.

use crate::translate::Translator;
use crate::wire::{Input, Output, PlannerStarted};
use runloom_controller::{Controller, Event};
use runloom_deployment_config::Settings;
use serde_json::Value;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// A planner with its controller, and the events that wait for it.
struct PlannerInstance {
    controller: Controller,
    translator: Translator,
    /// Events of the current batch. The first batch begins with the event that starts the controller.
    events: Vec<Event>,
}

impl PlannerInstance {
    fn new(seed: u64, settings: &Value) -> Self {
        let Settings { config, classes, zones, unlimited_rate, .. } =
            runloom_deployment_config::read(settings);
        PlannerInstance {
            controller: Controller::default(),
            translator: Translator::new(zones, classes, unlimited_rate),
            events: vec![Event::Start { seed, config: Box::new(config) }],
        }
    }

    /// Runs one step of the controller on the batch, and appends its commands to the reply. A panic of the controller
    /// is reported in the reply, and does not affect other planners.
    fn step(&mut self, planner: u64, now: Duration, reply: &mut Vec<Output>) {
        let events = std::mem::take(&mut self.events);
        match catch_unwind(AssertUnwindSafe(|| self.controller.step(now, &events))) {
            Ok(commands) => {
                let outputs =
                    commands.into_iter().filter_map(|command| self.translator.command(planner, command));
                reply.extend(outputs);
            }
            Err(payload) => {
                reply.push(Output::Panicked { planner, reason: panic_message(payload.as_ref()) });
            }
        }
    }
}

/// The message of a panic.
fn panic_message(payload: &(dyn Any + Send)) -> String {
    if let Some(text) = payload.downcast_ref::<String>() {
        return text.clone();
    }
    payload.downcast_ref::<&str>().map_or("a panic without a text".into(), |text| text.to_string())
}

/// The planners of one process, by their number in the protocol.
#[derive(Default)]
pub struct PlannerHost {
    instances: BTreeMap<u64, PlannerInstance>,
}

impl PlannerHost {
    /// Handles one event of a batch. An event that cannot be used is reported on standard error and skipped.
    pub fn handle(&mut self, input: Input) {
        let Some(planner) = input.planner() else { return };
        match input {
            Input::PlannerStarted(started) => self.start(&started),
            Input::PlannerStopped { .. } => self.stop(planner),
            event => self.handle_event(planner, event),
        }
    }

    fn start(&mut self, started: &PlannerStarted) {
        let settings = started.settings.as_ref().unwrap_or(&Value::Null);
        let instance = PlannerInstance::new(started.seed.unwrap_or(0), settings);
        self.instances.insert(started.planner, instance);
    }

    fn stop(&mut self, planner: u64) {
        if self.instances.remove(&planner).is_none() {
            eprintln!("runloom-adapter: ignored the stop of planner {planner}, which is not running");
        }
    }

    fn handle_event(&mut self, planner: u64, event: Input) {
        let Some(instance) = self.instances.get_mut(&planner) else {
            eprintln!("runloom-adapter: ignored an event for planner {planner}, which is not running");
            return;
        };
        match instance.translator.event(event) {
            Some(event) => instance.events.push(event),
            None => {
                eprintln!("runloom-adapter: ignored an event for planner {planner} with an unknown class")
            }
        }
    }

    /// Runs a step of each planner that has events, and returns the reply to the batch.
    pub fn reply(&mut self, now: Duration) -> Vec<Output> {
        let mut reply = Vec::new();
        let instances_with_events =
            self.instances.iter_mut().filter(|(_, instance)| !instance.events.is_empty());
        for (&planner, instance) in instances_with_events {
            instance.step(planner, now, &mut reply);
        }
        reply.push(Output::EndOfReply);
        reply
    }
}

#[cfg(test)]
mod tests;
