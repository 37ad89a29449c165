//! Starts and stops a fleet: instances, stand-in backend servers and the stand-in platform.

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
use gateway::operators::CommandRequest;
use gateway::settings::LogFormat;
use http_body_util::BodyExt;
use serde_json::Value;
use standin::engine;
use standin::engine::Engine;
use standin::http::EngineServer;
use standin::http::PlainServer;
use standin::http::PlatformServer;
use standin::plain;
use standin::plain::PlainService;
use standin::platform::ListEntry;
use wigeon_core::Policy;

/// Operators' token of all instances.
pub const OPERATORS_TOKEN: &str = "operators-of-the-fleet";
/// Maximum time until all instances are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// Size of one data centre.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: CompactString,
    /// Number of instances.
    pub instances: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub plains: usize,
}

/// Composition and settings of a fleet.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    /// Data centres of the fleet.
    pub data_centres: Vec<DataCentre>,
    /// Settings of the stand-in engines.
    pub engine: engine::Settings,
    /// Settings of the stand-in plain services.
    pub plain: plain::Settings,
    /// Policy by which the instances choose backend servers.
    pub policy: Policy,
    /// Whether the backend servers start warm.
    pub warm: bool,
    /// Time for which an instance still accepts requests after its graceful shutdown began.
    pub shutdown_delay: Duration,
    /// Operator commands that create the initial configuration.
    pub config: Vec<String>,
    /// Seed of the stand-ins.
    pub seed: u64,
}

/// Stand-in of a backend server.
pub enum Backend {
    /// Model engine.
    Engine(Arc<EngineServer>),
    /// Plain service.
    Plain(Arc<PlainServer>),
}

impl Backend {
    /// Returns the numbers of the requests that the server started, in order.
    pub fn started_requests(&self) -> Vec<u64> {
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

/// Backend server with its name and data centre.
pub struct Server {
    /// Name of the server.
    pub name: CompactString,
    /// Name of the data centre.
    pub data_centre: CompactString,
    /// Running stand-in.
    pub backend: Backend,
}

/// Running instances, backend servers and platform.
pub struct Fleet {
    /// Stand-in platform with the store and the list of instances and servers.
    pub platform: Arc<PlatformServer>,
    /// Backend servers.
    pub servers: Vec<Server>,
    /// Instances with their settings, which hold the bound addresses. An instance is `None` if its
    /// replacement failed.
    pub nodes: Vec<(Settings, Option<Node>)>,
    /// Attempts made and bytes of frames sent by instances that have since been replaced.
    pub retired: (u64, u64),
    /// Origin of the times in all records.
    pub origin: Instant,
    clock: Arc<dyn Clock>,
    client: HttpClient,
}

impl Fleet {
    /// Starts the fleet, applies the initial configuration and waits until every instance is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a server or instance can't be started, if the configuration is refused,
    /// or if the instances are not ready in time.
    pub async fn start(fleet_config: &FleetConfig) -> anyhow::Result<Fleet> {
        let origin = Instant::now();
        let platform = PlatformServer::start(any_port(), fleet_config.seed).await?;
        let servers = start_servers(fleet_config, origin).await?;
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
        for data_centre in &fleet_config.data_centres {
            for index in 0..data_centre.instances {
                let settings = fleet.settings(fleet_config, data_centre, index);
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
        fleet.command_lines(0, fleet_config.config.clone()).await?;
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    /// Returns the time since the origin.
    pub fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the caller addresses of the running instances.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter(|(_, node)| node.is_some());
        running.map(|(settings, _)| settings.callers).collect()
    }

    /// Returns the backend server with this name.
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.servers.iter().find(|server| server.name == name)
    }

    /// Publishes the current servers and instances in the list of the platform.
    pub fn publish_list(&self) {
        self.change_list(|_| {});
    }

    /// Rebuilds and publishes the list of the platform, with `change` applied to every entry. Flags
    /// set by earlier changes are kept.
    pub fn change_list(&self, change: impl Fn(&mut ListEntry)) {
        let flags: BTreeMap<CompactString, (bool, bool)> = self.platform.with(|platform| {
            let list = platform.list().iter();
            list.map(|entry| (entry.name.clone(), (entry.leaving, entry.reclaimed)))
                .collect()
        });
        let mut list: Vec<ListEntry> = self.servers.iter().map(server_entry).collect();
        list.extend(
            self.nodes
                .iter()
                .map(|(settings, _)| instance_entry(settings)),
        );
        for entry in &mut list {
            let (leaving, reclaimed) = flags.get(&entry.name).copied().unwrap_or_default();
            entry.leaving = leaving;
            entry.reclaimed = reclaimed;
            change(entry);
        }
        self.platform.with(|platform| platform.set_list(list));
    }

    /// Sends an operator command to an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the command is refused or fails, or if the instance does not run.
    pub async fn command(&self, node: usize, line: &str) -> anyhow::Result<Value> {
        self.command_lines(node, vec![line.to_string()]).await
    }

    async fn command_lines(&self, node: usize, lines: Vec<String>) -> anyhow::Result<Value> {
        let address = self.nodes[node].0.operators;
        let commands = lines.join("; ");
        send_command(&self.client, address, lines)
            .await
            .with_context(|| format!("can't execute '{commands}'"))
    }

    /// Stops an instance, gracefully or by killing it, and starts a new one at the same addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the new instance still can't be started after 50 retries.
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
        let mut retries = 0;
        loop {
            match Node::start(settings.clone(), self.clock.clone()).await {
                Ok(node) => {
                    self.nodes[index].1 = Some(node);
                    return Ok(());
                }
                Err(error) if retries >= 50 => return Err(error),
                Err(_) => retries += 1,
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Kills all instances.
    pub async fn stop(self) {
        for (_, node) in self.nodes {
            if let Some(node) = node {
                node.kill().await;
            }
        }
    }

    fn settings(
        &self,
        fleet_config: &FleetConfig,
        data_centre: &DataCentre,
        index: usize,
    ) -> Settings {
        Settings {
            name: format!("{}-{index}", data_centre.name).as_str().into(),
            data_centre: data_centre.name.clone(),
            callers: any_port(),
            peers: any_port(),
            operators: any_port(),
            platform: self.platform.address(),
            peers_key: "a key that the fleet shares".into(),
            operators_token: OPERATORS_TOKEN.into(),
            log_level: "info".into(),
            log_format: LogFormat::Text,
            shutdown_delay: fleet_config.shutdown_delay,
            shutdown_limit: None,
            store_rate: 60.0,
            shards: 8,
            policy: fleet_config.policy,
        }
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        let started = Instant::now();
        let all_ready = |fleet: &Fleet| {
            fleet
                .nodes
                .iter()
                .all(|(_, node)| node.as_ref().is_some_and(Node::is_ready))
        };
        while !all_ready(self) {
            anyhow::ensure!(
                started.elapsed() < READY_TIMEOUT,
                "the instances were not ready in time"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        // New coordinators observe their servers for a while before they grant places on cold
        // servers.
        tokio::time::sleep(Duration::from_millis(2_500)).await;
        Ok(())
    }
}

/// Sends operator commands to an instance: lines that together are one change, or a single query.
///
/// # Errors
///
/// Returns an error if the command is refused or fails, or if the instance can't be reached.
pub async fn send_command(
    client: &HttpClient,
    address: SocketAddr,
    lines: Vec<String>,
) -> anyhow::Result<Value> {
    let command = CommandRequest {
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
    anyhow::ensure!(success, "command refused or failed: {}", value["findings"]);
    Ok(value)
}

/// Returns a loopback address with a port that the system chooses.
fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn start_servers(fleet_config: &FleetConfig, origin: Instant) -> anyhow::Result<Vec<Server>> {
    let mut rng = fastrand::Rng::with_seed(fleet_config.seed);
    let mut servers = Vec::new();
    for data_centre in &fleet_config.data_centres {
        for index in 0..data_centre.engines {
            let mut engine = Engine::new(fleet_config.engine, rng.u64(1..1 << 30) << 8);
            if fleet_config.warm {
                engine.warm_up();
            }
            let server = EngineServer::start(any_port(), engine, origin).await?;
            servers.push(Server {
                name: format!("{}-engine-{index}", data_centre.name)
                    .as_str()
                    .into(),
                data_centre: data_centre.name.clone(),
                backend: Backend::Engine(server),
            });
        }
        for index in 0..data_centre.plains {
            let mut plain = PlainService::new(fleet_config.plain, rng.u64(1..1 << 30) << 8);
            if fleet_config.warm {
                plain.warm_up();
            }
            let server = PlainServer::start(any_port(), plain, origin).await?;
            servers.push(Server {
                name: format!("{}-plain-{index}", data_centre.name)
                    .as_str()
                    .into(),
                data_centre: data_centre.name.clone(),
                backend: Backend::Plain(server),
            });
        }
    }
    Ok(servers)
}

fn server_entry(server: &Server) -> ListEntry {
    let (label, address) = match &server.backend {
        Backend::Engine(engine) => ("engines", engine.address()),
        Backend::Plain(plain) => ("plains", plain.address()),
    };
    ListEntry {
        name: server.name.clone(),
        kind: "server".into(),
        data_centre: server.data_centre.clone(),
        label: label.into(),
        address,
        leaving: false,
        reclaimed: false,
    }
}

fn instance_entry(settings: &Settings) -> ListEntry {
    ListEntry {
        name: settings.name.clone(),
        kind: "instance".into(),
        data_centre: settings.data_centre.clone(),
        label: CompactString::default(),
        address: settings.peers,
        leaving: false,
        reclaimed: false,
    }
}
