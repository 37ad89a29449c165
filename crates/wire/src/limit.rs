//! Rates to which backend servers limit their requests.

/// A rate of requests: their number in 1,000 seconds.
pub type Rate = u32;

/// Returns the rate of a number of requests per second. A rate that is too great to be represented
/// is replaced by the greatest.
pub fn rate_from_hertz(hertz: f64) -> Rate {
    (hertz * 1_000.0).round() as Rate
}

/// Returns the number of requests per second.
pub fn hertz(rate: Rate) -> f64 {
    f64::from(rate) / 1_000.0
}
