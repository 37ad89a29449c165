//! How far the response to a caller has come.

use std::time::Duration;

use clock::Time;

/// Progress of a response stream.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// Id of the last event that the caller has received or that was queued for it.
    pub(super) last_event_id: Option<u64>,
    /// Number of events that were queued for the caller.
    pub(super) events: u32,
    /// Time from the request's arrival to the first event.
    pub(super) first_event_after: Option<Duration>,
    pub(super) last_event_at: Option<Time>,
    /// Longest time between two events.
    pub(super) longest_gap: Duration,
    /// Difference between the ids of successive events.
    id_step: IdStep,
}

/// Difference between the ids of successive events of a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum IdStep {
    /// No two ids are known.
    #[default]
    Unknown,
    /// It is always the same.
    Constant(u64),
    /// It varies, so that events that are missing can't be told.
    Varying,
}

impl Progress {
    /// Returns the progress of a response that begins after an event, if there is one.
    pub(super) fn after(last_event_id: Option<u64>) -> Progress {
        Progress {
            last_event_id,
            ..Progress::default()
        }
    }

    /// Records the id of a new event.
    pub(super) fn record_id(&mut self, id: Option<u64>) {
        let Some(id) = id else { return };
        // The ids of a stream count from zero.
        let step = id.saturating_sub(self.last_event_id.unwrap_or(0));
        self.id_step = match self.id_step {
            IdStep::Unknown if step > 0 => IdStep::Constant(step),
            IdStep::Constant(known) if known != step => IdStep::Varying,
            known => known,
        };
        self.last_event_id = Some(id);
    }

    /// Returns the id of the next event, if it can be told.
    pub(super) fn next_id(&self) -> Option<u64> {
        match (self.id_step, self.last_event_id) {
            (IdStep::Constant(step), Some(last)) => Some(last.saturating_add(step)),
            _ => None,
        }
    }
}
