//! The same again: every turn's orders against those recorded.

use crate::{at, fleet, set_out, turned, Unusable};
use runloom_control_session::recording::replay_event;
use runloom_control_session::ControlSession;
use runloom_event_log::entry::SentUpdate;
use runloom_event_log::{Entry, RecordedEvent};
use serde::Serialize;
use sha2::{Digest, Sha256};

/// Where a replay first gave other orders.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Difference {
    /// Turns that were the same before it.
    pub turns: u64,
    /// Seconds since the planner's start.
    pub at: f64,
    pub what: String,
    /// Why that may be: another build, entries that were lost.
    pub why: String,
}

#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Same {
    pub entries: u64,
    pub turns: u64,
    pub messages: u64,
    /// SHA-256 over all that was ordered now: to whom, under which number, which text.
    pub digest: String,
    pub first: Option<Difference>,
}

/// A replay under way, entry by entry.
pub struct Replay {
    driver: ControlSession,
    same: Same,
    sum: Sha256,
    lost: bool,
    recorded_by: String,
    build: String,
}

impl Replay {
    /// Sets out from a record's first entry, the planner's start. `build` is this program's, for the reason of a
    /// difference.
    pub fn new(first: &Entry, build: &str) -> Result<Replay, Unusable> {
        let RecordedEvent::Start { build: theirs, .. } = &first.what else { return Err(Unusable::NoStart) };
        Ok(Replay {
            driver: set_out(std::slice::from_ref(first), None, None)?,
            same: Same::default(),
            sum: Sha256::new(),
            lost: false,
            recorded_by: theirs.clone(),
            build: build.to_string(),
        })
    }

    /// The next entry. False: it differs from here on, and nothing more is wanted.
    pub fn take(&mut self, entry: &Entry) -> Result<bool, Unusable> {
        self.same.entries += 1;
        self.lost |= matches!(entry.what, RecordedEvent::Lost { .. });
        let difference = match &entry.what {
            RecordedEvent::Turn { sent, .. } => {
                self.driver.step(at(entry));
                let ours = turned(&mut self.driver);
                self.same.turns += 1;
                self.same.messages += sent.len() as u64;
                if let Some(RecordedEvent::Turn { texts, sent, .. }) = &ours {
                    digest(&mut self.sum, texts, sent);
                }
                differs(&entry.what, ours.as_ref())
            }
            RecordedEvent::Refit { fleet: text, seed } => {
                self.driver.reconfigure(fleet(text)?, *seed);
                None
            }
            RecordedEvent::Lost { entries } => {
                Some(format!("{entries} entries were lost when the disk was full"))
            }
            what => (!replay_event(&mut self.driver, at(entry), what))
                .then(|| format!("{} of {} is not known", what.kind(), what.name())),
        };
        if let Some(witness) = &mut self.driver.recorded_events {
            witness.clear();
        }
        let Some(what) = difference else { return Ok(true) };
        let (turns, at, why) = (self.same.turns.saturating_sub(1), entry.at as f64 / 1e6, self.why());
        self.same.first = Some(Difference { turns, at, what, why });
        Ok(false)
    }

    fn why(&self) -> String {
        match () {
            () if self.lost => "the record has a gap".into(),
            () if self.recorded_by != self.build => {
                format!("it was recorded by {}, this is {}", self.recorded_by, self.build)
            }
            () => "same build: the decisions were changed without a new version, or the record was".into(),
        }
    }

    pub fn done(mut self) -> Same {
        self.same.digest = self.sum.finalize().iter().map(|b| format!("{b:02x}")).collect();
        self.same
    }
}

/// Replays a record with its own setting.
pub fn replay(entries: &[Entry], build: &str) -> Result<Same, Unusable> {
    let (first, rest) = entries.split_first().ok_or(Unusable::NoStart)?;
    let mut replay = Replay::new(first, build)?;
    for entry in rest {
        if !replay.take(entry)? {
            break;
        }
    }
    Ok(replay.done())
}

fn digest(sum: &mut Sha256, texts: &[String], sent: &[SentUpdate]) {
    for s in sent {
        // A line break ends each part: none of them holds one.
        let text = texts.get(s.text as usize).map_or("", String::as_str);
        sum.update(format!("{} {}\n{text}\n", s.proxy, s.number));
    }
}

/// What two turns differ in, if they do; how long they took is no matter.
fn differs(theirs: &RecordedEvent, ours: Option<&RecordedEvent>) -> Option<String> {
    let RecordedEvent::Turn { texts, sent, probes, log, refused, .. } = theirs else { return None };
    let Some(RecordedEvent::Turn { texts: t, sent: s, probes: p, log: l, refused: r, .. }) = ours else {
        return Some("a turn in which the decisions were not asked".into());
    };
    let text =
        |sent: &SentUpdate, texts: &[String]| texts.get(sent.text as usize).cloned().unwrap_or_default();
    for (a, b) in sent.iter().zip(s) {
        if (&a.proxy, a.number) != (&b.proxy, b.number) {
            return Some(format!("message {} to {} is now {} to {}", a.number, a.proxy, b.number, b.proxy));
        }
        if text(a, texts) != text(b, t) {
            return Some(format!("message {} to {} has another text", a.number, a.proxy));
        }
    }
    match () {
        () if sent.len() != s.len() => Some(format!("{} messages are now {}", sent.len(), s.len())),
        () if probes != p => Some("other probes".into()),
        () if refused != r => Some("other refusals".into()),
        () if log != l => Some("another log".into()),
        () => None,
    }
}
