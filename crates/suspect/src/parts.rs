//! Detection of parts of prompts that crash the backend servers that begin to write on them.
//!
//! Requests that share such a part are no two alike, so strikes against single requests never add
//! up. Their other parts, their callers and what runs beside them are shared with sound requests
//! and are present at the same crashes. What tells the part apart is that no run with it gets past
//! its opening: a part is barred when several servers have crashed under runs of several requests
//! in their opening, and no run with the part has got past its own since. A crash counts against one
//! barred part only, the one with the most crashes.
//!
//! Evidence is exchanged between instances as [`PartFinding`]s, from which each computes the
//! verdicts. A bar ends after a time, or when another part turns out to explain the crashes. One
//! request is then run on trial: a crash bars the part again, for longer as they add up, and an
//! answer clears it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use clock::Time;
use wire::Fingerprint;
use wire::PartId;
use wire::gossip::Evidence;
use wire::gossip::PART_FINDINGS_MAX;
use wire::gossip::PartFinding;

/// Output in tokens up to which a run is in its opening. A part that crashes servers does so when
/// they begin to write.
pub const OPENING_TOKENS: u32 = 32;
/// Number of crashes, apart in time, that bar a part.
const CRASHES_MIN: usize = 3;
/// Number of distinct requests that the crashes must have happened under. A single request that
/// crashes its servers is barred by itself.
const REQUESTS_MIN: usize = 2;
/// Crashes within this time count as one. The failure of a rack or a link ends many runs at once.
const EPISODE_TIME: Duration = Duration::from_millis(100);
/// Duration of a bar after the last of [`CRASHES_MIN`] crashes.
const BAR_TIME: Duration = Duration::from_secs(30);
/// Number of further crashes, on trial or before the bar was known everywhere, that double its
/// duration.
const CRASHES_PER_DOUBLING: usize = 2;
/// Longest duration of a bar.
const BAR_TIME_MAX: Duration = Duration::from_secs(3_600);
/// Time for which evidence is kept after the last crash and after the end of a bar.
const RETENTION: Duration = Duration::from_secs(600);
/// Time for which it is remembered that a part without crashes is sound. A crash may be reported
/// late.
const SOUND_RETENTION: Duration = Duration::from_secs(30);
/// Maximum number of parts that a table keeps.
const PARTS_MAX: usize = 8_192;
/// Maximum number of crashes that are kept of one part.
const CRASHES_MAX: usize = 64;
/// Number of times that an instance gossips each finding of a part that is not barred.
const GOSSIP_REPEATS: u32 = 8;

/// Whether requests with a part may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The part is not known to crash servers.
    Clear,
    /// No request with the part may run until the given time.
    Barred {
        /// When the bar ends.
        until: Time,
    },
    /// The bar has ended. One request may run, and its end decides.
    OnTrial,
}

/// A change of a part's verdict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// The part.
    pub part: PartId,
    /// When its new bar ends, or `None` if the part is cleared. A time that has passed puts the part on
    /// trial.
    pub barred_until: Option<Time>,
    /// Number of crashes that were counted against the part.
    pub crashes: usize,
}

/// What one instance knows of the parts of prompts.
#[derive(Debug, Default)]
pub struct Table {
    parts: BTreeMap<PartId, Record>,
    /// When the newest bar of each part ends that was barred and is not cleared.
    verdicts: BTreeMap<PartId, Time>,
    /// The changes of the verdicts since the last call of [`Table::take_changes`].
    changes: Vec<Change>,
}

/// The evidence about one part.
#[derive(Clone, Debug, Default)]
struct Record {
    /// The crashed servers, by the hash of server and boot, under runs in their opening.
    crashes: BTreeMap<u64, Crash>,
    /// When a run with the part last got past its opening.
    sound_at: Option<Time>,
    /// Whether the part was barred since the last sound run.
    was_barred: bool,
    /// Number of times that the record is still gossiped although the part is not barred.
    gossip_remaining: u32,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    server: u64,
    at: Time,
    request: Fingerprint,
}

/// The case against a part: the crashes after its last sound run, oldest first.
struct Case {
    part: PartId,
    crashes: Vec<Crash>,
    /// Whether a run with the part has got past its opening before the crashes.
    was_sound: bool,
    /// Whether the part was barred since, so that one more crash suffices.
    was_barred: bool,
}

impl Case {
    /// Returns the number of crashes that count against the part, and when its newest bar ends.
    /// Returns `None` if they do not suffice. `explained` are the servers whose crashes are put down
    /// to other parts.
    fn verdict(&self, explained: &BTreeSet<u64>) -> Option<(usize, Time)> {
        let counted = || {
            self.crashes
                .iter()
                .filter(|crash| !explained.contains(&crash.server))
        };
        let requests: BTreeSet<Fingerprint> = counted().map(|crash| crash.request).collect();
        if requests.len() < REQUESTS_MIN && !self.was_barred {
            return None;
        }
        let mut episodes: Vec<Time> = counted().map(|crash| crash.at).collect();
        episodes.dedup_by(|later, earlier| *later - *earlier < EPISODE_TIME);
        let crashes_min = if self.was_barred { 1 } else { CRASHES_MIN };
        let last = episodes.last().filter(|_| episodes.len() >= crashes_min)?;
        let doublings = episodes.len().saturating_sub(CRASHES_MIN) / CRASHES_PER_DOUBLING;
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let bar = BAR_TIME.saturating_mul(2u32.saturating_pow(doublings));
        let until = *last + bar.min(BAR_TIME_MAX);
        Some((counted().count(), until))
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

    /// Returns when the record may be forgotten.
    fn expires_at(&self, barred_until: Option<Time>) -> Time {
        let last_crash = self.crashes.values().map(|crash| crash.at).max();
        let of_evidence = last_crash.max(barred_until).map(|at| at + RETENTION);
        let of_soundness = self.sound_at.map(|at| at + SOUND_RETENTION);
        of_evidence.max(of_soundness).unwrap_or_default()
    }
}

impl Table {
    /// Returns an empty table.
    pub fn new() -> Table {
        Table::default()
    }

    /// Adds a finding of this or another instance. Returns whether it was news: a crash that was not
    /// known, or a sound run that refutes crashes.
    pub fn merge(&mut self, now: Time, finding: &PartFinding) -> bool {
        let at = now.saturating_sub(Duration::from_millis(u64::from(finding.age_ms)));
        let is_news = match finding.evidence {
            Evidence::Crash { server, request } => {
                let crash = Crash {
                    server,
                    at,
                    request,
                };
                self.add_crash(now, finding.part, crash)
            }
            Evidence::Sound => self.add_sound_run(now, finding.part, at),
        };
        if is_news {
            self.judge(now);
        }
        is_news
    }

    /// Returns whether requests with a part may run.
    pub fn status(&self, now: Time, part: PartId) -> Status {
        match self.verdicts.get(&part) {
            None => Status::Clear,
            Some(until) if now < *until => Status::Barred { until: *until },
            Some(_) => Status::OnTrial,
        }
    }

    /// Returns whether one more crash would bar a part that was not sound lately.
    pub fn is_accused(&self, part: PartId) -> bool {
        self.parts.get(&part).is_some_and(|record| {
            record.sound_at.is_none() && record.crashes.len() >= CRASHES_MIN - 1
        })
    }

    /// Returns the changes of verdicts since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Returns findings to gossip, at most [`PART_FINDINGS_MAX`], those of the parts that were
    /// gossiped least first. Those of barred parts are always among the candidates, for instances
    /// that were cut off or have just started.
    pub fn take_gossip(&mut self, now: Time) -> Vec<PartFinding> {
        let mut candidates: Vec<(u32, PartId)> = self
            .parts
            .iter()
            .filter(|(part, record)| {
                let is_barred = self.verdicts.contains_key(*part);
                is_barred || (record.gossip_remaining > 0 && !record.crashes.is_empty())
            })
            .map(|(part, record)| (record.gossip_remaining, *part))
            .collect();
        candidates.sort_unstable_by_key(|(remaining, _)| std::cmp::Reverse(*remaining));
        let mut findings = Vec::new();
        for (_, part) in candidates {
            let Some(record) = self.parts.get_mut(&part) else {
                continue;
            };
            let of_part = findings_of(now, part, record);
            if findings.len() + of_part.len() > PART_FINDINGS_MAX {
                break;
            }
            // Barred parts take turns once all have been gossiped.
            record.gossip_remaining = match record.gossip_remaining {
                0 => GOSSIP_REPEATS,
                remaining => remaining - 1,
            };
            findings.extend(of_part);
        }
        findings
    }

    fn add_crash(&mut self, now: Time, part: PartId, crash: Crash) -> bool {
        let record = self.record(now, part);
        if record.crashes.contains_key(&crash.server) {
            return false;
        }
        if record.crashes.len() >= CRASHES_MAX {
            let oldest = record.crashes.values().min_by_key(|crash| crash.at);
            if let Some(oldest) = oldest.map(|crash| crash.server) {
                record.crashes.remove(&oldest);
            }
        }
        record.crashes.insert(crash.server, crash);
        record.gossip_remaining = GOSSIP_REPEATS;
        true
    }

    fn add_sound_run(&mut self, now: Time, part: PartId, at: Time) -> bool {
        let record = self.record(now, part);
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

    /// Computes the verdicts from the evidence. The part with the most crashes is barred first, of those
    /// that were not sound lately if there are any, and these crashes count no more against the parts
    /// that were present, until the crashes that are left bar no further part.
    fn judge(&mut self, now: Time) {
        let mut cases: Vec<Case> = self
            .parts
            .iter()
            .filter(|(_, record)| !record.crashes.is_empty())
            .map(|(part, record)| Case {
                part: *part,
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
                    let (count, until) = case.verdict(&explained)?;
                    Some((!case.was_sound, count, case.part, index, until))
                })
                .max();
            let Some((_, count, part, index, until)) = strongest else {
                break;
            };
            let case = cases.swap_remove(index);
            explained.extend(case.crashes.iter().map(|crash| crash.server));
            verdicts.insert(part, until);
            counts.insert(part, count);
            if let Some(record) = self.parts.get_mut(&part) {
                record.was_barred = true;
            }
        }
        for case in cases.iter().filter(|case| case.was_barred) {
            let until = self.verdicts.get(&case.part).copied();
            verdicts.insert(case.part, until.unwrap_or(now).min(now));
            counts.insert(case.part, case.crashes.len());
        }
        for (part, until) in &verdicts {
            if self.verdicts.get(part) != Some(until) {
                self.changes.push(Change {
                    part: *part,
                    barred_until: Some(*until),
                    crashes: counts.get(part).copied().unwrap_or(0),
                });
            }
        }
        for part in self.verdicts.keys() {
            if !verdicts.contains_key(part) {
                let record = self.parts.get(part);
                self.changes.push(Change {
                    part: *part,
                    barred_until: None,
                    crashes: record.map_or(0, |record| record.crashes.len()),
                });
            }
        }
        self.verdicts = verdicts;
    }

    /// Removes the eighth of the records that expires first, so that a full table is searched rarely.
    fn evict(&mut self) {
        let mut expiries: Vec<(Time, PartId)> = self
            .parts
            .iter()
            .map(|(part, record)| (record.expires_at(self.verdicts.get(part).copied()), *part))
            .collect();
        expiries.sort_unstable();
        for (_, part) in expiries.into_iter().take(PARTS_MAX / 8) {
            self.parts.remove(&part);
        }
    }

    /// Returns the record of a part, which is new if there is none.
    fn record(&mut self, now: Time, part: PartId) -> &mut Record {
        if self.parts.len() >= PARTS_MAX && !self.parts.contains_key(&part) {
            self.evict();
        }
        let barred_until = self.verdicts.get(&part).copied();
        let record = self.parts.entry(part).or_default();
        if now >= record.expires_at(barred_until) {
            *record = Record::default();
        }
        record
    }
}

/// Returns the findings that support the verdict on a part: the last crashes that are not refuted, or
/// else the sound run that refutes them. A sound run before the crashes is not passed on. Its age
/// grows less than the time on the way, so it would come to seem later than the crashes.
fn findings_of(now: Time, part: PartId, record: &Record) -> Vec<PartFinding> {
    let finding = |at: Time, evidence: Evidence| {
        let age = now.saturating_sub(at).as_millis();
        PartFinding {
            part,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
            evidence,
        }
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
    let last = crashes.iter().rev().take(PART_FINDINGS_MAX / 2);
    last.map(crash_finding).collect()
}
