//! The same again: every turn's orders against those recorded.

use crate::{at, fleet, set_out, turned, Unusable};
use runloom_driver::witness::call;
use runloom_record::entry::Sent;
use runloom_record::{Entry, Happened};
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

/// Replays a record with its own setting. `build` is this program's, for the reason of a difference.
pub fn replay(entries: &[Entry], build: &str) -> Result<Same, Unusable> {
    let mut driver = set_out(entries, None, None)?;
    let mut same = Same::default();
    let mut sum = Sha256::new();
    for entry in &entries[1..] {
        same.entries += 1;
        let difference = match &entry.what {
            Happened::Turn { .. } => {
                driver.turn(at(entry));
                let ours = turned(&mut driver);
                same.turns += 1;
                if let Happened::Turn { sent, .. } = &entry.what {
                    same.messages += sent.len() as u64;
                }
                if let Some(Happened::Turn { texts, sent, .. }) = &ours {
                    digest(&mut sum, texts, sent);
                }
                differs(&entry.what, ours.as_ref())
            }
            Happened::Refit { fleet: text, seed } => {
                driver.refit(fleet(text)?, *seed);
                None
            }
            Happened::Lost { entries } => Some(format!("{entries} entries were lost when the disk was full")),
            what => (!call(&mut driver, at(entry), what))
                .then(|| format!("{} of {} is not known", what.kind(), what.name())),
        };
        if let Some(witness) = &mut driver.witness {
            witness.clear();
        }
        if let Some(what) = difference {
            let lost = entries.iter().any(|e| matches!(e.what, Happened::Lost { .. }));
            same.first = Some(Difference {
                turns: same.turns.saturating_sub(1),
                at: entry.at as f64 / 1e6,
                what,
                why: why(entries, build, lost),
            });
            break;
        }
    }
    same.digest = sum.finalize().iter().map(|b| format!("{b:02x}")).collect();
    Ok(same)
}

fn digest(sum: &mut Sha256, texts: &[String], sent: &[Sent]) {
    for s in sent {
        // A line break ends each part: none of them holds one.
        let text = texts.get(s.text as usize).map_or("", String::as_str);
        sum.update(format!("{} {}\n{text}\n", s.proxy, s.number));
    }
}

fn why(entries: &[Entry], build: &str, lost: bool) -> String {
    match entries.first().map(|e| &e.what) {
        _ if lost => "the record has a gap".into(),
        Some(Happened::Start { build: theirs, .. }) if theirs != build => {
            format!("it was recorded by {theirs}, this is {build}")
        }
        _ => "same build: the decisions were changed without a new version, or the record was".into(),
    }
}

/// What two turns differ in, if they do; how long they took is no matter.
fn differs(theirs: &Happened, ours: Option<&Happened>) -> Option<String> {
    let Happened::Turn { texts, sent, probes, log, refused, .. } = theirs else { return None };
    let Some(Happened::Turn { texts: t, sent: s, probes: p, log: l, refused: r, .. }) = ours else {
        return Some("a turn in which the decisions were not asked".into());
    };
    let text = |sent: &Sent, texts: &[String]| texts.get(sent.text as usize).cloned().unwrap_or_default();
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
