//! Streams that may only go on at the software version that began them.
//!
//! With the first event of a stream its origin is recorded and sent to a few other instances. A
//! request that continues a stream begun through another instance waits in [`Phase::Tracing`] until
//! the origin is known, and is refused if it can't be learnt. See [`origin`] for the reasons.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use clock::Time;
use conf::Config;
use conf::Delivery;
use conf::Name;
use conf::Route;
use member::rendezvous;
use origin::history::Reading;
use origin::table::Outcome;
use wire::Body;
use wire::BootId;
use wire::InstanceId;
use wire::RequestId;
use wire::StreamId;
use wire::origin::Origin;
use wire::server_list::Era;
use wire::server_list::Revision;

use crate::instance::Instance;
use crate::job::Job;
use crate::job::Phase;
use crate::job::Tracing;
use crate::message::ListedServer;
use crate::message::Stream;
use crate::outcome::Reason;

/// Number of instances of each data centre that are asked for the origin of a stream. With two, one
/// whose view of the fleet lacks the latest changes still finds the holder.
const ASKED_PER_DATA_CENTRE: usize = 2;
/// Greatest number of other instances that all keep the origins of streams. Of so few most may be
/// lost at once.
const SMALL_FLEET_MAX: usize = 8;
/// Time after which instances that have not answered are asked again.
const ASK_PERIOD: Duration = Duration::from_millis(60);
/// Time after which they are no longer waited for.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for a reading of the server list that began after the request arrived. The list is read
/// about twice per second.
const LIST_TIMEOUT: Duration = Duration::from_millis(900);
/// Period in which a new reading is looked for.
const LIST_CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Time that a stream on a route without a timeout is assumed to last at most.
const STREAM_TIME_MAX: Duration = Duration::from_secs(60);
/// Longest time for which an instance that is cut off from the store is assumed to begin streams by
/// an old list.
const LIST_AGE_MAX: Duration = Duration::from_secs(30);
/// Retry-after of a request whose stream's origin is not known.
const UNKNOWN_ORIGIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What an instance knows of the origins of streams.
#[derive(Debug, Default)]
pub(crate) struct Origins {
    table: origin::table::Table,
    history: origin::history::History,
    /// The labels of the servers that each route for streams leads to, and since when.
    route_labels: BTreeMap<Name, (BTreeSet<Name>, Time)>,
}

impl Instance {
    /// Starts the placement of a job, or first the search for the origin of the stream that it
    /// continues.
    pub(crate) fn trace_or_place(&mut self, id: RequestId) {
        match self.jobs.get(&id).and_then(|job| job.request.stream) {
            Some(Stream::Rest(stream)) => self.trace(id, stream),
            Some(Stream::New(_)) | None => self.start_placement(id),
        }
    }

    fn trace(&mut self, id: RequestId, stream: Option<StreamId>) {
        let known = stream.and_then(|stream| self.origins.table.find(self.now, stream).cloned());
        if let Some(origin) = known {
            self.continue_stream(id, origin);
            return;
        }
        let asked = stream.map_or(Vec::new(), |stream| self.probable_holders(stream));
        let started_at = self.now;
        if let Some(job) = self.jobs.get_mut(&id) {
            job.phase = Phase::Tracing(Tracing {
                asked,
                started_at,
                list: None,
            });
        }
        self.on_tracing_timer(id);
    }

    /// Asks for an origin again, or stops waiting for answers.
    pub(crate) fn on_tracing_timer(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let (Phase::Tracing(tracing), Some(Stream::Rest(stream))) =
            (&job.phase, job.request.stream)
        else {
            return;
        };
        let timeout_at = tracing.started_at + ASK_TIMEOUT;
        let waits = self.now < timeout_at && !tracing.asked.is_empty();
        match stream.filter(|_| waits) {
            Some(stream) => {
                for to in tracing.asked.clone() {
                    self.send(to, Body::FindOrigin { stream });
                }
                let due = (self.now + ASK_PERIOD).min(timeout_at);
                self.set_timer(id, due);
            }
            None => self.trace_by_list(id),
        }
    }

    /// Continues a stream without a record if the list of servers leaves no doubt about its origin:
    /// the route has led to one service all along, of which one version was listed.
    fn trace_by_list(&mut self, id: RequestId) {
        let job = &self.jobs[&id];
        let pool = job.route.pool.clone();
        let stream_time = job.route.timeout().unwrap_or(STREAM_TIME_MAX);
        // The request that began the stream and this one may each have taken that long.
        let since = job
            .arrived_at
            .saturating_sub(stream_time * 2 + LIST_AGE_MAX);
        let arrived_at = job.arrived_at;
        let history = &self.origins.history;
        let label = self.only_label(&job.request.route, since);
        let software = label.and_then(|label| history.only_version(label, since).cloned());
        let Some(software) = software else {
            self.end_untraced(id);
            return;
        };
        if self.has_read_list_since(id, arrived_at) {
            self.continue_stream(id, Origin { pool, software });
        } else if self.now < arrived_at + LIST_TIMEOUT {
            self.await_list(id);
            self.set_timer(id, self.now + LIST_CHECK_PERIOD);
        } else {
            self.end_untraced(id);
        }
    }

    /// Returns whether the current list was read by a call that began after a time. The time at which
    /// a list is handled says nothing of that: it may have been queued while this process or its reader
    /// stood still.
    fn has_read_list_since(&self, id: RequestId, since: Time) -> bool {
        if self.list_state.asked_at().is_some_and(|at| at >= since) {
            return true;
        }
        let Some(Phase::Tracing(tracing)) = self.jobs.get(&id).map(|job| &job.phase) else {
            return false;
        };
        tracing
            .list
            .is_some_and(|list| self.list_state.position() >= list)
    }

    /// Asks the instance that reads the list to tell when it has read it anew.
    fn await_list(&mut self, id: RequestId) {
        let reader = self.list_state.reader();
        if reader != self.id() {
            self.send(reader, Body::AwaitServerList { request: id });
        }
    }

    /// Handles the answer of the instance that reads the list: it has read it since it was asked.
    pub(crate) fn on_list_read_elsewhere(&mut self, id: RequestId, list: (Era, Revision)) {
        let Some(Phase::Tracing(tracing)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) else {
            return;
        };
        tracing.list = tracing.list.max(Some(list));
        self.trace_by_list(id);
    }

    /// Returns the label of the servers that a route has led to since a time, if it was only one.
    fn only_label(&self, route: &str, since: Time) -> Option<&Name> {
        let (labels, led_there_since) = self.origins.route_labels.get(route)?;
        let only = labels.first().filter(|_| labels.len() == 1);
        only.filter(|_| *led_there_since <= since)
    }

    /// Records where the routes of a configuration that has come into force lead.
    pub(crate) fn record_route_labels(&mut self, config: &Config) {
        let label = |pool: &Name| {
            let found = config.pools.get(pool);
            found.map_or_else(|| pool.clone(), |found| Name::from(found.label(pool)))
        };
        let known = std::mem::take(&mut self.origins.route_labels);
        let is_stream = |route: &Route| route.delivery == Delivery::Stream;
        let streams = config.routes.iter().filter(|(_, route)| is_stream(route));
        let labels = streams.map(|(name, route)| {
            let pools = route.split.keys().chain([&route.pool]);
            let labels: BTreeSet<Name> = pools.map(label).collect();
            let since = known
                .get(name)
                .filter(|(known, _)| *known == labels)
                .map_or(self.now, |(_, since)| *since);
            (name.clone(), (labels, since))
        });
        self.origins.route_labels = labels.collect();
    }

    fn end_untraced(&mut self, id: RequestId) {
        let stream = self.jobs[&id].request.stream;
        let text = format!("Request {id}: the origin of its stream is not known ({stream:x?}).");
        self.log("origin", true, text);
        self.end(id, Reason::UnknownOrigin, Some(UNKNOWN_ORIGIN_RETRY_AFTER));
    }

    /// Places a job that continues a stream, at the pool that began it. A route that no longer leads
    /// to that pool can't continue the stream.
    fn continue_stream(&mut self, id: RequestId, origin: Origin) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let leads_there =
            job.route.pool == origin.pool || job.route.split.contains_key(&origin.pool);
        if !leads_there || origin.software.is_empty() {
            self.end_untraced(id);
            return;
        }
        job.route.pool = origin.pool.clone();
        let text = format!(
            "Request {id} continues a stream that began at software {} of {}.",
            origin.software, origin.pool
        );
        job.origin = Some(origin);
        self.log("origin", false, text);
        self.start_placement(id);
    }

    /// Records the origin of a job's stream when its first event has arrived, and sends it to the
    /// stream's holders.
    pub(crate) fn record_origin(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let (Some(Stream::New(stream)), None) = (job.request.stream, &job.origin) else {
            return;
        };
        // The instance to which a request was handed over records the origin.
        let Some(running) = job.running().filter(|running| running.peer.is_none()) else {
            return;
        };
        let (server, boot) = (running.server.clone(), running.boot);
        let mut software = running.software.clone();
        if software.is_empty() {
            // The list may have caught up with a boot that was reported first.
            software = self.software_of(&server, boot);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let origin = Origin {
            pool: job.route.pool.clone(),
            software,
        };
        job.origin = Some(origin.clone());
        if origin.software.is_empty() {
            return;
        }
        self.add_origin(stream, &origin);
        for to in self.holders(stream) {
            let origin = origin.clone();
            self.send(to, Body::StreamBegun { stream, origin });
        }
    }

    /// Adds an origin to the table.
    fn add_origin(&mut self, stream: StreamId, origin: &Origin) {
        if self.origins.table.record(self.now, stream, origin) == Outcome::Conflicting {
            let text = format!("Stream {stream:016x} has two origins, the second is {origin:?}.");
            self.log("origin", true, text);
        }
    }

    /// Answers another instance that has asked for the origin of a stream.
    pub(crate) fn on_find_origin(&mut self, from: InstanceId, stream: StreamId) {
        let origin = self.origins.table.find(self.now, stream).cloned();
        self.send(from, Body::OriginFound { stream, origin });
    }

    /// Handles the answer of an instance that was asked for the origin of a stream.
    pub(crate) fn on_origin_found(
        &mut self,
        from: InstanceId,
        stream: StreamId,
        origin: Option<Origin>,
    ) {
        if let Some(origin) = &origin {
            self.add_origin(stream, origin);
        }
        let waiting: Vec<RequestId> = self
            .jobs
            .values()
            .filter(|job| matches!(job.phase, Phase::Tracing(_)))
            .filter(|job| job.request.stream == Some(Stream::Rest(Some(stream))))
            .map(|job| job.request.id)
            .collect();
        for id in waiting {
            match &origin {
                Some(origin) => self.continue_stream(id, origin.clone()),
                None => self.on_origin_unknown(id, from),
            }
        }
    }

    fn on_origin_unknown(&mut self, id: RequestId, from: InstanceId) {
        let Some(Phase::Tracing(tracing)) = self.jobs.get_mut(&id).map(|job| &mut job.phase) else {
            return;
        };
        tracing.asked.retain(|asked| *asked != from);
        if tracing.asked.is_empty() {
            self.trace_by_list(id);
        }
    }

    /// Returns the instances that keep the origin of a stream begun here: all of a small fleet, or
    /// one of the own data centre, which a partition leaves in reach, and one of another data centre.
    fn holders(&self, stream: StreamId) -> Vec<InstanceId> {
        if self.members.running_others().count() <= SMALL_FLEET_MAX {
            return self.members.running_others().collect();
        }
        let own = self.own_data_centre();
        let key = holder_key(stream);
        let (near, far): (Vec<InstanceId>, Vec<InstanceId>) = self
            .members
            .running_others()
            .partition(|id| self.data_centre_of(*id) == Some(&own));
        [near, far]
            .into_iter()
            .filter_map(|ids| rendezvous::first(&key, ids.into_iter()))
            .collect()
    }

    /// Returns the instances that are asked for the origin of a stream.
    fn probable_holders(&self, stream: StreamId) -> Vec<InstanceId> {
        let key = holder_key(stream);
        let mut by_data_centre: BTreeMap<&Name, Vec<InstanceId>> = BTreeMap::new();
        for id in self.members.running_others() {
            if let Some(data_centre) = self.data_centre_of(id) {
                by_data_centre.entry(data_centre).or_default().push(id);
            }
        }
        by_data_centre
            .into_values()
            .flat_map(|ids| rendezvous::order(&key, ids.into_iter(), ASKED_PER_DATA_CENTRE))
            .collect()
    }

    fn data_centre_of(&self, id: InstanceId) -> Option<&Name> {
        self.members.entry(id).map(|entry| &entry.data_centre)
    }

    /// Records the software versions that the current list shows, which was read at a given time or
    /// later.
    pub(crate) fn record_listed_software(&mut self, read_at: Time) {
        let servers = self.listed.values();
        let versions = servers.map(|server| (&server.label, &server.software));
        let reading = Reading {
            handled_at: self.now,
            read_at,
            wall: self.wall,
        };
        self.origins.history.record(reading, versions);
    }

    /// Returns the version of a server's software, or an empty text if it is not known for the given
    /// boot.
    pub(crate) fn software_of(&self, server: &str, boot: BootId) -> Name {
        self.servers
            .get(server)
            .filter(|listed| boot == 0 || listed.boot == 0 || listed.boot == boot)
            .map(|listed| listed.software.clone())
            .unwrap_or_default()
    }

    /// Returns whether a job may run on a boot of a server: its stream has not begun, or has begun at
    /// the version of that boot.
    pub(crate) fn may_continue_at(&self, job: &Job, server: &str, boot: BootId) -> bool {
        job.required_software().is_none_or(|required| {
            !required.is_empty() && self.software_of(server, boot) == *required
        })
    }
}

/// Returns whether a listed server has a required software version, if one is required.
pub(crate) fn is_of_version(server: &ListedServer, required: Option<&Name>) -> bool {
    required.is_none_or(|required| !required.is_empty() && server.software == *required)
}

fn holder_key(stream: StreamId) -> String {
    format!("{stream:016x}")
}
