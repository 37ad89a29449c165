//! Executes operator commands and injects faults while a fleet is under load.

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

/// Time between the notice that a server is reclaimed and its stop.
const RECLAIM_NOTICE: Duration = Duration::from_millis(2_000);

/// Delay before a crashed server is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(1_200);

/// Records an event for the plot, with its time since the origin of the run.
fn record_event(shared: &SharedState, text: String) {
    lock(&shared.events).push((shared.origin.elapsed(), text));
}

/// Executes an event. Returns when the fault is over or the command is answered.
///
/// # Errors
///
/// Returns an error if a command is refused or fails, or if a server or instance can't be
/// restarted.
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
            record_event(shared, format!("{target} taken out"));
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
            record_event(shared, format!("{target} brought back"));
            let line = format!("bring back data-centre {target}");
            run_command(shared, 0, &line).await?;
        }
        Action::Crash => {
            record_event(shared, format!("{target} crashed"));
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
            record_event(shared, format!("{target} partitioned"));
            partition(shared, target).await;
            tokio::time::sleep(duration).await;
            heal_partition(shared).await;
            record_event(shared, format!("{target} reconnected"));
        }
        Action::StoreDown | Action::StoreLossy | Action::StoreSlow => {
            record_event(shared, format!("{:?}", event.action));
            set_faults(shared, event.action).await;
            tokio::time::sleep(duration).await;
            let fleet = shared.fleet.lock().await;
            fleet
                .platform
                .with(|platform| platform.faults = standin::platform::Faults::default());
            record_event(shared, "store recovered".into());
        }
        Action::Pause => {
            record_event(shared, "instance paused".into());
            let fleet = shared.fleet.lock().await;
            let index = instance_index(&fleet, target);
            if let Some(node) = &fleet.nodes[index].1 {
                node.pause(duration).await;
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
            record_event(shared, "instance killed".into());
            let mut fleet = shared.fleet.lock().await;
            let index = instance_index(&fleet, target);
            fleet.replace_node(index, false).await?;
            fleet.publish_list();
        }
        Action::NewModel => {
            record_event(shared, "model changed".into());
            run_command(shared, 0, "set pool engines model model-2").await?;
        }
    }
    Ok(())
}

/// Returns the index of the instance with this name, or of the last instance if there is none.
fn instance_index(fleet: &Fleet, target: &str) -> usize {
    let found = fleet
        .nodes
        .iter()
        .position(|(settings, _)| settings.name == target);
    found.unwrap_or(fleet.nodes.len() - 1)
}

/// Sends a command without keeping the fleet locked while waiting for the answer.
async fn run_command(shared: &SharedState, index: usize, line: &str) -> anyhow::Result<Value> {
    let address = shared.fleet.lock().await.nodes[index].0.operators;
    fleet::send_command(&shared.client, address, vec![line.to_string()]).await
}

/// Crashes a backend server and restarts it after [`RESTART_DELAY`].
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

/// Marks a backend server as leaving and reclaimed, stops it after [`RECLAIM_NOTICE`] and restarts
/// it after [`RESTART_DELAY`].
async fn reclaim(shared: &Arc<SharedState>, target: &str) -> anyhow::Result<()> {
    record_event(shared, format!("{target} reclaimed"));
    let set_leaving = |leaving: bool| {
        move |entry: &mut standin::platform::ListEntry| {
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

/// Silences a backend server without closing its connections. An engine silences the streams open
/// now, for good; a plain service runs calls without answering them until the duration is over.
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

/// Makes a backend server cold without notice.
async fn make_cold(shared: &SharedState, target: &str) {
    let now = shared.origin.elapsed();
    let fleet = shared.fleet.lock().await;
    match fleet.server(target).map(|server| &server.backend) {
        Some(Backend::Engine(engine)) => engine.with(|engine| engine.cool_down(now)),
        Some(Backend::Plain(plain)) => plain.with(|plain| plain.cool_down(now)),
        None => {}
    }
}

/// Cuts the connections between the instances of a data centre and the instances and backend
/// servers outside of it, the platform included, in both directions.
async fn partition(shared: &SharedState, data_centre: &str) {
    let fleet = shared.fleet.lock().await;
    let mut inside = BTreeSet::new();
    let mut outside = BTreeSet::from([fleet.platform.address()]);
    for server in &fleet.servers {
        let address = match &server.backend {
            Backend::Engine(engine) => engine.address(),
            Backend::Plain(plain) => plain.address(),
        };
        let group = if server.data_centre == data_centre {
            &mut inside
        } else {
            &mut outside
        };
        group.insert(address);
    }
    for (settings, _) in &fleet.nodes {
        let group = if settings.data_centre == data_centre {
            &mut inside
        } else {
            &mut outside
        };
        group.insert(settings.peers);
        group.insert(settings.callers);
    }
    for (settings, node) in &fleet.nodes {
        let Some(node) = node else { continue };
        let blocked = if settings.data_centre == data_centre {
            &outside
        } else {
            &inside
        };
        node.partition().set(blocked.clone());
    }
}

/// Removes all partitions.
async fn heal_partition(shared: &SharedState) {
    let fleet = shared.fleet.lock().await;
    for (_, node) in &fleet.nodes {
        if let Some(node) = node {
            node.partition().set(BTreeSet::new());
        }
    }
}

/// Sets the fault of the store that the action names, and clears the others.
async fn set_faults(shared: &SharedState, action: Action) {
    let faults = standin::platform::Faults {
        down: action == Action::StoreDown,
        answer_delay: Duration::from_millis(if action == Action::StoreSlow { 400 } else { 0 }),
        lost_answers: if action == Action::StoreLossy {
            0.3
        } else {
            0.0
        },
    };
    let fleet = shared.fleet.lock().await;
    fleet.platform.with(|platform| platform.faults = faults);
}

/// Sends conflicting commands to three instances concurrently until the duration is over, then
/// brings all data centres back.
async fn race_operators(shared: &Arc<SharedState>, scenario: &Scenario, duration: Duration) {
    record_event(shared, "conflicting commands".into());
    let until = Instant::now() + duration;
    let mut iteration = 0;
    while Instant::now() < until {
        let deadline_ms = 1_000 + iteration;
        let data_centre = &scenario.data_centres[iteration % scenario.data_centres.len()].name;
        let lines = [
            format!("set route status deadline_ms {deadline_ms}"),
            format!("take out data-centre {data_centre}"),
            format!("bring back data-centre {data_centre}"),
        ];
        // The instances may refuse any of the conflicting commands.
        let _ = tokio::join!(
            run_command(shared, 0, &lines[0]),
            run_command(shared, 1, &lines[1]),
            run_command(shared, 2, &lines[2]),
        );
        iteration += 1;
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

/// Replaces all instances in turn, each marked as leaving in the list while it shuts down.
async fn rolling_restart(shared: &Arc<SharedState>) -> anyhow::Result<()> {
    let count = shared.fleet.lock().await.nodes.len();
    for index in 0..count {
        record_event(shared, format!("instance {index} replaced"));
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
