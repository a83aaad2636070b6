//! Time in whole seconds, ranges of seconds, and the median.

/// A time range in seconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct SecondsRange {
    pub from: f64,
    pub to: f64,
}

impl SecondsRange {
    pub fn duration(&self) -> f64 {
        self.to - self.from
    }

    /// The range in whole seconds, without the second in which it ends.
    pub fn whole_seconds(&self) -> std::ops::Range<u64> {
        second_of(self.from)..second_of(self.to)
    }
}

/// The whole second that a time falls into. Reports come once or twice a second; shorter intervals would show noise.
pub(super) fn second_of(at: f64) -> u64 {
    at as u64
}

/// The start of a whole second.
pub(super) fn second_start(second: u64) -> f64 {
    second as f64
}

/// The median, which is the upper of the two middle values for an even number of values; 0 for none.
pub(super) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}

/// Joins ascending seconds into ranges. A gap of one second does not end a range.
pub(super) fn join_seconds(seconds: impl Iterator<Item = u64>) -> Vec<SecondsRange> {
    let mut ranges: Vec<SecondsRange> = vec![];
    for second in seconds {
        let (from, to) = (second_start(second), second_start(second + 1));
        match ranges.last_mut().filter(|range| from <= range.to + 1.0) {
            Some(range) => range.to = to,
            None => ranges.push(SecondsRange { from, to }),
        }
    }
    ranges
}
