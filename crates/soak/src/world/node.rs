//! Instances with their frames, the store and the list.

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
use super::LIST_PERIOD;
use super::Node;
use super::Server;
use super::WALL;
use super::World;
use super::new_instance;
use super::peers_address;

impl World {
    /// Gives an instance an input, now or when it wakes from a pause.
    pub(super) fn handle(&mut self, index: usize, life: u64, input: Input) {
        let node = &mut self.nodes[index];
        if node.life != life {
            return;
        }
        if node.paused_until > self.now {
            let delay = node.paused_until - self.now;
            let input = Box::new(input);
            self.schedule(
                delay,
                Action::Handle {
                    node: index,
                    life,
                    input,
                },
            );
            return;
        }
        let wall = WALL + self.now + node.skew;
        let started = std::time::Instant::now();
        let outputs = node.instance.handle(self.now, wall, input);
        self.cost.time += started.elapsed();
        for output in outputs {
            self.carry_out(index, output);
        }
        let node = &mut self.nodes[index];
        let wake = node.instance.next_wake().unwrap_or(Time::MAX).max(self.now);
        if wake < node.wake || node.wake <= self.now {
            let delay = (wake - self.now).max(Duration::from_millis(1));
            node.wake = self.now + delay;
            self.schedule(delay, Action::Wake { node: index, life });
        }
    }

    pub(super) fn carry_out(&mut self, index: usize, output: Output) {
        let life = self.nodes[index].life;
        match output {
            Output::Dispatch(dispatch) => {
                let delay = self.delay();
                self.schedule(
                    delay,
                    Action::Reach {
                        node: index,
                        life,
                        dispatch,
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
            // The engines of these runs keep no copies, and their pools ask for none.
            Output::Copy { .. } => {}
            Output::Finish { request, outcome } => self.finish(index, request, &outcome),
            Output::Send { address, to, body } => self.send(index, address, to, body),
            Output::Store(sent) => {
                self.cost.store_calls += 1;
                let delay = self.delay();
                let until = self.now + sent.timeout;
                let (id, call) = (sent.id, sent.call);
                self.schedule(
                    delay,
                    Action::Store {
                        node: index,
                        life,
                        id,
                        call,
                        until,
                    },
                );
            }
            Output::Probe { server, asked, .. } => {
                let report = self.report(index, &server);
                self.input(index, Input::Report(server, asked, report));
            }
            Output::Order { order, .. } => {
                if let Some(Server {
                    backend: Backend::Engine(engine),
                    ..
                }) = self.servers.get_mut(&order.server)
                {
                    let setup =
                        BTreeMap::from([("model".to_string(), order.setup.model.to_string())]);
                    engine.order(self.now, order.fence, setup);
                }
            }
            Output::Reply { id, reply } => {
                let line = self.commands.get(&id).cloned().unwrap_or_default();
                self.record(format!("i{index} replies to '{line}': {reply:?}"));
            }
            Output::Log { part, text, .. } => self.record(format!("i{index} {part}: {text}")),
            Output::Config(config) => self.record_config(&config),
        }
    }

    /// Notes from when on a data centre must get no work, by the first instance that knows.
    pub(super) fn record_config(&mut self, config: &conf::Config) {
        if config.version <= self.newest {
            return;
        }
        self.newest = config.version;
        for (name, centre) in &config.data_centres {
            if centre.out {
                self.out_since.entry(name.clone()).or_insert(self.now);
            } else {
                self.out_since.remove(name);
            }
        }
    }

    pub(super) fn input(&mut self, node: usize, input: Input) {
        let delay = self.delay();
        let life = self.nodes[node].life;
        let input = Box::new(input);
        self.schedule(delay, Action::Handle { node, life, input });
    }

    pub(super) fn delay(&mut self) -> Duration {
        Duration::from_micros(self.rng.u64(200..1_500))
    }

    /// Returns whether one data centre reaches another.
    pub(super) fn reaches(&self, from: &Name, to: &Name) -> bool {
        !self.cuts.iter().any(|(a, b)| a == from && b == to)
    }

    pub(super) fn send(&mut self, from: usize, address: SocketAddr, to: u64, body: wire::Body) {
        let target = self.nodes.iter().position(|node| {
            node.instance.id() == to || (to == wire::ANY && peers_address(&node.name) == address)
        });
        let Some(target) = target else {
            return;
        };
        if let wire::Body::Grant(grant) = &body {
            let text = format!("i{from} grants {} to i{target}", grant.server);
            self.record(text);
        }
        let (a, b) = (
            &self.nodes[from].data_centre,
            &self.nodes[target].data_centre,
        );
        if !self.reaches(a, b) || self.rng.f64() < self.loss {
            return;
        }
        let node = &mut self.nodes[from];
        node.sent += 1;
        let wall = WALL + self.now + node.skew;
        let frame = Frame {
            from: node.instance.id(),
            to,
            seq: node.sent,
            wall_ms: wall.as_millis() as u64,
            body,
        };
        self.cost.record(&frame);
        // Now and then a frame is late enough to be overtaken. Doubled ones are dropped by the
        // shell's window and not modelled.
        let late = if self.rng.f64() < self.loss {
            Duration::from_millis(self.rng.u64(1..800))
        } else {
            Duration::ZERO
        };
        let delay = self.delay() + late;
        let life = self.nodes[target].life;
        let input = Box::new(Input::Frame(frame));
        self.schedule(
            delay,
            Action::Handle {
                node: target,
                life,
                input,
            },
        );
    }

    pub(super) fn serve_store(
        &mut self,
        node: usize,
        life: u64,
        id: u64,
        call: store::Call,
        until: Time,
    ) {
        let faults = self.platform.faults;
        let cut = self.cut_off.contains(&self.nodes[node].data_centre);
        let answer = if faults.down || cut {
            store::Answer::Unreachable
        } else {
            self.platform.call(self.now, &call)
        };
        if answer == store::Answer::Nothing && self.now < until {
            let delay = Duration::from_millis(20);
            self.schedule(
                delay,
                Action::Store {
                    node,
                    life,
                    id,
                    call,
                    until,
                },
            );
            return;
        }
        let lost = !call.is_read() && self.rng.f64() < faults.lost_answers;
        let answer = if lost { store::Answer::Unknown } else { answer };
        let delay = self.delay() + faults.slow;
        let input = Box::new(Input::Store(id, answer));
        self.schedule(delay, Action::Handle { node, life, input });
    }

    pub(super) fn report(&mut self, node: usize, server: &Name) -> Option<ServerReport> {
        let from = self.nodes[node].data_centre.clone();
        let now = self.now;
        let there = self.servers.get(server)?.data_centre.clone();
        if !self.reaches(&from, &there) || !self.reaches(&there, &from) {
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
                used: load.used,
                capacity: load.capacity,
                preemptions: load.preemptions,
                served: load.served,
                leaving: load.leaving,
                cold: load.cold,
            },
            ready,
            ..ServerReport::default()
        })
    }

    pub(super) fn give_list(&mut self, node: usize) {
        let jitter = Duration::from_millis(self.rng.u64(0..400));
        self.schedule(LIST_PERIOD + jitter, Action::List { node });
        if self.cut_off.contains(&self.nodes[node].data_centre) {
            return;
        }
        // The list lags and has gaps.
        let gap = self.troubled && self.rng.f64() < 0.1;
        let skipped = self.rng.usize(0..self.servers.len());
        let servers = self.servers.values().enumerate();
        let mut list: Vec<ListEntry> = servers
            .filter(|(index, _)| !gap || *index != skipped)
            .map(|(_, server)| ListEntry::Server(server.listed.clone()))
            .collect();
        list.extend(self.nodes.iter().map(|node| {
            ListEntry::Instance(member::Listed {
                name: node.name.clone(),
                data_centre: node.data_centre.clone(),
                peers: peers_address(&node.name),
                leaving: false,
            })
        }));
        self.input(node, Input::List(list));
    }

    /// Sends an operator's command to an instance.
    pub fn command(&mut self, index: usize, line: String) {
        let id = self.rng.u64(..);
        self.commands.insert(id, line.clone());
        self.record(format!("an operator tells i{index}: {line}"));
        let command = CommandLine {
            id,
            who: "soak".into(),
            lines: line.split('\n').map(String::from).collect(),
            change_id: id,
            dry_run: false,
        };
        self.input(index, Input::Command(command));
    }

    /// Replaces an instance by a new process.
    pub fn restart_node(&mut self, index: usize) {
        let name = self.nodes[index].name.clone();
        let data_centre = self.nodes[index].data_centre.clone();
        let instance = new_instance(&mut self.rng, index, &name, &data_centre);
        let node = &mut self.nodes[index];
        node.instance = instance;
        node.life += 1;
        node.streams.clear();
        node.sent = 0;
        node.wake = Time::MAX;
        node.paused_until = Time::ZERO;
        let life = node.life;
        self.schedule(Duration::from_millis(1), Action::Wake { node: index, life });
        // Callers whose connection broke send again.
        let lost: Vec<u64> = self
            .callers
            .iter()
            .filter(|(_, caller)| caller.node == (index, life - 1) && !caller.answered)
            .filter(|(_, caller)| !caller.gone)
            .filter(|(_, caller)| !caller.marker.poison)
            .map(|(number, _)| *number)
            .collect();
        for caller in self.callers.values_mut() {
            if caller.node == (index, life - 1) && caller.marker.poison {
                caller.told.push("connection lost".into());
                caller.only_refusals = false;
            }
        }
        for number in lost {
            self.callers
                .get_mut(&number)
                .expect("it was listed")
                .only_refusals = false;
            self.send_request(number);
        }
    }

    pub(super) fn add_node(&mut self, index: usize, data_centre: Name) {
        let name = Name::from(format!("i{index}"));
        let instance = new_instance(&mut self.rng, index, &name, &data_centre);
        self.nodes.push(Node {
            instance,
            life: 1,
            data_centre,
            paused_until: Time::ZERO,
            streams: BTreeMap::new(),
            name,
            skew: Duration::from_millis(self.rng.u64(0..400)),
            sent: 0,
            wake: Time::MAX,
        });
        self.schedule(
            Duration::ZERO,
            Action::Wake {
                node: index,
                life: 1,
            },
        );
    }
}
