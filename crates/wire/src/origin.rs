//! Origins of streams, as sent between instances.

use serde::Deserialize;
use serde::Serialize;

use crate::Name;

/// Where a stream of events began. It may only go on at a backend server of the same origin.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Origin {
    /// The pool whose server began the stream.
    pub pool: Name,
    /// Version of that server's software; empty if it is not known.
    pub software: Name,
}
