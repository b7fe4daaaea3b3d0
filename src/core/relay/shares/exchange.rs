//! Usage of customers in gossip between hosts, while a service is short.
//!
//! It goes the same way as load reports: to all hosts of a small failure domain, to and from aggregators in a large one,
//! and as a sum to the other domains.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::super::event::{CustomerTime, EngineTimeReport, Gossip, GossipKind, RestTime};
use super::super::{gossip, millis};
use super::window::{EngineTime, WINDOW};
use super::{ServiceUsage, begin_shortage, is_enabled, short_hash, shortage};
use crate::core::key::HostKey;
use crate::core::time::Time;
use crate::core::{Core, Effects};

/// Shortest interval between two reports to the same hosts. A report of 64 customers takes about a kilobyte.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Time after which the usage of a host that reports no more is dropped.
const EXPIRY: Duration = WINDOW.saturating_mul(2);
/// Customers in a report by themselves; the others are one sum.
const MAX_CUSTOMERS: usize = 64;
/// Sent reports that are kept until totals include them.
const MAX_SENT: usize = 16;

/// Whose usage a sum contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// This host's.
    Own,
    /// That of this host, and of the hosts of its failure domain that report to it.
    Domain,
    /// All that this host knows.
    All,
}

/// Who receives a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Audience {
    Neighbours,
    Aggregator,
    Reporters,
    Domains,
}

/// Whose usage a received report contains.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The sender's.
    Host,
    /// That of the sender and of the hosts that report to it.
    Reporter,
    /// That of all hosts, but for what this host reported.
    Totals,
    /// That of another failure domain.
    Domain,
}

#[derive(Debug)]
struct Received {
    at: Time,
    source: Source,
    reports: Vec<EngineTimeReport>,
}

/// Reports of other hosts, and those sent to them.
#[derive(Debug, Default)]
pub struct Exchange {
    received: BTreeMap<HostKey, Received>,
    /// Reports to the aggregator, by sequence number.
    sent: VecDeque<(u64, Vec<EngineTimeReport>)>,
    /// When usage was last sent.
    sent_at: BTreeMap<Audience, Time>,
}

impl Exchange {
    /// Drops the usage of hosts that report no more.
    pub fn expire(&mut self, now: Time) {
        self.received
            .retain(|_, report| now.since(report.at) < EXPIRY);
    }

    /// Whether there are reports of other hosts.
    #[must_use]
    pub fn receives_reports(&self, now: Time) -> bool {
        let mut all = self.received.values();
        all.any(|report| now.since(report.at) < EXPIRY)
    }

    /// Whether usage is to be sent now; if so, records it as sent.
    fn is_due(&mut self, audience: Audience, now: Time) -> bool {
        let last = self.sent_at.get(&audience);
        let due = last.is_none_or(|at| now.since(*at) >= REPORT_INTERVAL);
        if due {
            self.sent_at.insert(audience, now);
        }
        due
    }
}

/// Customers that are not listed by themselves, together.
#[derive(Debug, Clone, Copy, Default)]
pub struct Rest {
    /// Their number; one that several hosts count in their rests counts for each.
    pub customers: u32,
    /// The least urgent of their ranks.
    pub rank: u8,
    /// Their usage.
    pub time: EngineTime,
}

/// Rank and usage of customers.
pub type Rows = BTreeMap<u64, (u8, EngineTime)>;

/// Returns the known usage of a service in the window that ends now.
pub fn known_usage(core: &Core, service: u32, scope: Scope) -> (Rows, Rest) {
    let shares = &core.relay.shares;
    let own = shares.services.get(&service).into_iter();
    let own = own.flat_map(|service| service.own.sums(core.now));
    let mut rows: Rows = own
        .map(|(customer, rank, time)| (customer, (rank, time)))
        .collect();
    let mut rest = Rest::default();
    let received = shares.exchange.received.iter();
    let received = received.filter(|(key, report)| is_part_of(core, **key, report, scope));
    let reports = received.flat_map(|(_, received)| &received.reports);
    for report in reports.filter(|report| report.service == service) {
        for row in &report.customers {
            let (_, sum) = rows
                .entry(row.customer)
                .or_insert((row.rank, EngineTime::default()));
            *sum = sum.plus(engine_time(row.used_us, row.unmet_us));
        }
        let other = report.rest;
        rest.customers = rest.customers.saturating_add(other.customers);
        rest.rank = rest.rank.max(other.rank);
        let time = engine_time(other.used_us, other.unmet_us);
        rest.time = rest.time.plus(time);
    }
    (rows, rest)
}

/// Whether a received report belongs to a sum. While this host has an aggregator, the totals contain the other failure
/// domains.
fn is_part_of(core: &Core, key: HostKey, report: &Received, scope: Scope) -> bool {
    let peers = &core.relay.peers;
    let (now, own) = (core.now, &core.settings.host.domain);
    let Some(peer) = peers.arena.get(key).filter(|_| scope != Scope::Own) else {
        return false;
    };
    let has_aggregator = peers.aggregator.current().is_some();
    let belongs = match report.source {
        Source::Host => peer.domain == *own,
        Source::Reporter => peer.domain == *own && peer.is_reporter,
        Source::Totals => scope == Scope::All && has_aggregator,
        Source::Domain => scope == Scope::All && !has_aggregator,
    };
    belongs && now.since(report.at) < EXPIRY
}

/// Returns the usage that a message to other hosts contains: none unless a service is short.
pub(in super::super) fn reports(core: &mut Core, kind: &GossipKind) -> Vec<EngineTimeReport> {
    let (audience, scope) = match kind {
        GossipKind::Own => (Audience::Neighbours, Scope::Own),
        GossipKind::Report => (Audience::Aggregator, Scope::Domain),
        GossipKind::Totals(_) => (Audience::Reporters, Scope::All),
        GossipKind::Domain(_) => (Audience::Domains, Scope::Domain),
        _ => return Vec::new(),
    };
    let now = core.now;
    let short = core.relay.shares.services.iter();
    let short = short.filter_map(|(hash, service)| {
        let shortage = service.shortage.as_ref()?;
        (!shortage.is_over(now)).then(|| (*hash, shortage.overload_age(now)))
    });
    let short: Vec<(u32, Duration)> = short.collect();
    if short.is_empty() || !is_enabled(core) || !core.relay.shares.exchange.is_due(audience, now) {
        return Vec::new();
    }
    let reports = short.into_iter().map(|(hash, overload_age)| {
        let (rows, rest) = known_usage(core, hash, scope);
        report(hash, overload_age, rows, rest)
    });
    let reports: Vec<EngineTimeReport> = reports.collect();
    if audience == Audience::Aggregator {
        let sent = &mut core.relay.shares.exchange.sent;
        sent.push_back((core.relay.peers.sequence, reports.clone()));
        if sent.len() > MAX_SENT {
            sent.pop_front();
        }
    }
    reports
}

/// Returns the report of usage: the customers with the most by themselves, the others as one sum.
fn report(service: u32, overload_age: Duration, rows: Rows, mut rest: Rest) -> EngineTimeReport {
    let mut rows: Vec<(u64, (u8, EngineTime))> = rows.into_iter().collect();
    let used = |(_, (_, time)): &(u64, (u8, EngineTime))| Reverse(micros(time.demand()));
    rows.sort_by_key(used);
    for (_, (rank, time)) in rows.drain(rows.len().min(MAX_CUSTOMERS)..) {
        rest.customers = rest.customers.saturating_add(1);
        rest.rank = rest.rank.max(rank);
        rest.time = rest.time.plus(time);
    }
    let customers = rows
        .into_iter()
        .map(|(customer, (rank, time))| CustomerTime {
            customer,
            rank,
            used_us: micros(time.used),
            unmet_us: micros(time.unmet),
        });
    EngineTimeReport {
        service,
        overload_age,
        customers: customers.collect(),
        rest: RestTime {
            customers: rest.customers,
            rank: rest.rank,
            used_us: micros(rest.time.used),
            unmet_us: micros(rest.time.unmet),
        },
    }
}

/// Handles the usage that a message of another host contains; `key` is the entry that its loads are recorded for.
pub(in super::super) fn receive(
    core: &mut Core,
    key: HostKey,
    message: &Gossip,
    out: &mut Effects,
) {
    if message.engine_times.is_empty() || !is_enabled(core) {
        return;
    }
    let has_aggregator = core.relay.peers.aggregator.current();
    let mut reports = message.engine_times.clone();
    let source = match &message.kind {
        GossipKind::Own => Source::Host,
        GossipKind::Report => Source::Reporter,
        GossipKind::Domain(_) | GossipKind::Forwarded(_) => Source::Domain,
        GossipKind::Totals(included) if has_aggregator == Some(&*message.host) => {
            let own = gossip::own_process_hash(core);
            if let Some(own) = included.iter().find(|report| report.process == own) {
                subtract_sent(core, own.sequence, &mut reports);
            }
            Source::Totals
        }
        _ => return,
    };
    let now = core.now;
    let overloads: Vec<(u32, Duration)> = reports
        .iter()
        .map(|report| (report.service, report.overload_age))
        .collect();
    let received = &mut core.relay.shares.exchange.received;
    if source == Source::Totals {
        // Those of a former aggregator.
        received.retain(|_, report| report.source != Source::Totals);
    }
    received.insert(
        key,
        Received {
            at: now,
            source,
            reports,
        },
    );
    for (service, age) in overloads {
        record_overload(core, service, age, out);
    }
}

/// Subtracts what this host last reported before a message from the totals that include it.
fn subtract_sent(core: &Core, sequence: u64, totals: &mut [EngineTimeReport]) {
    let sent = core.relay.shares.exchange.sent.iter().rev();
    let sent = sent.filter(|(number, _)| *number <= sequence).take(1);
    for own in sent.flat_map(|(_, reports)| reports) {
        let total = totals.iter_mut().find(|total| total.service == own.service);
        let Some(total) = total else {
            continue;
        };
        let own_rows: BTreeMap<u64, &CustomerTime> = own
            .customers
            .iter()
            .map(|row| (row.customer, row))
            .collect();
        for row in &mut total.customers {
            if let Some(own) = own_rows.get(&row.customer) {
                row.used_us = row.used_us.saturating_sub(own.used_us);
                row.unmet_us = row.unmet_us.saturating_sub(own.unmet_us);
            }
        }
        let rest = &mut total.rest;
        rest.customers = rest.customers.saturating_sub(own.rest.customers);
        rest.used_us = rest.used_us.saturating_sub(own.rest.used_us);
        rest.unmet_us = rest.unmet_us.saturating_sub(own.rest.unmet_us);
    }
}

/// Records that another host refused a request to a service or placed it late.
fn record_overload(core: &mut Core, hash: u32, age: Duration, out: &mut Effects) {
    if shortage::has_ended(age) {
        return;
    }
    let overload = core.now.before(age);
    let names = core.relay.catalog.as_ref().into_iter();
    let mut names = names.flat_map(|catalog| catalog.services.keys());
    let shares = &mut core.relay.shares;
    if let Some(shortage) = shares
        .services
        .get_mut(&hash)
        .and_then(|s| s.shortage.as_mut())
    {
        shortage.reported(overload);
        return;
    }
    // A host without requests to the service passes on the usage of others.
    if let Some(name) = names.find(|name| short_hash(name) == hash) {
        let name = name.clone();
        let service = shares.services.entry(hash);
        service.or_insert_with(|| ServiceUsage::new(&name));
        begin_shortage(core, hash, overload, out);
    }
}

fn engine_time(used_us: u32, unmet_us: u32) -> EngineTime {
    let time = |micros: u32| millis(Duration::from_micros(micros.into()));
    EngineTime {
        used: time(used_us),
        unmet: time(unmet_us),
    }
}

/// Returns milliseconds as microseconds.
fn micros(millis: f64) -> u32 {
    let time = Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default();
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}
