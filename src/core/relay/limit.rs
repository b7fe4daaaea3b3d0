//! Rate limits that backend servers name in their answers: requests per second from all hosts together.
//!
//! Hosts do not coordinate before they send. Rendezvous hashing of the host names assigns each limited server to a few
//! hosts, each of which gets an equal share of the rate; all others send it nothing. With a share for every host, all
//! of them could send one request at the same moment.

use std::time::Duration;

use super::super::key::BackendKey;
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::{LimitReport, NamedLimit};
use super::instance::{Instance, short_hash};
use super::note;

/// Minimum requests per second that are sent to a limited server: without any request, no host would learn that a limit
/// of zero has ended.
const MIN_REQUESTS_PER_SECOND: f64 = 0.1;
/// Time since a limit was last named after which its server is increasingly preferred, until an answer shows whether
/// the limit still holds.
const RECHECK_AFTER: Duration = Duration::from_secs(2);
/// Milliseconds of expected delay that are accepted for that, for each second beyond that time.
const RECHECK_MS_PER_SECOND: f64 = 50.0;
/// Time for which a host's share accumulates as a burst, if that is more than one request.
const BURST_WINDOW: Duration = Duration::from_millis(250);
/// Maximum error of a report's age: reports of different hosts may arrive out of order by this much.
const MAX_REPORT_SKEW: Duration = Duration::from_millis(200);
/// Time for which the end of a limit is reported to other hosts.
const ENDED_REPORT_TIME: Duration = Duration::from_secs(3);
/// Maximum number of limits in one datagram; the most recently changed are sent.
const MAX_REPORTS: usize = 32;

/// The limit of one backend server, and this host's share of it.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Limit {
    /// Requests per second from all hosts together.
    rate: Option<f64>,
    /// Time as of which the rate is known.
    known_at: Time,
    /// When this host learned of the last change.
    changed_at: Option<Time>,
    /// Whether the last answer named a limit that cannot be parsed.
    unreadable: bool,
    /// This host's share, in requests per second.
    share: f64,
    /// Requests that this host may send, as of `refilled_at`.
    tokens: f64,
    refilled_at: Time,
}

impl Limit {
    /// Returns the limit of a server that started at a time; older reports refer to the server before its restart.
    #[must_use]
    pub fn since(start: Time) -> Self {
        Self {
            known_at: start,
            ..Self::default()
        }
    }

    /// Returns the requests per second that all hosts together may send; `None` without a limit.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Whether this host may send a request now.
    #[must_use]
    pub fn admits(&self, now: Time) -> bool {
        self.rate.is_none() || self.available(now) >= 1.0
    }

    /// Returns the time until this host may send a request; `None` without a share.
    #[must_use]
    pub fn wait(&self, now: Time) -> Option<Duration> {
        let missing = (1.0 - self.available(now)).max(0.0);
        (self.share > 0.0).then(|| super::from_millis(missing / self.share * 1000.0))
    }

    /// Returns the milliseconds of expected delay that are accepted to learn whether the limit still holds.
    #[must_use]
    pub fn recheck_bonus(&self, now: Time) -> f64 {
        let overdue = now.since(self.known_at).saturating_sub(RECHECK_AFTER);
        self.rate
            .map_or(0.0, |_| overdue.as_secs_f64() * RECHECK_MS_PER_SECOND)
    }

    /// Counts a sent request.
    pub fn spend(&mut self, now: Time) {
        if self.rate.is_some() {
            self.tokens = self.available(now) - 1.0;
            self.refilled_at = now;
        }
    }

    fn available(&self, now: Time) -> f64 {
        let gained = self.share * now.since(self.refilled_at).as_secs_f64();
        let max = (self.share * BURST_WINDOW.as_secs_f64()).max(1.0);
        (self.tokens + gained).min(max)
    }

    /// Sets this host's share from now on.
    fn set_share(&mut self, share: f64, now: Time) {
        self.tokens = self.available(now);
        self.refilled_at = now;
        self.share = share;
    }

    /// Updates the rate as known at a time; returns whether it changed.
    fn update(&mut self, rate: Option<f64>, known: Time, now: Time) -> bool {
        let starting = self.rate.is_none() && rate.is_some();
        // Answers may arrive out of order: one sent before the limit was named does not end it. Without the skew, hosts
        // that return each other's reports would make them ever newer.
        let since = if starting {
            self.known_at
        } else {
            self.known_at.after(MAX_REPORT_SKEW)
        };
        if known <= since {
            return false;
        }
        self.known_at = known;
        if self.rate == rate {
            return false;
        }
        self.rate = rate;
        self.changed_at = Some(now);
        if starting {
            self.tokens = 0.0;
            self.refilled_at = now;
            self.share = 0.0;
        }
        true
    }

    /// Reports the end of a limit again if another host, which knows the server as of an earlier time, still keeps to it.
    fn correct(&mut self, rate: Option<f64>, known: Time, now: Time) {
        let is_outdated = known.after(MAX_REPORT_SKEW) < self.known_at;
        let is_reported = self
            .changed_at
            .is_some_and(|at| now.since(at) < ENDED_REPORT_TIME);
        if rate.is_some() && self.rate.is_none() && is_outdated && !is_reported {
            self.changed_at = Some(now);
        }
    }

    fn report(&self, instance: u32, now: Time) -> Option<LimitReport> {
        let ended = self
            .changed_at
            .is_some_and(|at| now.since(at) < ENDED_REPORT_TIME);
        (self.rate.is_some() || ended).then(|| LimitReport {
            instance,
            rate: self.rate,
            age: now.since(self.known_at),
        })
    }
}

/// Handles the limit that the answer to a request sent at a time names.
pub fn observe(
    core: &mut Core,
    backend: BackendKey,
    sent: Time,
    limit: NamedLimit,
    out: &mut Effects,
) {
    let now = core.now;
    let Some(instance) = core.relay.instances.arena.get_mut(backend) else {
        return;
    };
    let unreadable = limit == NamedLimit::Unreadable;
    if unreadable && !instance.limit.unreadable {
        log_limit(instance, "unreadable".into(), "answer", out);
    }
    instance.limit.unreadable = unreadable;
    let changed = match limit {
        NamedLimit::None => instance.limit.update(None, sent, now),
        NamedLimit::Rate(rate) => instance.limit.update(Some(rate), now, now),
        NamedLimit::Unreadable => false,
    };
    if changed {
        apply_change(core, backend, "answer", out);
    }
}

/// Handles limits reported by another host.
pub fn reported(core: &mut Core, from: &str, reports: &[LimitReport], out: &mut Effects) {
    let now = core.now;
    for report in reports {
        let Some(key) = core.relay.instances.by_short_hash(report.instance) else {
            continue;
        };
        let limit = &mut core.relay.instances.arena[key].limit;
        let known = now.before(report.age);
        if limit.update(report.rate, known, now) {
            apply_change(core, key, from, out);
        } else {
            limit.correct(report.rate, known, now);
        }
    }
}

/// Returns the limits to report to other hosts, the latest changes first.
#[must_use]
pub fn reports(core: &Core) -> Vec<LimitReport> {
    let instances = core.relay.instances.arena.values();
    let mut reports: Vec<(Option<Time>, LimitReport)> = instances
        .filter_map(|instance| {
            let report = instance.limit.report(instance.short_hash, core.now)?;
            Some((instance.limit.changed_at, report))
        })
        .collect();
    reports.sort_by_key(|(changed, _)| std::cmp::Reverse(*changed));
    let reports = reports.into_iter().map(|(_, report)| report);
    reports.take(MAX_REPORTS).collect()
}

/// Whether any limit changed after a time.
#[must_use]
pub fn changed_since(core: &Core, time: Time) -> bool {
    let mut instances = core.relay.instances.arena.values();
    instances.any(|instance| instance.limit.changed_at.is_some_and(|at| at > time))
}

/// Recomputes this host's shares after hosts joined or left.
pub fn update_shares(core: &mut Core) {
    let instances = core.relay.instances.arena.iter();
    let limited = instances.filter(|(_, instance)| instance.limit.rate.is_some());
    let limited: Vec<BackendKey> = limited.map(|(key, _)| key).collect();
    for key in limited {
        update_share(core, key);
    }
}

fn update_share(core: &mut Core, key: BackendKey) {
    let instance = &core.relay.instances.arena[key];
    let share = share(core, instance);
    let now = core.now;
    core.relay.instances.arena[key].limit.set_share(share, now);
}

/// Returns this host's share of a server's rate, in requests per second.
///
/// As many hosts share it as requests per second are allowed. The one request that each of them may have accumulated
/// then adds up to no more than the requests of one second.
fn share(core: &Core, instance: &Instance) -> f64 {
    let Some(rate) = instance.limit.rate else {
        return 0.0;
    };
    let peers = &core.relay.peers;
    let hosts = peers.host_count() as f64;
    let sharing = rate.ceil().clamp(1.0, hosts);
    let own = rank(short_hash(&core.settings.host.name), instance.short_hash);
    let ranks = peers
        .name_hashes()
        .map(|other| rank(other, instance.short_hash));
    let ahead = ranks.filter(|other| *other > own).count();
    if (ahead as f64) < sharing {
        rate.max(MIN_REQUESTS_PER_SECOND) / sharing
    } else {
        0.0
    }
}

/// Returns the rendezvous weight of a host for a server: the hosts with the highest weights share it.
fn rank(host: u32, instance: u32) -> u64 {
    // The finalizer of splitmix64, which distributes similar inputs evenly.
    let mut mixed = u64::from(host) << 32 | u64::from(instance);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn apply_change(core: &mut Core, key: BackendKey, source: &str, out: &mut Effects) {
    update_share(core, key);
    let instance = &core.relay.instances.arena[key];
    let rate = instance
        .limit
        .rate
        .map_or_else(|| "none".into(), |rate| format!("{rate:.2}").into());
    log_limit(instance, rate, source, out);
}

fn log_limit(instance: &Instance, rate: Box<str>, source: &str, out: &mut Effects) {
    let fields = vec![
        ("backend", instance.id.clone()),
        ("rate", rate),
        ("share", format!("{:.2}", instance.limit.share).into()),
        ("source", source.into()),
    ];
    note(out, log::Level::Info, "backend.limit", fields);
}
