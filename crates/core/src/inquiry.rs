//! Indirect probes of backend servers.
//!
//! A server that does not answer its coordinator may have failed, or the coordinator's path to it. As
//! in SWIM (Das, Gupta, Motivala, 2002), the coordinator asks other instances to probe the server
//! before it closes the server for all. A coordinator that has lost its paths gets all its load
//! reports this way.

use std::collections::BTreeMap;
use std::time::Duration;

use clock::Time;
use wire::Body;
use wire::InstanceId;
use wire::Name;
use wire::admission::End;
use wire::admission::Item;
use wire::admission::Report;
use wire::gossip::State;
use wire::path::Load;

use crate::instance::Instance;
use crate::message::Output;

/// Number of instances that are asked about one server in turn.
const ASKED_MAX: usize = 2;
/// Time that an instance has to answer, in which it opens a connection to the server.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Time after which a probe by request of a holder's report was lost.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum number of instances that wait for the answer of one server.
const ASKERS_MAX: usize = 16;

/// The indirect probes that are under way.
#[derive(Debug, Default)]
pub(crate) struct Inquiries {
    /// This instance's questions, by server.
    pending: BTreeMap<Name, Inquiry>,
    /// The instances that wait for what a server answers this one, and since when the first does.
    askers: BTreeMap<Name, (Time, Vec<InstanceId>)>,
    /// Probes beyond the periodic ones, with the time at which each was sent.
    probes: BTreeMap<Name, Time>,
}

/// A question to other instances whether they reach a server.
#[derive(Debug)]
struct Inquiry {
    /// The instances asked so far. The last one has not answered yet.
    asked: Vec<InstanceId>,
    asked_at: Time,
    /// Whether an instance has answered that it does not reach the server.
    is_confirmed: bool,
    /// Whether this instance has a reason to believe that the server has failed.
    is_doubted: bool,
}

impl Inquiries {
    /// Returns when the first question is given up.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let asked_at = self.pending.values().map(|inquiry| inquiry.asked_at);
        asked_at.min().map(|at| at + ANSWER_TIMEOUT)
    }
}

impl Instance {
    /// Handles a probe of a server that was not answered.
    pub(crate) fn on_probe_failed(&mut self, server: &Name, sent_at: Time) {
        self.answer_askers(server, None);
        self.inquiries.probes.remove(server);
        self.record_not_reached(server, sent_at);
        self.inquire(server, true);
    }

    /// Handles a probe of a server that was answered.
    pub(crate) fn on_probe_answered(&mut self, server: &Name, sent_at: Time, load: &Load) {
        self.answer_askers(server, Some(*load));
        self.record_reached(server, sent_at);
        self.end_inquiry(server);
    }

    /// Asks other instances about a server, unless that is under way.
    pub(crate) fn inquire(&mut self, server: &Name, is_doubted: bool) {
        if self.inquiries.pending.contains_key(server) {
            return;
        }
        let mut schedulers = self.coordinator.schedulers.values();
        let is_coordinated = schedulers.any(|scheduler| scheduler.contains_server(server));
        if !is_coordinated {
            return;
        }
        let inquiry = Inquiry {
            asked: Vec::new(),
            asked_at: self.now,
            is_confirmed: false,
            is_doubted,
        };
        self.inquiries.pending.insert(server.clone(), inquiry);
        self.set_doubted(server, is_doubted);
        self.ask_next(server);
    }

    /// Asks the next instance about a server, or concludes that none reaches it.
    fn ask_next(&mut self, server: &Name) {
        let Some(inquiry) = self.inquiries.pending.get(server) else {
            return;
        };
        let label = self.servers.get(server).map(|listed| listed.label.clone());
        let may_be_asked = |id: &InstanceId| {
            let is_lost = |label| self.reach.is_lost_at(*id, label);
            !inquiry.asked.contains(id) && !label.as_ref().is_some_and(is_lost)
        };
        // An indirect probe is one more request to a server that counts its requests.
        let is_limited = self.rate_limit(server).is_some();
        let candidates: Vec<InstanceId> = self
            .members
            .rumours()
            .filter(|rumour| rumour.state == State::Alive && rumour.entry.id != self.id())
            .map(|rumour| rumour.entry.id)
            .filter(|id| !is_limited && inquiry.asked.len() < ASKED_MAX && may_be_asked(id))
            .collect();
        if candidates.is_empty() {
            self.conclude_unreachable(server);
            return;
        }
        let id = candidates[self.rng.usize(..candidates.len())];
        let now = self.now;
        if let Some(inquiry) = self.inquiries.pending.get_mut(server) {
            inquiry.asked.push(id);
            inquiry.asked_at = now;
        }
        let server = server.clone();
        self.send(id, Body::ProbeServer { server });
    }

    /// Closes a server that neither this instance nor others reach.
    fn conclude_unreachable(&mut self, server: &Name) {
        let Some(inquiry) = self.inquiries.pending.remove(server) else {
            return;
        };
        self.set_doubted(server, false);
        if self.lacks_paths_of(server) && !inquiry.is_confirmed {
            return;
        }
        let asked: Vec<Name> = inquiry
            .asked
            .iter()
            .map(|id| self.instance_name(*id))
            .collect();
        let text = format!(
            "Server {server} is closed, as it did not answer a probe; others asked: {}.",
            asked.join(", ")
        );
        self.log("home", true, text);
        for scheduler in self.coordinator.schedulers.values_mut() {
            scheduler.record_unreachable(self.now, server);
        }
    }

    /// Ends the doubt about a server.
    fn end_inquiry(&mut self, server: &Name) {
        let was_asked = self.inquiries.pending.remove(server).is_some();
        let was_probed = self.inquiries.probes.remove(server).is_some();
        if was_asked || was_probed {
            self.set_doubted(server, false);
        }
    }

    fn set_doubted(&mut self, server: &Name, is_doubted: bool) {
        for scheduler in self.coordinator.schedulers.values_mut() {
            scheduler.set_doubted(server, is_doubted);
        }
    }

    /// Handles another instance's request to probe a server for it.
    pub(crate) fn on_probe_request(&mut self, from: InstanceId, server: &Name) {
        let address = self.servers.get(server).map(|listed| listed.address);
        // The coordinator may not know the server's limit yet.
        let is_limited = self.rate_limit(server).is_some();
        let Some(address) = address.filter(|_| !is_limited) else {
            return;
        };
        let now = self.now;
        let askers = self.inquiries.askers.entry(server.clone());
        let (since, askers) = askers.or_insert_with(|| (now, Vec::new()));
        if now.saturating_sub(*since) >= PROBE_TIMEOUT {
            askers.clear();
            *since = now;
        }
        if askers.len() >= ASKERS_MAX || askers.contains(&from) {
            return;
        }
        askers.push(from);
        if askers.len() == 1 {
            let (server, sent_at) = (server.clone(), self.now);
            self.out.push(Output::Probe {
                server,
                address,
                sent_at,
            });
        }
    }

    fn answer_askers(&mut self, server: &Name, load: Option<Load>) {
        let found = self.inquiries.askers.remove(server);
        for to in found.into_iter().flat_map(|(_, askers)| askers) {
            let server = server.clone();
            self.send(to, Body::ServerProbed { server, load });
        }
    }

    /// Handles the answer of an instance that was asked to probe a server.
    pub(crate) fn on_server_probed(&mut self, from: InstanceId, server: &Name, load: Option<Load>) {
        let Some(inquiry) = self.inquiries.pending.get_mut(server) else {
            return;
        };
        if !inquiry.asked.contains(&from) {
            return;
        }
        let Some(load) = load else {
            inquiry.is_confirmed = true;
            if inquiry.asked.last() == Some(&from) {
                self.ask_next(server);
            }
            return;
        };
        if inquiry.is_doubted {
            let text = format!(
                "Server {server} answered {}, it stays open.",
                self.instance_name(from)
            );
            self.log("home", false, text);
        }
        self.end_inquiry(server);
        self.record_server_load(server, load);
    }

    /// Gives up questions that were not answered.
    pub(crate) fn tick_inquiries(&mut self) {
        let now = self.now;
        let pending = self.inquiries.pending.iter();
        let due: Vec<Name> = pending
            .filter(|(_, inquiry)| now.saturating_sub(inquiry.asked_at) >= ANSWER_TIMEOUT)
            .map(|(server, _)| server.clone())
            .collect();
        for server in due {
            self.ask_next(&server);
        }
        let probes = self.inquiries.probes.iter();
        let lost: Vec<Name> = probes
            .filter(|(_, sent_at)| now.saturating_sub(**sent_at) >= PROBE_TIMEOUT)
            .map(|(server, _)| server.clone())
            .collect();
        for server in lost {
            self.end_inquiry(&server);
        }
    }

    /// Replaces ends in a holder's report that would close their servers by neutral ones, and verifies
    /// these servers by probes: the paths of the holder may have failed instead. Returns `None` if there
    /// is none.
    pub(crate) fn verify_failures(
        &mut self,
        holder: InstanceId,
        report: &Report,
    ) -> Option<Report> {
        let is_failure = |item: &Item| match item {
            Item::Ended { end, .. } => matches!(end, End::Crashed | End::Unreachable),
            Item::Running { .. } | Item::Progress { .. } => false,
        };
        let scheduler = self.coordinator.schedulers.get_mut(&report.pool)?;
        if !report.items.iter().any(is_failure) {
            return None;
        }
        let mut verified = report.clone();
        let mut doubted = Vec::new();
        for item in verified.items.iter_mut().filter(|item| is_failure(item)) {
            let Item::Ended { attempt, end, .. } = item else {
                continue;
            };
            let Some(server) = scheduler.server_of(*attempt).cloned() else {
                continue;
            };
            doubted.push((server.clone(), *end));
            *end = match end {
                End::Crashed => {
                    scheduler.record_crash(self.now, &server);
                    End::Failed
                }
                _ => End::Unused,
            };
        }
        let holder = self.instance_name(holder);
        for (server, end) in doubted {
            let text = format!("Server {server} is probed: {holder} reports {end:?}.");
            self.log("home", false, text);
            self.verify_server(&server);
        }
        Some(verified)
    }

    /// Probes a server that a holder has not reached, by way of another instance if the own paths are
    /// lost. A server that limits its requests is closed at once, as each probe is one of them.
    fn verify_server(&mut self, server: &Name) {
        if self.rate_limit(server).is_some() {
            for scheduler in self.coordinator.schedulers.values_mut() {
                scheduler.record_unreachable(self.now, server);
            }
            return;
        }
        if self.lacks_paths_of(server) {
            self.inquire(server, true);
            return;
        }
        let address = self.servers.get(server).map(|listed| listed.address);
        let is_probed = self.inquiries.probes.contains_key(server);
        let Some(address) = address.filter(|_| !is_probed) else {
            return;
        };
        self.inquiries.probes.insert(server.clone(), self.now);
        self.set_doubted(server, true);
        self.out.push(Output::Probe {
            server: server.clone(),
            address,
            sent_at: self.now,
        });
    }
}
