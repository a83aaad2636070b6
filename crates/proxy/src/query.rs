//! One query on its way: its tries, their proofs, and what follows an ending.

use runloom_controller::RetryPolicy;
use runloom_model::fleet::Repeats;
use std::time::Duration;

/// What the shell does next.
#[derive(Debug, Clone, PartialEq)]
pub enum Step {
    /// Sends it there, and gives up at `until`.
    Send { server: String, address: std::net::SocketAddr, until: Duration },
    /// Passes the answer on.
    Answer,
    /// Refuses it, and says when to come back where that is known.
    Refuse { why: Refusal, after: Option<Duration> },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No line to pick.
    NoLine,
    /// Over the level.
    Level,
    /// This proxy holds as many queries as it may.
    Full,
    /// The server failed, and no further try was allowed or left.
    Failed,
    /// The outer limit passed.
    Late,
}

impl Refusal {
    pub fn word(self) -> &'static str {
        match self {
            Refusal::NoLine => "no-line",
            Refusal::Level => "level",
            Refusal::Full => "full",
            Refusal::Failed => "failed",
            Refusal::Late => "late",
        }
    }
}

/// How a try ended.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptOutcome {
    /// An answer that is none of the failures below.
    Answered { load: Vec<f64> },
    /// The server's own word that it failed; it ran.
    Error { load: Vec<f64> },
    /// The server's explicit word that it did not begin: proof.
    TurnedAway { load: Vec<f64> },
    /// No connection was made, so nothing was written: proof.
    NoConnection,
    /// The connection broke, or closed, before a byte of the query was written: proof.
    BrokenBefore,
    /// It broke after the query was written, in part or whole: it may have run.
    BrokenAfter,
    /// The outer limit passed.
    Late,
}

impl AttemptOutcome {
    pub fn is_good(&self) -> bool {
        matches!(self, AttemptOutcome::Answered { .. })
    }

    /// The try provably never ran.
    pub fn never_ran(&self) -> bool {
        matches!(
            self,
            AttemptOutcome::TurnedAway { .. } | AttemptOutcome::NoConnection | AttemptOutcome::BrokenBefore
        )
    }

    pub fn load(&self) -> &[f64] {
        match self {
            AttemptOutcome::Answered { load }
            | AttemptOutcome::Error { load }
            | AttemptOutcome::TurnedAway { load } => load,
            _ => &[],
        }
    }

    pub fn refusal(&self) -> Refusal {
        if *self == AttemptOutcome::Late {
            Refusal::Late
        } else {
            Refusal::Failed
        }
    }
}

/// A query that is out.
#[derive(Debug, Clone)]
pub struct Request {
    pub class: usize,
    pub until: Duration,
    pub server: String,
    pub tried_at: Duration,
    pub came_at: Duration,
    /// Further tries left, and whether they need proof, as ordered when it came.
    left: u32,
    needs_proof: bool,
    /// An earlier try may have run.
    may_have_run: bool,
}

impl Request {
    pub fn new(class: usize, now: Duration, until: Duration, server: String, tries: RetryPolicy) -> Request {
        let (left, needs_proof) = match tries {
            RetryPolicy::Never => (0, true),
            RetryPolicy::IfNotExecuted => (1, true),
            RetryPolicy::Once => (1, false),
            RetryPolicy::Twice => (2, false),
        };
        Request { class, until, server, tried_at: now, came_at: now, left, needs_proof, may_have_run: false }
    }

    /// Whether a further try follows this ending. Whatever is ordered, one that may have run is tried again
    /// only where repeating is safe.
    pub fn may_try_again(&mut self, now: Duration, how: &AttemptOutcome, repeats: Repeats) -> bool {
        if how.is_good() || *how == AttemptOutcome::Late || self.left == 0 || now >= self.until {
            return false;
        }
        self.may_have_run |= !how.never_ran();
        let proven = !self.may_have_run;
        proven || (!self.needs_proof && repeats == Repeats::Safe)
    }

    pub fn again(&mut self, now: Duration, server: String) {
        self.left -= 1;
        (self.server, self.tried_at) = (server, now);
    }
}
