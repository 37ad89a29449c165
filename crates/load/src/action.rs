//! What happens to a fleet while it is under load.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::checks::Withdrawal;
use crate::fleet;
use crate::fleet::Backend;
use crate::fleet::Fleet;
use crate::run::SharedState;
use crate::run::engine_request;
use crate::run::lock;
use crate::run::run_caller;
use crate::scenario::Action;
use crate::scenario::Event;
use crate::scenario::Scenario;

/// Time between the notice of a reclaim and the end of the server.
const RECLAIM_NOTICE: Duration = Duration::from_millis(2_000);

/// Time until a server that crashed starts anew.
const RESTART_DELAY: Duration = Duration::from_millis(1_200);

fn record_event(shared: &SharedState, text: String) {
    lock(&shared.events).push((shared.origin.elapsed(), text));
}

/// Carries out an event.
///
/// # Errors
///
/// If a command is refused or a process can't be started anew.
pub(crate) async fn execute(
    shared: &Arc<SharedState>,
    scenario: &Scenario,
    event: &Event,
    seed: u64,
) -> anyhow::Result<()> {
    let target = event.target.as_str();
    let duration = Duration::from_secs_f64(event.for_s);
    match event.action {
        Action::TakeOut => {
            let line = format!("take out data-centre {target}");
            run_command(shared, 0, &line).await?;
            record_event(shared, format!("{target} out"));
            lock(&shared.withdrawals).push(Withdrawal {
                data_centre: target.into(),
                from: shared.origin.elapsed(),
                until: None,
            });
        }
        Action::BringBack => {
            let now = shared.origin.elapsed();
            for withdrawal in lock(&shared.withdrawals).iter_mut() {
                if withdrawal.data_centre == target {
                    withdrawal.until.get_or_insert(now);
                }
            }
            record_event(shared, format!("{target} back"));
            let line = format!("bring back data-centre {target}");
            run_command(shared, 0, &line).await?;
        }
        Action::Crash => {
            record_event(shared, format!("{target} crashes"));
            crash(shared, target).await?;
        }
        Action::Reclaim => reclaim(shared, target).await?,
        Action::Silence => {
            record_event(shared, format!("{target} silent"));
            silence(shared, target, duration).await;
        }
        Action::Chill => {
            record_event(shared, format!("{target} cold"));
            make_cold(shared, target).await;
        }
        Action::Partition => {
            record_event(shared, format!("{target} cut off"));
            partition(shared, target).await;
            tokio::time::sleep(duration).await;
            heal_partition(shared).await;
            record_event(shared, format!("{target} joined"));
        }
        Action::StoreDown | Action::StoreLossy | Action::StoreSlow => {
            record_event(shared, format!("{:?}", event.action));
            set_faults(shared, event.action).await;
            tokio::time::sleep(duration).await;
            let fleet = shared.fleet.lock().await;
            fleet
                .platform
                .with(|platform| platform.faults = standin::platform::Faults::default());
            record_event(shared, "store well".into());
        }
        Action::Pause => {
            record_event(shared, "an instance stands still".into());
            let fleet = shared.fleet.lock().await;
            let index = instance_index(&fleet, target);
            if let Some(node) = &fleet.nodes[index].1 {
                node.hold(duration).await;
            }
        }
        Action::Race => race_operators(shared, scenario, duration).await,
        Action::Poison => {
            record_event(shared, "poison".into());
            let mut request = engine_request(scenario, 1, 0.0, &mut fastrand::Rng::with_seed(seed));
            request.marker.poison = true;
            request.marker.length = 50;
            run_caller(shared.clone(), request, seed).await;
        }
        Action::RollingRestart => rolling_restart(shared).await?,
        Action::Kill => {
            record_event(shared, "an instance is killed".into());
            let mut fleet = shared.fleet.lock().await;
            let index = instance_index(&fleet, target);
            fleet.replace_node(index, false).await?;
            fleet.publish_list();
        }
        Action::NewModel => {
            record_event(shared, "new model".into());
            run_command(shared, 0, "set pool engines model model-2").await?;
        }
    }
    Ok(())
}

fn instance_index(fleet: &Fleet, target: &str) -> usize {
    let found = fleet
        .nodes
        .iter()
        .position(|(settings, _)| settings.name == target);
    found.unwrap_or(fleet.nodes.len() - 1)
}

/// Sends a command without holding the fleet, since an answer may take its time.
async fn run_command(shared: &SharedState, node: usize, line: &str) -> anyhow::Result<Value> {
    let address = shared.fleet.lock().await.nodes[node].0.operators;
    fleet::send_command(&shared.client, address, vec![line.to_string()]).await
}

async fn crash(shared: &Arc<SharedState>, target: &str) -> anyhow::Result<()> {
    let fleet = shared.fleet.lock().await;
    match fleet.server(target).map(|server| &server.backend) {
        Some(Backend::Engine(engine)) => {
            let engine = engine.clone();
            drop(fleet);
            engine.crash().await;
            tokio::time::sleep(RESTART_DELAY).await;
            engine.restart().await?;
        }
        Some(Backend::Plain(plain)) => {
            let plain = plain.clone();
            drop(fleet);
            plain.crash().await;
            tokio::time::sleep(RESTART_DELAY).await;
            plain.restart().await?;
        }
        None => {}
    }
    Ok(())
}

async fn reclaim(shared: &Arc<SharedState>, target: &str) -> anyhow::Result<()> {
    record_event(shared, format!("{target} reclaimed"));
    let set_leaving = |leaving: bool| {
        move |entry: &mut standin::platform::Entry| {
            if entry.name == target {
                entry.leaving = leaving;
                entry.reclaimed = leaving;
            }
        }
    };
    {
        let fleet = shared.fleet.lock().await;
        fleet.change_list(set_leaving(true));
        if let Some(Backend::Engine(engine)) = fleet.server(target).map(|s| &s.backend) {
            engine.with(standin::engine::Engine::leave);
        }
    }
    tokio::time::sleep(RECLAIM_NOTICE).await;
    crash(shared, target).await?;
    shared.fleet.lock().await.change_list(set_leaving(false));
    Ok(())
}

async fn silence(shared: &Arc<SharedState>, target: &str, duration: Duration) {
    let fleet = shared.fleet.lock().await;
    match fleet.server(target).map(|server| &server.backend) {
        Some(Backend::Engine(engine)) => engine.silence(),
        Some(Backend::Plain(plain)) => {
            let plain = plain.clone();
            drop(fleet);
            plain.set_silent(true);
            tokio::time::sleep(duration).await;
            plain.set_silent(false);
        }
        None => {}
    }
}

async fn make_cold(shared: &SharedState, target: &str) {
    let now = shared.origin.elapsed();
    let fleet = shared.fleet.lock().await;
    match fleet.server(target).map(|server| &server.backend) {
        Some(Backend::Engine(engine)) => engine.with(|engine| engine.chill(now)),
        Some(Backend::Plain(plain)) => plain.with(|plain| plain.chill(now)),
        None => {}
    }
}

/// Cuts a data centre's instances off from the others, from their servers and from the platform.
async fn partition(shared: &SharedState, data_centre: &str) {
    let fleet = shared.fleet.lock().await;
    let mut inside = BTreeSet::new();
    let mut outside = BTreeSet::from([fleet.platform.address()]);
    for server in &fleet.servers {
        let address = match &server.backend {
            Backend::Engine(engine) => engine.address(),
            Backend::Plain(plain) => plain.address(),
        };
        let side = if server.data_centre == data_centre {
            &mut inside
        } else {
            &mut outside
        };
        side.insert(address);
    }
    for (settings, _) in &fleet.nodes {
        let side = if settings.data_centre == data_centre {
            &mut inside
        } else {
            &mut outside
        };
        side.insert(settings.peers);
        side.insert(settings.callers);
    }
    for (settings, node) in &fleet.nodes {
        let Some(node) = node else { continue };
        let cut = if settings.data_centre == data_centre {
            &outside
        } else {
            &inside
        };
        node.barrier().set(cut.clone());
    }
}

async fn heal_partition(shared: &SharedState) {
    let fleet = shared.fleet.lock().await;
    for (_, node) in &fleet.nodes {
        if let Some(node) = node {
            node.barrier().set(BTreeSet::new());
        }
    }
}

async fn set_faults(shared: &SharedState, action: Action) {
    let faults = standin::platform::Faults {
        down: action == Action::StoreDown,
        slow: Duration::from_millis(if action == Action::StoreSlow { 400 } else { 0 }),
        lost_answers: if action == Action::StoreLossy {
            0.3
        } else {
            0.0
        },
    };
    let fleet = shared.fleet.lock().await;
    fleet.platform.with(|platform| platform.faults = faults);
}

/// Two operators give conflicting commands at once, again and again.
async fn race_operators(shared: &Arc<SharedState>, scenario: &Scenario, duration: Duration) {
    record_event(shared, "operators race".into());
    let until = Instant::now() + duration;
    let mut round = 0;
    while Instant::now() < until {
        let limit = 1_000 + round;
        let data_centre = &scenario.data_centres[round % scenario.data_centres.len()].name;
        let lines = [
            format!("set route status deadline_ms {limit}"),
            format!("take out data-centre {data_centre}"),
            format!("bring back data-centre {data_centre}"),
        ];
        // Some of them are refused, which is their right.
        let _ = tokio::join!(
            run_command(shared, 0, &lines[0]),
            run_command(shared, 1, &lines[1]),
            run_command(shared, 2, &lines[2]),
        );
        round += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for data_centre in &scenario.data_centres {
        let _ = run_command(
            shared,
            0,
            &format!("bring back data-centre {}", data_centre.name),
        )
        .await;
    }
}

async fn rolling_restart(shared: &Arc<SharedState>) -> anyhow::Result<()> {
    let count = shared.fleet.lock().await.nodes.len();
    for index in 0..count {
        record_event(shared, format!("instance {index} is replaced"));
        let mut fleet = shared.fleet.lock().await;
        let name = fleet.nodes[index].0.name.clone();
        fleet.change_list(|entry| entry.leaving |= entry.name == name);
        fleet.replace_node(index, true).await?;
        fleet.change_list(|entry| entry.leaving &= entry.name != name);
        drop(fleet);
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    Ok(())
}
