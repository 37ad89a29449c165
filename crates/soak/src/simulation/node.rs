//! Instances with their frames, store calls and readings of the platform's list.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use clock::Time;
use wigeon_core::Input;
use wigeon_core::ListEntry;
use wigeon_core::Output;
use wigeon_core::ServerReport;
use wigeon_core::message::CommandLine;
use wire::Frame;
use wire::Name;

use super::Action;
use super::Backend;
use super::LIST_READ_PERIOD;
use super::Node;
use super::Server;
use super::Simulation;
use super::WALL_CLOCK_START;
use super::new_instance;
use super::peers_address;

impl Simulation {
    /// Passes an input to an instance now, or when its pause ends.
    pub(super) fn handle(&mut self, index: usize, incarnation: u64, input: Input) {
        let node = &mut self.nodes[index];
        if node.incarnation != incarnation {
            return;
        }
        if node.paused_until > self.now {
            let delay = node.paused_until - self.now;
            let input = Box::new(input);
            self.schedule(
                delay,
                Action::Handle {
                    node: index,
                    incarnation,
                    input,
                },
            );
            return;
        }
        let wall = WALL_CLOCK_START + self.now + node.clock_skew;
        let started = std::time::Instant::now();
        let outputs = node.instance.handle(self.now, wall, input);
        self.cost.cpu_time += started.elapsed();
        for output in outputs {
            self.execute_output(index, output);
        }
        let node = &mut self.nodes[index];
        let tick_at = node.instance.next_wake().unwrap_or(Time::MAX).max(self.now);
        if tick_at < node.next_tick || node.next_tick <= self.now {
            let delay = (tick_at - self.now).max(Duration::from_millis(1));
            node.next_tick = self.now + delay;
            self.schedule(
                delay,
                Action::Tick {
                    node: index,
                    incarnation,
                },
            );
        }
    }

    pub(super) fn execute_output(&mut self, index: usize, output: Output) {
        let incarnation = self.nodes[index].incarnation;
        match output {
            Output::Dispatch(dispatch) => {
                let delay = self.random_delay();
                self.schedule(
                    delay,
                    Action::DeliverDispatch {
                        node: index,
                        incarnation,
                        dispatch: Box::new(dispatch),
                    },
                );
            }
            Output::Cancel { request, .. } => {
                if let Some(stream) = self.nodes[index].streams.get(&request) {
                    let (server, generation) = (stream.server.clone(), stream.generation);
                    if let (Some(server), Some(generation)) =
                        (self.servers.get_mut(&server), generation)
                        && let Backend::Engine(engine) = &mut server.backend
                    {
                        engine.cancel(generation);
                    }
                }
            }
            // The simulated engines hold no replicas and their pools request none.
            Output::Copy { .. } => {}
            Output::Finish { request, outcome } => self.finish_request(index, request, &outcome),
            Output::Send { address, to, body } => self.send_frame(index, address, to, body),
            Output::Store(sent) => {
                self.cost.store_calls += 1;
                let delay = self.random_delay();
                let until = self.now + sent.timeout;
                let (id, call) = (sent.id, sent.call);
                self.schedule(
                    delay,
                    Action::StoreCall {
                        node: index,
                        incarnation,
                        id,
                        call,
                        until,
                    },
                );
            }
            Output::Probe {
                server, sent_at, ..
            } => {
                let report = self.probe_server(index, &server);
                self.schedule_input(index, Input::Report(server, sent_at, report));
            }
            Output::TestPath {
                server, started_at, ..
            } => {
                let reached = self.probe_server(index, &server).is_some();
                self.schedule_input(index, Input::PathTested(server, started_at, reached));
            }
            Output::Order { order, .. } => {
                if let Some(Server {
                    backend: Backend::Engine(engine),
                    ..
                }) = self.servers.get_mut(&order.server)
                {
                    let setup =
                        BTreeMap::from([("model".to_string(), order.setup.model.to_string())]);
                    engine.apply_order(self.now, order.fence, setup);
                }
            }
            Output::Reply { id, reply } => {
                let line = self.commands.get(&id).cloned().unwrap_or_default();
                self.record(format!("i{index} replies to '{line}': {reply:?}"));
            }
            Output::Log { target, text, .. } => self.record(format!("i{index} {target}: {text}")),
            Output::Config(config) => self.record_config(&config),
        }
    }

    /// Records when data centres were taken out or brought back. The first instance to have a
    /// configuration version determines the time.
    pub(super) fn record_config(&mut self, config: &conf::Config) {
        if config.version <= self.newest_config_version {
            return;
        }
        self.newest_config_version = config.version;
        for (name, centre) in &config.data_centres {
            if centre.out {
                self.taken_out_since.entry(name.clone()).or_insert(self.now);
            } else {
                self.taken_out_since.remove(name);
            }
        }
    }

    pub(super) fn schedule_input(&mut self, node: usize, input: Input) {
        let delay = self.random_delay();
        let incarnation = self.nodes[node].incarnation;
        let input = Box::new(input);
        self.schedule(
            delay,
            Action::Handle {
                node,
                incarnation,
                input,
            },
        );
    }

    pub(super) fn random_delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.u64(200..1_500))
    }

    /// Returns whether frames and streams from one data centre can reach another.
    pub(super) fn can_reach(&self, from: &Name, to: &Name) -> bool {
        !self
            .cut_links
            .iter()
            .any(|(source, target)| source == from && target == to)
    }

    pub(super) fn send_frame(
        &mut self,
        from: usize,
        address: SocketAddr,
        to: u64,
        body: wire::Body,
    ) {
        let target = self.nodes.iter().position(|node| {
            node.instance.id() == to
                || (to == wire::ANY_INSTANCE && peers_address(&node.name) == address)
        });
        let Some(target) = target else {
            return;
        };
        if let wire::Body::Grant(grant) = &body {
            let text = format!("i{from} grants {} to i{target}", grant.server);
            self.record(text);
        }
        let (from_centre, to_centre) = (
            &self.nodes[from].data_centre,
            &self.nodes[target].data_centre,
        );
        if !self.can_reach(from_centre, to_centre) || self.rng.f64() < self.frame_loss {
            return;
        }
        let node = &mut self.nodes[from];
        node.frames_sent += 1;
        let wall = WALL_CLOCK_START + self.now + node.clock_skew;
        let frame = Frame {
            from: node.instance.id(),
            to,
            seq: node.frames_sent,
            wall_ms: wall.as_millis() as u64,
            body,
        };
        self.cost.record(&frame);
        // Some frames are delayed so long that later frames overtake them. Duplicate frames are not
        // simulated, because the shell's replay window drops them.
        let extra_delay = if self.rng.f64() < self.frame_loss {
            Duration::from_millis(self.rng.u64(1..800))
        } else {
            Duration::ZERO
        };
        let delay = self.random_delay() + extra_delay;
        let incarnation = self.nodes[target].incarnation;
        let input = Box::new(Input::Frame(frame));
        self.schedule(
            delay,
            Action::Handle {
                node: target,
                incarnation,
                input,
            },
        );
    }

    pub(super) fn execute_store_call(
        &mut self,
        node: usize,
        incarnation: u64,
        id: u64,
        call: store::Call,
        until: Time,
    ) {
        let faults = self.platform.faults;
        let platform_cut_off = self
            .cut_off_from_platform
            .contains(&self.nodes[node].data_centre);
        let answer = if faults.down || platform_cut_off {
            store::Answer::Unreachable
        } else {
            self.platform.call(self.now, &call)
        };
        if answer == store::Answer::Unchanged && self.now < until {
            let delay = Duration::from_millis(20);
            self.schedule(
                delay,
                Action::StoreCall {
                    node,
                    incarnation,
                    id,
                    call,
                    until,
                },
            );
            return;
        }
        let lost = !call.is_read() && self.rng.f64() < faults.lost_answers;
        let answer = if lost { store::Answer::Unknown } else { answer };
        let delay = self.random_delay() + faults.answer_delay;
        let input = Box::new(Input::Store(id, answer));
        self.schedule(
            delay,
            Action::Handle {
                node,
                incarnation,
                input,
            },
        );
    }

    pub(super) fn probe_server(&mut self, node: usize, server: &Name) -> Option<ServerReport> {
        let node_centre = self.nodes[node].data_centre.clone();
        let now = self.now;
        let server_centre = self.servers.get(server)?.data_centre.clone();
        if !self.can_reach(&node_centre, &server_centre)
            || !self.can_reach(&server_centre, &node_centre)
        {
            return None;
        }
        let (load, ready) = match &mut self.servers.get_mut(server)?.backend {
            Backend::Engine(engine) => (engine.load(now)?, engine.is_ready(now)),
            Backend::Plain(plain) => (plain.load()?, true),
        };
        Some(ServerReport {
            load: admit::Load {
                boot: load.boot,
                running: load.running,
                waiting: load.waiting,
                used_tokens: load.used,
                capacity_tokens: load.capacity,
                preemptions: load.preemptions,
                completed_since_cold: load.served,
                leaving: load.leaving,
                cold: load.cold,
            },
            ready,
            ..ServerReport::default()
        })
    }

    pub(super) fn deliver_list(&mut self, node: usize) {
        let jitter = Duration::from_millis(self.rng.u64(0..400));
        self.schedule(LIST_READ_PERIOD + jitter, Action::DeliverList { node });
        if self
            .cut_off_from_platform
            .contains(&self.nodes[node].data_centre)
        {
            return;
        }
        // Instances read the list late, and while faults are active, one list in ten lacks a
        // server.
        let omit_one = self.load_and_faults_active && self.rng.f64() < 0.1;
        let omitted = self.rng.usize(0..self.servers.len());
        let servers = self.servers.values().enumerate();
        let mut list: Vec<ListEntry> = servers
            .filter(|(index, _)| !omit_one || *index != omitted)
            .map(|(_, server)| ListEntry::Server(server.list_entry.clone()))
            .collect();
        list.extend(self.nodes.iter().map(|node| {
            ListEntry::Instance(member::ListedInstance {
                name: node.name.clone(),
                data_centre: node.data_centre.clone(),
                peers: peers_address(&node.name),
                leaving: false,
            })
        }));
        self.schedule_input(node, Input::List(list));
    }

    /// Submits an operator's command to an instance.
    pub fn submit_command(&mut self, index: usize, line: String) {
        let id = self.rng.u64(..);
        self.commands.insert(id, line.clone());
        self.record(format!("an operator submits to i{index}: {line}"));
        let command = CommandLine {
            id,
            operator: "soak".into(),
            lines: line.split('\n').map(String::from).collect(),
            change_id: id,
            dry_run: false,
        };
        self.schedule_input(index, Input::Command(command));
    }

    /// Replaces an instance by a new process. Callers whose request was lost send it again, unless
    /// it is a poison request.
    pub fn restart_node(&mut self, index: usize) {
        let name = self.nodes[index].name.clone();
        let data_centre = self.nodes[index].data_centre.clone();
        let instance = new_instance(&mut self.rng, index, &name, &data_centre);
        let node = &mut self.nodes[index];
        node.instance = instance;
        node.incarnation += 1;
        node.streams.clear();
        node.frames_sent = 0;
        node.next_tick = Time::MAX;
        node.paused_until = Time::ZERO;
        let incarnation = node.incarnation;
        self.schedule(
            Duration::from_millis(1),
            Action::Tick {
                node: index,
                incarnation,
            },
        );
        // The connections of these callers broke, so the callers send their requests again.
        let unanswered: Vec<u64> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.node == (index, incarnation - 1) && !caller.answered)
            .filter(|(_, caller)| !caller.disconnected)
            .filter(|(_, caller)| !caller.marker.poison)
            .map(|(number, _)| *number)
            .collect();
        for caller in self.callers.values_mut() {
            if caller.node == (index, incarnation - 1) && caller.marker.poison {
                caller.outcomes.push("connection lost".into());
                caller.only_refusals = false;
            }
        }
        for number in unanswered {
            self.callers
                .get_mut(&number)
                .expect("the caller was just listed")
                .only_refusals = false;
            self.send_request(number);
        }
    }

    pub(super) fn add_node(&mut self, index: usize, data_centre: Name) {
        let name = Name::from(format!("i{index}"));
        let instance = new_instance(&mut self.rng, index, &name, &data_centre);
        self.nodes.push(Node {
            instance,
            incarnation: 1,
            data_centre,
            paused_until: Time::ZERO,
            streams: BTreeMap::new(),
            name,
            clock_skew: Duration::from_millis(self.rng.u64(0..400)),
            frames_sent: 0,
            next_tick: Time::MAX,
        });
        self.schedule(
            Duration::ZERO,
            Action::Tick {
                node: index,
                incarnation: 1,
            },
        );
    }
}
