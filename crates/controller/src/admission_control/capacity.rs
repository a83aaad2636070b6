//! Capacity estimation: how many requests a second a unit of weight can handle.

use super::{AdmissionController, Demand, HIGH_PRESSURE};
use crate::statistics::update_average;

/// Ticks with reports from which the capacity estimate moves.
const TICKS_UNTIL_CAPACITY_KNOWN: u32 = 3;
/// Below this pressure a limited fleet is idle: what it handles says nothing of what it could.
const IDLE_PRESSURE: f64 = 0.7;
/// Below this pressure what arrives is taken as what the fleet sustains.
const SUSTAINED_PRESSURE: f64 = 0.85;
/// Gains of the moving averages, per tick.
const CAPACITY_GAIN: f64 = 0.15;
const SUSTAINED_GAIN: f64 = 0.2;
/// The capacity estimate divides by the square root of the pressure, which is taken to be at least this.
const MIN_PRESSURE_FOR_CAPACITY: f64 = 0.4;
/// Growth of the capacity estimate of an idle limited fleet, per tick and unit of pressure below idle.
const IDLE_CAPACITY_GROWTH: f64 = 0.3;

impl AdmissionController {
    /// Whether there were enough reports to estimate the capacity.
    pub(super) fn capacity_is_known(&self) -> bool {
        self.ticks_with_reports >= TICKS_UNTIL_CAPACITY_KNOWN
    }

    /// What a unit of weight can handle: the lower the pressure, the more above what it handles now. The estimate of
    /// a limited fleet at ease rises, since it would fall with the limit otherwise.
    pub(super) fn update_capacity_estimate(&mut self, demand: &Demand, is_limited: bool) {
        let pressure = self.shared.overload_pressure;
        let capacity =
            self.success_rate / demand.fleet_weight / pressure.max(MIN_PRESSURE_FOR_CAPACITY).sqrt();
        let tells_capacity = !is_limited || capacity > self.capacity_estimate || pressure > IDLE_PRESSURE;
        if self.capacity_is_known() && pressure < HIGH_PRESSURE && tells_capacity {
            update_average(&mut self.capacity_estimate, capacity, CAPACITY_GAIN);
        } else if is_limited && pressure < IDLE_PRESSURE {
            self.capacity_estimate *= 1.0 + IDLE_CAPACITY_GROWTH * (IDLE_PRESSURE - pressure);
        }
        // What arrives without pressing the fleet it can handle, whatever the estimate says.
        if self.ticks_with_reports >= 1 && pressure < SUSTAINED_PRESSURE && !is_limited {
            update_average(
                &mut self.sustained_rate,
                demand.arrival_rate / demand.fleet_weight,
                SUSTAINED_GAIN,
            );
        }
    }
}
