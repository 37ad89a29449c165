//! Starts and stops an instance.

use std::sync::Arc;
use std::time::Duration;

use clock::Clock;
use conf::Config;
use route::retry::Limits;
use tokio::sync::watch;
use wigeon_core::Input;
use wire::gossip::Entry;
use xtra::Address;
use xtra::Mailbox;

use crate::answer::Registry;
use crate::backend;
use crate::callers;
use crate::callers::Callers;
use crate::decider::Decider;
use crate::decider::Effects;
use crate::decider::HandleInput;
use crate::decider::Panic;
use crate::decider::Pause;
use crate::decider::Status;
use crate::http;
use crate::metrics::Metrics;
use crate::operators;
use crate::operators::Operators;
use crate::partition::Partition;
use crate::path;
use crate::platform;
use crate::platform::Platform;
use crate::platform::SendCall;
use crate::relay::RelayContext;
use crate::runtime;
use crate::runtime::Runtime;
use crate::runtime::Sockets;
use crate::settings::Settings;
use crate::supervisor::Supervisor;

/// Time between the decider's last frames and the end of the process, in which they are sent.
const FINAL_FRAMES_TIME: Duration = Duration::from_millis(50);

/// A running instance.
pub struct Node {
    settings: Settings,
    /// The instance's name and addresses, with the ports that the system chose.
    pub entry: Entry,
    decider: Address<Decider>,
    status: watch::Receiver<Status>,
    accepting: watch::Sender<bool>,
    stop: watch::Sender<bool>,
    supervisor: Supervisor,
    servers: Vec<tokio::task::JoinHandle<()>>,
    metrics: Arc<Metrics>,
    partition: Arc<Partition>,
}

impl Node {
    /// Starts an instance. For port 0 in an address of its settings, the system chooses the port.
    ///
    /// # Errors
    ///
    /// Returns an error if a listener can't be bound to its address.
    pub async fn start(settings: Settings, clock: Arc<dyn Clock>) -> anyhow::Result<Node> {
        let callers = runtime::listen(settings.callers, "callers").await?;
        let operators = runtime::listen(settings.operators, "operators").await?;
        let sockets = Sockets::bind(settings.peers).await?;
        let entry = Entry {
            id: runtime::new_incarnation_id(),
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            peers: sockets.address()?,
            callers: callers.local_addr()?,
            operators: operators.local_addr()?,
        };
        let (platform, platform_mailbox) = Mailbox::unbounded();
        let core = core_settings(&settings, &entry);
        let key = &settings.peers_key;
        let Runtime {
            decider,
            status,
            relays,
            metrics,
            partition,
            mut supervisor,
        } = Runtime::start(core, key, sockets, clock.clone(), |decider, partition| {
            effects(platform, partition.clone(), decider.clone())
        });
        let (address, platform_decider) = (settings.platform, decider.clone());
        let platform_partition = partition.clone();
        supervisor.add("platform", platform_mailbox, move |_| {
            Platform::new(
                address,
                platform_partition.clone(),
                platform_decider.clone(),
            )
        });
        supervisor.add_task(platform::read_list(
            settings.platform,
            partition.clone(),
            decider.clone(),
        ));

        let relay_context = Arc::new(RelayContext {
            decider: decider.clone(),
            relays,
            clock,
            partition: partition.clone(),
            metrics: metrics.clone(),
        });
        let accepting = watch::Sender::new(true);
        let stop = watch::Sender::new(false);
        let callers_api = Arc::new(Callers {
            relay_context,
            answers: Arc::new(Registry::default()),
            status: status.clone(),
            accepting: accepting.subscribe(),
            proxy: http::client(true),
        });
        let operators_api = Arc::new(Operators {
            decider: decider.clone(),
            status: status.clone(),
            token: settings.operators_token.clone(),
            client: http::client(true),
            name: settings.name.clone(),
        });
        let servers = vec![
            tokio::spawn(http::serve(callers, stop.subscribe(), move |request| {
                callers::handle(callers_api.clone(), request)
            })),
            tokio::spawn(http::serve(operators, stop.subscribe(), move |request| {
                operators::handle(operators_api.clone(), request)
            })),
        ];
        log::info!(
            "node: Instance {} serves callers at {}.",
            entry.name,
            entry.callers
        );
        Ok(Node {
            settings,
            entry,
            decider,
            status,
            accepting,
            stop,
            supervisor,
            servers,
            metrics,
            partition,
        })
    }

    /// Returns whether the instance is ready to take callers.
    pub fn is_ready(&self) -> bool {
        self.status.borrow().ready
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<Config> {
        self.status.borrow().config.clone()
    }

    /// Returns the instance's metrics.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Returns the set of links that an experiment has cut.
    pub fn partition(&self) -> &Arc<Partition> {
        &self.partition
    }

    /// Suspends the decider for a time, which simulates a paused process.
    pub async fn pause(&self, time: Duration) {
        let _ = self.decider.send(Pause(time)).detach().await;
    }

    /// Makes the decider panic, which tests that it is restarted.
    pub async fn panic_decider(&self) {
        let _ = self.decider.send(Panic).detach().await;
    }

    /// Shuts the instance down gracefully. It reports that it is not ready, still accepts callers
    /// for the delay of its settings, finishes running and queued requests up to the limit of its
    /// settings, and stops.
    pub async fn shut_down(mut self) {
        let _ = self.accepting.send(false);
        let limit = self.settings.shutdown_limit;
        let grace = limit.map(|limit| self.settings.shutdown_delay + limit);
        let _ = self.decider.send(HandleInput(Input::Leave(grace))).await;
        tokio::time::sleep(self.settings.shutdown_delay).await;
        let _ = self.stop.send(true);
        let finish = async {
            for server in &mut self.servers {
                let _ = server.await;
            }
            let _ = self.status.wait_for(|status| status.idle).await;
        };
        match limit {
            Some(limit) => {
                if tokio::time::timeout(limit, finish).await.is_err() {
                    log::warn!(
                        "node: Requests are still running at shutdown_limit_ms and are cut off."
                    );
                }
            }
            None => finish.await,
        }
        let _ = self.decider.send(HandleInput(Input::Stop)).await;
        tokio::time::sleep(FINAL_FRAMES_TIME).await;
        self.supervisor.stop().await;
        log::info!("node: Instance {} has stopped.", self.entry.name);
    }

    /// Stops the instance at once, which simulates a crash.
    pub async fn kill(mut self) {
        for server in &self.servers {
            server.abort();
        }
        self.supervisor.stop().await;
    }
}

/// Returns the decider's side effects, which call the platform and the backend servers.
fn effects(
    platform: Address<Platform>,
    partition: Arc<Partition>,
    decider: Address<Decider>,
) -> Effects {
    let test_path = path::tester(decider.clone(), partition.clone());
    Effects {
        test_path,
        call_store: Box::new(move |sent| {
            let platform = platform.clone();
            tokio::spawn(async move {
                let _ = platform.send(SendCall(sent)).detach().await;
            });
        }),
        probe_server: Box::new(move |server, address, requested_at| {
            let (partition, decider) = (partition.clone(), decider.clone());
            tokio::spawn(async move {
                let report = if partition.cuts(address) {
                    None
                } else {
                    backend::report(address).await
                };
                let input = Input::Report(server, requested_at, report);
                let _ = decider.send(HandleInput(input)).detach().await;
            });
        }),
        send_order: Box::new(move |address, order| {
            tokio::spawn(backend::order(address, order));
        }),
    }
}

fn core_settings(settings: &Settings, entry: &Entry) -> wigeon_core::Settings {
    wigeon_core::Settings {
        entry: entry.clone(),
        seed: entry.id,
        policy: settings.policy,
        shards: settings.shards,
        store: store::Limits {
            rate: settings.store_rate,
            burst: settings.store_rate,
            ..store::Limits::default()
        },
        strikes: wigeon_core::settings::STRIKES_DEFAULT,
        retries: Limits::default(),
        is_first_start: true,
        strict: false,
        source: wigeon_core::Source::Store,
        probe_period: wigeon_core::settings::PROBE_PERIOD_DEFAULT,
    }
}
