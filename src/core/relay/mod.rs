//! Requests relayed along an operator's routes to backend servers that register themselves.
//!
//! A caller's request names a host and a path; the operator's configuration determines the service,
//! the time-out, and whether the request may be retried. Model requests are split where that pays
//! off: one engine prefills the prompt, another fetches the KV cache and generates.

mod answer;
pub mod authority;
pub mod budget;
pub mod buffers;
mod call;
pub mod catalog;
pub mod changing;
mod choose;
pub mod customers;
mod departed;
pub mod duty;
mod ending;
pub mod event;
mod foreign;
mod forward;
mod gossip;
pub mod instance;
pub mod instances;
mod intake;
mod kept_pushbacks;
mod lateness;
pub mod limit;
mod links;
mod load;
mod model;
mod notice;
mod parts;
mod peers;
mod planner;
mod poison;
mod prefix_cache;
pub mod pushback;
mod recall;
mod request;
mod resolve;
mod retry;
mod shares;
mod silence;
pub mod stages;
mod standby;
mod stopping;
#[cfg(test)]
pub(crate) mod tests;
mod unproven;
pub mod versions;
mod view;

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;

use super::effect::{Effect, LogFields};
use super::event::{Job, StoreReply, Timer};
use super::key::{AttemptKey, BackendKey, CallKey};
use super::time::Time;
use super::{Core, Effects};
use crate::settings::Settings;
use budget::RetryBudget;
use catalog::{Catalog, RetryPolicy, Route};
use event::{Changes, RelayEvent};
use instances::Instances;
use versions::Versions;

pub use ending::OTHER_HOST_RETRY_AFTER;
pub use request::{Attempt, Call, Delivery, KvCache, PrefillEstimate};

/// Timers of the relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayTimer {
    /// The deadline of a request has passed.
    Deadline(CallKey),
    /// An attempt may have received nothing for too long.
    Silence(AttemptKey),
    /// Send gossip to other hosts, and expire old state.
    Publish,
    /// Renew the registration of this host.
    Register,
    /// Register this host in a new era of the store.
    RegisterAgain,
    /// Call the store again after the pause that followed the call with this number.
    ResumeWatch(u64),
    /// Probe the store for its newest revision.
    Probe,
    /// Give up calls of the store that a later probe has overtaken.
    StoreTimeout,
    /// Check whether engines should change their stage.
    Plan,
    /// Request the state of an engine whose change of stage was announced.
    ChangeStage(BackendKey),
    /// Renew the authority to give orders.
    Authority,
    /// Compare poison requests with the store.
    SyncPoison,
    /// Probe the link to a backend server.
    ProbeLinks,
    /// Probe servers that broke requests off.
    ProbeServers,
    /// Decide on a stream that is taken up by the answers of other hosts so far.
    TakeUp(CallKey),
    /// The standby of a request has been kept for long enough.
    Standby(CallKey),
    /// Look for a server for an answer that waits for one.
    Resume(CallKey),
    /// Another engine can be in time for the last time if the prefill of an attempt is overdue.
    Recall(AttemptKey),
}

/// Calls of the store that the relay makes, as keys for their answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayJob {
    /// Get or renew the lease of this host's registration.
    Lease,
    /// Write this host's registration.
    Register,
    /// Get or renew the lease of the authority to give orders; requested at this time.
    AuthorityLease(Time),
    /// Acquire the authority to give orders.
    Authority,
    /// Write the secret that all hosts share.
    Secret,
    /// Settle the usage of a window; number of the write.
    Settle(u64),
    /// Write the number of workers that a service was provisioned with.
    Provision,
    /// Write and remove poison requests; the store's changes show whether it did.
    Poison,
}

/// State of a relaying host.
#[derive(Debug, Default)]
pub struct Relay {
    /// The operator's configuration.
    pub catalog: Option<Catalog>,
    /// This host's view of the store.
    pub view: view::View,
    /// Backend servers.
    pub instances: Instances,
    /// Requests.
    pub calls: SlotMap<CallKey, Call>,
    /// Attempts.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Retry budgets by service.
    pub retry_budgets: BTreeMap<Box<str>, RetryBudget>,
    /// Other hosts.
    pub peers: peers::Peers,
    /// Connections of callers.
    pub intake: intake::Intake,
    /// Bytes held for callers and servers.
    pub buffers: buffers::Buffers,
    /// Links to backend servers.
    pub links: links::Links,
    /// Software versions of servers and streams.
    pub versions: Versions,
    /// Poison requests: those suspected of crashing backend servers.
    pub poison_requests: poison::PoisonRequests,
    /// Parts of prompts that are suspected of crashing backend servers.
    pub parts: parts::Parts,
    /// Stages of engines.
    pub planner: planner::Planner,
    /// Duties that one host at a time carries out.
    pub duties: duty::Duties,
    /// Measured durations of work at engines.
    pub cost_model: model::CostModel,
    /// Recalled prefills.
    pub recalls: recall::Recalls,
    /// Division of services that are short between customers.
    pub shares: shares::FairShares,
}

impl Relay {
    /// Checks whether this host can serve new callers.
    ///
    /// # Errors
    ///
    /// Returns the reason if it cannot.
    pub fn ready(&self) -> Result<(), &'static str> {
        if self.catalog.is_none() {
            Err("no configuration yet")
        } else if self.instances.arena.is_empty() {
            Err("no backend server known yet")
        } else {
            Ok(())
        }
    }
}

/// Starts the relay, on a host whose settings have one.
pub fn start(core: &mut Core, out: &mut Effects) {
    buffers::apply_settings(core, out);
    view::start(core, out);
    peers::start(core, out);
    planner::start(core, out);
    shares::start(core);
    note(
        out,
        log::Level::Info,
        "host.started",
        vec![("incarnation", core.members.incarnation().to_string().into())],
    );
}

/// Handles one event.
pub fn step(core: &mut Core, event: RelayEvent, out: &mut Effects) {
    match event {
        RelayEvent::Descriptors(count) => intake::set_descriptors(core, count, out),
        RelayEvent::CallerConnected => intake::connected(core, out),
        RelayEvent::BodyOffered { bytes, held } => buffers::body_offered(core, bytes, held, out),
        RelayEvent::CallerDisconnected => intake::disconnected(core),
        RelayEvent::Arrived(arrival) => call::arrived(core, *arrival, out),
        RelayEvent::CallerLeft(key) => ending::caller_left(core, key, out),
        RelayEvent::ForeignResponse(response) => foreign::received(&response, out),
        RelayEvent::UnprovenRefusal(refusal) => unproven::withheld(&refusal, out),
        RelayEvent::Noticed { attempt, notices } => {
            links::attempt_received(core, attempt, out);
            notice::answered(core, attempt, notices, out);
        }
        RelayEvent::ControlNoticed { instance, notices } => {
            links::received(core, out);
            notice::control_answered(core, &instance, notices, out);
        }
        RelayEvent::Prefilled { attempt, handle } => {
            links::attempt_received(core, attempt, out);
            answer::prefilled(core, attempt, handle, out);
        }
        RelayEvent::AnswerReceived(attempt) => {
            links::attempt_received(core, attempt, out);
            answer::part_received(core, attempt, out);
        }
        RelayEvent::Answered { attempt, status } => {
            links::attempt_received(core, attempt, out);
            answer::answered(core, attempt, status, out);
        }
        RelayEvent::StreamEvent { attempt, number } => {
            links::attempt_received(core, attempt, out);
            answer::stream_event(core, attempt, number, out);
        }
        RelayEvent::DeliveryBlocked(attempt) => silence::delivery_blocked(core, attempt),
        RelayEvent::DeliveryResumed(attempt) => silence::delivery_resumed(core, attempt),
        RelayEvent::StreamEnded { attempt, end } => answer::stream_ended(core, attempt, end, out),
        RelayEvent::AttemptFailed {
            attempt,
            ran,
            end,
            detail,
        } => answer::attempt_failed(core, attempt, ran, end, &detail, out),
        RelayEvent::ForwardRefused { attempt, refusal } => {
            forward::refused(core, attempt, &refusal, out);
        }
        RelayEvent::LinkProbed { instance, reached } => {
            links::probed(core, &instance, reached, out);
        }
        RelayEvent::ServerProbed { instance, is_alive } => {
            poison::proof::probed(core, &instance, is_alive, out);
        }
        RelayEvent::StoreEra(era) => view::era::observe(core, era, view::era::STORE_SOURCE, out),
        RelayEvent::StoreReceived { number, bytes } => view::pending::received(core, number, bytes),
        RelayEvent::StoreAnswered { number, answer } => view::answered(core, number, answer, out),
        RelayEvent::EngineReported { instance, report } => {
            planner::reported(core, &instance, report, out);
        }
        RelayEvent::OrderAnswered {
            instance,
            fence,
            result,
        } => planner::ordered(core, &instance, fence, result, out),
        RelayEvent::DutyAnswered(call, result) => duty::answered(core, &call, result, out),
        RelayEvent::Reloaded(settings) => reload(core, *settings, out),
        RelayEvent::Gossiped(message) => gossip::receive(core, *message, out),
    }
}

/// Handles a timer that is due.
pub fn timer(core: &mut Core, timer: RelayTimer, out: &mut Effects) {
    match timer {
        RelayTimer::Deadline(key) => ending::deadline(core, key, out),
        RelayTimer::Silence(attempt) => silence::check_silence(core, attempt, out),
        RelayTimer::Publish => gossip::publish(core, out),
        RelayTimer::Register => peers::register(core, out),
        RelayTimer::RegisterAgain => peers::register_again(core, out),
        RelayTimer::ResumeWatch(last) => view::resume(core, last, out),
        RelayTimer::Probe => view::probe::probe(core, out),
        RelayTimer::StoreTimeout => view::probe::overdue(core, out),
        RelayTimer::Plan => planner::plan(core, out),
        RelayTimer::ChangeStage(key) => planner::change_announced(core, key, out),
        RelayTimer::Authority => planner::renew(core, out),
        RelayTimer::SyncPoison => poison::stored::sync(core, out),
        RelayTimer::ProbeLinks => links::probe(core, out),
        RelayTimer::ProbeServers => poison::proof::send(core, out),
        RelayTimer::TakeUp(call) => versions::take_up::timed_out(core, call, out),
        RelayTimer::Standby(call) => standby::expired(core, call, out),
        RelayTimer::Resume(call) => standby::resume(core, call, out),
        RelayTimer::Recall(attempt) => recall::check(core, attempt, out),
    }
}

/// Abandons all requests, for a host that cannot wait for them any longer.
pub fn abandon_all(core: &mut Core, why: &str, out: &mut Effects) {
    let keys: Vec<CallKey> = core.relay.calls.keys().collect();
    for key in keys {
        ending::abandon(core, key, why, out);
    }
}

/// Handles an answer of the store to a call made when `ended_eras` eras had ended; the answer is ignored if
/// another era has ended since.
pub fn reply(
    core: &mut Core,
    job: RelayJob,
    ended_eras: u32,
    reply: &StoreReply,
    out: &mut Effects,
) {
    if ended_eras != core.relay.view.ended_eras() {
        return;
    }
    match job {
        RelayJob::Secret | RelayJob::Provision | RelayJob::Poison => {}
        RelayJob::Lease | RelayJob::Register => peers::reply(core, job, reply, out),
        RelayJob::AuthorityLease(_) | RelayJob::Authority => planner::reply(core, job, reply, out),
        RelayJob::Settle(number) => duty::usage::reply(core, number, reply, out),
    }
}

/// Applies changes of the store.
fn apply_changes(core: &mut Core, mut changes: Changes, out: &mut Effects) {
    if let Some(catalog) = changes.catalog.take() {
        apply_catalog(core, catalog, out);
    }
    versions::record_listed(core);
    let several = versions::several(core);
    let at = departed::known_position(&core.relay.view);
    let settled = core.relay.view.is_settled();
    let listings = core
        .relay
        .instances
        .apply_changes(&mut changes, at, settled, core.now);
    log_listings(listings, view::STORE_SOURCE, out);
    links::servers_changed(core, out);
    poison::proof::servers_changed(core);
    versions::servers_changed(core, &several, out);
    peers::apply_changes(core, &changes, out);
    planner::changed(core, &changes, out);
    duty::usage::changed(core, &changes);
    duty::scaling::changed(core, &changes);
    poison::stored::changed(core, &changes, out);
    parts::stored::changed(core, &changes, out);
}

/// Logs changes in the listing of backend servers, and whether the store or which host they come from.
fn log_listings(
    listings: impl IntoIterator<Item = instances::StateChange>,
    source: &str,
    out: &mut Effects,
) {
    for listing in listings {
        note(
            out,
            log::Level::Info,
            "backend.listed",
            vec![
                ("backend", listing.id),
                ("state", listing.state.into()),
                ("source", source.into()),
            ],
        );
    }
}

/// Applies a configuration, unless the current one is as new or newer.
///
/// A late answer to a read, or a host that lags behind, may deliver an old version again: applying it
/// would route requests where the operator no longer wants them.
fn apply_catalog(core: &mut Core, catalog: Catalog, out: &mut Effects) {
    let current = core.relay.catalog.as_ref().map(|catalog| catalog.version);
    if current.is_some_and(|current| current >= catalog.version) {
        return;
    }
    note(
        out,
        log::Level::Info,
        "config.in_force",
        vec![
            ("version", catalog.version.to_string().into()),
            ("before", current.unwrap_or(0).to_string().into()),
            ("routes", catalog.routes.len().to_string().into()),
        ],
    );
    let before = core.relay.catalog.replace(catalog);
    log_timeouts(core, before.as_ref(), out);
    versions::routes::changed(core, before.as_ref(), out);
}

/// Logs the routes whose time-out a configuration has changed.
fn log_timeouts(core: &Core, before: Option<&Catalog>, out: &mut Effects) {
    let (Some(before), Some(catalog)) = (before, &core.relay.catalog) else {
        return;
    };
    let same = |route: &Route| {
        let mut old = before.routes.iter();
        old.find(|old| old.host == route.host && old.prefix == route.prefix)
    };
    for route in &catalog.routes {
        if let Some(old) = same(route).filter(|old| old.timeout != route.timeout) {
            let fields = vec![
                ("route", route.name.clone()),
                ("version", catalog.version.to_string().into()),
                ("before_ms", old.timeout.as_millis().to_string().into()),
                ("timeout_ms", route.timeout.as_millis().to_string().into()),
            ];
            note(out, log::Level::Info, "config.timeout", fields);
        }
    }
}

/// Applies reloaded settings; the name and the listeners keep their old values.
fn reload(core: &mut Core, settings: Settings, out: &mut Effects) {
    core.settings.relay = settings.relay;
    core.settings.limits = settings.limits;
    buffers::apply_settings(core, out);
    note(out, log::Level::Info, "host.reloaded", Vec::new());
}

/// Returns a job of the relay, tagged with the number of store eras that have ended.
fn job(core: &Core, job: RelayJob) -> Job {
    Job::Relay(job, core.relay.view.ended_eras())
}

/// Schedules a timer of the relay.
fn wake(core: &Core, after: Duration, timer: RelayTimer, out: &mut Effects) {
    out.push(Effect::SetTimer {
        at: core.now.after(after),
        timer: Timer::Relay(timer),
    });
}

/// Writes a log event with fields.
fn note(
    out: &mut Effects,
    level: log::Level,
    name: &'static str,
    fields: Vec<(&'static str, Box<str>)>,
) {
    out.push(Effect::LogFields(LogFields {
        level,
        name,
        fields,
    }));
}

/// Converts a duration to milliseconds with fractions.
fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Converts milliseconds to a duration; zero for values that are not a valid duration.
fn from_millis(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).unwrap_or_default()
}
