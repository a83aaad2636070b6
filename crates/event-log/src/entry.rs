//! One entry: when, and what. The driver's inputs are all here, so that a replay can make the same calls.

use serde::{Deserialize, Serialize};

/// The schema's version. Kinds of entries are only ever added, behind those that were: files since [`OLDEST`] are
/// read as they are, and what they do not hold is unknown. A newer file is refused, and says which it is.
pub const VERSION: u32 = 3;
/// The oldest version that is read: it had no outcomes by class.
pub const OLDEST: u32 = 1;

/// A server as the list had it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedServer {
    pub name: String,
    pub address: String,
    pub zone: String,
    pub kind: String,
    pub cell: u64,
    pub draining: bool,
    pub weight: f64,
    /// Milliseconds since 1970.
    pub started: Option<u64>,
}

/// What a proxy met at a server over a span; times in microseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RecordedOutcome {
    pub server: String,
    pub tries: u64,
    pub failed: u64,
    pub took: u64,
    /// Of the good ones, those within their class's soft limit.
    pub in_time: u64,
    /// The load report, each value's bits: a missing one is a NaN.
    pub load: Vec<u64>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedArrivals {
    pub class: String,
    pub queries: u64,
    pub unanswered: u64,
}

/// What a proxy met at a server with the queries of one class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedClassOutcome {
    pub server: String,
    pub class: String,
    pub tries: u64,
    /// Good ones within the class's soft limit.
    pub in_time: u64,
    /// Good tries by time: the bits of their microseconds, and how many.
    pub took: Vec<(u8, u64)>,
}

/// One message that went out: to whom, under which number, and which of the turn's texts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentUpdate {
    pub proxy: String,
    pub number: u64,
    pub text: u32,
    pub lines: u32,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RecordedEvent {
    /// A planner started: its build, its name, the seed, the wall clock at zero, and `<fleet>`.
    Start {
        build: String,
        planner: String,
        seed: u64,
        epoch: u64,
        fleet: String,
    },
    /// The list: whole as held before (`whole`) or changes; who is gone is named alone.
    Listed {
        whole: bool,
        servers: Vec<RecordedServer>,
        gone: Vec<String>,
    },
    /// The fleet was edited; the seed with which the decisions start over if its facts changed.
    Refit {
        fleet: String,
        seed: u64,
    },
    Joined {
        proxy: String,
        zone: String,
        rate: f64,
        fresh: bool,
    },
    Left {
        proxy: String,
    },
    Applied {
        proxy: String,
        number: u64,
    },
    Report {
        proxy: String,
        span: u64,
        met: Vec<RecordedOutcome>,
        came: Vec<RecordedArrivals>,
    },
    Probed {
        server: String,
        found: u8,
        after: u64,
        load: Vec<u64>,
    },
    Edit {
        id: String,
        who: String,
    },
    /// The decisions were asked; what they ordered. A turn without orders is kept all the same: it moved their
    /// clock. `took`: microseconds.
    Turn {
        took: u64,
        texts: Vec<String>,
        sent: Vec<SentUpdate>,
        probes: Vec<String>,
        log: Vec<String>,
        refused: Vec<String>,
    },
    /// So many entries were lost here, since the disk was full.
    Lost {
        entries: u64,
    },
    /// A report's outcomes by class, from proxies that tell them. Decisions do not see them.
    Outcomes {
        proxy: String,
        met: Vec<RecordedClassOutcome>,
    },
    /// Hints of an earlier start: server, swiftness and doubt, both as bits.
    Remembered {
        hints: Vec<(String, u64, u64)>,
    },
}

/// One entry: microseconds since the planner's start, and what happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub at: u64,
    pub what: RecordedEvent,
}

impl RecordedEvent {
    /// A word for it.
    pub fn kind(&self) -> &'static str {
        match self {
            RecordedEvent::Start { .. } => "start",
            RecordedEvent::Listed { .. } => "listed",
            RecordedEvent::Refit { .. } => "refit",
            RecordedEvent::Joined { .. } => "joined",
            RecordedEvent::Left { .. } => "left",
            RecordedEvent::Applied { .. } => "applied",
            RecordedEvent::Report { .. } => "report",
            RecordedEvent::Probed { .. } => "probed",
            RecordedEvent::Edit { .. } => "edit",
            RecordedEvent::Turn { .. } => "turn",
            RecordedEvent::Lost { .. } => "lost",
            RecordedEvent::Outcomes { .. } => "outcomes",
            RecordedEvent::Remembered { .. } => "remembered",
        }
    }

    /// Whom it is about, if it is about one.
    pub fn name(&self) -> &str {
        match self {
            RecordedEvent::Start { planner, .. } => planner,
            RecordedEvent::Joined { proxy, .. }
            | RecordedEvent::Left { proxy }
            | RecordedEvent::Applied { proxy, .. }
            | RecordedEvent::Outcomes { proxy, .. }
            | RecordedEvent::Report { proxy, .. } => proxy,
            RecordedEvent::Probed { server, .. } => server,
            RecordedEvent::Edit { id, .. } => id,
            _ => "",
        }
    }
}
