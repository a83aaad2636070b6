//! The plan of a run, generated from its seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Earliest time of a step after the process is ready, so that no signal comes before it. Only a flood may be earlier.
const FIRST_STEP_AFTER_MS: u64 = 1000;
/// Time from SIGTERM to SIGKILL, the shortest that the protocol allows.
pub const KILL_AFTER: Duration = Duration::from_millis(700);

/// The plan of one seed's run.
#[derive(Debug, Clone)]
pub struct RunPlan {
    /// The seed.
    pub seed: u64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of servers on the first endpoint list.
    pub servers: usize,
    /// Unidentified clients that connect in each phase; 0 for none.
    pub flood_clients: usize,
    /// The phases in order; each has a process of its own.
    pub phases: Vec<PhasePlan>,
}

/// What happens to one process from when it is ready.
#[derive(Debug, Clone)]
pub struct PhasePlan {
    /// Steps, sorted by their time since the process was ready.
    pub steps: Vec<(Duration, Step)>,
    /// How the process is ended; in the last phase, after the final checks.
    pub ending: Ending,
}

/// A fault or a change during a phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The endpoint list changes: a server is drained, removed, added, or put back from draining to serving.
    ChangeList,
    /// The agent sends its last line again.
    RepeatLine,
    /// The next line with a change of the list has a malformed entry, once.
    MalformedEntry,
    /// The agent sends nothing for this long, while its connections stay open.
    QuietAgent(Duration),
    /// The agent closes its watches in the middle of a line.
    CutWatch,
    /// The agent restarts its revision numbers.
    ResetRevisions,
    /// This many SIGHUPs in quick succession, with an unchanged configuration file.
    Hangups(u32),
    /// The discovery agent moves: the configuration file gets another address, and SIGHUP follows.
    MoveDiscovery {
        /// A SIGHUP comes when only half of the file is written, and another one when it is complete.
        half_written: bool,
        /// Time until the old agent closes its watches.
        close_after: Duration,
        /// The old agent closes them in the middle of a line.
        within_line: bool,
    },
    /// About half of the proxies reset their streams in the middle of a message.
    ResetStreams,
    /// All unidentified clients of the plan connect at the same time.
    Flood,
}

/// How a process is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// SIGTERM.
    Term,
    /// SIGTERM twice.
    TermTwice,
    /// SIGHUP, immediately followed by SIGTERM.
    HangupThenTerm,
    /// SIGKILL only.
    Kill,
}

impl RunPlan {
    /// Generates the plan of a seed; the same seed gives the same plan.
    pub fn draw(seed: u64) -> RunPlan {
        let mut random = StdRng::seed_from_u64(seed);
        let has_flood = random.random_ratio(2, 5);
        let phases = random.random_range(2..=3);
        RunPlan {
            seed,
            proxies: random.random_range(4..=10),
            servers: random.random_range(5..=12),
            flood_clients: if has_flood { random.random_range(80..=240) } else { 0 },
            phases: (0..phases).map(|_| PhasePlan::draw(&mut random, has_flood)).collect(),
        }
    }

    /// The sizes of the run and the endings of its phases, on one line.
    pub fn summary(&self) -> String {
        let endings: Vec<String> = self.phases.iter().map(|phase| format!("{:?}", phase.ending)).collect();
        let steps: usize = self.phases.iter().map(|phase| phase.steps.len()).sum();
        format!(
            "{} proxies, {} servers, flood {}, {steps} steps, endings {}",
            self.proxies,
            self.servers,
            self.flood_clients,
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
    let at = Duration::from_millis(random.random_range(FIRST_STEP_AFTER_MS..3500));
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
