//! What a planner is told ([`Event`]), what it orders ([`Order`]), and what it reads at start
//! ([`Facts`]). Servers, proxies, zones, kinds and classes are small indices ([`crate::ids`]); times
//! are spans since the start of the clock.

use std::collections::BTreeMap;
use std::time::Duration;

pub type Server = usize;
pub type Proxy = usize;
pub type Zone = usize;
pub type Kind = usize;
pub type Class = usize;
/// A table's number; with slices it is the slice's number.
pub type Table = u16;

/// One value of the facts.
#[derive(Debug, Clone, PartialEq)]
pub enum Fact {
    Number(f64),
    Flag(bool),
    Text(String),
}

/// The facts told at start: a plain map of names to values. `docs/design.md` lists the names.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Facts(pub BTreeMap<String, Fact>);

impl Facts {
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Fact::Number(n)) if n.is_finite() => Some(*n),
            _ => None,
        }
    }

    /// A span given in seconds.
    pub fn span(&self, name: &str) -> Option<Duration> {
        self.number(name).and_then(|s| Duration::try_from_secs_f64(s).ok())
    }

    pub fn flag(&self, name: &str) -> bool {
        matches!(self.0.get(name), Some(Fact::Flag(true)))
    }

    pub fn text(&self, name: &str) -> &str {
        match self.0.get(name) {
            Some(Fact::Text(t)) => t,
            _ => "",
        }
    }
}

/// How the server list came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// Changed entries only.
    Changes,
    /// The whole list; what is not on it is gone.
    Whole,
    /// The whole list as last held before this start, possibly old.
    Remembered,
    /// A call to discovery failed, or the subscription broke; no entries.
    Failed,
}

/// What the list says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Ready,
    Draining,
    Gone,
}

/// One entry of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    pub server: Server,
    pub zone: Zone,
    pub kind: Kind,
    pub cell: u64,
    pub mode: Mode,
    pub weight: f64,
    /// When it last started; `None`: long ago.
    pub started: Option<Duration>,
}

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    Handled,
    /// It answered with an error.
    Failed,
    /// It turned the probe away.
    TurnedAway,
    /// Nothing came back in time.
    NoAnswer,
    /// No connection, or the connection broke.
    NoConnection,
    /// An ending that says nothing about the server.
    Nothing,
}

/// What an earlier start knew of a server, as far as it still counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Hint {
    pub server: Server,
    /// Its swiftness against what the list says, 1 where nothing is known.
    pub swift: f64,
    /// From 0 to 1: it was out for failing, just now.
    pub doubt: f64,
}

/// What a planner knows of a server that may outlast it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Learned {
    pub server: Server,
    pub swift: f64,
    /// When it was last out for failing, and whether it is so for long.
    pub failed: Option<Duration>,
    pub held: bool,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    Start {
        seed: u64,
        facts: Facts,
    },
    Listed {
        how: Listing,
        entries: Vec<Entry>,
    },
    Joined {
        proxy: Proxy,
        zone: Zone,
        rate: f64,
        fresh: bool,
    },
    Left {
        proxy: Proxy,
    },
    /// A proxy applied the message that carried this mark, and all before it.
    Applied {
        proxy: Proxy,
        mark: u16,
        after: Duration,
    },
    /// What proxies of a zone met at a server over a span.
    Met {
        zone: Zone,
        server: Server,
        tries: u64,
        failed: u64,
        took: Duration,
        span: Duration,
        load: Vec<f64>,
    },
    /// Queries that came to a proxy over a span.
    Came {
        proxy: Proxy,
        class: Class,
        queries: u64,
        unanswered: u64,
        span: Duration,
    },
    /// Queries that came for a slice over a span.
    CameForSlice {
        table: Table,
        class: Class,
        queries: u64,
        unanswered: u64,
        span: Duration,
    },
    /// A slice came into this planner's charge, or left it.
    Charge {
        table: Table,
        held: bool,
    },
    /// A line of a slice's table as the store holds it.
    Stored {
        table: Table,
        server: Server,
        weight: f64,
    },
    Probed {
        server: Server,
        found: Found,
        after: Duration,
        load: Vec<f64>,
    },
    /// What an earlier start learned of servers, aged; comes after the list, and says nothing about those not
    /// in it.
    Remembered {
        hints: Vec<Hint>,
    },
    /// Nothing is left of a server: its index may be another's from now on.
    Forgotten {
        server: Server,
    },
    Woken {
        token: u64,
    },
    /// An order was not let pass on its way out; for a line, the weight that the table has instead.
    Refused {
        order: Order,
        weight: Option<f64>,
    },
    Told {
        peer: usize,
        bytes: Vec<u8>,
    },
}

/// When proxies make a further try.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum FurtherTries {
    None = 0,
    /// One, elsewhere, after proof that the first never ran.
    Unrun = 1,
    /// One after any failure.
    One = 2,
    /// Two after any failure.
    Two = 3,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq)]
pub enum Order {
    /// Sets one line of a table; weight 0 removes it.
    Line {
        table: Table,
        server: Server,
        weight: f64,
    },
    /// Removes all lines and levels of a table.
    Clear {
        table: Table,
    },
    /// Shuts a server out of every table that joined proxies hold, or lets it in again.
    Withdraw {
        server: Server,
        out: bool,
    },
    /// Puts a proxy on a table for some classes, a bit each; 0: for all.
    Bind {
        proxy: Proxy,
        table: Table,
        classes: u64,
    },
    /// Sets the level of a class in a table and its further tries; no level: let all in.
    Level {
        table: Table,
        class: Class,
        level: Option<f64>,
        tries: FurtherTries,
    },
    /// Asks every proxy that gets this reply's message to say when it took effect.
    Mark {
        mark: u16,
        everyone: bool,
    },
    Probe {
        server: Server,
    },
    Tell {
        peer: Option<usize>,
        bytes: Vec<u8>,
    },
    /// Subscribes to the list's changes, or ends that.
    Subscribe {
        on: bool,
    },
    /// Asks for the whole list once.
    Fetch,
    Wake {
        after: Duration,
        token: u64,
    },
    Log {
        text: String,
    },
}
