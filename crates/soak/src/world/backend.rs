//! Backend servers and the streams that they feed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use standin::engine::Emission;
use standin::engine::Engine;
use standin::plain::Plain;
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
use super::LOOK_PERIOD;
use super::Reader;
use super::Server;
use super::World;
use crate::relay::Look;
use crate::relay::Stream;

impl World {
    /// A dispatch reaches its server, or does not.
    pub(super) fn reach(&mut self, index: usize, life: u64, dispatch: &Dispatch) {
        if self.nodes[index].life != life {
            return;
        }
        let (request, attempt) = (dispatch.request, dispatch.attempt);
        let caller = self.callers[&(request & 0xffff_ffff)].clone();
        let whole = caller.route == "bulletin";
        let server = dispatch.server.clone();
        let node = &mut self.nodes[index];
        let allowed = match node.streams.get_mut(&request) {
            Some(stream) => stream.rebind(self.now, attempt, server.clone()),
            None => {
                let stream = Stream::new(self.now, whole, true, attempt, server.clone());
                node.streams.insert(request, stream);
                true
            }
        };
        let from = node.data_centre.clone();
        if !allowed {
            let delivered = self.nodes[index].streams[&request].relay.delivered();
            self.input(index, Input::Attempt(attempt, Event::Broken { delivered }));
            return;
        }
        let there = self.servers[&server].data_centre.clone();
        if !self.reaches(&from, &there) {
            self.input(index, Input::Attempt(attempt, Event::Unreachable));
            return;
        }
        self.record(format!(
            "i{index} starts request {:x} on {server}",
            caller.marker.request
        ));
        crate::verdict::check_start(self, &there, index);
        crate::verdict::check_poison(self, &caller.marker);
        let reader = Reader {
            node: index,
            life,
            request,
            attempt,
            arrival: self.now,
        };
        self.start(&server, &caller.marker, reader);
    }

    pub(super) fn start(&mut self, name: &Name, marker: &Marker, reader: Reader) {
        let now = self.now;
        let server = self.servers.get_mut(name).expect("the server is known");
        let over_cold = server.over_cold();
        let failure = match &mut server.backend {
            Backend::Engine(engine) => {
                let ask = standin::engine::Ask {
                    attempt: reader.attempt,
                    marker: *marker,
                    prompt: 20,
                    limit: u32::MAX,
                    priority: 1,
                    prefixes: Vec::new(),
                };
                match engine.submit(now, ask) {
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
                    self.schedule(end - now, Action::End { server, call });
                    None
                }
                None => Some(Event::Refused),
            },
        };
        if self.servers[name].over_cold() > over_cold {
            let views: Vec<String> = self
                .nodes
                .iter()
                .enumerate()
                .filter_map(|(index, node)| Some((index, node.instance.view_of(name)?)))
                .map(|(index, view)| format!("i{index} sees {view:?}"))
                .collect();
            let has = match &self.servers[name].backend {
                Backend::Engine(engine) => engine.requests(),
                Backend::Plain(_) => Vec::new(),
            };
            let text = format!("{name} is cold and got more than it bears: {has:x?}, {views:?}");
            self.broken.push(text);
        }
        match failure {
            Some(event) => self.input(reader.node, Input::Attempt(reader.attempt, event)),
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
                Action::Step {
                    server: name.clone(),
                },
            );
        }
    }

    pub(super) fn step(&mut self, name: &Name) {
        let now = self.now;
        let server = self.servers.get_mut(name).expect("the server is known");
        let Backend::Engine(engine) = &mut server.backend else {
            return;
        };
        let emissions = engine.step(now);
        if emissions.is_empty() {
            return;
        }
        if emissions.contains(&Emission::Crash) {
            self.lose_all(name);
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

    /// Sends something to whoever reads a generation, in order, unless the link is cut.
    pub(super) fn emit(&mut self, name: &Name, generation: u64, emission: Emission) {
        let delay = self.delay();
        let now = self.now;
        let server = self.servers.get_mut(name).expect("the server is known");
        let there = server.data_centre.clone();
        let Some(reader) = server.readers.get_mut(&generation) else {
            return;
        };
        reader.arrival = reader.arrival.max(now + delay);
        let reader = *reader;
        let here = self.nodes[reader.node].data_centre.clone();
        if self.nodes[reader.node].life != reader.life || !self.reaches(&there, &here) {
            return;
        }
        let action = Action::Arrive {
            node: reader.node,
            life: reader.life,
            request: reader.request,
            attempt: reader.attempt,
            emission,
        };
        self.schedule(reader.arrival - now, action);
    }

    pub(super) fn end_call(&mut self, name: &Name, call: u64) {
        let server = self.servers.get_mut(name).expect("the server is known");
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

    /// Tells all readers of a server that crashed.
    pub fn lose_all(&mut self, name: &Name) {
        let server = self.servers.get_mut(name).expect("the server is known");
        let generations: Vec<u64> = server.readers.keys().copied().collect();
        for generation in generations {
            self.emit(name, generation, Emission::Crash);
        }
        self.servers
            .get_mut(name)
            .expect("the server is known")
            .readers
            .clear();
        self.record(format!("{name} is down"));
        let delay = Duration::from_millis(self.rng.u64(500..2_000));
        self.schedule(
            delay,
            Action::Restart {
                server: name.clone(),
            },
        );
    }

    pub(super) fn restart_server(&mut self, name: &Name) {
        let server = self.servers.get_mut(name).expect("the server is known");
        match &mut server.backend {
            Backend::Engine(engine) if !engine.is_up() => engine.restart(),
            Backend::Plain(plain) if !plain.is_up() => plain.restart(),
            _ => return,
        }
        server.listed.leaving = false;
        server.listed.reclaimed = false;
        self.record(format!("{name} starts anew"));
    }

    pub(super) fn arrive(
        &mut self,
        index: usize,
        life: u64,
        request: RequestId,
        attempt: AttemptId,
        emission: Emission,
    ) {
        let node = &mut self.nodes[index];
        if node.life != life {
            return;
        }
        if node.paused_until > self.now {
            let delay = node.paused_until - self.now;
            self.schedule(
                delay,
                Action::Arrive {
                    node: index,
                    life,
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
        let Some(event) = stream.take(self.now, attempt, emission) else {
            return;
        };
        if let Event::Complete { .. } = event {
            let stream = self.nodes[index]
                .streams
                .remove(&request)
                .expect("the stream is there");
            crate::verdict::check_answer(self, request & 0xffff_ffff, &stream.relay);
        }
        self.handle(index, life, Input::Attempt(attempt, event));
    }

    pub(super) fn look(&mut self, index: usize) {
        self.schedule(LOOK_PERIOD, Action::Look { node: index });
        if self.nodes[index].paused_until > self.now {
            return;
        }
        let requests: Vec<RequestId> = self.nodes[index].streams.keys().copied().collect();
        for request in requests {
            let stream = self.nodes[index]
                .streams
                .get_mut(&request)
                .expect("it was listed");
            match stream.look(self.now) {
                Look::Fine => {}
                Look::Resume { generation, from } => self.resume(index, request, generation, from),
                Look::GiveUp => {
                    let attempt = stream.attempt;
                    let event = stream.lost(attempt, false).expect("the attempt is current");
                    self.input(index, Input::Attempt(attempt, event));
                }
            }
        }
    }

    /// Reads a generation on over a new connection.
    pub(super) fn resume(&mut self, index: usize, request: RequestId, generation: u64, from: u32) {
        let stream = &self.nodes[index].streams[&request];
        let (name, attempt) = (stream.server.clone(), stream.attempt);
        let (here, there) = (
            &self.nodes[index].data_centre,
            &self.servers[&name].data_centre,
        );
        let reached = self.reaches(here, there) && self.reaches(there, here);
        let server = self.servers.get_mut(&name).expect("the server is known");
        let missed = match &mut server.backend {
            Backend::Engine(engine) if reached && engine.is_up() => engine.resume(generation, from),
            _ => None,
        };
        let stream = self.nodes[index]
            .streams
            .get_mut(&request)
            .expect("it was listed");
        if !reached && !stream.record_unreached(self.now) {
            return;
        }
        stream.record_reached();
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
                let event = stream.lost(attempt, reached);
                self.input(
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
            Backend::Plain(Plain::new(standin::plain::Settings::default(), boot))
        };
        let data_centre = Name::from(format!("dc{centre}"));
        let port = 20_000 + (centre * 1_000 + index) as u16;
        let listed = ListedServer {
            name: name.clone(),
            data_centre: data_centre.clone(),
            label: if is_engine { "letters" } else { "marks" }.into(),
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            leaving: false,
            reclaimed: false,
            boot: 0,
            cold_ms: 0,
        };
        let server = Server {
            backend,
            data_centre,
            listed,
            readers: BTreeMap::new(),
        };
        self.servers.insert(name, server);
    }
}
