//! What happens to a fleet while it is under load.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;

use crate::fleet;
use crate::fleet::Backend;
use crate::fleet::Fleet;
use crate::judge::Absence;
use crate::run::Shared;
use crate::run::engine_ask;
use crate::run::lock;
use crate::run::serve_caller;
use crate::scenario::Deed;
use crate::scenario::Event;
use crate::scenario::Scenario;

/// Time between the notice of a reclaim and the end of the server.
const NOTICE: Duration = Duration::from_millis(2_000);

/// Time until a server that crashed starts anew.
const RESTART: Duration = Duration::from_millis(1_200);

fn record(shared: &Shared, text: String) {
    lock(&shared.events).push((shared.origin.elapsed(), text));
}

/// Carries out an event.
///
/// # Errors
///
/// If a command is refused or a process can't be started anew.
pub(crate) async fn carry_out(
    shared: &Arc<Shared>,
    scenario: &Scenario,
    event: &Event,
    seed: u64,
) -> anyhow::Result<()> {
    let target = event.target.as_str();
    let time = Duration::from_secs_f64(event.for_s);
    match event.deed {
        Deed::TakeOut => {
            let line = format!("take out data-centre {target}");
            command(shared, 0, &line).await?;
            record(shared, format!("{target} out"));
            lock(&shared.absences).push(Absence {
                centre: target.into(),
                from: shared.origin.elapsed(),
                until: None,
            });
        }
        Deed::BringBack => {
            let now = shared.origin.elapsed();
            for absence in lock(&shared.absences).iter_mut() {
                if absence.centre == target {
                    absence.until.get_or_insert(now);
                }
            }
            record(shared, format!("{target} back"));
            let line = format!("bring back data-centre {target}");
            command(shared, 0, &line).await?;
        }
        Deed::Crash => {
            record(shared, format!("{target} crashes"));
            crash(shared, target).await?;
        }
        Deed::Reclaim => reclaim(shared, target).await?,
        Deed::Silence => {
            record(shared, format!("{target} silent"));
            silence(shared, target, time).await;
        }
        Deed::Chill => {
            record(shared, format!("{target} cold"));
            chill(shared, target).await;
        }
        Deed::Partition => {
            record(shared, format!("{target} cut off"));
            partition(shared, target).await;
            tokio::time::sleep(time).await;
            heal(shared).await;
            record(shared, format!("{target} joined"));
        }
        Deed::StoreDown | Deed::StoreLossy | Deed::StoreSlow => {
            record(shared, format!("{:?}", event.deed));
            set_faults(shared, event.deed).await;
            tokio::time::sleep(time).await;
            let fleet = shared.fleet.lock().await;
            fleet
                .platform
                .with(|platform| platform.faults = standin::platform::Faults::default());
            record(shared, "store well".into());
        }
        Deed::Pause => {
            record(shared, "an instance stands still".into());
            let fleet = shared.fleet.lock().await;
            let index = holder_index(&fleet, target);
            if let Some(node) = &fleet.nodes[index].1 {
                node.hold(time).await;
            }
        }
        Deed::Race => race(shared, scenario, time).await,
        Deed::Poison => {
            record(shared, "poison".into());
            let mut ask = engine_ask(scenario, 1, 0.0, &mut fastrand::Rng::with_seed(seed));
            ask.marker.poison = true;
            ask.marker.length = 50;
            serve_caller(shared.clone(), ask, seed).await;
        }
        Deed::RollingRestart => rolling_restart(shared).await?,
        Deed::Kill => {
            record(shared, "an instance is killed".into());
            let mut fleet = shared.fleet.lock().await;
            let index = holder_index(&fleet, target);
            fleet.replace_node(index, false).await?;
            fleet.publish_list();
        }
        Deed::NewModel => {
            record(shared, "new model".into());
            command(shared, 0, "set pool engines model model-2").await?;
        }
    }
    Ok(())
}

fn holder_index(fleet: &Fleet, target: &str) -> usize {
    let found = fleet
        .nodes
        .iter()
        .position(|(settings, _)| settings.name == target);
    found.unwrap_or(fleet.nodes.len() - 1)
}

/// Sends a command without holding the fleet, since an answer may take its time.
async fn command(shared: &Shared, node: usize, line: &str) -> anyhow::Result<Value> {
    let address = shared.fleet.lock().await.nodes[node].0.operators;
    fleet::send_command(&shared.client, address, vec![line.to_string()]).await
}

async fn crash(shared: &Arc<Shared>, target: &str) -> anyhow::Result<()> {
    let fleet = shared.fleet.lock().await;
    match fleet.server(target).map(|server| &server.backend) {
        Some(Backend::Engine(engine)) => {
            let engine = engine.clone();
            drop(fleet);
            engine.crash().await;
            tokio::time::sleep(RESTART).await;
            engine.restart().await?;
        }
        Some(Backend::Plain(plain)) => {
            let plain = plain.clone();
            drop(fleet);
            plain.crash().await;
            tokio::time::sleep(RESTART).await;
            plain.restart().await?;
        }
        None => {}
    }
    Ok(())
}

async fn reclaim(shared: &Arc<Shared>, target: &str) -> anyhow::Result<()> {
    record(shared, format!("{target} reclaimed"));
    let mark = |leaving: bool| {
        move |entry: &mut standin::platform::Entry| {
            if entry.name == target {
                entry.leaving = leaving;
                entry.reclaimed = leaving;
            }
        }
    };
    {
        let fleet = shared.fleet.lock().await;
        fleet.change_list(mark(true));
        if let Some(Backend::Engine(engine)) = fleet.server(target).map(|s| &s.backend) {
            engine.with(standin::engine::Engine::leave);
        }
    }
    tokio::time::sleep(NOTICE).await;
    crash(shared, target).await?;
    shared.fleet.lock().await.change_list(mark(false));
    Ok(())
}

async fn silence(shared: &Arc<Shared>, target: &str, time: Duration) {
    let fleet = shared.fleet.lock().await;
    match fleet.server(target).map(|server| &server.backend) {
        Some(Backend::Engine(engine)) => engine.silence(),
        Some(Backend::Plain(plain)) => {
            let plain = plain.clone();
            drop(fleet);
            plain.set_silent(true);
            tokio::time::sleep(time).await;
            plain.set_silent(false);
        }
        None => {}
    }
}

async fn chill(shared: &Shared, target: &str) {
    let now = shared.origin.elapsed();
    let fleet = shared.fleet.lock().await;
    match fleet.server(target).map(|server| &server.backend) {
        Some(Backend::Engine(engine)) => engine.with(|engine| engine.chill(now)),
        Some(Backend::Plain(plain)) => plain.with(|plain| plain.chill(now)),
        None => {}
    }
}

/// Cuts a data centre's instances off from the others, from their servers and from the platform.
async fn partition(shared: &Shared, centre: &str) {
    let fleet = shared.fleet.lock().await;
    let mut inside = BTreeSet::new();
    let mut outside = BTreeSet::from([fleet.platform.address()]);
    for server in &fleet.servers {
        let address = match &server.backend {
            Backend::Engine(engine) => engine.address(),
            Backend::Plain(plain) => plain.address(),
        };
        let side = if server.data_centre == centre {
            &mut inside
        } else {
            &mut outside
        };
        side.insert(address);
    }
    for (settings, _) in &fleet.nodes {
        let side = if settings.data_centre == centre {
            &mut inside
        } else {
            &mut outside
        };
        side.insert(settings.peers);
        side.insert(settings.callers);
    }
    for (settings, node) in &fleet.nodes {
        let Some(node) = node else { continue };
        let cut = if settings.data_centre == centre {
            &outside
        } else {
            &inside
        };
        node.partition().set(cut.clone());
    }
}

async fn heal(shared: &Shared) {
    let fleet = shared.fleet.lock().await;
    for (_, node) in &fleet.nodes {
        if let Some(node) = node {
            node.partition().set(BTreeSet::new());
        }
    }
}

async fn set_faults(shared: &Shared, deed: Deed) {
    let faults = standin::platform::Faults {
        down: deed == Deed::StoreDown,
        slow: Duration::from_millis(if deed == Deed::StoreSlow { 400 } else { 0 }),
        lost_answers: if deed == Deed::StoreLossy { 0.3 } else { 0.0 },
    };
    let fleet = shared.fleet.lock().await;
    fleet.platform.with(|platform| platform.faults = faults);
}

/// Two operators give conflicting commands at once, again and again.
async fn race(shared: &Arc<Shared>, scenario: &Scenario, time: Duration) {
    record(shared, "operators race".into());
    let until = Instant::now() + time;
    let mut round = 0;
    while Instant::now() < until {
        let limit = 1_000 + round;
        let centre = &scenario.data_centres[round % scenario.data_centres.len()].name;
        let lines = [
            format!("set route status deadline_ms {limit}"),
            format!("take out data-centre {centre}"),
            format!("bring back data-centre {centre}"),
        ];
        // Some of them are refused, which is their right.
        let _ = tokio::join!(
            command(shared, 0, &lines[0]),
            command(shared, 1, &lines[1]),
            command(shared, 2, &lines[2]),
        );
        round += 1;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for centre in &scenario.data_centres {
        let _ = command(
            shared,
            0,
            &format!("bring back data-centre {}", centre.name),
        )
        .await;
    }
}

async fn rolling_restart(shared: &Arc<Shared>) -> anyhow::Result<()> {
    let count = shared.fleet.lock().await.nodes.len();
    for index in 0..count {
        record(shared, format!("instance {index} is replaced"));
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
