//! What a run does, drawn from its seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// No signal comes earlier than this after a process is ready.
const FIRST_SIGNAL_AFTER_MS: u64 = 1000;
/// SIGKILL follows SIGTERM by this, the earliest that the protocol allows.
pub const KILL_AFTER: Duration = Duration::from_millis(700);

/// One seed's run.
#[derive(Debug, Clone)]
pub struct RunPlan {
    /// The seed.
    pub seed: u64,
    /// Proxies.
    pub proxies: usize,
    /// Servers of the first list.
    pub servers: usize,
    /// Unidentified clients that connect in each phase; 0 for none.
    pub flood: usize,
    /// One process each, in order.
    pub phases: Vec<PhasePlan>,
}

/// The life of one process, from when it is ready.
#[derive(Debug, Clone)]
pub struct PhasePlan {
    /// What happens, in order of time.
    pub steps: Vec<(Duration, Step)>,
    /// How the process ends; the last one goes on to the final checks.
    pub ending: Ending,
}

/// Something that happens during a phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The list changes: a drain, a removal, a new server or a drain that is taken back.
    ChangeList,
    /// The agent sends its last line again.
    RepeatLine,
    /// The next change of the list has an entry that cannot be read, once.
    MalformedEntry,
    /// The agent says nothing for this long, though its connections stay open.
    QuietAgent(Duration),
    /// The watch's connection is reset within a line.
    CutWatch,
    /// The agent counts its revisions from the beginning.
    ResetRevisions,
    /// SIGHUPs at once, the file being as before.
    Hangups(u32),
    /// Discovery moves: another address in the file, which may be half written when the signal comes.
    MoveDiscovery {
        /// The file is half written at the signal.
        half_written: bool,
        /// When the old agent closes its watches.
        close_after: Duration,
        /// It closes them within a line.
        within_line: bool,
    },
    /// Some proxies reset their streams within a message.
    ResetStreams,
    /// Unidentified clients connect, all at once.
    Flood,
}

/// How a process is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// SIGTERM.
    Term,
    /// SIGTERM twice.
    TermTwice,
    /// SIGHUP and, at once, SIGTERM.
    HangupThenTerm,
    /// SIGKILL alone.
    Kill,
}

impl RunPlan {
    /// Draws the run of a seed.
    pub fn draw(seed: u64) -> RunPlan {
        let mut random = StdRng::seed_from_u64(seed);
        let has_flood = random.random_ratio(2, 5);
        let phases = random.random_range(2..=3);
        RunPlan {
            seed,
            proxies: random.random_range(4..=10),
            servers: random.random_range(5..=12),
            flood: if has_flood { random.random_range(80..=240) } else { 0 },
            phases: (0..phases).map(|_| PhasePlan::draw(&mut random, has_flood)).collect(),
        }
    }

    /// A few words on the run.
    pub fn summary(&self) -> String {
        let endings: Vec<String> = self.phases.iter().map(|phase| format!("{:?}", phase.ending)).collect();
        let steps: usize = self.phases.iter().map(|phase| phase.steps.len()).sum();
        format!(
            "{} proxies, {} servers, flood {}, {steps} steps, endings {}",
            self.proxies,
            self.servers,
            self.flood,
            endings.join(" ")
        )
    }
}

impl PhasePlan {
    fn draw(random: &mut StdRng, has_flood: bool) -> PhasePlan {
        let count = random.random_range(3..=7);
        let mut steps: Vec<(Duration, Step)> = (0..count).map(|_| draw_step(random)).collect();
        if has_flood {
            steps.push((Duration::from_millis(random.random_range(0..1500)), Step::Flood));
        }
        steps.sort_by_key(|(at, _)| *at);
        let ending = match random.random_range(0..6) {
            0 => Ending::TermTwice,
            1 => Ending::HangupThenTerm,
            2 => Ending::Kill,
            _ => Ending::Term,
        };
        PhasePlan { steps, ending }
    }
}

fn draw_step(random: &mut StdRng) -> (Duration, Step) {
    let at = Duration::from_millis(random.random_range(FIRST_SIGNAL_AFTER_MS..3500));
    let step = match random.random_range(0..18) {
        16 | 17 => Step::MalformedEntry,
        0..=5 => Step::ChangeList,
        6 => Step::RepeatLine,
        7 => Step::QuietAgent(Duration::from_millis(random.random_range(500..3500))),
        8 => Step::CutWatch,
        9 => Step::ResetRevisions,
        10 | 11 => Step::Hangups(random.random_range(1..=4)),
        12 | 13 => Step::MoveDiscovery {
            half_written: random.random_ratio(1, 2),
            close_after: Duration::from_millis(random.random_range(1500..2500)),
            within_line: random.random_ratio(1, 2),
        },
        _ => Step::ResetStreams,
    };
    (at, step)
}
