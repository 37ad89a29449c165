//! Restarting a part that has failed.
//!
//! Each part is an actor with a mailbox that outlives it. The supervisor runs the actor; when it
//! panics or stops without being told to, it makes a new one and runs it on the same mailbox, so that
//! whoever holds its address notices nothing but a delay.

use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use xtra::Actor;
use xtra::Mailbox;

/// Pause before a first restart; it grows with each restart in a row.
const PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before a restart.
const PAUSE_MAX: Duration = Duration::from_secs(5);

/// The parts of one instance.
#[derive(Debug, Default)]
pub struct Supervisor {
    parts: JoinSet<()>,
}

/// The task of one actor, which ends with the part that watches it.
struct Life(JoinHandle<()>);

impl Drop for Life {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Supervisor {
    /// Returns a supervisor without parts.
    pub fn new() -> Supervisor {
        Supervisor::default()
    }

    /// Runs an actor, and a new one whenever it fails. The maker is told how often it was called
    /// before.
    pub fn add<A: Actor<Stop = ()>>(
        &mut self,
        part: &'static str,
        mailbox: Mailbox<A>,
        mut make: impl FnMut(u32) -> A + Send + 'static,
    ) {
        self.parts.spawn(async move {
            let mut restarts = 0;
            loop {
                let actor = make(restarts);
                let mut run = Life(tokio::spawn(xtra::run(mailbox.clone(), actor)));
                match (&mut run.0).await {
                    Ok(()) => return,
                    Err(error) if error.is_panic() => {}
                    Err(_) => return,
                }
                restarts += 1;
                log::error!("supervisor: Part {part} failed and is restarted, time {restarts}.");
                tokio::time::sleep((PAUSE * restarts).min(PAUSE_MAX)).await;
            }
        });
    }

    /// Runs a task for as long as the instance lives.
    pub fn add_task(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.parts.spawn(task);
    }

    /// Stops all parts.
    pub async fn stop(&mut self) {
        self.parts.shutdown().await;
    }
}

#[cfg(test)]
mod tests {
    use xtra::Context;
    use xtra::Handler;

    use super::*;

    struct Fragile {
        life: u32,
    }

    impl Actor for Fragile {
        type Stop = ();

        async fn stopped(self) {}
    }

    struct Ask;
    struct Break;

    impl Handler<Ask> for Fragile {
        type Return = u32;

        async fn handle(&mut self, _: Ask, _: &mut Context<Fragile>) -> u32 {
            self.life
        }
    }

    impl Handler<Break> for Fragile {
        type Return = ();

        async fn handle(&mut self, _: Break, _: &mut Context<Fragile>) {
            panic!("broken on purpose");
        }
    }

    #[tokio::test]
    async fn part_that_panics_is_replaced_behind_the_same_address() {
        let (address, mailbox) = Mailbox::unbounded();
        let mut supervisor = Supervisor::new();
        supervisor.add("fragile", mailbox, |life| Fragile { life });
        assert_eq!(address.send(Ask).await, Ok(0));
        let _ = address.send(Break).await;
        assert_eq!(address.send(Ask).await, Ok(1));
        supervisor.stop().await;
    }

    #[tokio::test]
    async fn stopped_part_is_gone_though_its_address_is_held() {
        let (address, mailbox) = Mailbox::unbounded();
        let held = std::sync::Arc::new(());
        let watched = std::sync::Arc::downgrade(&held);
        let mut supervisor = Supervisor::new();
        let mut given = Some(held);
        supervisor.add("holder", mailbox, move |_| Holder {
            _held: given.take(),
        });
        let _ = address.send(Ask).await;
        supervisor.stop().await;
        while watched.upgrade().is_some() {
            tokio::task::yield_now().await;
        }
    }

    struct Holder {
        _held: Option<std::sync::Arc<()>>,
    }

    impl Actor for Holder {
        type Stop = ();

        async fn stopped(self) {}
    }

    impl Handler<Ask> for Holder {
        type Return = ();

        async fn handle(&mut self, _: Ask, _: &mut Context<Holder>) {}
    }
}
