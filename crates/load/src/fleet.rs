//! Instances and stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use anyhow::Context;
use clock::Clock;
use compact_str::CompactString;
use gateway::Node;
use gateway::Settings;
use gateway::http;
use gateway::http::HttpClient;
use gateway::operators::WireCommand;
use gateway::settings::LogForm;
use http_body_util::BodyExt;
use serde_json::Value;
use standin::engine;
use standin::engine::Engine;
use standin::http::EngineServer;
use standin::http::PlainServer;
use standin::http::PlatformServer;
use standin::plain;
use standin::plain::Plain;
use standin::platform::Entry;
use wigeon_core::Policy;

/// The operators' token of all fleets.
pub const OPERATORS_TOKEN: &str = "operators-of-the-fleet";
/// Longest wait until all instances are ready.
const READY_TIME: Duration = Duration::from_secs(15);

/// One data centre.
#[derive(Clone, Debug)]
pub struct Centre {
    /// Its name.
    pub name: CompactString,
    /// Instances in it.
    pub instances: usize,
    /// Model engines in it.
    pub engines: usize,
    /// Plain services in it.
    pub plains: usize,
}

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Data centres.
    pub centres: Vec<Centre>,
    /// How engines behave.
    pub engine: engine::Settings,
    /// How plain services behave.
    pub plain: plain::Settings,
    /// How backend servers are chosen.
    pub policy: Policy,
    /// Whether servers are warm from the start.
    pub warm: bool,
    /// Delay of a graceful shutdown.
    pub shutdown_delay: Duration,
    /// Lines of the first configuration.
    pub config: Vec<String>,
    /// Seed.
    pub seed: u64,
}

/// A backend server that runs.
pub enum Backend {
    /// A model engine.
    Engine(Arc<EngineServer>),
    /// A plain service.
    Plain(Arc<PlainServer>),
}

impl Backend {
    /// Returns the requests that it has begun, in order.
    pub fn begun(&self) -> Vec<u64> {
        match self {
            Backend::Engine(engine) => {
                engine.with(|engine| engine.record.starts.iter().map(|start| start.1).collect())
            }
            Backend::Plain(plain) => {
                plain.with(|plain| plain.record.starts.iter().map(|start| start.1).collect())
            }
        }
    }
}

/// A backend server with its place.
pub struct Server {
    /// Its name.
    pub name: CompactString,
    /// Its data centre.
    pub data_centre: CompactString,
    /// The stand-in.
    pub backend: Backend,
}

/// All that runs.
pub struct Fleet {
    /// The platform.
    pub platform: Arc<PlatformServer>,
    /// The backend servers.
    pub servers: Vec<Server>,
    /// The instances, with the settings that they were started with.
    pub nodes: Vec<(Settings, Option<Node>)>,
    /// Attempts and bytes of frames of the instances that were replaced.
    pub retired: (u64, u64),
    /// Origin of the times in all records.
    pub origin: Instant,
    clock: Arc<dyn Clock>,
    client: HttpClient,
}

impl Fleet {
    /// Starts all of it and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// If anything can't be started, or is not ready in time.
    pub async fn start(plan: &Plan) -> anyhow::Result<Fleet> {
        let origin = Instant::now();
        let platform = PlatformServer::start(any_port(), plan.seed).await?;
        let servers = start_servers(plan, origin).await?;
        let mut fleet = Fleet {
            platform,
            servers,
            nodes: Vec::new(),
            retired: (0, 0),
            origin,
            clock: Arc::new(clock::System::new()),
            client: http::client(true),
        };
        fleet.publish_list();
        for centre in &plan.centres {
            for index in 0..centre.instances {
                let settings = fleet.settings(plan, centre, index);
                let node = Node::start(settings.clone(), fleet.clock.clone()).await?;
                let settings = Settings {
                    callers: node.entry.callers,
                    peers: node.entry.peers,
                    operators: node.entry.operators,
                    ..settings
                };
                fleet.nodes.push((settings, Some(node)));
            }
        }
        fleet.publish_list();
        fleet.command_lines(0, plan.config.clone()).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the addresses for callers of the instances that run.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter(|(_, node)| node.is_some());
        running.map(|(settings, _)| settings.callers).collect()
    }

    /// Returns a server by its name.
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.servers.iter().find(|server| server.name == name)
    }

    /// Publishes the list of what runs.
    pub fn publish_list(&self) {
        self.change_list(|_| {});
    }

    /// Publishes the list after a change to it.
    pub fn change_list(&self, change: impl Fn(&mut Entry)) {
        let flags: BTreeMap<CompactString, (bool, bool)> = self.platform.with(|platform| {
            let list = platform.list().iter();
            list.map(|entry| (entry.name.clone(), (entry.leaving, entry.reclaimed)))
                .collect()
        });
        let mut list: Vec<Entry> = self.servers.iter().map(listed_server).collect();
        list.extend(
            self.nodes
                .iter()
                .map(|(settings, _)| listed_instance(settings)),
        );
        for entry in &mut list {
            let (leaving, reclaimed) = flags.get(&entry.name).copied().unwrap_or_default();
            entry.leaving = leaving;
            entry.reclaimed = reclaimed;
            change(entry);
        }
        self.platform.with(|platform| platform.set_list(list));
    }

    /// Sends a command to an instance.
    ///
    /// # Errors
    ///
    /// If it is refused, fails, or the instance does not run.
    pub async fn command(&self, node: usize, line: &str) -> anyhow::Result<Value> {
        self.command_lines(node, vec![line.to_string()]).await
    }

    async fn command_lines(&self, node: usize, lines: Vec<String>) -> anyhow::Result<Value> {
        let address = self.nodes[node].0.operators;
        let what = lines.join("; ");
        send_command(&self.client, address, lines)
            .await
            .with_context(|| format!("'{what}'"))
    }

    /// Ends an instance gracefully and starts a new one at the same addresses.
    ///
    /// # Errors
    ///
    /// If the new one can't be started.
    pub async fn replace_node(&mut self, index: usize, graceful: bool) -> anyhow::Result<()> {
        let (settings, node) = &mut self.nodes[index];
        let Some(node) = node.take() else {
            return Ok(());
        };
        let metrics = node.metrics().clone();
        if graceful {
            node.shut_down().await;
        } else {
            node.kill().await;
        }
        self.retired.0 += metrics.attempts();
        self.retired.1 += metrics.bytes_sent();
        let mut tries = 0;
        loop {
            match Node::start(settings.clone(), self.clock.clone()).await {
                Ok(node) => {
                    self.nodes[index].1 = Some(node);
                    return Ok(());
                }
                Err(error) if tries >= 50 => return Err(error),
                Err(_) => tries += 1,
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Stops everything.
    pub async fn stop(self) {
        for (_, node) in self.nodes {
            if let Some(node) = node {
                node.kill().await;
            }
        }
    }

    fn settings(&self, plan: &Plan, centre: &Centre, index: usize) -> Settings {
        Settings {
            name: format!("{}-{index}", centre.name).as_str().into(),
            data_centre: centre.name.clone(),
            callers: any_port(),
            peers: any_port(),
            operators: any_port(),
            platform: self.platform.address(),
            peers_key: "a key that the fleet shares".into(),
            operators_token: OPERATORS_TOKEN.into(),
            log_level: "info".into(),
            log_form: LogForm::Text,
            shutdown_delay: plan.shutdown_delay,
            shutdown_limit: None,
            store_rate: 60.0,
            shards: 8,
            policy: plan.policy,
        }
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        let started = Instant::now();
        let all_know = |fleet: &Fleet| {
            fleet
                .nodes
                .iter()
                .all(|(_, node)| node.as_ref().is_some_and(Node::is_ready))
        };
        while !all_know(self) {
            anyhow::ensure!(
                started.elapsed() < READY_TIME,
                "the instances are not ready"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // Coordinators learn for a while before they grant on cold servers.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        Ok(())
    }
}

/// Sends lines that are one change, or one line that asks, to an instance.
///
/// # Errors
///
/// If the command is refused or fails, or the instance can't be reached.
pub async fn send_command(
    client: &HttpClient,
    address: SocketAddr,
    lines: Vec<String>,
) -> anyhow::Result<Value> {
    let command = WireCommand {
        lines,
        change_id: fastrand::u64(1..),
        who: "load".into(),
        dry_run: false,
        local: false,
    };
    let body = serde_json::to_string(&command)?;
    let mut request = http::request("POST", address, "/v1/command", body);
    let token = format!("Bearer {OPERATORS_TOKEN}").parse()?;
    request.headers_mut().insert("authorization", token);
    let response = client.request(request).await?;
    let success = response.status().is_success();
    let bytes = response.into_body().collect().await?.to_bytes();
    let value: Value = serde_json::from_slice(&bytes)?;
    anyhow::ensure!(success, "{}", value["findings"]);
    Ok(value)
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_servers(plan: &Plan, origin: Instant) -> anyhow::Result<Vec<Server>> {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let mut servers = Vec::new();
    for centre in &plan.centres {
        for index in 0..centre.engines {
            let mut engine = Engine::new(plan.engine, rng.u64(1..1 << 30) << 8);
            if plan.warm {
                engine.warm_up();
            }
            let server = EngineServer::start(any_port(), engine, origin).await?;
            servers.push(Server {
                name: format!("{}-engine-{index}", centre.name).as_str().into(),
                data_centre: centre.name.clone(),
                backend: Backend::Engine(server),
            });
        }
        for index in 0..centre.plains {
            let mut plain = Plain::new(plan.plain, rng.u64(1..1 << 30) << 8);
            if plan.warm {
                plain.warm_up();
            }
            let server = PlainServer::start(any_port(), plain, origin).await?;
            servers.push(Server {
                name: format!("{}-plain-{index}", centre.name).as_str().into(),
                data_centre: centre.name.clone(),
                backend: Backend::Plain(server),
            });
        }
    }
    Ok(servers)
}

fn listed_server(server: &Server) -> Entry {
    let (label, address) = match &server.backend {
        Backend::Engine(engine) => ("engines", engine.address()),
        Backend::Plain(plain) => ("plains", plain.address()),
    };
    Entry {
        name: server.name.clone(),
        kind: "server".into(),
        data_centre: server.data_centre.clone(),
        label: label.into(),
        address,
        leaving: false,
        reclaimed: false,
    }
}

fn listed_instance(settings: &Settings) -> Entry {
    Entry {
        name: settings.name.clone(),
        kind: "instance".into(),
        data_centre: settings.data_centre.clone(),
        label: CompactString::default(),
        address: settings.peers,
        leaving: false,
        reclaimed: false,
    }
}
