//! Coordinating pools.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use admit::Decision;
use admit::Listing;
use admit::Reply;
use admit::Scheduler;
use admit::scheduler::Quota;
use clock::Time;
use conf::Name;
use conf::Placing;
use wire::AttemptId;
use wire::Body;
use wire::BootId;
use wire::InstanceId;
use wire::admission::Report;
use wire::admission::Reservation;
use wire::gossip::Leaving;

use crate::instance::Instance;
use crate::message::ListEntry;
use crate::message::ListedServer;
use crate::message::Output;
use crate::message::ServerReport;
use crate::placement::CoordinatorStatus;
use crate::reports::Reporter;
use crate::settings::Policy;
use crate::settings::Source;

/// Age from which a server's report is discarded.
const REPORT_AGE_MAX: Duration = Duration::from_millis(1_000);
/// Time for which no spill reservation is sent to a data centre that was full.
const FULL_BACKOFF: Duration = Duration::from_millis(400);
/// Time for which a server's announcement that it leaves applies to any boot of the server, and after
/// which one that is not tied to the listed boot expires. The server's coordinator repeats the
/// announcement with every report, so a server that has restarted takes work again at the latest
/// after this time.
const LEAVING_TTL: Duration = Duration::from_secs(8);
/// Most leaving servers named in one gossip frame. The newest announcements are kept.
const GOSSIPED_LEAVING_MAX: usize = 8;
/// Most decisions of the instance's own schedulers that are processed in one turn.
const OWN_DECISIONS_MAX: usize = 20_000;
/// Least time between two ticks of the instance's own schedulers.
const SCHEDULER_PERIOD: Duration = Duration::from_millis(20);

/// The coordinator state of an instance: the schedulers of the pools that the instance coordinates,
/// and its knowledge of and reports to the coordinators of other pools.
#[derive(Debug, Default)]
pub(crate) struct Coordinator {
    /// Admission schedulers of the pools that this instance coordinates, by pool.
    pub(crate) schedulers: BTreeMap<Name, Scheduler>,
    /// Reports to coordinators, by data centre and pool.
    pub(crate) reporters: BTreeMap<(Name, Name), Reporter>,
    /// Last known state of coordinators, by data centre and pool.
    statuses: BTreeMap<(Name, Name), CoordinatorStatus>,
    /// Servers that recently announced that they leave.
    leaving: BTreeMap<Name, LeaveAnnouncement>,
    /// When servers are probed next.
    next_probe: Time,
    /// When the schedulers are ticked next.
    next_tick: Time,
    /// The membership's change count at the last refresh.
    seen_membership_changes: u64,
}

/// A server's announcement that it leaves.
#[derive(Clone, Copy, Debug)]
struct LeaveAnnouncement {
    boot: BootId,
    /// When the boot first stated in a response to this instance that it leaves.
    stated_at: Option<Time>,
    /// When the announcement was last repeated.
    announced_at: Time,
    /// Whether the boot is known to leave. Otherwise its record may only be outdated.
    is_final: bool,
}

impl LeaveAnnouncement {
    /// Returns whether a boot never takes work again.
    fn applies_to(&self, boot: BootId) -> bool {
        self.is_final && self.boot != 0 && self.boot == boot
    }

    fn is_recent(&self, now: Time) -> bool {
        now.saturating_sub(self.announced_at) < LEAVING_TTL
    }
}

impl Coordinator {
    /// Returns the last known state of the coordinator of a pool in a data centre.
    pub(crate) fn status(&self, data_centre: &str, pool: &str) -> CoordinatorStatus {
        let key = (Name::from(data_centre), Name::from(pool));
        self.statuses.get(&key).copied().unwrap_or_default()
    }

    pub(crate) fn status_mut(&mut self, data_centre: &Name, pool: &Name) -> &mut CoordinatorStatus {
        let key = (data_centre.clone(), pool.clone());
        self.statuses.entry(key).or_default()
    }

    /// Returns whether a data centre denied a reservation for a pool within [`FULL_BACKOFF`]. See
    /// [`CoordinatorStatus::last_full`] for the denials that count.
    pub(crate) fn was_recently_full(&self, data_centre: &str, pool: &str, now: Time) -> bool {
        let full_at = self.status(data_centre, pool).last_full;
        full_at.is_some_and(|at| now.saturating_sub(at) < FULL_BACKOFF)
    }

    /// Returns whether the listed boot of a server announced that it leaves, or any boot did so
    /// recently.
    pub(crate) fn is_leaving(&self, now: Time, server: &str, listed: BootId) -> bool {
        self.leaving.get(server).is_some_and(|announcement| {
            announcement.applies_to(listed) || announcement.is_recent(now)
        })
    }

    /// Returns whether a given boot of a server recently announced that it leaves. Boot id zero,
    /// which means that the boot is not known, matches any.
    pub(crate) fn is_leaving_boot(&self, server: &str, boot: BootId) -> bool {
        self.leaving
            .get(server)
            .is_some_and(|announcement| announcement.boot == boot || boot == 0)
    }

    /// Returns when a given boot of a server first stated in a response to this instance that it
    /// leaves, if it has.
    pub(crate) fn stated_leaving_at(&self, server: &str, boot: BootId) -> Option<Time> {
        let announcement = self.leaving.get(server)?;
        let is_boot = announcement.boot == boot || boot == 0;
        announcement.stated_at.filter(|_| is_boot)
    }

    /// Records that a boot which is known to leave stated so in a response.
    pub(crate) fn record_stated_leaving(&mut self, server: &str, now: Time) {
        if let Some(announcement) = self.leaving.get_mut(server) {
            announcement.stated_at.get_or_insert(now);
        }
    }

    /// Returns the newest announcements of leaving servers, for gossip.
    pub(crate) fn leaving_servers(&self, now: Time) -> Vec<Leaving> {
        let mut leaving: Vec<Leaving> = self
            .leaving
            .iter()
            .filter(|(_, announcement)| announcement.is_final && announcement.is_recent(now))
            .map(|(server, announcement)| Leaving {
                server: server.clone(),
                boot: announcement.boot,
                age_ms: millis(now.saturating_sub(announcement.announced_at)),
            })
            .collect();
        leaving.sort_by_key(|announcement| announcement.age_ms);
        leaving.truncate(GOSSIPED_LEAVING_MAX);
        leaving
    }

    pub(crate) fn next_wake(&self) -> Option<Time> {
        let schedulers = self
            .schedulers
            .values()
            .filter_map(Scheduler::next_wake)
            .min();
        let reports = self
            .reporters
            .values()
            .filter_map(Reporter::next_flush)
            .min();
        let schedulers = schedulers.map(|at| at.max(self.next_tick));
        [Some(self.next_probe), schedulers, reports]
            .into_iter()
            .flatten()
            .min()
    }
}

impl Instance {
    /// Returns the number of attempts that this instance as coordinator counts on a server, and the
    /// server's limit, or `None` if it is not the coordinator of the server's pool.
    pub fn server_load(&self, server: &str) -> Option<(usize, u32)> {
        self.coordinator.schedulers.values().find_map(|scheduler| {
            let found = scheduler
                .servers()
                .find(|entry| entry.listing.name == server)?;
            Some((scheduler.assignment_count(server), found.limit()))
        })
    }

    /// Handles a new list of instances, and of servers where they are listed together.
    pub(crate) fn on_list(&mut self, listed: Vec<ListEntry>) {
        let mut instances = Vec::new();
        let mut servers = BTreeMap::new();
        for entry in listed {
            match entry {
                ListEntry::Instance(instance) => instances.push(instance),
                ListEntry::Server(server) => {
                    servers.insert(server.name.clone(), server);
                }
            }
        }
        self.members.set_listed(instances);
        // Unless the store is the source, servers are listed separately and this list names
        // instances only.
        if self.settings.source == Source::Store {
            self.install_servers(servers);
        } else {
            self.refresh_coordinators();
        }
    }

    /// Logs the differences between a new server list and the current one.
    fn log_list_changes(&mut self, servers: &BTreeMap<Name, ListedServer>) {
        let revision = self.list_state.revision();
        let mut lines = Vec::new();
        for (name, server) in servers {
            let known = self.listed.get(name);
            let is_same_start = |known: &ListedServer| {
                (known.boot, &known.software) == (server.boot, &server.software)
            };
            if !known.is_some_and(is_same_start) {
                let software = match server.software.is_empty() {
                    true => "unknown",
                    false => server.software.as_str(),
                };
                lines.push(format!(
                    "Server {name} of {} (software {software}) was added or restarted",
                    server.label
                ));
            }
            if server.leaving && known.is_none_or(|known| !known.leaving) {
                lines.push(format!("Server {name} is leaving"));
            }
        }
        let gone = self
            .listed
            .keys()
            .filter(|name| !servers.contains_key(*name));
        lines.extend(gone.map(|name| format!("Server {name} was removed")));
        for line in lines {
            self.log(
                "list",
                false,
                format!("{line}, as of list revision {revision}."),
            );
        }
    }

    /// Replaces the server list.
    pub(crate) fn install_servers(&mut self, listed: BTreeMap<Name, ListedServer>) {
        self.log_list_changes(&listed);
        if !self.has_server_list {
            // A coordinator can admit work as soon as its servers have reported, so they are probed
            // at once.
            self.coordinator.next_probe = self.now;
        }
        self.list_state
            .record_removed(self.now, &self.listed, &listed);
        self.listed = listed;
        self.has_server_list = true;
        self.select_servers();
    }

    /// Selects the listed servers whose service is configured, after a change of either.
    pub(crate) fn select_servers(&mut self) {
        let pools = &self.config.follower.config().pools;
        let labels: BTreeSet<&str> = pools.iter().map(|(name, pool)| pool.label(name)).collect();
        let servers: BTreeMap<Name, ListedServer> = self
            .listed
            .iter()
            .filter(|(_, server)| labels.contains(server.label.as_str()))
            .map(|(name, server)| (name.clone(), server.clone()))
            .collect();
        let reclaimed: Vec<Name> = servers
            .values()
            .filter(|server| server.reclaimed)
            .filter(|server| !self.servers.get(&server.name).is_some_and(|s| s.reclaimed))
            .map(|server| server.name.clone())
            .collect();
        self.list_state.record_leaving(self.now, &servers);
        self.servers = servers;
        self.list_changes += 1;
        self.record_listed_leaving();
        self.drop_outdated_limits();
        self.refresh_coordinators();
        for server in reclaimed {
            self.move_requests_off(&server);
        }
    }

    /// Records the boots that the list shows as leaving, which stay so whatever a later list shows.
    fn record_listed_leaving(&mut self) {
        let leaving: Vec<(Name, BootId)> = self
            .servers
            .values()
            .filter(|server| server.leaving && server.boot != 0)
            .filter(|server| !self.coordinator.is_leaving_boot(&server.name, server.boot))
            .map(|server| (server.name.clone(), server.boot))
            .collect();
        for (server, boot) in leaving {
            self.record_leaving(&server, boot, self.now);
        }
    }

    /// Records that a given boot of a server announced that it leaves.
    pub(crate) fn record_leaving(&mut self, server: &Name, boot: BootId, announced_at: Time) {
        let expired = self.now.saturating_sub(announced_at) >= LEAVING_TTL;
        if expired || !self.servers.contains_key(server) {
            return;
        }
        let known = self.coordinator.leaving.get(server).copied();
        let earlier = known.filter(|known| known.boot == boot);
        let announcement = LeaveAnnouncement {
            boot,
            stated_at: earlier.and_then(|known| known.stated_at),
            announced_at,
            is_final: true,
        };
        if known.is_none_or(|known| !known.is_final || known.announced_at < announced_at) {
            self.coordinator
                .leaving
                .insert(server.clone(), announcement);
        }
        self.list_changes += 1;
        for scheduler in self.coordinator.schedulers.values_mut() {
            scheduler.record_leaving(server, boot);
        }
    }

    /// Excludes a boot of a server whose record may be outdated, for [`LEAVING_TTL`].
    pub(crate) fn record_stale_record(&mut self, server: &Name, boot: BootId) {
        let announcement = LeaveAnnouncement {
            boot,
            stated_at: None,
            announced_at: self.now,
            is_final: false,
        };
        self.coordinator
            .leaving
            .entry(server.clone())
            .or_insert(announcement);
    }

    /// Creates, updates and drops schedulers according to the configuration, the server list and
    /// the membership.
    pub(crate) fn refresh_coordinators(&mut self) {
        if self.settings.policy != Policy::Coordinator {
            return;
        }
        let own = self.own_data_centre();
        let pools: Vec<Name> = self.config().pools.keys().cloned().collect();
        for pool in &pools {
            let local = self.config().pools[pool].placing == Placing::Local;
            if !local && self.members.coordinator(&own, pool) == Some(self.id()) {
                self.update_scheduler(pool);
            } else if self.coordinator.schedulers.contains_key(pool) {
                self.hand_over_scheduler(pool);
            }
        }
        self.coordinator
            .schedulers
            .retain(|name, _| pools.contains(name));
        self.reassign_reporters();
    }

    /// Configures the scheduler of a pool that this instance coordinates, and creates it if there
    /// is none.
    fn update_scheduler(&mut self, name: &Name) {
        let Some(pool) = self.config().pools.get(name).cloned() else {
            return;
        };
        let own = self.own_data_centre();
        let withdrawn = !route::choice::in_service(self.config(), &own);
        let label = pool.label(name);
        let listings: Vec<Listing> = self
            .servers
            .values()
            .filter(|server| server.label == label && server.data_centre == own)
            .map(|server| Listing {
                name: server.name.clone(),
                address: server.address,
                boot: server.boot,
                software: server.software.clone(),
                cold_time: Duration::from_millis(u64::from(server.cold_left_ms)),
                leaving: server.leaving
                    || self.coordinator.is_leaving_boot(&server.name, server.boot),
                drained: withdrawn || self.config().drained.contains(&server.name),
            })
            .collect();
        let (now, seed) = (self.now, self.rng.u64(..));
        let majority = self.members.has_majority();
        let is_new = !self.coordinator.schedulers.contains_key(name);
        let scheduler = self
            .coordinator
            .schedulers
            .entry(name.clone())
            .or_insert_with(|| Scheduler::new(now, pool.clone(), seed));
        scheduler.configure(now, &pool, &listings);
        scheduler.set_majority(majority);
        self.apply_limits(name);
        if is_new {
            // Until a new coordinator knows the running attempts, it relies on fresh server
            // reports.
            self.coordinator.next_probe = now;
            self.log(
                "home",
                false,
                format!("Became the coordinator of pool {name}."),
            );
        }
    }

    /// Drops the scheduler of a pool and redirects its queued reservations to the new coordinator.
    fn hand_over_scheduler(&mut self, name: &Name) {
        let own = self.own_data_centre();
        let Some(mut scheduler) = self.coordinator.schedulers.remove(name) else {
            return;
        };
        let coordinator = self.members.coordinator(&own, name);
        self.log(
            "home",
            false,
            format!("Stopped being the coordinator of pool {name}."),
        );
        for (holder, attempt) in scheduler.drain_queue() {
            let Some(coordinator) = coordinator else {
                continue;
            };
            if holder == self.id() {
                self.on_redirect(attempt, coordinator);
            } else {
                self.send(
                    holder,
                    Body::Redirect {
                        attempt,
                        coordinator,
                    },
                );
            }
        }
    }

    /// Recreates all schedulers after a pause of this process, since their state may be outdated.
    pub(crate) fn reset_schedulers(&mut self) {
        let names: Vec<Name> = self.coordinator.schedulers.keys().cloned().collect();
        self.coordinator.schedulers.clear();
        for name in names {
            self.update_scheduler(&name);
        }
        let keys: Vec<(Name, Name)> = self.coordinator.reporters.keys().cloned().collect();
        for (data_centre, pool) in keys {
            self.report_in_full(&data_centre, &pool);
        }
    }

    /// Handles a reservation as coordinator, or redirects its holder to the coordinator.
    pub(crate) fn on_reservation(&mut self, holder: InstanceId, reservation: Reservation) {
        let attempt = reservation.attempt;
        let quota = self.organisation_quota(&reservation.work.organisation);
        let own = self.own_data_centre();
        let is_local = reservation.data_centre == own;
        if let Some(scheduler) = self
            .coordinator
            .schedulers
            .get_mut(&reservation.pool)
            .filter(|_| is_local)
        {
            let replies = scheduler.reserve(self.now, holder, reservation, quota);
            self.deliver_replies(replies);
            return;
        }
        if let Some(coordinator) = self
            .members
            .coordinator(&reservation.data_centre, &reservation.pool)
        {
            if holder == self.id() {
                self.on_redirect(attempt, coordinator);
            } else {
                self.send(
                    holder,
                    Body::Redirect {
                        attempt,
                        coordinator,
                    },
                );
            }
        }
    }

    /// Returns the admission weight and limit of an organisation.
    fn organisation_quota(&self, organisation: &str) -> Quota {
        let found = self.config().organisations.get(organisation);
        Quota {
            weight: found.map_or(1.0, |found| f64::from(found.weight)),
            limit: found.map_or(0, |found| found.limit),
        }
    }

    /// Handles the withdrawal of a reservation or of an unused grant.
    pub(crate) fn on_withdraw(&mut self, attempt: AttemptId) {
        let mut replies = Vec::new();
        for scheduler in self.coordinator.schedulers.values_mut() {
            replies.extend(scheduler.withdraw(self.now, attempt));
        }
        self.deliver_replies(replies);
    }

    /// Handles a holder's report of its running attempts, and requests a full report if this one
    /// contains progress of an attempt that the scheduler does not know.
    pub(crate) fn on_report(&mut self, holder: InstanceId, report: &Report) {
        let verified = self.verify_failures(holder, report);
        let report = verified.as_ref().unwrap_or(report);
        let Some(scheduler) = self.coordinator.schedulers.get_mut(&report.pool) else {
            return;
        };
        let known = scheduler.apply_report(self.now, holder, report);
        let replies = scheduler.serve_queue(self.now);
        if !known {
            let pool = report.pool.clone();
            self.send(holder, Body::Resync { pool });
        }
        self.deliver_replies(replies);
    }

    /// Sends the schedulers' decisions to the instances that made the reservations. Decisions for
    /// this instance are queued.
    fn deliver_replies(&mut self, replies: Vec<Reply>) {
        for reply in replies {
            if reply.holder == self.id() {
                self.own_decisions
                    .push_back((reply.attempt, reply.decision));
                continue;
            }
            let attempt = reply.attempt;
            let body = match reply.decision {
                Decision::Grant(grant) => Body::Grant(grant),
                Decision::Queued { wait } => Body::Queued {
                    attempt,
                    wait_ms: millis(wait),
                },
                Decision::Deny { denial, retry } => Body::Deny {
                    attempt,
                    denial,
                    retry_ms: millis(retry),
                },
            };
            self.send(reply.holder, body);
        }
    }

    /// Processes the decisions of this instance's own schedulers. They are queued because handling
    /// one may produce the next.
    pub(crate) fn process_own_decisions(&mut self) {
        let own = self.id();
        for _ in 0..OWN_DECISIONS_MAX {
            let Some((attempt, decision)) = self.own_decisions.pop_front() else {
                return;
            };
            self.on_decision(own, attempt, decision, Duration::ZERO);
        }
        let remaining = self.own_decisions.len();
        self.log(
            "home",
            true,
            format!("{remaining} own admission decisions are deferred to the next turn."),
        );
    }

    /// Handles the result of a probe of a server.
    pub(crate) fn on_server_report(
        &mut self,
        server: &Name,
        sent_at: Time,
        report: Option<ServerReport>,
    ) {
        if self.now.saturating_sub(sent_at) > REPORT_AGE_MAX {
            return;
        }
        let Some(report) = report else {
            self.log(
                "home",
                true,
                format!("Server {server} did not answer a probe."),
            );
            self.on_probe_failed(server, sent_at);
            return;
        };
        self.on_probe_answered(server, sent_at, &report.load);
        self.on_limit_notice(server, report.load.boot, sent_at, report.limit);
        self.record_server_load(server, report.load);
        let schedulers = self.coordinator.schedulers.values_mut();
        for scheduler in schedulers.filter(|scheduler| scheduler.contains_server(server)) {
            let events = &report.events;
            scheduler.apply_cache_events(server, report.load.boot, report.first_event, events);
        }
        self.record_setup(server, &report);
    }

    /// Records the load that a server has reported to this instance or to another one.
    pub(crate) fn record_server_load(&mut self, server: &Name, load: admit::Load) {
        let rebooted = self
            .baseline
            .loads
            .insert(server.clone(), (self.now, load))
            .is_some_and(|(_, before)| before.boot != load.boot);
        if rebooted {
            self.coordinator.leaving.remove(server);
        }
        if load.leaving {
            self.record_leaving(server, load.boot, self.now);
        }
        let mut replies = Vec::new();
        let schedulers = self.coordinator.schedulers.values_mut();
        for scheduler in schedulers.filter(|scheduler| scheduler.contains_server(server)) {
            scheduler.record_load(self.now, server, load);
            replies.extend(scheduler.serve_queue(self.now));
        }
        self.deliver_replies(replies);
    }

    /// Runs the periodic work of a coordinator: membership changes, scheduler ticks, probes and
    /// reports.
    pub(crate) fn tick_coordinator(&mut self) {
        if self.coordinator.seen_membership_changes != self.members.change_count() {
            self.coordinator.seen_membership_changes = self.members.change_count();
            let running = self.running_count();
            let text = format!("{running} instances are believed to be running.");
            self.log("member", false, text);
            self.record_dead_holders();
            self.refresh_coordinators();
        }
        if self.now >= self.coordinator.next_tick {
            self.coordinator.next_tick = self.now + SCHEDULER_PERIOD;
            self.tick_schedulers();
        }
        if self.now >= self.coordinator.next_probe {
            self.coordinator.next_probe = self.now + self.settings.probe_period;
            self.probe_servers();
            self.refresh_reports();
        }
        self.flush_reports();
    }

    fn tick_schedulers(&mut self) {
        let now = self.now;
        let servers = &self.servers;
        let known_leaving = self.coordinator.leaving.len();
        // A boot that leaves never takes work again, even if an outdated list shows it as running.
        self.coordinator.leaving.retain(|server, announcement| {
            let boot = servers.get(server).map_or(0, |listed| listed.boot);
            announcement.applies_to(boot) || announcement.is_recent(now)
        });
        if self.coordinator.leaving.len() < known_leaving {
            self.refresh_coordinators();
        }
        let mut replies = Vec::new();
        let mut holders_to_query = Vec::new();
        let mut copies = Vec::new();
        for (pool, scheduler) in &mut self.coordinator.schedulers {
            replies.extend(scheduler.tick(now));
            copies.extend(scheduler.order_replicas(now));
            let holders = scheduler.take_holders_to_query(now).into_iter();
            holders_to_query.extend(holders.map(|holder| (holder, pool.clone())));
        }
        for (holder, pool) in holders_to_query {
            self.send(holder, Body::Resync { pool });
        }
        self.order_copies(copies);
        self.deliver_replies(replies);
    }

    fn record_dead_holders(&mut self) {
        let dead: BTreeSet<InstanceId> = self
            .members
            .rumours()
            .filter(|rumour| rumour.state == wire::gossip::State::Dead)
            .map(|rumour| rumour.entry.id)
            .collect();
        for scheduler in self.coordinator.schedulers.values_mut() {
            scheduler.set_dead_holders(self.now, &dead);
        }
    }

    /// Probes the servers of the own schedulers, those that get orders from this instance, and all
    /// servers under the least-loaded policy.
    fn probe_servers(&mut self) {
        let probe_all = self.settings.policy == Policy::LeastLoaded;
        let sends_orders = self.reconciler.is_holder(self.now);
        let own = self.own_data_centre();
        let mut probed: BTreeMap<Name, std::net::SocketAddr> = BTreeMap::new();
        for scheduler in self.coordinator.schedulers.values_mut() {
            let listings = scheduler.servers().map(|server| &server.listing);
            let listed: Vec<(Name, std::net::SocketAddr)> = listings
                .map(|listing| (listing.name.clone(), listing.address))
                .collect();
            let mut may_probe = |name: &Name| scheduler.take_probe(self.now, name);
            probed.extend(listed.into_iter().filter(|(name, _)| may_probe(name)));
        }
        for server in self.servers.values() {
            if probe_all || (sends_orders && server.data_centre == own) {
                probed.insert(server.name.clone(), server.address);
            }
        }
        for (server, address) in probed {
            if self.lacks_paths_of(&server) && self.settings.source == Source::External {
                self.inquire(&server, false);
                continue;
            }
            let sent_at = self.now;
            self.out.push(Output::Probe {
                server,
                address,
                sent_at,
            });
        }
    }
}

pub(crate) fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
