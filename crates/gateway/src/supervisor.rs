//! Restarts actors that have panicked.
//!
//! Each actor has a mailbox that outlives it. When an actor panics, the supervisor creates a new
//! one and runs it on the same mailbox, so that senders which hold its address see only a delay.

use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use xtra::Actor;
use xtra::Mailbox;

/// Delay before the first restart of an actor; it grows linearly with the number of its restarts.
const RESTART_BACKOFF: Duration = Duration::from_millis(50);
/// Longest delay before a restart.
const RESTART_BACKOFF_MAX: Duration = Duration::from_secs(5);

/// Runs the actors and tasks of one instance.
#[derive(Debug, Default)]
pub struct Supervisor {
    tasks: JoinSet<()>,
}

/// The task of one actor, which is aborted when this value is dropped. The task that supervises the
/// actor owns the value, so aborting that task also aborts the actor.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Supervisor {
    /// Returns a supervisor that runs nothing yet.
    pub fn new() -> Supervisor {
        Supervisor::default()
    }

    /// Runs an actor, and a new one whenever it panics. `make` creates the actor, given the number
    /// of restarts so far.
    pub fn add<A: Actor<Stop = ()>>(
        &mut self,
        name: &'static str,
        mailbox: Mailbox<A>,
        mut make: impl FnMut(u32) -> A + Send + 'static,
    ) {
        self.tasks.spawn(async move {
            let mut restarts = 0;
            loop {
                let actor = make(restarts);
                let mut task = AbortOnDrop(tokio::spawn(xtra::run(mailbox.clone(), actor)));
                match (&mut task.0).await {
                    Ok(()) => return,
                    Err(error) if error.is_panic() => {}
                    Err(_) => return,
                }
                restarts += 1;
                log::error!("supervisor: Actor {name} panicked; restart number {restarts}.");
                tokio::time::sleep((RESTART_BACKOFF * restarts).min(RESTART_BACKOFF_MAX)).await;
            }
        });
    }

    /// Runs a task for as long as the instance lives.
    pub fn add_task(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Aborts all actors and tasks and waits until they have ended.
    pub async fn stop(&mut self) {
        self.tasks.shutdown().await;
    }
}

#[cfg(test)]
mod tests {
    use xtra::Context;
    use xtra::Handler;

    use super::*;

    struct PanickingActor {
        restarts: u32,
    }

    impl Actor for PanickingActor {
        type Stop = ();

        async fn stopped(self) {}
    }

    struct CountRestarts;
    struct PanicNow;

    impl Handler<CountRestarts> for PanickingActor {
        type Return = u32;

        async fn handle(&mut self, _: CountRestarts, _: &mut Context<PanickingActor>) -> u32 {
            self.restarts
        }
    }

    impl Handler<PanicNow> for PanickingActor {
        type Return = ();

        async fn handle(&mut self, _: PanicNow, _: &mut Context<PanickingActor>) {
            panic!("panic requested by the test");
        }
    }

    #[tokio::test]
    async fn actor_that_panics_is_replaced_behind_the_same_address() {
        let (address, mailbox) = Mailbox::unbounded();
        let mut supervisor = Supervisor::new();
        supervisor.add("fragile", mailbox, |restarts| PanickingActor { restarts });
        assert_eq!(address.send(CountRestarts).await, Ok(0));
        let _ = address.send(PanicNow).await;
        assert_eq!(address.send(CountRestarts).await, Ok(1));
        supervisor.stop().await;
    }

    #[tokio::test]
    async fn stopped_actor_is_dropped_though_its_address_is_held() {
        let (address, mailbox) = Mailbox::unbounded();
        let strong = std::sync::Arc::new(());
        let weak = std::sync::Arc::downgrade(&strong);
        let mut supervisor = Supervisor::new();
        let mut resource = Some(strong);
        supervisor.add("holder", mailbox, move |_| ResourceHolder {
            _resource: resource.take(),
        });
        let _ = address.send(CountRestarts).await;
        supervisor.stop().await;
        while weak.upgrade().is_some() {
            tokio::task::yield_now().await;
        }
    }

    struct ResourceHolder {
        _resource: Option<std::sync::Arc<()>>,
    }

    impl Actor for ResourceHolder {
        type Stop = ();

        async fn stopped(self) {}
    }

    impl Handler<CountRestarts> for ResourceHolder {
        type Return = ();

        async fn handle(&mut self, _: CountRestarts, _: &mut Context<ResourceHolder>) {}
    }
}
