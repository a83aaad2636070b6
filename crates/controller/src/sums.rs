//! Arithmetic that the decisions use. It knows no server and no proxy.

/// Takes in a new pace: the first as it is, later ones in part.
pub fn blend(pace: &mut f64, new: f64, part: f64) {
    *pace += (new - *pace) * if *pace > 0.0 { part } else { 1.0 };
}

/// They are the same, or no more than a part of the first apart.
pub fn near(a: Option<f64>, b: Option<f64>, part: f64) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => (b - a).abs() < a * part,
        (a, b) => a == b,
    }
}

/// The middle one.
pub fn middle(mut seen: Vec<f32>) -> f32 {
    seen.sort_by(f32::total_cmp);
    seen.get(seen.len() / 2).copied().unwrap_or(0.0)
}

/// The one pace that cuts the greatest paces until all add up to the sum; `None` where they do as it is.
pub fn even_level(mut paces: Vec<f64>, sum: f64) -> Option<f64> {
    paces.sort_by(f64::total_cmp);
    let mut left = sum;
    for (k, pace) in paces.iter().enumerate() {
        let even = left / (paces.len() - k) as f64;
        if *pace > even {
            return Some(even);
        }
        left -= pace;
    }
    None
}

/// A small histogram of times on doubling bins from 20 ms, which spans any query that has a limit of
/// seconds. What falls between two bins is split between them, so that the mean stays true.
#[derive(Debug, Clone, Default)]
pub struct Histogram([f32; 10]);

impl Histogram {
    pub fn add(&mut self, seconds: f64, weight: f32) {
        let place = (seconds / 0.02).max(1.0).log2().min(8.999);
        let part = place.fract() as f32;
        self.0[place as usize] += weight * (1.0 - part);
        self.0[place as usize + 1] += weight * part;
    }

    pub fn halve(&mut self) {
        self.0.iter_mut().for_each(|bin| *bin *= 0.5);
    }

    /// Halves it once it holds more than so much.
    pub fn cap(&mut self, most: f32) {
        if self.count() > most {
            self.halve();
        }
    }

    pub fn count(&self) -> f32 {
        self.0.iter().sum()
    }

    /// The time at the mean place, seconds.
    pub fn mean(&self) -> f64 {
        let places: f32 = self.0.iter().enumerate().map(|(k, bin)| k as f32 * bin).sum();
        0.02 * f64::from(places / self.count().max(f32::MIN_POSITIVE)).exp2()
    }
}
