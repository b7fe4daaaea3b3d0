//! Planned stop of this host: no new work, every request finished, then the end.

use std::time::Duration;

use super::effect::{Effect, LogFields, log_event};
use super::event::{StopEvent, Timer};
use super::{Core, Effects, Time, member, order, share, trace};

/// Time between the first word of the stop and the end of new connections.
///
/// The balancer hears of it from the readiness check, which it asks about once a second; closed
/// at once, the listener would refuse callers whom the balancer still sends here.
const DRAIN_NOTICE: Duration = Duration::from_secs(1);

/// The same for a host that relays: its balancer takes a host out after two checks without a yes,
/// which come once a second.
///
/// Requests that come on kept connections later are refused: a stream taken then may last longer
/// than the host may, and is cut when the host is killed.
const RELAY_DRAIN_NOTICE: Duration = Duration::from_millis(2500);
/// Part of the time for a planned stop that is left when a relaying host gives up what still runs.
///
/// The platform kills the host at the end of that time: the callers would see their connections
/// vanish, and the log would not say whose requests those were. Half a second of eight is enough
/// for the last writes of a host with a fifth of a core.
const RELAY_RESERVE_DIVISOR: u32 = 16;
/// Time for the last answers to be written once the bound is reached.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(150);

/// How far a planned stop is.
#[derive(Debug, Default)]
pub struct Stop {
    started: Option<Time>,
    /// Whether every connection of a caller is closed.
    idle: bool,
    phase: Phase,
}

/// Parts of a planned stop, in their order.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// New callers may come.
    #[default]
    Open,
    /// No new connection is taken.
    Closed,
    /// What ran has been given up.
    Abandoned,
    /// The process may end.
    Done,
}

impl Stop {
    /// Returns whether this host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.started.is_some()
    }

    /// Returns whether this host takes no new connections any more.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.phase >= Phase::Closed
    }
}

/// Begins the stop, or goes on with it.
pub fn step(core: &mut Core, event: StopEvent, out: &mut Effects) {
    match event {
        StopEvent::Begin if !core.stop.is_stopping() => begin(core, out),
        StopEvent::Begin => {}
        StopEvent::Idle => {
            core.stop.idle = true;
            finish_if_idle(core, out);
        }
    }
}

fn begin(core: &mut Core, out: &mut Effects) {
    core.stop.started = Some(core.now);
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
    let notice = notice.min(core.settings.limits.stop / 3);
    out.push(Effect::SetTimer {
        at: core.now.after(notice),
        timer: Timer::Stop,
    });
    // Peers pass this host over from now on; shards and loans move while it still answers.
    member::send_heartbeats(core, out);
    share::leave(core, out);
    order::release(core, out);
    super::once::view_changed(core, out);
    finish_if_idle(core, out);
}

/// Returns how many requests this host holds.
fn running(core: &Core) -> usize {
    core.requests.arena.len() + core.relay.calls.len()
}

/// Ends the process once nothing is left to do.
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

/// Why a planned stop ended with requests still running.
const STOP_TIMED_OUT: &str = "the bound is reached";

/// The notice is over, or the stop has reached its bound.
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

/// Returns the time after which this host gives up what still runs.
fn abandon_after(core: &Core) -> Duration {
    let stop = core.settings.limits.stop;
    if core.settings.relay.is_some() {
        stop.saturating_sub(stop / RELAY_RESERVE_DIVISOR)
    } else {
        stop
    }
}

/// Ends what still runs, so that each caller is told, and each request is in the log.
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

/// Logs a step of the stop, in the form of this host's other events.
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
