//! Capacity estimation: how many requests per second a unit of weight can handle.

use super::{AdmissionController, Demand, HIGH_PRESSURE};
use crate::statistics::update_average;

/// The capacity estimate is updated from this many ticks with reports on.
const TICKS_UNTIL_CAPACITY_KNOWN: u32 = 3;
/// Below this pressure a limited fleet is idle: its success rate does not show its capacity.
const IDLE_PRESSURE: f64 = 0.7;
/// Below this pressure the fleet sustains the arrival rate.
const SUSTAINED_PRESSURE: f64 = 0.85;
/// Gains of the moving averages, per tick.
const CAPACITY_GAIN: f64 = 0.15;
const SUSTAINED_GAIN: f64 = 0.2;
/// The capacity is computed by dividing by the square root of the pressure; this is the lower bound of that pressure.
const MIN_PRESSURE_FOR_CAPACITY: f64 = 0.4;
/// Growth of the capacity estimate of an idle limited fleet, per tick and unit of pressure below [`IDLE_PRESSURE`].
const IDLE_CAPACITY_GROWTH: f64 = 0.3;

impl AdmissionController {
    /// Whether there were enough ticks with reports to estimate the capacity.
    pub(super) fn capacity_is_known(&self) -> bool {
        self.ticks_with_reports >= TICKS_UNTIL_CAPACITY_KNOWN
    }

    /// Updates the capacity estimate and the sustained rate, once per tick.
    ///
    /// The capacity is the present success rate per unit of weight, divided by the square root of the pressure. While a
    /// limited fleet is idle, the estimate grows instead, since it would otherwise fall together with the limit.
    pub(super) fn update_capacity_estimate(&mut self, demand: &Demand, is_limited: bool) {
        let pressure = self.shared.overload_pressure;
        let capacity =
            self.success_rate / demand.fleet_weight / pressure.max(MIN_PRESSURE_FOR_CAPACITY).sqrt();
        let shows_capacity = !is_limited || capacity > self.capacity_estimate || pressure > IDLE_PRESSURE;
        if self.capacity_is_known() && pressure < HIGH_PRESSURE && shows_capacity {
            update_average(&mut self.capacity_estimate, capacity, CAPACITY_GAIN);
        } else if is_limited && pressure < IDLE_PRESSURE {
            self.capacity_estimate *= 1.0 + IDLE_CAPACITY_GROWTH * (IDLE_PRESSURE - pressure);
        }
        // The fleet can handle the load that arrives at a low pressure, even if the estimate is lower.
        if self.ticks_with_reports >= 1 && pressure < SUSTAINED_PRESSURE && !is_limited {
            update_average(
                &mut self.sustained_rate,
                demand.arrival_rate / demand.fleet_weight,
                SUSTAINED_GAIN,
            );
        }
    }
}
