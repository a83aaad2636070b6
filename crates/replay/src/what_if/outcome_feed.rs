//! Adds the proxies' reports to the service estimate.

use super::admission::TokenBucket;
use super::SideReplay;
use crate::estimate::{Estimate, Outcomes, ReportedOutcomes, RequestCounts, Shares};
use crate::{time_of, MICROSECONDS_PER_SECOND};
use runloom_event_log::entry::{RecordedArrivals, RecordedClassOutcome, RecordedOutcome};
use runloom_event_log::{Entry, RecordedEvent};
use runloom_model::fleet::Fleet;
use std::collections::BTreeMap;

/// Name of the one class that stands for all classes if a log has no outcomes by class.
const COMBINED_CLASS: &str = "all";

/// Token buckets of one proxy and class, one for each side.
#[derive(Default)]
struct SideBuckets {
    recorded: TokenBucket,
    changed: TokenBucket,
}

/// Adds reports to the estimate: by class if the log has outcomes by class, else with all classes as one.
pub(super) struct OutcomeFeed {
    estimate: Estimate,
    /// Names of the classes; `None` for a log without outcomes by class.
    classes: Option<Vec<String>>,
    /// The latest outcomes by class. In the log they precede the report that they belong to.
    class_outcomes: Vec<RecordedClassOutcome>,
    buckets: BTreeMap<(String, usize), SideBuckets>,
}

impl OutcomeFeed {
    pub fn new(entries: &[Entry], fleet: &Fleet) -> OutcomeFeed {
        let has_classes = entries.iter().any(|e| matches!(e.event, RecordedEvent::ClassOutcomes { .. }));
        let classes: Vec<(String, f64)> =
            fleet.classes.iter().map(|class| (class.name.clone(), class.priority_weight)).collect();
        let names = has_classes.then(|| classes.iter().map(|(name, _)| name.clone()).collect());
        let estimated = if has_classes { classes } else { vec![(COMBINED_CLASS.into(), 1.0)] };
        OutcomeFeed {
            estimate: Estimate::new(estimated),
            classes: names,
            class_outcomes: vec![],
            buckets: BTreeMap::new(),
        }
    }

    pub fn into_estimate(self) -> Estimate {
        self.estimate
    }

    /// Handles an entry that both sides have replayed, so that their tables are those of its time.
    pub fn handle_entry(&mut self, entry: &Entry, recorded: &SideReplay, changed: &SideReplay) {
        match &entry.event {
            RecordedEvent::ClassOutcomes { outcomes, .. } => self.class_outcomes = outcomes.clone(),
            RecordedEvent::Report { proxy, window_us, outcomes: reported, arrivals } => {
                match self.classes.clone() {
                    Some(classes) => {
                        let outcomes = std::mem::take(&mut self.class_outcomes);
                        let seconds = *window_us as f64 / MICROSECONDS_PER_SECOND;
                        for (class, name) in classes.iter().enumerate() {
                            let report = ClassReport { entry, proxy, class, name, seconds };
                            self.add_class(&report, &outcomes, arrivals, recorded, changed);
                        }
                    }
                    None => self.add_combined(entry, proxy, reported, arrivals, recorded, changed),
                }
            }
            _ => {}
        }
    }

    fn add_class(
        &mut self,
        report: &ClassReport,
        outcomes: &[RecordedClassOutcome],
        arrivals: &[RecordedArrivals],
        recorded: &SideReplay,
        changed: &SideReplay,
    ) {
        let of_class = arrivals.iter().filter(|arrivals| arrivals.class == report.name);
        let arrived = of_class.map(|arrivals| arrivals.requests as f64).sum();
        let buckets = self.buckets.entry((report.proxy.to_string(), report.class)).or_default();
        let counts = RequestCounts {
            arrived,
            recorded_admitted: buckets.recorded.admit(
                report.admission_rate(recorded),
                arrived,
                report.seconds,
            ),
            changed_admitted: buckets.changed.admit(report.admission_rate(changed), arrived, report.seconds),
        };
        let of_class = outcomes.iter().filter(|outcome| outcome.class == report.name);
        let outcomes: BTreeMap<String, Outcomes> = of_class
            .map(|o| (o.server.clone(), Outcomes { attempts: o.attempts, in_time: o.within_objective }))
            .collect();
        let requests = BTreeMap::from([(report.name, 1.0)]);
        let shares = |side: &SideReplay| request_shares(side, report.proxy, &requests);
        if let (Some(recorded_shares), Some(changed_shares)) = (shares(recorded), shares(changed)) {
            self.estimate.add_report(&ReportedOutcomes {
                at: time_of(report.entry),
                proxy: report.proxy,
                class: report.class,
                outcomes: &outcomes,
                recorded_shares: &recorded_shares,
                changed_shares: &changed_shares,
                requests: counts,
            });
        }
    }

    /// Adds a report of all classes together, to which no admission rate applies.
    fn add_combined(
        &mut self,
        entry: &Entry,
        proxy: &str,
        outcomes: &[RecordedOutcome],
        arrivals: &[RecordedArrivals],
        recorded: &SideReplay,
        changed: &SideReplay,
    ) {
        let requests: BTreeMap<&str, f64> =
            arrivals.iter().map(|arrivals| (arrivals.class.as_str(), arrivals.requests as f64)).collect();
        let shares = |side: &SideReplay| request_shares(side, proxy, &requests);
        let (Some(recorded_shares), Some(changed_shares)) = (shares(recorded), shares(changed)) else {
            return;
        };
        let outcomes: BTreeMap<String, Outcomes> = outcomes
            .iter()
            .map(|o| (o.server.clone(), Outcomes { attempts: o.attempts, in_time: o.within_objective }))
            .collect();
        let attempts = outcomes.values().map(|outcomes| outcomes.attempts as f64).sum();
        self.estimate.add_report(&ReportedOutcomes {
            at: time_of(entry),
            proxy,
            class: 0,
            outcomes: &outcomes,
            recorded_shares: &recorded_shares,
            changed_shares: &changed_shares,
            requests: RequestCounts {
                arrived: attempts,
                recorded_admitted: attempts,
                changed_admitted: attempts,
            },
        });
    }
}

/// One class of a proxy's report.
struct ClassReport<'a> {
    entry: &'a Entry,
    proxy: &'a str,
    class: usize,
    name: &'a str,
    /// The time that the report covers.
    seconds: f64,
}

impl ClassReport<'_> {
    fn admission_rate(&self, side: &SideReplay) -> Option<f64> {
        side.tracker.tables(self.proxy)?.admission_limit(self.name)?.rate
    }
}

/// The share (0 to 1) of a proxy's requests that each server gets by the tables in force there. `requests` are the
/// requests by class; `None` if the proxy has no tables of a planner.
fn request_shares(side: &SideReplay, proxy: &str, requests: &BTreeMap<&str, f64>) -> Option<Shares> {
    let tables = side.tracker.tables(proxy)?;
    let total: f64 = requests.values().sum();
    let mut shares = Shares::new();
    for (class, count) in requests {
        let entries = tables.entries(class);
        let weights: f64 = entries.iter().map(|entry| entry.weight).sum();
        for entry in entries {
            *shares.entry(entry.server).or_insert(0.0) += entry.weight / weights * count / total.max(1.0);
        }
    }
    Some(shares)
}
