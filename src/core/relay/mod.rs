//! Requests relayed along an operator's routes to backend servers that register themselves.
//!
//! A caller's request names a host and a path; the operator's configuration says which service
//! that is, how long it may take, and whether it may run again. Model requests are split where it
//! pays: one engine prefills the prompt, another takes the KV cache over and generates.

mod answer;
pub mod budget;
mod call;
pub mod catalog;
mod choose;
mod departed;
pub mod event;
mod gossip;
pub mod instance;
mod killer;
pub mod limit;
mod load;
mod model;
mod parts;
mod peers;
mod split;
#[cfg(test)]
mod tests;
mod view;

use std::collections::BTreeMap;
use std::time::Duration;

use slotmap::SlotMap;

use super::effect::{Effect, Note};
use super::event::{Job, StoreReply, Timer};
use super::key::{AttemptKey, BackendKey, CallKey};
use super::time::Time;
use super::{Core, Effects};
use crate::settings::Settings;
use budget::Budget;
use catalog::{Catalog, Repeat, Route};
use event::{Changes, Prompt, RelayEvent, Task};
use instance::Instances;

/// Times that the parts of the relay ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayTimer {
    /// A request has reached its end.
    Deadline(CallKey),
    /// An attempt has brought nothing for as long as is taken.
    Silence(AttemptKey),
    /// Send gossip to other hosts, and forget what is old.
    Publish,
    /// Renew the registration of this host.
    Register,
    /// Register this host in a new era of the store.
    RegisterAgain,
    /// Go on following the store after the pause behind this call.
    Follow(u64),
    /// Ask for the store's newest revision.
    Probe,
    /// Give up what the store owes.
    Overdue,
    /// Look whether engines should change their stage.
    Plan,
    /// Renew the authority to give orders.
    Authority,
}

/// Jobs at the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RelayJob {
    /// Get or renew the lease of this host's registration.
    Lease,
    /// Write this host's registration.
    Register,
    /// Get or renew the lease of the authority to give orders; asked for at this time.
    AuthorityLease(Time),
    /// Take the authority to give orders.
    Authority,
    /// Make the secret that all hosts share.
    Secret,
}

/// A request being relayed.
#[derive(Debug)]
pub struct Call {
    /// Id of the attempt, as the caller sent it.
    pub id: Box<str>,
    /// Its route.
    pub route: Route,
    /// Service it goes to.
    pub service: Box<str>,
    /// Prompt and output.
    pub prompt: Option<Prompt>,
    /// Bytes of its body.
    pub bytes: usize,
    /// Fingerprint of path and body.
    pub print: u64,
    /// When it arrived.
    pub arrived: Time,
    /// When it must have its final answer.
    pub end: Time,
    /// The attempt in hand.
    pub attempt: Option<AttemptKey>,
    /// Backend servers that may have run it.
    pub runs: u32,
    /// Requests that reached backend servers beside the first accepted prefill.
    pub arrivals: u32,
    /// Prefills that were asked for.
    pub prefills: u32,
    /// Backend servers that failed it.
    pub tried: Vec<BackendKey>,
    /// Number of the last event that the caller has.
    pub seen: Option<u64>,
    /// Whether any of the answer was passed on.
    pub delivered: bool,
    /// KV cache that was made for it and not taken yet.
    pub cache: Option<Cache>,
    /// Whether it can no longer be in time and gives way to those that can.
    pub late: bool,
    /// When the last event was passed on.
    pub last: Option<Time>,
}

/// A KV cache at an engine.
#[derive(Debug, Clone)]
pub struct Cache {
    /// The engine.
    pub engine: BackendKey,
    /// The engine's id.
    pub instance: Box<str>,
    /// Where it listens.
    pub addr: std::net::SocketAddr,
    /// Name of the KV cache.
    pub handle: Box<str>,
}

/// One attempt at a backend server.
#[derive(Debug)]
pub struct Attempt {
    /// The request.
    pub call: CallKey,
    /// The backend server.
    pub backend: BackendKey,
    /// What it was asked to do.
    pub task: Task,
    /// When it was sent.
    pub sent: Time,
    /// Work that it counts for at the backend server.
    pub work: instance::Work,
    /// Milliseconds after which the first of the answer was expected.
    pub expected: f64,
    /// What was to be read there before its first token.
    pub reads: Reads,
    /// Whether anything of the answer arrived.
    pub began: bool,
    /// When anything last arrived.
    pub last: Time,
}

/// What an engine has to read before a request's first token.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Reads {
    /// Tokens of its prompt that the engine reads.
    pub unread: u64,
    /// Tokens before those that the engine holds or copies from another.
    pub held: u64,
    /// Work that is ahead of it, in tokens of a short prompt.
    pub ahead: u64,
    /// Milliseconds that pass before the engine can begin: copies from another engine, and what a
    /// hand-over waits for.
    pub before: f64,
    /// Milliseconds of these that a hand-over's transfer takes over links at their speed.
    pub moving: f64,
    /// Milliseconds that the hand-over takes beside the transfer.
    pub rest: f64,
}

/// All that a relaying host knows.
#[derive(Debug, Default)]
pub struct Relay {
    /// The operator's configuration.
    pub catalog: Option<Catalog>,
    /// How this host follows the store.
    pub view: view::View,
    /// Backend servers.
    pub instances: Instances,
    /// Requests.
    pub calls: SlotMap<CallKey, Call>,
    /// Attempts.
    pub attempts: SlotMap<AttemptKey, Attempt>,
    /// Budgets of repeats by service.
    pub budgets: BTreeMap<Box<str>, Budget>,
    /// Other hosts.
    pub peers: peers::Peers,
    /// Requests that backend servers died of.
    pub killers: killer::Killers,
    /// Stages of engines.
    pub split: split::Split,
    /// What work takes at engines.
    pub model: model::Model,
}

impl Relay {
    /// Tells whether new callers may be sent here, and why not.
    ///
    /// # Errors
    ///
    /// Returns why not.
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

/// Starts the relay, where the settings ask for one.
pub fn start(core: &mut Core, out: &mut Effects) {
    view::start(core, out);
    peers::start(core, out);
    split::start(core, out);
    note(
        out,
        log::Level::Info,
        "host.started",
        vec![("incarnation", core.members.incarnation().to_string().into())],
    );
}

/// Takes in one event.
pub fn step(core: &mut Core, event: RelayEvent, out: &mut Effects) {
    match event {
        RelayEvent::Arrived(arrival) => call::arrived(core, *arrival, out),
        RelayEvent::Left(key) => call::left(core, key, out),
        RelayEvent::Limited { attempt, limit } => limit::observe(core, attempt, limit, out),
        RelayEvent::Prefilled { attempt, handle } => answer::prefilled(core, attempt, handle, out),
        RelayEvent::Answered { attempt, status } => answer::answered(core, attempt, status, out),
        RelayEvent::Piece { attempt, number } => answer::piece(core, attempt, number, out),
        RelayEvent::Whole(attempt) => answer::whole(core, attempt, out),
        RelayEvent::Broke {
            attempt,
            ran,
            end,
            detail,
        } => answer::broke(core, attempt, ran, end, &detail, out),
        RelayEvent::Era(era) => view::era::observe(core, era, view::era::STORE_SOURCE, out),
        RelayEvent::Store { number, answer } => view::answered(core, number, answer, out),
        RelayEvent::Reported { instance, report } => {
            split::reported(core, &instance, report, out);
        }
        RelayEvent::Ordered {
            instance,
            fence,
            result,
        } => split::ordered(core, &instance, fence, result, out),
        RelayEvent::Reloaded(settings) => reloaded(core, *settings, out),
        RelayEvent::Gossiped(message) => gossip::receive(core, *message, out),
    }
}

/// Takes in a time that was asked for.
pub fn timer(core: &mut Core, timer: RelayTimer, out: &mut Effects) {
    match timer {
        RelayTimer::Deadline(key) => call::deadline(core, key, out),
        RelayTimer::Silence(attempt) => answer::silence(core, attempt, out),
        RelayTimer::Publish => gossip::publish(core, out),
        RelayTimer::Register => peers::register(core, out),
        RelayTimer::RegisterAgain => peers::register_again(core, out),
        RelayTimer::Follow(last) => view::resume(core, last, out),
        RelayTimer::Probe => view::probe::probe(core, out),
        RelayTimer::Overdue => view::probe::overdue(core, out),
        RelayTimer::Plan => split::plan(core, out),
        RelayTimer::Authority => split::renew(core, out),
    }
}

/// Ends every request, for a host that can wait for none of them any longer.
pub fn give_up(core: &mut Core, why: &str, out: &mut Effects) {
    let keys: Vec<CallKey> = core.relay.calls.keys().collect();
    for key in keys {
        call::abandon(core, key, why, out);
    }
}

/// Takes in an answer of the store to a call that was made when so many eras had ended; one of an ended era
/// means nothing.
pub fn reply(core: &mut Core, job: RelayJob, ended: u32, reply: &StoreReply, out: &mut Effects) {
    if ended != core.relay.view.ended_eras() {
        return;
    }
    match job {
        RelayJob::Secret => {}
        RelayJob::Lease | RelayJob::Register => peers::reply(core, job, reply, out),
        RelayJob::AuthorityLease(_) | RelayJob::Authority => split::reply(core, job, reply, out),
    }
}

/// Takes in what the store told.
fn changed(core: &mut Core, mut changes: Changes, out: &mut Effects) {
    if let Some(catalog) = changes.catalog.take() {
        adopt(core, catalog, out);
    }
    let era = core.relay.view.era();
    let beliefs = core
        .relay
        .instances
        .apply_changes(&mut changes, era, core.now);
    note_beliefs(beliefs, out);
    peers::changed(core, &changes, out);
    split::changed(core, &changes, out);
}

fn note_beliefs(beliefs: Vec<instance::StateChange>, out: &mut Effects) {
    for belief in beliefs {
        note(
            out,
            log::Level::Info,
            "backend.listed",
            vec![("backend", belief.id), ("state", belief.state.into())],
        );
    }
}

/// Puts a configuration in force, unless a newer one is.
///
/// A read that was answered late, or a host that was behind, may bring an old version again: in
/// force it would send requests where the operator no longer wants them.
fn adopt(core: &mut Core, catalog: Catalog, out: &mut Effects) {
    let old = core.relay.catalog.as_ref().map(|catalog| catalog.version);
    if old.is_some_and(|old| old >= catalog.version) {
        return;
    }
    note(
        out,
        log::Level::Info,
        "config.in_force",
        vec![
            ("version", catalog.version.to_string().into()),
            ("before", old.unwrap_or(0).to_string().into()),
            ("routes", catalog.routes.len().to_string().into()),
        ],
    );
    core.relay.catalog = Some(catalog);
}

/// Puts settings in force that were read again; listeners and the name stay as they are.
fn reloaded(core: &mut Core, settings: Settings, out: &mut Effects) {
    core.settings.relay = settings.relay;
    core.settings.limits = settings.limits;
    note(out, log::Level::Info, "host.reloaded", Vec::new());
}

/// Returns a job of the relay, asked for in the present era of the store.
fn job(core: &Core, job: RelayJob) -> Job {
    Job::Relay(job, core.relay.view.ended_eras())
}

/// Asks for a timer of the relay.
fn wake(core: &Core, after: Duration, timer: RelayTimer, out: &mut Effects) {
    out.push(Effect::Wake {
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
    out.push(Effect::Note(Note {
        level,
        name,
        fields,
    }));
}

/// Returns milliseconds with fractions.
fn millis(span: Duration) -> f64 {
    span.as_secs_f64() * 1000.0
}

/// Returns the time of that many milliseconds; none for what is no time.
fn span(millis: f64) -> Duration {
    Duration::try_from_secs_f64(millis.max(0.0) / 1000.0).unwrap_or_default()
}
