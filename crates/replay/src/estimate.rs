//! Service under tables that were not in force, from what was met under those that were: importance weighting,
//! normalised by its own weights (Swaminathan and Joachims, "The Self-Normalized Estimator for Counterfactual
//! Learning", NIPS 2015, after Horvitz and Thompson), by class, and corrected for load by what the day's other
//! servers did at that load. Bars: the bootstrap over blocks of time (Efron and Tibshirani, 1993), widened to hold
//! the outcome of another such day and not only its mean.

use nanorand::{Rng, WyRand};
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use statrs::statistics::{Data, Median, Statistics};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Blocks for the bootstrap: longer than what one second does to the next.
const BLOCK: Duration = Duration::from_secs(5);
/// Under this part of the queries with a record of what would have become of them, nothing is said.
pub const SUPPORT_LEAST: f64 = 0.8;
/// A try counts at most so many times: one lucky one must not carry the day. It biases towards what was.
const WEIGHT_MOST: f64 = 10.0;
/// The estimate carries while no server would get more than so many times what it had: its times are then its own.
/// Past it only where the record shows what such a load does.
const LOAD_MOST: f64 = 1.5;
/// Loads within a quarter are taken for alike; that is how much a server's load wavers from block to block.
const LOAD_STEP: f64 = 1.25;
/// So many servers and blocks at a load tell what it does; each with so many tries.
const CELLS_LEAST: usize = 5;
const TRIES_LEAST: f64 = 5.0;
const DRAWS: usize = 400;
/// Fewer blocks than this have no spread to draw from: an interval of them would look surer than it is.
const BLOCKS_LEAST: usize = 4;
/// A try that ends at a server which is out of the table was sent while it was in; no outer limit is longer than this
/// by much, and what came in before says nothing of now.
const SENT_WITHIN: Duration = Duration::from_secs(5);
/// The part of such days whose outcome the bars are to hold.
pub const HELD: f64 = 0.95;

/// Shares of the servers in a proxy's tables, by name.
pub type Shares = BTreeMap<String, f64>;

/// Queries of a class at a proxy over a span: those that came, and those that its level let in, or would have.
#[derive(Debug, Clone, Copy, Default)]
pub struct Flow {
    pub came: f64,
    pub was: f64,
    pub would: f64,
}

/// Shares as they were and would have been, with when they were last seen.
type Past = VecDeque<(Duration, Shares, Shares)>;

/// Tries, and those within the soft limit.
#[derive(Debug, Clone, Copy, Default)]
struct Cell {
    good: f64,
    tries: f64,
    /// Squares of the weights of the tries, for how many unweighted ones they are as good as.
    squares: f64,
    had_good: f64,
    had: f64,
    flow: Flow,
}

impl Cell {
    fn add(&mut self, other: &Cell) {
        self.good += other.good;
        self.tries += other.tries;
        self.squares += other.squares;
        self.had_good += other.had_good;
        self.had += other.had;
        self.flow.came += other.flow.came;
        self.flow.was += other.flow.was;
        self.flow.would += other.flow.would;
    }
}

/// One block of time: what each class met, and of its queries all and those with a record of what became of such.
#[derive(Debug, Clone, Default)]
struct Block {
    classes: Vec<Cell>,
    known: f64,
    all: f64,
}

#[derive(Debug)]
pub struct Estimate {
    names: Vec<String>,
    payoffs: Vec<f64>,
    /// By block, server and class.
    cells: BTreeMap<(u64, String, usize), Cell>,
    blocks: BTreeMap<u64, (f64, f64)>,
    flows: BTreeMap<(u64, usize), Flow>,
    /// By proxy and class: the shares of the last seconds, as they were and would have been, each with when they were
    /// last seen; the newest at the end.
    past: BTreeMap<(String, usize), Past>,
    /// Queries by block and server: by the tables as they were, and as they would have been.
    loads: BTreeMap<(u64, String), (f64, f64)>,
}

/// One class's part.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ByClass {
    pub class: String,
    pub queries: f64,
    pub was: f64,
    pub would: Option<f64>,
}

/// The estimate of service: the part of the queries that came which were let in and answered within their soft limit,
/// classes by their payoffs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Service {
    /// As recorded, over the span that the estimate carries; over all where it does not carry at all.
    pub was: f64,
    /// As it would have been, with bars that are to hold 95% of such days; none: unknown, for want of support.
    pub would: Option<(f64, f64, f64)>,
    /// The part of the queries for which the record says what became of them.
    pub support: f64,
    /// Seconds up to which the estimate carries.
    pub carries: f64,
    pub classes: Vec<ByClass>,
}

/// What a load does, by what the day's servers did: the middle part in time, by class and load. The middle, since
/// a few servers that are broken say nothing of load.
struct Curve(BTreeMap<(usize, i32), f64>);

fn bin(load: f64) -> i32 {
    // A load of nothing is as one query in twenty blocks.
    (load.max(0.01).ln() / LOAD_STEP.ln()).floor() as i32
}

impl Curve {
    fn of(estimate: &Estimate) -> Curve {
        let mut parts: BTreeMap<(usize, i32), Vec<f64>> = BTreeMap::new();
        for ((block, server, class), cell) in estimate.cells.iter().filter(|(_, c)| c.had >= TRIES_LEAST) {
            let load = estimate.loads.get(&(*block, server.clone())).map_or(0.0, |l| l.0);
            parts.entry((*class, bin(load))).or_default().push(cell.had_good / cell.had);
        }
        parts.retain(|_, all| all.len() >= CELLS_LEAST);
        Curve(parts.into_iter().map(|(at, all)| (at, Data::new(all).median())).collect())
    }

    fn knows(&self, load: f64) -> bool {
        self.0.keys().any(|(_, b)| *b == bin(load))
    }

    /// What a part in time becomes under another load, as far as the record shows.
    fn moved(&self, class: usize, (had, would): (f64, f64)) -> f64 {
        let at = |load: f64| self.0.get(&(class, bin(load))).copied();
        match (at(had), at(would)) {
            (Some(old), Some(new)) if old > 0.0 && bin(had) != bin(would) => new / old,
            _ => 1.0,
        }
    }
}

/// The part of a class's queries that was let in and answered in time; none without a try.
fn was(c: &Cell) -> Option<f64> {
    (c.had > 0.0 && c.flow.came > 0.0).then(|| c.flow.was / c.flow.came * c.had_good / c.had)
}

fn would(c: &Cell) -> Option<f64> {
    (c.tries > 0.0 && c.flow.came > 0.0).then(|| c.flow.would / c.flow.came * c.good / c.tries)
}

impl Estimate {
    /// Classes by name, each with its payoff.
    pub fn new(classes: Vec<(String, f64)>) -> Estimate {
        let (names, payoffs) = classes.into_iter().unzip();
        let (cells, blocks, loads) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        Estimate { names, payoffs, cells, blocks, loads, flows: BTreeMap::new(), past: BTreeMap::new() }
    }

    /// What one proxy met over a span with one class: tries and those within the soft limit by server, under the
    /// shares that were in force, and the shares that would have been; and what was let in.
    pub fn met(
        &mut self,
        at: Duration,
        proxy: &str,
        class: usize,
        met: &BTreeMap<String, (u64, u64)>,
        (old, new): (&Shares, &Shares),
        flow: Flow,
    ) {
        let key = at.as_secs() / BLOCK.as_secs();
        let all: f64 = met.values().map(|m| m.0 as f64).sum();
        self.remember(at, proxy, class, (old, new));
        for (server, (tries, good)) in met {
            // What ends late, as failures do, was sent by the tables of then: leaving it out would leave out the
            // failures and keep what was good.
            let weight = self.weight(proxy, class, server);
            let (tries, good) = (*tries as f64, *good as f64);
            self.cells.entry((key, server.clone(), class)).or_default().add(&Cell {
                good: weight * good,
                tries: weight * tries,
                squares: weight * weight * tries,
                had_good: good,
                had: tries,
                flow: Flow::default(),
            });
        }
        // By its shares and not by its tries: what came before the first orders came by no table of a planner's.
        for (server, share) in old {
            self.loads.entry((key, server.clone())).or_default().0 += share * all;
        }
        let block = self.blocks.entry(key).or_default();
        block.1 += all;
        let sum = self.flows.entry((key, class)).or_default();
        *sum = Flow { came: sum.came + flow.came, was: sum.was + flow.was, would: sum.would + flow.would };
        // A level that lets more in brings more to all servers.
        let more = if flow.was > 0.0 { flow.would / flow.was } else { 1.0 };
        for (server, share) in new {
            let known = met.get(server).is_some_and(|m| m.0 > 0) || old.get(server).is_some_and(|p| *p > 0.0);
            block.0 += if known { share * all } else { 0.0 };
            self.loads.entry((key, server.clone())).or_default().1 += share * all * more;
        }
    }

    /// Keeps the shares of the last seconds.
    fn remember(&mut self, at: Duration, proxy: &str, class: usize, (old, new): (&Shares, &Shares)) {
        let past = self.past.entry((proxy.to_string(), class)).or_default();
        match past.back_mut().filter(|(_, o, n)| o == old && n == new) {
            Some(same) => same.0 = at,
            None => past.push_back((at, old.clone(), new.clone())),
        }
        while past.front().is_some_and(|(then, ..)| *then + SENT_WITHIN < at) {
            past.pop_front();
        }
    }

    /// By how much more or less the other tables would have sent to a server: by the newest that had it.
    fn weight(&self, proxy: &str, class: usize, server: &str) -> f64 {
        let past = self.past.get(&(proxy.to_string(), class));
        let had = past.into_iter().flatten().rev().find_map(|(_, old, new)| {
            let p = old.get(server).copied().filter(|p| *p > 0.0)?;
            Some(new.get(server).copied().unwrap_or(0.0) / p)
        });
        had.unwrap_or(0.0).min(WEIGHT_MOST)
    }

    /// The blocks, each server's part in time moved to the load that it would have had.
    fn blocks(&self, curve: &Curve) -> BTreeMap<u64, Block> {
        let classes = vec![Cell::default(); self.names.len()];
        let block = |(k, (known, all)): (&u64, &(f64, f64))| {
            (*k, Block { classes: classes.clone(), known: *known, all: *all })
        };
        let mut blocks: BTreeMap<u64, Block> = self.blocks.iter().map(block).collect();
        for ((key, server, class), cell) in &self.cells {
            let load = self.loads.get(&(*key, server.clone())).copied().unwrap_or_default();
            let good = (cell.good * curve.moved(*class, load)).min(cell.tries);
            if let Some(block) = blocks.get_mut(key) {
                block.classes[*class].add(&Cell { good, ..*cell });
            }
        }
        for ((key, class), flow) in &self.flows {
            if let Some(block) = blocks.get_mut(key) {
                block.classes[*class].flow = *flow;
            }
        }
        blocks
    }

    /// Service over time: seconds, as recorded, and as it would have been where the estimate carries.
    pub fn series(&self) -> Vec<(f64, f64, Option<f64>)> {
        let curve = Curve::of(self);
        let carries = self.carries(&curve);
        let point = |(key, block): (&u64, &Block)| {
            let one = std::slice::from_ref(block);
            let would = (*key < carries).then(|| self.service_of(one, would)).flatten();
            let was = self.service_of(one, was).unwrap_or(0.0);
            ((key * BLOCK.as_secs()) as f64, was, would)
        };
        self.blocks(&curve).iter().map(point).collect()
    }

    /// Classes weigh by their payoffs and by the queries that came; each class is normalised by itself.
    fn service_of(&self, blocks: &[Block], of: fn(&Cell) -> Option<f64>) -> Option<f64> {
        let (mut got, mut asked) = (0.0, 0.0);
        for (class, payoff) in self.payoffs.iter().enumerate() {
            let all = blocks.iter().fold(Cell::default(), |mut sum, b| {
                sum.add(&b.classes[class]);
                sum
            });
            if let Some(part) = of(&all) {
                got += payoff * all.flow.came * part;
                asked += payoff * all.flow.came;
            }
        }
        (asked > 0.0).then(|| got / asked)
    }

    pub fn service(&self, seed: u64) -> Service {
        let curve = Curve::of(self);
        let carries = self.carries(&curve);
        let all = self.blocks(&curve);
        let end = all.keys().next_back().map_or(0, |k| k + 1);
        let blocks: Vec<Block> = all.iter().filter(|(k, _)| **k < carries).map(|(_, b)| b.clone()).collect();
        let (known, came) = blocks.iter().fold((0.0, 0.0), |sum, b| (sum.0 + b.known, sum.1 + b.all));
        let support = if came > 0.0 { known / came } else { 0.0 };
        let enough = blocks.len() >= BLOCKS_LEAST && support >= SUPPORT_LEAST;
        let value = self.service_of(&blocks, would).filter(|_| enough);
        let whole: Vec<Block> = all.into_values().collect();
        let span = if blocks.is_empty() { &whole } else { &blocks };
        let class = |(k, name): (usize, &String)| {
            let sum = span.iter().fold(Cell::default(), |mut sum, b| {
                sum.add(&b.classes[k]);
                sum
            });
            let would = value.and_then(|_| would(&sum));
            ByClass { class: name.clone(), queries: sum.flow.came, was: was(&sum).unwrap_or(0.0), would }
        };
        Service {
            was: self.service_of(span, was).unwrap_or(0.0),
            would: value.map(|v| self.bars(&blocks, v, seed)),
            support,
            carries: (carries.min(end) * BLOCK.as_secs()) as f64,
            classes: self.names.iter().enumerate().map(class).collect(),
        }
    }

    /// Bars for the outcome of another such day: the spread by drawing blocks with replacement, once for the estimate
    /// and once for the day that it is of; no smaller than what so many tries leave to chance.
    fn bars(&self, blocks: &[Block], value: f64, seed: u64) -> (f64, f64, f64) {
        let mut chance = WyRand::new_seed(seed);
        let draw = |_| {
            let drawn: Vec<Block> =
                blocks.iter().map(|_| blocks[chance.generate_range(0..blocks.len())].clone()).collect();
            self.service_of(&drawn, would).unwrap_or(value)
        };
        let drawn = (0..DRAWS).map(draw).collect::<Vec<f64>>().variance();
        let cells = || blocks.iter().flat_map(|b| &b.classes);
        let (tries, squares): (f64, f64) =
            (cells().map(|c| c.tries).sum(), cells().map(|c| c.squares).sum::<f64>().max(1e-9));
        // As many unweighted tries as these are as good as (Kish); two more of each kind, so that a day without a
        // late answer is not taken for certain (Agresti and Coull).
        let like = tries * tries / squares;
        let part = (value * like + 2.0) / (like + 4.0);
        let spread = (2.0 * drawn.max(part * (1.0 - part) / (like + 4.0))).sqrt();
        let free = (blocks.len() - 1).max(1) as f64;
        let t = StudentsT::new(0.0, 1.0, free).map_or(2.0, |t| t.inverse_cdf(0.5 + HELD / 2.0));
        (value, (value - t * spread).max(0.0), (value + t * spread).min(1.0))
    }

    /// The first block in which a server would have had far more than it had, and more than any did whose outcome
    /// is known: from there on its times are unknown.
    fn carries(&self, curve: &Curve) -> u64 {
        let over = |(_, (had, would)): &(&(u64, String), &(f64, f64))| {
            // A few queries more at an idle server say nothing.
            *would > LOAD_MOST * had + 10.0 * BLOCK.as_secs_f64() && !(*had > 0.0 && curve.knows(*would))
        };
        self.loads.iter().find(over).map_or(u64::MAX, |((block, _), _)| *block)
    }
}
