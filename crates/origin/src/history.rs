//! The software versions that the list of backend servers showed lately.
//!
//! A service with a single version during the whole life of a stream leaves no doubt about the
//! version at which the stream began, even without a record of it.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use clock::WallTime;
use wire::Name;

use crate::table::RETENTION;

/// Maximum time between two readings of the list of backend servers, above which versions may have
/// come and gone unseen.
pub const GAP_MAX: Duration = Duration::from_secs(3);

/// Software versions of each service that one instance has seen listed.
#[derive(Debug, Default)]
pub struct History {
    /// The versions by the service's label and their name.
    versions: BTreeMap<Name, BTreeMap<Name, Version>>,
    observed: Option<Span>,
}

/// A reading of the list of backend servers.
#[derive(Clone, Copy, Debug)]
pub struct Reading {
    /// When the reading was handled.
    pub handled_at: Time,
    /// Time at or after which the list was as read. A reading that was queued while the process or its
    /// sender stood still shows an old state.
    pub read_at: Time,
    /// Time of day when the reading was handled. It goes on while the machine is suspended.
    pub wall: WallTime,
}

/// The time of the first and of the last of the readings without a gap among them.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: Time,
    until: Time,
    wall: WallTime,
}

#[derive(Debug)]
struct Version {
    last_listed: Time,
    /// Time of the first reading that did not list the version any more.
    absent_from: Option<Time>,
}

impl History {
    /// Returns an empty history.
    pub fn new() -> History {
        History::default()
    }

    /// Records a reading of the list of backend servers: the label and the software version of each
    /// server. An empty version is an unknown one.
    pub fn record<'a>(
        &mut self,
        reading: Reading,
        servers: impl Iterator<Item = (&'a Name, &'a Name)>,
    ) {
        self.extend_span(reading);
        let now = reading.handled_at;
        for (label, software) in servers {
            self.record_listed(now, label, software);
        }
        self.mark_absent(now);
        self.drop_expired(now);
    }

    /// Returns the only software version that was listed for a label from a time until the last
    /// reading, or `None` if there were several, none or an unknown one.
    ///
    /// Returns `None` also if the list was not observed during the whole span: because the history
    /// begins after it, has a gap longer than [`GAP_MAX`] in it or ends before it, or because the
    /// span is longer than [`RETENTION`].
    pub fn only_version(&self, label: &str, since: Time) -> Option<&Name> {
        let observed = self.observed?;
        let is_observed = observed.from <= since && since <= observed.until;
        if !is_observed || observed.until - since > RETENTION {
            return None;
        }
        let mut listed = self
            .versions
            .get(label)?
            .iter()
            .filter(|(_, version)| version.is_listed_after(since))
            .map(|(software, _)| software);
        let only = listed.next()?;
        (listed.next().is_none() && !only.is_empty()).then_some(only)
    }

    /// Returns the time of the last reading.
    pub fn observed_until(&self) -> Option<Time> {
        self.observed.map(|span| span.until)
    }

    fn extend_span(&mut self, reading: Reading) {
        let Reading { read_at, wall, .. } = reading;
        let has_gap = |span: &Span| {
            let gap = read_at.saturating_sub(span.until);
            gap.max(wall.saturating_sub(span.wall)) > GAP_MAX
        };
        self.observed = match self.observed.filter(|span| !has_gap(span)) {
            Some(span) => Some(Span {
                from: span.from,
                until: span.until.max(read_at),
                wall,
            }),
            None => Some(Span {
                from: read_at,
                until: read_at,
                wall,
            }),
        };
    }

    fn record_listed(&mut self, now: Time, label: &Name, software: &Name) {
        let version = Version {
            last_listed: now,
            absent_from: None,
        };
        self.versions
            .entry(label.clone())
            .or_default()
            .insert(software.clone(), version);
    }

    fn mark_absent(&mut self, now: Time) {
        for version in self.versions.values_mut().flat_map(BTreeMap::values_mut) {
            if version.last_listed < now {
                version.absent_from.get_or_insert(now);
            }
        }
    }

    fn drop_expired(&mut self, now: Time) {
        self.versions.retain(|_, versions| {
            versions.retain(|_, version| !version.is_expired(now));
            !versions.is_empty()
        });
    }
}

impl Version {
    /// Returns whether the version was on the list at some moment from `since` on. A reading holds
    /// until the next one, so a version counts until the first reading without it.
    fn is_listed_after(&self, since: Time) -> bool {
        self.absent_from.is_none_or(|absent| absent > since)
    }

    fn is_expired(&self, now: Time) -> bool {
        self.absent_from
            .is_some_and(|absent| now.saturating_sub(absent) > RETENTION)
    }
}
