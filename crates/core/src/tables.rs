//! Replies to operators' queries, most of them as tables.

use std::time::Duration;

use conf::Name;
use query::Command;
use query::Show;
use query::Subject;
use query::table::Table;
use wire::gossip::State;

use crate::instance::Instance;
use crate::message::CommandReply;

impl Instance {
    /// Answers a command that does not change the configuration.
    pub(crate) fn answer_query(&self, command: &Command) -> CommandReply {
        match command {
            Command::Show(show) if show.subject == Subject::Config => {
                let json = serde_json::to_string_pretty(self.config());
                CommandReply::Json(json.unwrap_or_default())
            }
            Command::Show(show) => self.show(show),
            Command::History => CommandReply::Table(self.history_table()),
            Command::ReportBurnRates => {
                let json = serde_json::to_string(&self.objectives());
                CommandReply::Json(json.unwrap_or_default())
            }
            Command::Change(_) => CommandReply::Refused(Vec::new()),
        }
    }

    fn show(&self, show: &Show) -> CommandReply {
        let table = match show.subject {
            Subject::Instances => self.instance_table(),
            Subject::Servers => self.server_table(),
            Subject::Routes => self.route_table(),
            Subject::Requests => self.request_table(),
            Subject::DataCentres => self.data_centre_table(),
            Subject::Pools => self.pool_table(),
            Subject::Organisations => self.organisation_table(),
            Subject::Config => Table::default(),
        };
        // The shell merges the rows of all instances and filters them afterwards.
        if show.subject.needs_all_instances() {
            return CommandReply::Table(table);
        }
        match table.select(show) {
            Ok(table) => CommandReply::Table(table),
            Err(unknown) => CommandReply::Refused(vec![unknown_field(&unknown)]),
        }
    }

    fn instance_table(&self) -> Table {
        let columns = [
            "name",
            "data-centre",
            "state",
            "config-version",
            "id",
            "operators",
        ];
        let mut table = Table::new(&columns);
        for rumour in self.members.rumours() {
            let entry = &rumour.entry;
            let version = if entry.id == self.id() {
                self.config.follower.version()
            } else {
                self.config.versions.get(&entry.id).copied().unwrap_or(0)
            };
            table.push(vec![
                entry.name.as_str().into(),
                entry.data_centre.as_str().into(),
                state_name(rumour.state).into(),
                version.to_string().into(),
                format!("{:016x}", entry.id).into(),
                entry.operators.to_string().into(),
            ]);
        }
        table
    }

    /// Returns the servers of the pools that this instance coordinates.
    fn server_table(&self) -> Table {
        let columns = [
            "name",
            "data-centre",
            "pool",
            "state",
            "placed",
            "limit",
            "running",
            "used",
            "preemptions",
            "home",
        ];
        let mut table = Table::new(&columns);
        for (pool, scheduler) in &self.coordinator.schedulers {
            for server in scheduler.servers() {
                let load = server.load.map(|(_, load)| load).unwrap_or_default();
                let settings = self.config().pools.get(pool).cloned().unwrap_or_default();
                let state = if !server.is_open(self.now) {
                    "closed"
                } else if server.is_cold(&settings) {
                    "cold"
                } else {
                    "warm"
                };
                table.push(vec![
                    server.listing.name.as_str().into(),
                    self.settings.entry.data_centre.as_str().into(),
                    pool.as_str().into(),
                    state.into(),
                    scheduler.assignment_count(&server.listing.name).into(),
                    server.limit().into(),
                    load.running.into(),
                    load.used_tokens.into(),
                    load.preemptions.into(),
                    self.settings.entry.name.as_str().into(),
                ]);
            }
        }
        table
    }

    fn route_table(&self) -> Table {
        let columns = [
            "name",
            "pool",
            "delivery",
            "idempotent",
            "rerun",
            "class",
            "deadline-ms",
        ];
        let mut table = Table::new(&columns);
        for (name, route) in &self.config().routes {
            table.push(vec![
                name.as_str().into(),
                route.pool.as_str().into(),
                format!("{:?}", route.delivery).to_lowercase().into(),
                route.idempotent.into(),
                route.rerun.into(),
                format!("{:?}", route.class).to_lowercase().into(),
                route.deadline_ms.into(),
            ]);
        }
        table
    }

    fn request_table(&self) -> Table {
        let columns = [
            "id",
            "organisation",
            "route",
            "phase",
            "server",
            "generated",
            "attempts",
            "age-ms",
            "instance",
        ];
        let mut table = Table::new(&columns);
        for job in self.jobs.values() {
            let running = job.running();
            let server = running.map_or("", |running| running.server.as_str());
            let age = self.now.saturating_sub(job.arrived_at).as_millis();
            table.push(vec![
                format!("{:016x}", job.request.id).into(),
                job.request.organisation.as_str().into(),
                job.request.route.as_str().into(),
                job.phase_name().into(),
                server.into(),
                running.map_or(0, |running| running.generated).into(),
                job.attempts.into(),
                u64::try_from(age).unwrap_or(u64::MAX).into(),
                self.settings.entry.name.as_str().into(),
            ]);
        }
        table
    }

    fn data_centre_table(&self) -> Table {
        let columns = ["name", "region", "state", "share", "instances", "servers"];
        let mut table = Table::new(&columns);
        let mut names: Vec<Name> = self.config().data_centres.keys().cloned().collect();
        names.extend(
            self.servers
                .values()
                .map(|server| server.data_centre.clone()),
        );
        names.sort();
        names.dedup();
        for name in names {
            let found = self.config().data_centres.get(&name);
            let is_out = !route::choice::in_service(self.config(), &name);
            let share = route::choice::return_share(self.config(), &name, self.wall);
            let servers = self
                .servers
                .values()
                .filter(|s| s.data_centre == name)
                .count();
            table.push(vec![
                name.as_str().into(),
                found.map_or("", |found| found.region.as_str()).into(),
                if is_out { "out" } else { "in" }.into(),
                if is_out { 0.0 } else { share }.into(),
                self.members.live(&name).count().into(),
                servers.into(),
            ]);
        }
        table
    }

    fn pool_table(&self) -> Table {
        let columns = [
            "name",
            "service",
            "cold-limit",
            "batch",
            "model",
            "version",
            "home",
        ];
        let mut table = Table::new(&columns);
        for (name, pool) in &self.config().pools {
            let coordinator = self
                .members
                .coordinator(&self.settings.entry.data_centre, name)
                .and_then(|id| self.members.entry(id))
                .map_or("", |entry| entry.name.as_str());
            table.push(vec![
                name.as_str().into(),
                format!("{:?}", pool.service).to_lowercase().into(),
                pool.cold_limit.into(),
                pool.batch.into(),
                pool.model.as_str().into(),
                pool.model_version.as_str().into(),
                coordinator.into(),
            ]);
        }
        table
    }

    fn organisation_table(&self) -> Table {
        let mut table = Table::new(&["name", "weight", "limit"]);
        for (name, organisation) in &self.config().organisations {
            table.push(vec![
                name.as_str().into(),
                organisation.weight.into(),
                organisation.limit.into(),
            ]);
        }
        table
    }

    fn history_table(&self) -> Table {
        let mut table = Table::new(&["version", "who", "at", "operations"]);
        for change in self.config.follower.recent() {
            let at = Duration::from_millis(change.at_ms).as_secs();
            let ops = serde_json::to_string(&change.ops).unwrap_or_default();
            table.push(vec![
                change.version.to_string().into(),
                change.who.as_str().into(),
                at.into(),
                ops.into(),
            ]);
        }
        table
    }
}

/// Returns the finding for a field that the table does not have.
pub fn unknown_field(unknown: &query::table::UnknownField) -> String {
    let known: Vec<&str> = unknown.known.iter().map(Name::as_str).collect();
    let known = known.join(", ");
    format!(
        "unknown field '{}'; known fields are {known}",
        unknown.field
    )
}

fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Leaving => "leaving",
        State::Suspect => "suspect",
        State::Dead => "dead",
    }
}
