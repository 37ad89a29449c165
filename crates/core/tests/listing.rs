//! Distribution of the server list from the instance that reads it to the others.

mod driver;

use std::time::Duration;

use wigeon_core::Input;
use wigeon_core::Instance;
use wigeon_core::Output;
use wigeon_core::Settings;
use wigeon_core::Source;
use wire::Frame;
use wire::Name;
use wire::server_list::Server;
use wire::server_list::ServerListUpdate;

const WALL: Duration = Duration::from_secs(1_700_000_000);
const STEP: Duration = Duration::from_millis(50);
/// Time of refused reads after which the store counts as away for an instance.
const AWAY: Duration = Duration::from_secs(1);
/// Time for which an instance offers to keep servers after the store was away for it.
const LAPSE_GRACE: Duration = Duration::from_secs(2);

/// Instances of one data centre. Frames arrive at once, except those from or to a disconnected
/// instance.
struct Fleet {
    instances: Vec<Instance>,
    now: Duration,
    /// Index of the instance that can't exchange frames, if any.
    disconnected: Option<usize>,
    /// Revision of the last read of the list.
    revision: u64,
    /// Number of reads of the list by each instance.
    reads: Vec<u32>,
    /// Number of reads of the list that each instance has tried.
    calls: Vec<u32>,
    /// Since when the store has refused each instance's reads.
    failing_since: Vec<Option<Duration>>,
    /// Until when each instance offers to keep servers that the store lacks.
    grace_until: Vec<Duration>,
    /// Lines that the instances have logged about the list.
    logged: Vec<String>,
}

fn server(name: &str) -> Server {
    Server {
        name: name.into(),
        data_centre: "east".into(),
        label: "engines".into(),
        address: ([127, 0, 0, 1], 80).into(),
        boot: 1,
        software: Name::default(),
        leaving: false,
        reclaimed: false,
        cold_left_ms: 0,
    }
}

impl Fleet {
    fn new(count: u64) -> Fleet {
        let settings = |id| Settings {
            source: Source::External,
            ..Settings::example(&format!("i{id}"), "east", id)
        };
        let instances: Vec<Instance> = (1..=count).map(|id| Instance::new(settings(id))).collect();
        let listed = driver::listed_instances((1..=count).map(settings));
        let mut fleet = Fleet {
            reads: vec![0; instances.len()],
            calls: vec![0; instances.len()],
            failing_since: vec![None; instances.len()],
            grace_until: vec![Duration::ZERO; instances.len()],
            instances,
            now: Duration::from_secs(1),
            disconnected: None,
            revision: 0,
            logged: Vec::new(),
        };
        for index in 0..fleet.instances.len() {
            fleet.input(index, Input::List(listed.clone()));
        }
        fleet
    }

    fn input(&mut self, index: usize, input: Input) {
        let outputs = self.instances[index].handle(self.now, WALL + self.now, input);
        let from = self.instances[index].id();
        for output in outputs {
            let (address, body) = match output {
                Output::Send { address, body, .. } => (address, body),
                Output::Log {
                    target: "list",
                    text,
                    ..
                } => {
                    self.logged.push(text);
                    continue;
                }
                _ => continue,
            };
            let to = self.instances.iter().position(|instance| {
                instance
                    .entry(instance.id())
                    .is_some_and(|entry| entry.peers == address)
            });
            let Some(to) = to.filter(|to| *to != index) else {
                continue;
            };
            if self
                .disconnected
                .is_some_and(|cut_off| cut_off == index || cut_off == to)
            {
                continue;
            }
            let frame = Frame {
                from,
                to: self.instances[to].id(),
                seq: 1,
                wall_ms: 0,
                body,
            };
            self.input(to, Input::Frame(frame));
        }
    }

    /// Advances the time. Each instance that should read the list reads it every 400 ms, except those
    /// that the store refuses.
    fn advance(&mut self, time: Duration, servers: &[Server], refused: &[usize]) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for index in 0..self.instances.len() {
                self.input(index, Input::Tick);
            }
            if !self.now.as_millis().is_multiple_of(400) {
                continue;
            }
            for index in 0..self.instances.len() {
                if !self.instances[index].should_read_server_list() {
                    continue;
                }
                self.calls[index] += 1;
                if refused.contains(&index) {
                    self.failing_since[index].get_or_insert(self.now);
                } else {
                    let since = self.failing_since[index].take();
                    if since.is_some_and(|since| self.now - since >= AWAY) {
                        self.grace_until[index] = self.now + LAPSE_GRACE;
                    }
                    let grace = self.grace_until[index].saturating_sub(self.now);
                    self.reads[index] += 1;
                    self.revision += 1;
                    let list = ServerListUpdate {
                        era: 0,
                        base_revision: 0,
                        revision: self.revision,
                        servers: servers.to_vec(),
                        removed: Vec::new(),
                        kept: Vec::new(),
                        grace_ms: grace.as_millis() as u32,
                        config_version: 0,
                        config_digest: 0,
                    };
                    self.input(index, Input::ServerList(list));
                }
            }
        }
    }

    /// Returns whether an instance has logged a line about the list that begins with a text.
    fn has_logged(&self, text: &str) -> bool {
        self.logged.iter().any(|line| line.starts_with(text))
    }

    /// Returns the server names that each instance has, with `-` after those of leaving servers.
    fn server_lists(&self) -> Vec<Vec<String>> {
        let names_of = |instance: &Instance| {
            let mark = |server: &Server| if server.leaving { "-" } else { "" };
            instance
                .servers()
                .map(|server| format!("{}{}", server.name, mark(server)))
                .collect()
        };
        self.instances.iter().map(names_of).collect()
    }
}

#[test]
fn one_instance_reads_the_list_and_all_instances_receive_it() {
    let mut fleet = Fleet::new(4);
    let mut servers = vec![server("a"), server("b")];
    fleet.advance(Duration::from_secs(4), &servers, &[]);
    fleet.reads.fill(0);
    fleet.advance(Duration::from_secs(4), &servers, &[]);
    let readers = fleet.reads.iter().filter(|reads| **reads > 0).count();
    assert_eq!(readers, 1, "{:?}", fleet.reads);

    servers[0].leaving = true;
    servers.push(server("c"));
    fleet.advance(Duration::from_secs(1), &servers, &[]);
    assert!(
        fleet
            .server_lists()
            .iter()
            .all(|list| *list == ["a-", "b", "c"]),
        "{:?}",
        fleet.server_lists()
    );
    servers.remove(1);
    fleet.advance(Duration::from_secs(1), &servers, &[]);
    assert!(
        fleet.server_lists().iter().all(|list| *list == ["a-", "c"]),
        "{:?}",
        fleet.server_lists()
    );
}

#[test]
fn changed_software_of_a_server_reaches_all_instances_and_is_logged() {
    let mut fleet = Fleet::new(3);
    let mut servers = vec![server("a"), server("b")];
    servers[0].software = "v1".into();
    fleet.advance(Duration::from_secs(2), &servers, &[]);
    let logged = "Server a of engines (software v1) was added or restarted";
    assert!(fleet.has_logged(logged), "{:?}", fleet.logged);
    let logged = "Server b of engines (software unknown) was added or restarted";
    assert!(fleet.has_logged(logged), "{:?}", fleet.logged);

    servers[0].software = "v2".into();
    fleet.advance(Duration::from_secs(1), &servers, &[]);
    for instance in &fleet.instances {
        let software: Vec<&str> = instance
            .servers()
            .map(|server| server.software.as_str())
            .collect();
        assert_eq!(software, ["v2", ""]);
    }
    let logged = "Server a of engines (software v2) was added or restarted";
    assert!(fleet.has_logged(logged), "{:?}", fleet.logged);
}

#[test]
fn reader_that_the_store_refuses_is_replaced_and_receives_the_list() {
    let mut fleet = Fleet::new(3);
    let mut servers = vec![server("a")];
    fleet.advance(Duration::from_secs(4), &servers, &[]);
    fleet.reads.fill(0);
    fleet.advance(Duration::from_secs(1), &servers, &[]);
    let reader = fleet.reads.iter().position(|reads| *reads > 0);
    let reader = reader.expect("one instance reads the list");
    servers[0].leaving = true;
    fleet.advance(Duration::from_secs(2), &servers, &[reader]);
    assert!(
        fleet.server_lists().iter().all(|list| *list == ["a-"]),
        "{:?}",
        fleet.server_lists()
    );
}

#[test]
fn instance_that_missed_changes_fetches_the_whole_list() {
    let mut fleet = Fleet::new(3);
    let mut servers = vec![server("a"), server("b")];
    fleet.advance(Duration::from_secs(4), &servers, &[]);
    fleet.disconnected = Some(2);
    servers.remove(0);
    servers.push(server("c"));
    // The disconnected instance, which the store refuses too, keeps its last list.
    fleet.advance(Duration::from_secs(1), &servers, &[2]);
    assert_eq!(fleet.server_lists()[2], ["a", "b"]);
    fleet.disconnected = None;
    fleet.advance(Duration::from_secs(3), &servers, &[2]);
    assert_eq!(fleet.server_lists()[2], ["b", "c"]);
}

/// Number of instances of a data centre of the largest deployment.
const LARGE: u64 = 59;
/// Least time in which a leaving server must be known to all instances, over all deployments.
const LEAVING_KNOWN_MAX: Duration = Duration::from_secs(2);

/// Makes the store refuse the instances that are the first to read the list. Returns them.
fn refuse_first_readers(fleet: &mut Fleet, servers: &[Server], count: usize) -> Vec<usize> {
    let mut refused = Vec::new();
    while refused.len() < count {
        fleet.reads.fill(0);
        fleet.advance(Duration::from_secs(5), servers, &refused);
        let reader = fleet.reads.iter().position(|reads| *reads > 0);
        refused.push(reader.expect("an instance reads the list"));
    }
    refused
}

#[test]
fn list_stays_current_while_the_first_readers_are_refused() {
    let mut fleet = Fleet::new(LARGE);
    let mut servers = vec![server("first")];
    fleet.advance(Duration::from_secs(4), &servers, &[]);
    let refused = refuse_first_readers(&mut fleet, &servers, 4);
    fleet.advance(Duration::from_secs(5), &servers, &refused);
    for number in 0..20 {
        // Servers leave at different times between two reads.
        fleet.advance(Duration::from_millis(350), &servers, &refused);
        servers.push(server(&format!("server-{number}")));
        fleet.advance(Duration::from_secs(3), &servers, &refused);
        servers.last_mut().expect("there is one").leaving = true;
        fleet.advance(LEAVING_KNOWN_MAX, &servers, &refused);
        let mark = format!("server-{number}-");
        let lists = fleet.server_lists();
        let known = lists.iter().filter(|list| list.contains(&mark)).count();
        assert_eq!(known, lists.len(), "server {number}");
    }
}

#[test]
fn few_instances_replace_a_reader() {
    let mut fleet = Fleet::new(LARGE);
    let servers = vec![server("a")];
    fleet.advance(Duration::from_secs(4), &servers, &[]);
    let refused = refuse_first_readers(&mut fleet, &servers, 1);
    fleet.calls.fill(0);
    fleet.advance(Duration::from_secs(10), &servers, &refused);
    let callers = fleet.calls.iter().filter(|calls| **calls > 0).count();
    assert!(callers <= 4, "{:?}", fleet.calls);
}

#[test]
fn outage_of_the_store_does_not_make_all_instances_call_it() {
    let mut fleet = Fleet::new(LARGE);
    let servers = vec![server("a")];
    fleet.advance(Duration::from_secs(4), &servers, &[]);
    let everyone: Vec<usize> = (0..fleet.instances.len()).collect();
    fleet.calls.fill(0);
    fleet.advance(Duration::from_secs(8), &servers, &everyone);
    let callers = fleet.calls.iter().filter(|calls| **calls > 0).count();
    assert!(callers <= 15, "{callers} instances");
}

#[test]
fn servers_that_lapsed_in_an_outage_are_kept_until_the_grace_period_ends() {
    let mut fleet = Fleet::new(4);
    let servers = vec![server("back"), server("dead")];
    fleet.advance(Duration::from_secs(4), &servers, &[]);
    fleet.advance(Duration::from_secs(4), &servers, &[0, 1, 2, 3]);
    fleet.advance(Duration::from_secs(1), &[], &[]);
    let lists = fleet.server_lists();
    assert!(
        lists.iter().all(|list| *list == ["back", "dead"]),
        "{lists:?}"
    );
    fleet.advance(Duration::from_millis(500), &servers[..1], &[]);
    // The instances notice within 0.4 s that the store is back.
    fleet.advance(Duration::from_secs(1), &servers[..1], &[]);
    let lists = fleet.server_lists();
    assert!(lists.iter().all(|list| *list == ["back"]), "{lists:?}");
}

#[test]
fn removed_servers_stay_removed_whichever_instances_the_store_refuses() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut fleet = Fleet::new(5);
        let mut servers: Vec<Server> = (0..8).map(|n| server(&format!("server-{n}"))).collect();
        fleet.advance(Duration::from_secs(4), &servers, &[]);
        for _ in 0..6 {
            let refused: Vec<usize> = (0..5).filter(|_| rng.bool()).take(4).collect();
            let time = Duration::from_millis(rng.u64(2_000..14_000));
            fleet.advance(time / 2, &servers, &refused);
            let removed = servers.swap_remove(rng.usize(..servers.len()));
            fleet.advance(time / 2, &servers, &refused);
            fleet.advance(LEAVING_KNOWN_MAX, &servers, &refused);
            for _ in 0..50 {
                let lists = fleet.server_lists();
                let is_listed =
                    |list: &Vec<String>| list.iter().any(|name| *name == removed.name.as_str());
                assert!(!lists.iter().any(is_listed), "seed {seed}: {lists:?}");
                fleet.advance(STEP, &servers, &[]);
            }
        }
    }
}
