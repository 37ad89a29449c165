//! Recent crashes of backend servers, which tell a faulty server from a faulty request.
//!
//! A server that crashes again while it runs other requests than before is more likely at fault than
//! any of them. Strikes for such a crash would bar requests whose only connection to it is that they
//! were placed on a faulty server.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use clock::Time;
use wire::BootId;
use wire::Fingerprint;
use wire::Name;

/// Time for which a crash counts as evidence against its server.
const CRASH_TTL: Duration = Duration::from_secs(60);
/// Maximum number of servers whose crashes are kept.
const SERVERS_MAX: usize = 1_024;

/// The crashes that one instance has seen.
#[derive(Debug, Default)]
pub struct Crashes {
    servers: BTreeMap<Name, BTreeMap<BootId, Crash>>,
}

/// The end of one boot of a server.
#[derive(Debug)]
struct Crash {
    at: Time,
    /// The requests of this instance that were running.
    fingerprints: BTreeSet<Fingerprint>,
}

impl Crashes {
    /// Records that a request was running on a server when the server crashed.
    pub fn record(&mut self, now: Time, server: &str, boot: BootId, fingerprint: Fingerprint) {
        self.remove_expired(now);
        if self.servers.len() >= SERVERS_MAX && !self.servers.contains_key(server) {
            return;
        }
        let boots = self.servers.entry(server.into()).or_default();
        let crash = boots.entry(boot).or_insert(Crash {
            at: now,
            fingerprints: BTreeSet::new(),
        });
        crash.fingerprints.insert(fingerprint);
    }

    /// Returns whether an earlier boot of a server crashed recently without this request, so that
    /// the crash of the given boot is no evidence against the request.
    pub fn is_server_at_fault(
        &self,
        now: Time,
        server: &str,
        boot: BootId,
        fingerprint: Fingerprint,
    ) -> bool {
        let Some(boots) = self.servers.get(server) else {
            return false;
        };
        boots.iter().any(|(crashed, crash)| {
            *crashed != boot
                && now.saturating_sub(crash.at) < CRASH_TTL
                && !crash.fingerprints.contains(&fingerprint)
        })
    }

    fn remove_expired(&mut self, now: Time) {
        self.servers.retain(|_, boots| {
            boots.retain(|_, crash| now.saturating_sub(crash.at) < CRASH_TTL);
            !boots.is_empty()
        });
    }
}
