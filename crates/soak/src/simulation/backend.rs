//! Backend servers and the streams of their output.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use standin::engine::Emission;
use standin::engine::Engine;
use standin::plain::PlainService;
use standin::token::Marker;
use wigeon_core::Event;
use wigeon_core::Input;
use wigeon_core::message::Dispatch;
use wigeon_core::message::ListedServer;
use wire::AttemptId;
use wire::Name;
use wire::RequestId;

use super::Action;
use super::Backend;
use super::Reader;
use super::STALL_CHECK_PERIOD;
use super::Server;
use super::Simulation;
use crate::request_stream::RequestStream;
use crate::request_stream::StallCheck;

impl Simulation {
    /// Starts a dispatched attempt on its server, unless the server is unreachable or the relay
    /// does not allow another attempt.
    pub(super) fn deliver_dispatch(&mut self, index: usize, incarnation: u64, dispatch: &Dispatch) {
        if self.nodes[index].incarnation != incarnation {
            return;
        }
        let (request, attempt) = (dispatch.request, dispatch.attempt);
        let caller = self.callers[&(request & 0xffff_ffff)].clone();
        let deliver_whole = caller.route == "bulletin";
        let server = dispatch.server.clone();
        let node = &mut self.nodes[index];
        let allowed = match node.streams.get_mut(&request) {
            Some(stream) => stream.rebind(self.now, attempt, server.clone()),
            None => {
                let stream =
                    RequestStream::new(self.now, deliver_whole, true, attempt, server.clone());
                node.streams.insert(request, stream);
                true
            }
        };
        let node_centre = node.data_centre.clone();
        if !allowed {
            let delivered = self.nodes[index].streams[&request].relay.delivered();
            self.schedule_input(
                index,
                Input::Attempt(attempt, Event::Diverged { delivered }),
            );
            return;
        }
        let server_centre = self.servers[&server].data_centre.clone();
        if !self.can_reach(&node_centre, &server_centre) {
            self.schedule_input(index, Input::Attempt(attempt, Event::Unreachable));
            return;
        }
        self.record(format!(
            "i{index} starts request {:x} on {server}",
            caller.marker.request
        ));
        crate::checks::check_data_centre_in_service(self, &server_centre, index);
        crate::checks::check_poison(self, &caller.marker);
        let reader = Reader {
            node: index,
            incarnation,
            request,
            attempt,
            last_arrival: self.now,
        };
        self.start_attempt(&server, &caller.marker, reader);
    }

    pub(super) fn start_attempt(&mut self, name: &Name, marker: &Marker, reader: Reader) {
        let now = self.now;
        let send = reader.request;
        let server = self.servers.get_mut(name).expect("the server exists");
        let violations_before = server.cold_limit_violations();
        let failure = match &mut server.backend {
            Backend::Engine(engine) => {
                let generation_request = standin::engine::GenerationRequest {
                    attempt: reader.attempt,
                    marker: *marker,
                    prompt_tokens: 20,
                    max_tokens: u32::MAX,
                    priority: 1,
                    prefixes: Vec::new(),
                };
                match engine.submit(now, generation_request) {
                    Ok(generation) => {
                        server.readers.insert(generation, reader);
                        let stream = self.nodes[reader.node].streams.get_mut(&reader.request);
                        if let Some(stream) = stream {
                            stream.generation = Some(generation);
                        }
                        None
                    }
                    Err(standin::engine::Refusal::Down) => Some(Event::Unreachable),
                    Err(_) => Some(Event::Refused),
                }
            }
            Backend::Plain(plain) if !plain.is_up() => Some(Event::Unreachable),
            Backend::Plain(plain) => match plain.start(now, marker) {
                Some((call, end)) => {
                    server.readers.insert(call, reader);
                    let server = name.clone();
                    self.schedule(end - now, Action::EndCall { server, call });
                    None
                }
                None => Some(Event::Refused),
            },
        };
        if self.servers[name].cold_limit_violations() > violations_before {
            let views: Vec<String> = self
                .nodes
                .iter()
                .enumerate()
                .filter_map(|(index, node)| Some((index, node.instance.server_load(name)?)))
                .map(|(index, view)| format!("i{index} sees {view:?}"))
                .collect();
            let running = match &self.servers[name].backend {
                Backend::Engine(engine) => engine.requests(),
                Backend::Plain(_) => Vec::new(),
            };
            let text = format!(
                "{name} is cold and got more work than its cold limit: requests {running:x?}, {views:?}"
            );
            self.violations.push(text);
        }
        if failure.is_none() {
            self.started_sends.insert(send);
        }
        match failure {
            Some(event) => self.schedule_input(reader.node, Input::Attempt(reader.attempt, event)),
            None => self.schedule_step(name),
        }
    }

    pub(super) fn schedule_step(&mut self, name: &Name) {
        let next = match &self.servers[name].backend {
            Backend::Engine(engine) => engine.next_step(),
            Backend::Plain(_) => None,
        };
        if let Some(at) = next {
            let delay = at.saturating_sub(self.now);
            self.schedule(
                delay,
                Action::StepEngine {
                    server: name.clone(),
                },
            );
        }
    }

    pub(super) fn step_engine(&mut self, name: &Name) {
        let now = self.now;
        let server = self.servers.get_mut(name).expect("the server exists");
        let Backend::Engine(engine) = &mut server.backend else {
            return;
        };
        let emissions = engine.step(now);
        if emissions.is_empty() {
            return;
        }
        if emissions.contains(&Emission::Crash) {
            self.handle_server_crash(name);
            return;
        }
        for emission in emissions {
            let generation = match &emission {
                Emission::Token { generation, .. } | Emission::End { generation, .. } => {
                    *generation
                }
                Emission::Crash => continue,
            };
            self.emit(name, generation, emission);
        }
        self.schedule_step(name);
    }

    /// Sends an emission to the reader of a generation, in order. The emission is dropped if the
    /// link is cut or the reader's process has been replaced.
    pub(super) fn emit(&mut self, name: &Name, generation: u64, emission: Emission) {
        let delay = self.random_delay();
        let now = self.now;
        let server = self.servers.get_mut(name).expect("the server exists");
        let server_centre = server.data_centre.clone();
        let Some(reader) = server.readers.get_mut(&generation) else {
            return;
        };
        reader.last_arrival = reader.last_arrival.max(now + delay);
        let reader = *reader;
        let node_centre = self.nodes[reader.node].data_centre.clone();
        if self.nodes[reader.node].incarnation != reader.incarnation
            || !self.can_reach(&server_centre, &node_centre)
        {
            return;
        }
        let action = Action::DeliverEmission {
            node: reader.node,
            incarnation: reader.incarnation,
            request: reader.request,
            attempt: reader.attempt,
            emission,
        };
        self.schedule(reader.last_arrival - now, action);
    }

    pub(super) fn end_call(&mut self, name: &Name, call: u64) {
        let server = self.servers.get_mut(name).expect("the server exists");
        let Backend::Plain(plain) = &mut server.backend else {
            return;
        };
        if !plain.end(call) {
            return;
        }
        let token = Emission::Token {
            generation: call,
            index: 0,
            text: "done".into(),
        };
        self.emit(name, call, token);
        self.emit(
            name,
            call,
            Emission::End {
                generation: call,
                total: 1,
            },
        );
    }

    /// Notifies all readers of a crashed server and schedules its restart.
    pub fn handle_server_crash(&mut self, name: &Name) {
        let server = self.servers.get_mut(name).expect("the server exists");
        let generations: Vec<u64> = server.readers.keys().copied().collect();
        for generation in generations {
            self.emit(name, generation, Emission::Crash);
        }
        self.servers
            .get_mut(name)
            .expect("the server exists")
            .readers
            .clear();
        self.record(format!("{name} has crashed"));
        let delay = Duration::from_millis(self.rng.u64(500..2_000));
        self.schedule(
            delay,
            Action::RestartServer {
                server: name.clone(),
            },
        );
    }

    pub(super) fn restart_server(&mut self, name: &Name) {
        let server = self.servers.get_mut(name).expect("the server exists");
        match &mut server.backend {
            Backend::Engine(engine) if !engine.is_up() => engine.restart(),
            Backend::Plain(plain) if !plain.is_up() => plain.restart(),
            _ => return,
        }
        server.list_entry.leaving = false;
        server.list_entry.reclaimed = false;
        self.record(format!("{name} restarts"));
    }

    pub(super) fn deliver_emission(
        &mut self,
        index: usize,
        incarnation: u64,
        request: RequestId,
        attempt: AttemptId,
        emission: Emission,
    ) {
        let node = &mut self.nodes[index];
        if node.incarnation != incarnation {
            return;
        }
        if node.paused_until > self.now {
            let delay = node.paused_until - self.now;
            self.schedule(
                delay,
                Action::DeliverEmission {
                    node: index,
                    incarnation,
                    request,
                    attempt,
                    emission,
                },
            );
            return;
        }
        let Some(stream) = node.streams.get_mut(&request) else {
            return;
        };
        let Some(event) = stream.accept_emission(self.now, attempt, emission) else {
            return;
        };
        if let Event::Complete { .. } = event {
            let stream = self.nodes[index]
                .streams
                .remove(&request)
                .expect("the stream was just used");
            crate::checks::check_answer(self, request & 0xffff_ffff, &stream.relay);
        }
        self.handle(index, incarnation, Input::Attempt(attempt, event));
    }

    pub(super) fn check_streams(&mut self, index: usize) {
        self.schedule(STALL_CHECK_PERIOD, Action::CheckStreams { node: index });
        if self.nodes[index].paused_until > self.now {
            return;
        }
        let request_ids: Vec<RequestId> = self.nodes[index].streams.keys().copied().collect();
        for id in request_ids {
            let stream = self.nodes[index]
                .streams
                .get_mut(&id)
                .expect("the stream was just listed");
            match stream.check_stall(self.now) {
                StallCheck::Healthy => {}
                StallCheck::Resume { generation, from } => self.resume(index, id, generation, from),
                StallCheck::CallTimedOut => {
                    let attempt = stream.attempt;
                    let event = stream
                        .lost_event(attempt, false)
                        .expect("the attempt is current");
                    self.schedule_input(index, Input::Attempt(attempt, event));
                }
            }
        }
    }

    /// Resumes a generation on a new connection. An attempt that can't be resumed is lost, after
    /// repeated tries if the server is unreachable.
    pub(super) fn resume(&mut self, index: usize, request: RequestId, generation: u64, from: u32) {
        let stream = &self.nodes[index].streams[&request];
        let (name, attempt) = (stream.server.clone(), stream.attempt);
        let (node_centre, server_centre) = (
            &self.nodes[index].data_centre,
            &self.servers[&name].data_centre,
        );
        let reachable = self.can_reach(node_centre, server_centre)
            && self.can_reach(server_centre, node_centre);
        let server = self.servers.get_mut(&name).expect("the server exists");
        let missed = match &mut server.backend {
            Backend::Engine(engine) if reachable && engine.is_up() => {
                engine.resume(generation, from)
            }
            _ => None,
        };
        let stream = self.nodes[index]
            .streams
            .get_mut(&request)
            .expect("the stream was just listed");
        if !reachable && !stream.record_unreachable(self.now) {
            return;
        }
        stream.record_reachable();
        match missed {
            Some(missed) => {
                let reader = server.readers.get_mut(&generation);
                if let Some(reader) = reader {
                    reader.attempt = attempt;
                }
                for emission in missed {
                    self.emit(&name, generation, emission);
                }
            }
            None => {
                let event = stream.lost_event(attempt, reachable);
                self.schedule_input(
                    index,
                    Input::Attempt(attempt, event.expect("the attempt is current")),
                );
            }
        }
    }

    pub(super) fn add_server(&mut self, centre: usize, index: usize, is_engine: bool) {
        let kind = if is_engine { "engine" } else { "plain" };
        let name = Name::from(format!("{kind}{centre}-{index}"));
        let boot = self.rng.u64(1..1_000_000) << 8;
        let backend = if is_engine {
            let settings = standin::engine::Settings {
                step: Duration::from_millis(20),
                capacity: 900,
                ..standin::engine::Settings::default()
            };
            Backend::Engine(Box::new(Engine::new(settings, boot)))
        } else {
            Backend::Plain(PlainService::new(standin::plain::Settings::default(), boot))
        };
        let data_centre = Name::from(format!("dc{centre}"));
        let port = 20_000 + (centre * 1_000 + index) as u16;
        let list_entry = ListedServer {
            name: name.clone(),
            data_centre: data_centre.clone(),
            label: if is_engine { "letters" } else { "marks" }.into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            leaving: false,
            reclaimed: false,
            boot: 0,
            software: Name::default(),
            cold_left_ms: 0,
        };
        let server = Server {
            backend,
            data_centre,
            list_entry,
            readers: BTreeMap::new(),
        };
        self.servers.insert(name, server);
    }
}
