//! Rates to which backend servers limit the requests of all instances together, and permits to send
//! a request to such a server.

use serde::Deserialize;
use serde::Serialize;

use crate::AttemptId;
use crate::BootId;
use crate::Name;

/// Maximum number of limits in one frame, which then fits into a datagram.
pub const LIMITS_MAX: usize = 16;

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

/// The newest statement of a backend server about its limit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Limit {
    /// Name of the server.
    pub server: Name,
    /// Boot id of the server.
    pub boot: BootId,
    /// The limit, or `None` if the server has none any more.
    pub rate: Option<Rate>,
    /// Time since the statement was true, in milliseconds.
    pub age_ms: u32,
}

/// Asks the keeper of a limited server for a permit.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRequest {
    /// The attempt that is to use the permit.
    pub attempt: AttemptId,
    /// Name of the server.
    pub server: Name,
    /// Boot id of the server.
    pub boot: BootId,
    /// The limit as the sender knows it.
    pub rate: Rate,
    /// Longest time that the attempt may wait, in milliseconds.
    pub wait_ms: u32,
}

/// The keeper's answer to a [`PermitRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Permit {
    /// The attempt of the request.
    pub attempt: AttemptId,
    /// Whether the permit is given.
    pub is_given: bool,
    /// Time after which the attempt may be sent, or another permit may be asked for, in
    /// milliseconds.
    pub wait_ms: u32,
}
