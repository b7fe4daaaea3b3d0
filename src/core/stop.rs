//! Planned stop of this host: it refuses new work, finishes running requests, then exits.

use std::time::Duration;

use super::effect::{Effect, LogFields, log_event};
use super::event::{StopEvent, Timer};
use super::{Core, Effects, Time, member, order, share, trace};

/// Time from the start of the stop until the listeners close.
///
/// The load balancer learns of the stop from its readiness check, about once a second; listeners
/// that closed immediately would refuse callers that the balancer still sends here.
const DRAIN_NOTICE: Duration = Duration::from_secs(1);

/// The same for a relaying host, whose load balancer removes a host after two failed readiness
/// checks, one per second.
///
/// Requests that arrive later on kept-alive connections are refused: a stream accepted then may
/// outlast the stop, and would be cut when the platform kills the host.
const RELAY_DRAIN_NOTICE: Duration = Duration::from_millis(2500);

/// Divisor that gives the part of the stop's time that a relaying host reserves at its end, after
/// it has abandoned the requests that still run.
///
/// The platform kills the host at the end of that time: callers would lose their connections
/// without an answer, and the log would not name their requests. Half a second of eight suffices
/// for the final writes of a host with a fifth of a core.
const RELAY_RESERVE_DIVISOR: u32 = 16;

/// Time to write final answers after requests were abandoned.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(150);

/// Time after a pause of the process within which a signal may have arrived during the pause: what
/// arrived meanwhile is handled in any order.
const PAUSE_WINDOW: Duration = Duration::from_millis(100);

/// Divisor that gives the part of the stop's time that is left after any pause: the platform would
/// have killed a host that has used all of it.
const MIN_LEFT_DIVISOR: u32 = 8;

/// Progress of a planned stop.
#[derive(Debug, Default)]
pub struct Stop {
    started: Option<Time>,
    /// When the listeners close.
    closes_at: Option<Time>,
    /// Whether every connection of a caller, or of a host that forwards requests, is closed.
    idle: bool,
    phase: Phase,
}

/// Phases of a planned stop, in order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// New connections are accepted.
    #[default]
    Open,
    /// The listeners are closed.
    Closed,
    /// Requests that still ran have been abandoned.
    Abandoned,
    /// The process may exit.
    Done,
}

impl Stop {
    /// Returns whether this host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.started.is_some()
    }

    /// Returns whether the time for new requests is over. The listeners may still be open: after a
    /// pause of the process, requests are handled before the timer.
    #[must_use]
    pub fn is_closed(&self, now: Time) -> bool {
        self.closes_at.is_some_and(|at| at <= now)
    }
}

/// Handles a stop event.
pub fn step(core: &mut Core, event: StopEvent, out: &mut Effects) {
    match event {
        StopEvent::Begin if !core.stop.is_stopping() => begin(core, out),
        StopEvent::Begin => {
            let running = running(core);
            let why = "the stop was requested again";
            let level = log::Level::Info;
            log_step(core, level, "host.stop_repeated", why, running, out);
        }
        StopEvent::Idle => {
            core.stop.idle = true;
            finish_if_idle(core, out);
        }
    }
}

fn begin(core: &mut Core, out: &mut Effects) {
    let since = signalled_at(core);
    core.stop.started = Some(since);
    let running = running(core);
    log_step(
        core,
        log::Level::Info,
        "host.stopping",
        "a planned stop began",
        running,
        out,
    );
    let notice = if core.settings.relay.is_some() {
        RELAY_DRAIN_NOTICE
    } else {
        DRAIN_NOTICE
    };
    let closes_at = since.after(notice.min(core.settings.limits.stop_timeout / 3));
    core.stop.closes_at = Some(closes_at);
    out.push(Effect::SetTimer {
        at: closes_at,
        timer: Timer::Stop,
    });
    // From here on peers skip this host; its shards and loans move while it still answers.
    member::send_heartbeats(core, out);
    share::leave(core, out);
    order::release(core, out);
    super::once::view_changed(core, out);
    finish_if_idle(core, out);
}

/// Returns the earliest time at which the signal may have been sent.
///
/// The platform counts from then, also while the process stands still.
fn signalled_at(core: &Core) -> Time {
    let stop = core.settings.limits.stop_timeout;
    let recent = core.now.before(PAUSE_WINDOW);
    let pause = core.relay.intake.lag_since(recent, core.now);
    core.now
        .before(pause.min(stop.saturating_sub(stop / MIN_LEFT_DIVISOR)))
}

/// Returns the number of requests that this host is serving.
fn running(core: &Core) -> usize {
    core.requests.arena.len() + core.relay.calls.len()
}

/// Ends the process once every connection is closed and no work is left.
pub fn finish_if_idle(core: &mut Core, out: &mut Effects) {
    let stop = &core.stop;
    if !stop.is_stopping() || stop.phase == Phase::Done || !stop.idle {
        return;
    }
    if running(core) == 0 && core.once.idle() {
        let why = if stop.phase == Phase::Abandoned {
            STOP_TIMED_OUT
        } else {
            "every request is finished"
        };
        finish(core, why, out);
    }
}

/// Reason of a planned stop that ended with requests still running.
const STOP_TIMED_OUT: &str = "the bound is reached";

/// Enters the next phase of the stop when its time has come.
pub fn timer(core: &mut Core, out: &mut Effects) {
    let Some(since) = core.stop.started else {
        return;
    };
    match core.stop.phase {
        Phase::Open => {
            core.stop.phase = Phase::Closed;
            out.push(Effect::CloseListeners);
            out.push(Effect::SetTimer {
                at: since.after(abandon_after(core)),
                timer: Timer::Stop,
            });
        }
        Phase::Closed => abandon_requests(core, out),
        Phase::Abandoned => finish(core, STOP_TIMED_OUT, out),
        Phase::Done => {}
    }
}

/// Returns when a stopping host abandons the requests that still run.
#[must_use]
pub fn abandons_at(core: &Core) -> Option<Time> {
    let since = core.stop.started?;
    Some(since.after(abandon_after(core)))
}

/// Returns the time after which this host abandons the requests that still run.
fn abandon_after(core: &Core) -> Duration {
    let stop = core.settings.limits.stop_timeout;
    if core.settings.relay.is_some() {
        stop.saturating_sub(stop / RELAY_RESERVE_DIVISOR)
    } else {
        stop
    }
}

/// Ends the requests that still run, so that each caller gets an answer and each request is logged.
fn abandon_requests(core: &mut Core, out: &mut Effects) {
    core.stop.phase = Phase::Abandoned;
    let running = running(core);
    log_step(
        core,
        log::Level::Error,
        "host.stop_bound",
        STOP_TIMED_OUT,
        running,
        out,
    );
    super::relay::abandon_all(core, STOP_TIMED_OUT, out);
    out.push(Effect::SetTimer {
        at: core.now.after(FINAL_WRITE_TIMEOUT),
        timer: Timer::Stop,
    });
}

fn finish(core: &mut Core, why: &str, out: &mut Effects) {
    core.stop.phase = Phase::Done;
    trace::flush(core, out);
    member::unregister(core, out);
    let running = running(core);
    log_step(core, log::Level::Info, "host.stopped", why, running, out);
    out.push(Effect::Exit);
}

/// Logs a step of the stop, in the same form as this host's other events.
fn log_step(
    core: &Core,
    level: log::Level,
    name: &'static str,
    why: &str,
    running: usize,
    out: &mut Effects,
) {
    if core.settings.relay.is_some() {
        out.push(Effect::LogFields(LogFields {
            level,
            name,
            fields: vec![("why", why.into()), ("running", running.to_string().into())],
        }));
    } else {
        let text = format!("{why}, with {running} requests running");
        out.push(log_event(level, name, text));
    }
}
