//! Judgement of what may crash backend servers: requests, and parts of prompts.
//!
//! When a server crashes, everything that was running on it was present, and most of it is innocent.
//! What tells a cause apart is that no run with it gets past its opening. A subject is barred when
//! servers crashed under its runs often enough, and no run with it has got past its opening since. A
//! crash counts against one barred subject only: one that is a single request first, then the one
//! with the most crashes.
//!
//! Evidence is exchanged between instances as [`Finding`]s, from which each computes the verdicts. A
//! bar ends after a time, or when another subject turns out to explain the crashes. One request is
//! then run on trial: a crash bars the subject again, for longer as they add up, and an answer clears
//! it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use clock::Time;
use wire::Fingerprint;
use wire::gossip::Evidence;
use wire::gossip::PART_FINDINGS_MAX;
use wire::gossip::PartFinding;
use wire::gossip::RequestFinding;

/// Output in tokens up to which a run is in its opening. What crashes servers does so when they begin
/// to run it.
pub const OPENING_TOKENS: u32 = 32;
/// Number of distinct requests that the crashes must have happened under, unless the subject is a
/// request itself.
const REQUESTS_MIN: usize = 2;
/// Crashes within this time count as one episode. The failure of a rack or a link ends many runs at
/// once.
const EPISODE_TIME: Duration = Duration::from_millis(100);
/// Longest duration of a bar.
const BAR_TIME_MAX: Duration = Duration::from_secs(3_600);
/// Time for which evidence is kept after the last crash and after the end of a bar.
const RETENTION: Duration = Duration::from_secs(600);
/// Time for which it is remembered that a subject without crashes is sound. A crash may be reported
/// late.
const SOUND_RETENTION: Duration = Duration::from_secs(30);
/// Offset of the times in a table. Evidence may be older than the process, whose clock begins at zero.
const ORIGIN: Duration = BAR_TIME_MAX.saturating_add(RETENTION);
/// Maximum number of subjects that a table keeps.
const SUBJECTS_MAX: usize = 8_192;
/// Maximum number of crashes that are kept of one subject.
const CRASHES_MAX: usize = 64;
/// Maximum number of findings that [`Table::recurrent_findings`] returns.
pub(crate) const RECURRENT_FINDINGS_MAX: usize = 512;
/// Number of times that an instance gossips each finding of a subject that is not barred.
const GOSSIP_REPEATS: u32 = 8;

/// What may crash servers: the fingerprint of a request, or a part of prompts.
pub type Subject = u64;

/// When a subject is barred, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Number of servers that must have crashed under a subject that is one request.
    pub servers_min: usize,
    /// The same for a subject that several requests share. The crashes of one of them are known under
    /// others first, since all that ran on a server are reported at once.
    pub servers_min_shared: usize,
    /// Number of episodes, apart in time, in which they must have crashed.
    pub episodes_min: usize,
    /// Duration of the first bar.
    pub bar_time: Duration,
    /// Factor by which a bar is lengthened.
    pub bar_growth: u32,
    /// Returns how many times a bar is lengthened.
    pub lengthenings: fn(Further) -> usize,
    /// Whether it is remembered that subjects without crashes are sound.
    pub remembers_sound: bool,
}

/// Episodes after those that first barred a subject.
#[derive(Clone, Copy, Debug, Default)]
pub struct Further {
    /// All of them. Some are of runs that began before the bar was known everywhere.
    pub episodes: usize,
    /// Those after the end of a bar.
    pub trials: usize,
}

/// The rule for requests. A request that runs at several instances at the same time crashes their
/// servers in one episode.
pub const REQUESTS: Rule = Rule {
    servers_min: 3,
    servers_min_shared: 4,
    episodes_min: 2,
    bar_time: Duration::from_secs(10),
    bar_growth: 12,
    lengthenings: |further| further.trials,
    remembers_sound: false,
};

/// The rule for parts of prompts.
pub const PARTS: Rule = Rule {
    servers_min: 3,
    servers_min_shared: 3,
    episodes_min: 3,
    bar_time: Duration::from_secs(30),
    bar_growth: 2,
    lengthenings: |further| further.episodes / 2,
    remembers_sound: true,
};

/// What an instance has found about a subject.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Finding {
    /// The subject.
    pub subject: Subject,
    /// Time since then.
    pub age: Duration,
    /// Time by which the age may be too short.
    pub precision: Duration,
    /// What was found.
    pub evidence: Evidence,
}

impl Finding {
    /// Returns a finding that was made just now.
    pub fn new(subject: Subject, evidence: Evidence) -> Finding {
        Finding {
            subject,
            age: Duration::ZERO,
            precision: Duration::ZERO,
            evidence,
        }
    }

    fn age_ms(&self) -> u32 {
        u32::try_from(self.age.as_millis()).unwrap_or(u32::MAX)
    }
}

impl From<&PartFinding> for Finding {
    fn from(finding: &PartFinding) -> Finding {
        Finding {
            age: Duration::from_millis(u64::from(finding.age_ms)),
            ..Finding::new(finding.part, finding.evidence)
        }
    }
}

impl From<&Finding> for PartFinding {
    fn from(finding: &Finding) -> PartFinding {
        PartFinding {
            part: finding.subject,
            age_ms: finding.age_ms(),
            evidence: finding.evidence,
        }
    }
}

impl From<&RequestFinding> for Finding {
    fn from(finding: &RequestFinding) -> Finding {
        Finding {
            age: Duration::from_millis(u64::from(finding.age_ms)),
            ..Finding::new(finding.request, finding.evidence)
        }
    }
}

impl From<&Finding> for RequestFinding {
    fn from(finding: &Finding) -> RequestFinding {
        RequestFinding {
            request: finding.subject,
            age_ms: finding.age_ms(),
            evidence: finding.evidence,
        }
    }
}

/// Whether requests with a subject may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The subject is not known to crash servers.
    Clear,
    /// No request with the subject may run until the given time.
    Barred {
        /// When the bar ends.
        until: Time,
    },
    /// The bar has ended. One request may run, and its end decides.
    OnTrial,
}

/// A change of a subject's verdict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The subject.
    pub subject: Subject,
    /// When its new bar ends, or `None` if the subject is cleared. A time that has passed puts the
    /// subject on trial.
    pub barred_until: Option<Time>,
    /// Number of crashes that were counted against the subject.
    pub crashes: usize,
}

/// What one instance knows of the subjects of one kind.
#[derive(Debug)]
pub struct Table {
    rule: Rule,
    /// The evidence. Its times, like those of the verdicts, are later than the caller's by
    /// [`ORIGIN`].
    subjects: BTreeMap<Subject, Record>,
    /// When the newest bar of each subject ends that was barred and is not cleared.
    verdicts: BTreeMap<Subject, Time>,
    /// The changes of the verdicts since the last call of [`Table::take_changes`].
    changes: Vec<Change>,
}

/// The evidence about one subject.
#[derive(Clone, Debug, Default)]
struct Record {
    /// The crashed servers, by the hash of server and boot, under runs in their opening.
    crashes: BTreeMap<u64, Crash>,
    /// When a run with the subject last got past its opening.
    sound_at: Option<Time>,
    /// Whether the subject was barred since the last sound run.
    was_barred: bool,
    /// Whether servers have crashed under the subject in several episodes without a sound run between
    /// them.
    is_recurrent: bool,
    /// Number of times that the record is still gossiped although the subject is not barred.
    gossip_remaining: u32,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    server: u64,
    at: Time,
    /// Time by which the crash may have happened earlier.
    precision: Duration,
    request: Fingerprint,
}

/// The case against a subject: the crashes after its last sound run, oldest first.
struct Case {
    subject: Subject,
    crashes: Vec<Crash>,
    /// Whether a run with the subject has got past its opening before the crashes.
    was_sound: bool,
    /// Whether the subject was barred since, so that one more crash suffices.
    was_barred: bool,
}

impl Case {
    /// Returns whether the subject is the one request that the crashes happened under.
    fn is_one_request(&self) -> bool {
        let is_subject = |crash: &Crash| crash.request == self.subject;
        self.crashes.iter().all(is_subject)
    }

    /// Returns the number of crashes that count against the subject, and when its newest bar ends.
    /// Returns `None` if they do not suffice. `explained` are the servers whose crashes are put down
    /// to other subjects.
    fn verdict(&self, rule: &Rule, explained: &BTreeSet<u64>) -> Option<(usize, Time)> {
        let counted: Vec<&Crash> = self
            .crashes
            .iter()
            .filter(|crash| !explained.contains(&crash.server))
            .collect();
        let requests: BTreeSet<Fingerprint> = counted.iter().map(|crash| crash.request).collect();
        let is_one_request = self.is_one_request();
        if requests.len() < REQUESTS_MIN && !self.was_barred && !is_one_request {
            return None;
        }
        let (servers_min, episodes_min) = match self.was_barred {
            true => (1, 1),
            false if is_one_request => (rule.servers_min, rule.episodes_min),
            false => (rule.servers_min_shared, rule.episodes_min),
        };
        let mut episode_at = None;
        let mut episodes = 0;
        let mut further = Further::default();
        let mut until: Option<Time> = None;
        for (number, crash) in (1..).zip(&counted) {
            let is_new =
                episode_at.is_none_or(|at| crash.at - at >= EPISODE_TIME + crash.precision);
            if is_new {
                episode_at = Some(crash.at);
                episodes += 1;
            }
            let suffices = number >= servers_min && episodes >= episodes_min;
            if !suffices || (until.is_some() && !is_new) {
                continue;
            }
            further.episodes = episodes.saturating_sub(rule.episodes_min);
            further.trials += usize::from(until.is_some_and(|until| crash.at >= until));
            let lengthenings = u32::try_from((rule.lengthenings)(further)).unwrap_or(u32::MAX);
            let growth = rule.bar_growth.saturating_pow(lengthenings);
            let bar = rule.bar_time.saturating_mul(growth).min(BAR_TIME_MAX);
            until = Some(crash.at + bar);
        }
        until.map(|until| (counted.len(), until))
    }
}

impl Record {
    /// Returns the crashes after the last sound run, oldest first.
    fn unrefuted(&self) -> Vec<Crash> {
        let mut crashes: Vec<Crash> = self
            .crashes
            .values()
            .filter(|crash| self.sound_at.is_none_or(|sound_at| crash.at > sound_at))
            .copied()
            .collect();
        crashes.sort_by_key(|crash| crash.at);
        crashes
    }

    /// Returns whether the crashes that are not refuted happened in several episodes.
    fn has_several_episodes(&self) -> bool {
        let crashes = self.unrefuted();
        let (Some(first), Some(last)) = (crashes.first(), crashes.last()) else {
            return false;
        };
        last.at - first.at >= EPISODE_TIME + last.precision
    }

    /// Returns whether there are enough crashes to bar the subject.
    fn may_be_barred(&self, rule: &Rule) -> bool {
        self.was_barred || self.crashes.len() >= rule.servers_min
    }

    /// Returns when the record may be forgotten.
    fn expires_at(&self, barred_until: Option<Time>) -> Time {
        let last_crash = self.crashes.values().map(|crash| crash.at).max();
        let of_evidence = last_crash.max(barred_until).map(|at| at + RETENTION);
        let of_soundness = self.sound_at.map(|at| at + SOUND_RETENTION);
        of_evidence.max(of_soundness).unwrap_or_default()
    }
}

impl Table {
    /// Returns an empty table with a rule for its verdicts.
    pub fn new(rule: Rule) -> Table {
        Table {
            rule,
            subjects: BTreeMap::new(),
            verdicts: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Adds a finding of this or another instance. Returns whether it was news: a crash that was not
    /// known, or a sound run that refutes crashes.
    pub fn merge(&mut self, now: Time, finding: &Finding) -> bool {
        let now = now + ORIGIN;
        let at = now.saturating_sub(finding.age);
        let is_news = match finding.evidence {
            Evidence::Crash { server, request } => {
                let crash = Crash {
                    server,
                    at,
                    precision: finding.precision,
                    request,
                };
                self.add_crash(now, finding.subject, crash)
            }
            Evidence::Sound => self.add_sound_run(now, finding.subject, at),
        };
        if is_news && (!self.verdicts.is_empty() || self.may_be_barred(finding.subject)) {
            self.judge(now);
        }
        is_news
    }

    /// Returns whether enough servers have crashed under runs with a subject to bar it.
    fn may_be_barred(&self, subject: Subject) -> bool {
        let record = self.subjects.get(&subject);
        record.is_some_and(|record| record.may_be_barred(&self.rule))
    }

    /// Returns whether requests with a subject may run.
    pub fn status(&self, now: Time, subject: Subject) -> Status {
        match self.verdicts.get(&subject) {
            None => Status::Clear,
            Some(until) if now + ORIGIN < *until => Status::Barred {
                until: until.saturating_sub(ORIGIN),
            },
            Some(_) => Status::OnTrial,
        }
    }

    /// Returns whether one more crash would bar a subject that was not sound lately.
    pub fn is_accused(&self, subject: Subject) -> bool {
        self.subjects.get(&subject).is_some_and(|record| {
            record.sound_at.is_none() && record.crashes.len() + 1 >= self.rule.servers_min
        })
    }

    /// Returns the servers that crashed under runs with a subject since its last sound run, by their
    /// hashes, with the time since then.
    pub fn crashes(&self, now: Time, subject: Subject) -> Vec<(u64, Duration)> {
        let now = now + ORIGIN;
        let until = self.verdicts.get(&subject).copied();
        let record = self.subjects.get(&subject);
        let record = record.filter(|record| now < record.expires_at(until));
        let crashes = record.map(Record::unrefuted).unwrap_or_default();
        let age = |crash: Crash| (crash.server, now.saturating_sub(crash.at));
        crashes.into_iter().map(age).collect()
    }

    /// Returns whether a run with a subject is known to have got past its opening.
    pub fn was_sound(&self, subject: Subject) -> bool {
        let record = self.subjects.get(&subject);
        record.is_some_and(|record| record.sound_at.is_some())
    }

    /// Returns whether servers have crashed under a subject in several episodes, without a sound run
    /// between them. Few subjects are, whereas each one that runs on a server is present when it
    /// crashes.
    pub fn is_recurrent(&self, subject: Subject) -> bool {
        let record = self.subjects.get(&subject);
        record.is_some_and(|record| record.is_recurrent)
    }

    /// Returns the findings about recurrent subjects, in a bounded number: those about barred subjects
    /// first, then those about the subjects with the most crashes. They suffice for the same verdicts in
    /// another table.
    pub fn recurrent_findings(&self, now: Time) -> Vec<Finding> {
        let now = now + ORIGIN;
        let mut subjects: Vec<(bool, usize, Subject)> = self
            .subjects
            .iter()
            .filter(|(subject, record)| {
                let until = self.verdicts.get(subject).copied();
                record.is_recurrent && now < record.expires_at(until)
            })
            .map(|(subject, record)| {
                let is_barred = self.verdicts.contains_key(subject);
                (is_barred, record.unrefuted().len(), *subject)
            })
            .collect();
        subjects.sort_unstable_by_key(|order| std::cmp::Reverse(*order));
        let mut findings = Vec::new();
        for (_, _, subject) in subjects {
            let of_subject = findings_of(now, subject, &self.subjects[&subject]);
            if findings.len() + of_subject.len() > RECURRENT_FINDINGS_MAX {
                break;
            }
            findings.extend(of_subject);
        }
        findings
    }

    /// Returns the rule of the verdicts.
    pub fn rule(&self) -> &Rule {
        &self.rule
    }

    /// Returns the changes of verdicts since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        let mut changes = std::mem::take(&mut self.changes);
        for change in &mut changes {
            change.barred_until = change.barred_until.map(|at| at.saturating_sub(ORIGIN));
        }
        changes
    }

    /// Returns findings to gossip, at most [`PART_FINDINGS_MAX`], those of the subjects that were
    /// gossiped least first. Those of barred subjects are always among the candidates, for instances
    /// that were cut off or have just started.
    pub fn take_gossip(&mut self, now: Time) -> Vec<Finding> {
        let now = now + ORIGIN;
        let mut candidates: Vec<(u32, Subject)> = self
            .subjects
            .iter()
            .filter(|(subject, record)| {
                let is_barred = self.verdicts.contains_key(*subject);
                is_barred || (record.gossip_remaining > 0 && !record.crashes.is_empty())
            })
            .map(|(subject, record)| (record.gossip_remaining, *subject))
            .collect();
        candidates.sort_unstable_by_key(|(remaining, _)| std::cmp::Reverse(*remaining));
        let mut findings = Vec::new();
        for (_, subject) in candidates {
            let Some(record) = self.subjects.get_mut(&subject) else {
                continue;
            };
            let of_subject = findings_of(now, subject, record);
            if findings.len() + of_subject.len() > PART_FINDINGS_MAX {
                break;
            }
            // Barred subjects take turns once all have been gossiped.
            record.gossip_remaining = match record.gossip_remaining {
                0 => GOSSIP_REPEATS,
                remaining => remaining - 1,
            };
            findings.extend(of_subject);
        }
        findings
    }

    fn add_crash(&mut self, now: Time, subject: Subject, crash: Crash) -> bool {
        let record = self.record(now, subject);
        let known = record.crashes.get(&crash.server);
        if known.is_some_and(|known| known.precision <= crash.precision) {
            return false;
        }
        if record.crashes.len() >= CRASHES_MAX {
            let oldest = record.crashes.values().min_by_key(|crash| crash.at);
            if let Some(oldest) = oldest.map(|crash| crash.server) {
                record.crashes.remove(&oldest);
            }
        }
        record.crashes.insert(crash.server, crash);
        record.is_recurrent |= record.has_several_episodes();
        record.gossip_remaining = GOSSIP_REPEATS;
        true
    }

    fn add_sound_run(&mut self, now: Time, subject: Subject, at: Time) -> bool {
        if !self.rule.remembers_sound && !self.subjects.contains_key(&subject) {
            return false;
        }
        let record = self.record(now, subject);
        let counted = record.unrefuted().len();
        record.sound_at = record.sound_at.max(Some(at));
        let unrefuted = record.unrefuted().len();
        let refutes = unrefuted < counted;
        record.was_barred &= unrefuted > 0;
        if refutes {
            record.gossip_remaining = GOSSIP_REPEATS;
        }
        refutes
    }

    /// Computes the verdicts from the evidence. Single requests are barred first, then the subject with
    /// the most crashes, of those that were not sound lately if there are any. These crashes count no
    /// more against the subjects that were present, until those that are left bar no further subject.
    fn judge(&mut self, now: Time) {
        let mut cases: Vec<Case> = self
            .subjects
            .iter()
            .filter(|(_, record)| record.may_be_barred(&self.rule))
            .map(|(subject, record)| Case {
                subject: *subject,
                crashes: record.unrefuted(),
                was_sound: record.sound_at.is_some(),
                was_barred: record.was_barred,
            })
            .filter(|case| !case.crashes.is_empty())
            .collect();
        let mut verdicts = BTreeMap::new();
        let mut counts = BTreeMap::new();
        let mut explained = BTreeSet::new();
        loop {
            let strongest = cases
                .iter()
                .enumerate()
                .filter_map(|(index, case)| {
                    let (count, until) = case.verdict(&self.rule, &explained)?;
                    let strength = (case.is_one_request(), !case.was_sound, count);
                    Some((strength, case.subject, index, until))
                })
                .max();
            let Some(((_, _, count), subject, index, until)) = strongest else {
                break;
            };
            let case = cases.swap_remove(index);
            explained.extend(case.crashes.iter().map(|crash| crash.server));
            verdicts.insert(subject, until);
            counts.insert(subject, count);
            if let Some(record) = self.subjects.get_mut(&subject) {
                record.was_barred = true;
            }
        }
        for case in cases.iter().filter(|case| case.was_barred) {
            let until = self.verdicts.get(&case.subject).copied();
            verdicts.insert(case.subject, until.unwrap_or(now).min(now));
            counts.insert(case.subject, case.crashes.len());
        }
        for (subject, until) in &verdicts {
            if self.verdicts.get(subject) != Some(until) {
                self.changes.push(Change {
                    subject: *subject,
                    barred_until: Some(*until),
                    crashes: counts.get(subject).copied().unwrap_or(0),
                });
            }
        }
        for subject in self.verdicts.keys() {
            if !verdicts.contains_key(subject) {
                let record = self.subjects.get(subject);
                self.changes.push(Change {
                    subject: *subject,
                    barred_until: None,
                    crashes: record.map_or(0, |record| record.crashes.len()),
                });
            }
        }
        self.verdicts = verdicts;
    }

    /// Removes an eighth of the records, so that a full table is searched rarely: those with the
    /// fewest crashes that are not refuted, and of these the ones that expire first.
    fn evict(&mut self) {
        let mut order: Vec<(bool, usize, Time, Subject)> = self
            .subjects
            .iter()
            .map(|(subject, record)| {
                let until = self.verdicts.get(subject).copied();
                let crashes = record.unrefuted().len();
                (until.is_some(), crashes, record.expires_at(until), *subject)
            })
            .collect();
        order.sort_unstable();
        for (_, _, _, subject) in order.into_iter().take(SUBJECTS_MAX / 8) {
            self.subjects.remove(&subject);
        }
    }

    /// Returns the record of a subject, which is new if there is none.
    fn record(&mut self, now: Time, subject: Subject) -> &mut Record {
        if self.subjects.len() >= SUBJECTS_MAX && !self.subjects.contains_key(&subject) {
            self.evict();
        }
        let barred_until = self.verdicts.get(&subject).copied();
        let record = self.subjects.entry(subject).or_default();
        if now >= record.expires_at(barred_until) {
            if barred_until.is_some() {
                // Nothing is left that a sound run could refute.
                self.verdicts.remove(&subject);
                self.changes.push(Change {
                    subject,
                    barred_until: None,
                    crashes: record.crashes.len(),
                });
            }
            *record = Record::default();
        }
        record
    }
}

/// Returns the findings that support the verdict on a subject: the last crashes that are not refuted, or
/// else the sound run that refutes them. Crashes whose time is vague are left out, since a finding does
/// not say so. A sound run before the crashes is not passed on. Its age
/// grows less than the time on the way, so it would come to seem later than the crashes.
fn findings_of(now: Time, subject: Subject, record: &Record) -> Vec<Finding> {
    let finding = |at: Time, evidence: Evidence| Finding {
        age: now.saturating_sub(at),
        ..Finding::new(subject, evidence)
    };
    let crashes = record.unrefuted();
    if crashes.is_empty() {
        let sound = record.sound_at.map(|at| finding(at, Evidence::Sound));
        return sound.into_iter().collect();
    }
    let crash_finding = |crash: &Crash| {
        let evidence = Evidence::Crash {
            server: crash.server,
            request: crash.request,
        };
        finding(crash.at, evidence)
    };
    let exact = crashes.iter().filter(|crash| crash.precision.is_zero());
    let last = exact.rev().take(PART_FINDINGS_MAX / 2);
    last.map(crash_finding).collect()
}
