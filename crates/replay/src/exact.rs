//! Replay with the recorded settings, which compares the commands of each step with the recorded ones.

use crate::{parse_fleet, seconds_of, start_session, take_recorded_step, time_of, ReplayError};
use runloom_control_session::recording::replay_event;
use runloom_control_session::ControlSession;
use runloom_event_log::entry::SentUpdate;
use runloom_event_log::{Entry, RecordedEvent};
use serde::Serialize;
use sha2::{Digest, Sha256};

/// The first step at which a replay and the event log differ.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// How many steps before it were the same.
    #[serde(rename = "turns")]
    pub equal_steps: u64,
    /// Seconds since the planner's start.
    #[serde(rename = "at")]
    pub at_seconds: f64,
    /// What differs.
    #[serde(rename = "what")]
    pub description: String,
    /// The likely cause: lost entries, another build, or a changed controller.
    #[serde(rename = "why")]
    pub cause: String,
}

/// The result of a replay.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct ReplaySummary {
    /// Entries that were replayed, without the planner's start.
    pub entries: u64,
    /// Steps among the entries.
    #[serde(rename = "turns")]
    pub steps: u64,
    /// Messages that the event log has for these steps.
    pub messages: u64,
    /// SHA-256 over all messages of the replay, each with its recipient, number and text; in hexadecimal.
    pub digest: String,
    /// The first difference; `None` if the replay issued the recorded commands throughout.
    #[serde(rename = "first")]
    pub first_difference: Option<Difference>,
}

/// A replay in progress, which is given one entry at a time.
pub struct Replay {
    session: ControlSession,
    summary: ReplaySummary,
    hash: Sha256,
    has_gap: bool,
    recorded_build: String,
    build: String,
}

impl Replay {
    /// Starts from the first entry of a log, the planner's start. `build` is this program's, to explain a difference.
    ///
    /// # Errors
    /// Fails if the entry is not a planner's start, or its fleet is invalid.
    pub fn new(first: &Entry, build: &str) -> Result<Replay, ReplayError> {
        let RecordedEvent::PlannerStarted { build: recorded_build, .. } = &first.event else {
            return Err(ReplayError::NoStart);
        };
        Ok(Replay {
            session: start_session(std::slice::from_ref(first), None, None)?,
            summary: ReplaySummary::default(),
            hash: Sha256::new(),
            has_gap: false,
            recorded_build: recorded_build.clone(),
            build: build.to_string(),
        })
    }

    /// Replays the next entry. Returns false at the first difference, after which no more entries may be given.
    ///
    /// # Errors
    /// Fails if a recorded fleet is invalid.
    pub fn replay_entry(&mut self, entry: &Entry) -> Result<bool, ReplayError> {
        self.summary.entries += 1;
        let difference = self.find_difference(entry)?;
        if let Some(recorded) = &mut self.session.recorded_events {
            recorded.clear();
        }
        let Some(description) = difference else { return Ok(true) };
        self.summary.first_difference = Some(Difference {
            equal_steps: self.summary.steps.saturating_sub(1),
            at_seconds: seconds_of(entry),
            description,
            cause: self.likely_cause(),
        });
        Ok(false)
    }

    fn find_difference(&mut self, entry: &Entry) -> Result<Option<String>, ReplayError> {
        match &entry.event {
            RecordedEvent::Step { sent, .. } => Ok(self.replay_step(entry, sent.len())),
            RecordedEvent::Reconfigured { fleet, seed } => {
                self.session.reconfigure(parse_fleet(fleet)?, *seed);
                Ok(None)
            }
            RecordedEvent::EntriesLost { entries } => {
                self.has_gap = true;
                Ok(Some(format!(
                    "the record has lost {entries} entries here (0 stands for an unknown number)"
                )))
            }
            event => {
                let is_known = replay_event(&mut self.session, time_of(entry), event);
                Ok((!is_known).then(|| {
                    format!(
                        "the {} entry of {:?} names an unknown proxy or server, or a malformed address",
                        event.kind(),
                        event.name()
                    )
                }))
            }
        }
    }

    fn replay_step(&mut self, entry: &Entry, recorded_messages: usize) -> Option<String> {
        self.session.step(time_of(entry));
        let replayed = take_recorded_step(&mut self.session);
        self.summary.steps += 1;
        self.summary.messages += recorded_messages as u64;
        if let Some(RecordedEvent::Step { texts, sent, .. }) = &replayed {
            hash_messages(&mut self.hash, texts, sent);
        }
        describe_difference(&entry.event, replayed.as_ref())
    }

    fn likely_cause(&self) -> String {
        if self.has_gap {
            "the record has a gap: entries were lost".into()
        } else if self.recorded_build != self.build {
            format!("it was recorded by {}, this build is {}", self.recorded_build, self.build)
        } else {
            "same build: the controller was changed without a new version, or the record was edited".into()
        }
    }

    /// Ends the replay and returns its result, with the digest.
    #[must_use]
    pub fn finish(mut self) -> ReplaySummary {
        self.summary.digest = self.hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect();
        self.summary
    }
}

/// Replays a complete log, up to the first difference.
///
/// # Errors
/// Fails if the log does not begin with a planner's start, or a recorded fleet is invalid.
pub fn replay(entries: &[Entry], build: &str) -> Result<ReplaySummary, ReplayError> {
    let (first, rest) = entries.split_first().ok_or(ReplayError::NoStart)?;
    let mut replay = Replay::new(first, build)?;
    for entry in rest {
        if !replay.replay_entry(entry)? {
            break;
        }
    }
    Ok(replay.finish())
}

fn hash_messages(hash: &mut Sha256, texts: &[String], sent: &[SentUpdate]) {
    for update in sent {
        // Neither names nor texts contain a line break, so that a line break separates them unambiguously.
        let text = texts.get(update.text_index as usize).map_or("", String::as_str);
        hash.update(format!("{} {}\n{text}\n", update.proxy, update.number));
    }
}

/// Describes the first difference between a recorded and a replayed step. How long they took does not count.
fn describe_difference(recorded: &RecordedEvent, replayed: Option<&RecordedEvent>) -> Option<String> {
    let RecordedEvent::Step { texts, sent, health_checks, log, rejections, .. } = recorded else {
        return None;
    };
    let Some(RecordedEvent::Step {
        texts: replayed_texts,
        sent: replayed_sent,
        health_checks: replayed_health_checks,
        log: replayed_log,
        rejections: replayed_rejections,
        ..
    }) = replayed
    else {
        return Some("the replay did not ask the controller for commands in this turn".into());
    };
    let recorded_messages = Messages { sent, texts };
    let replayed_messages = Messages { sent: replayed_sent, texts: replayed_texts };
    if let Some(difference) = recorded_messages.describe_difference(&replayed_messages) {
        Some(difference)
    } else if health_checks != replayed_health_checks {
        Some("the health checks differ from the recorded ones".into())
    } else if rejections != replayed_rejections {
        Some("the rejected commands differ from the recorded ones".into())
    } else if log != replayed_log {
        Some("the log lines differ from the recorded ones".into())
    } else {
        None
    }
}

/// The messages of one step.
struct Messages<'a> {
    sent: &'a [SentUpdate],
    texts: &'a [String],
}

impl Messages<'_> {
    fn text(&self, update: &SentUpdate) -> &str {
        self.texts.get(update.text_index as usize).map_or("", String::as_str)
    }

    fn describe_difference(&self, replayed: &Messages) -> Option<String> {
        for (recorded_update, replayed_update) in self.sent.iter().zip(replayed.sent) {
            let (number, proxy) = (recorded_update.number, &recorded_update.proxy);
            if (proxy, number) != (&replayed_update.proxy, replayed_update.number) {
                return Some(format!(
                    "message {number} to {proxy} was recorded, message {} to {} was replayed",
                    replayed_update.number, replayed_update.proxy
                ));
            }
            if self.text(recorded_update) != replayed.text(replayed_update) {
                return Some(format!("message {number} to {proxy} has another text"));
            }
        }
        let (recorded_count, replayed_count) = (self.sent.len(), replayed.sent.len());
        (recorded_count != replayed_count)
            .then(|| format!("{recorded_count} messages were recorded, {replayed_count} were replayed"))
    }
}
