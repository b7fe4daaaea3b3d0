//! Planned stop of this host: no new work, every request finished, then the end.

use std::time::Duration;

use super::effect::{Effect, Note, log_event};
use super::event::{StopEvent, Timer};
use super::{Core, Effects, Time, member, order, share, trace};

/// Time between the first word of the stop and the end of new connections.
///
/// The balancer hears of it from the readiness check, which it asks about once a second; closed
/// at once, the listener would refuse callers whom the balancer still sends here.
const NOTICE: Duration = Duration::from_secs(1);

/// The same for a host that relays: its balancer takes a host out after two checks without a yes,
/// which come once a second.
///
/// Requests that come on kept connections later are refused: a stream taken then may last longer
/// than the host may, and is cut when the host is killed.
const RELAY_NOTICE: Duration = Duration::from_millis(2500);
/// Part of the time for a planned stop that is left when a relaying host gives up what still runs.
///
/// The platform kills the host at the end of that time: the callers would see their connections
/// vanish, and the log would not say whose requests those were. Half a second of eight is enough
/// for the last writes of a host with a fifth of a core.
const LEFT: u32 = 16;
/// Time for the last answers to be written once the bound is reached.
const LAST_WRITES: Duration = Duration::from_millis(150);

/// How far a planned stop is.
#[derive(Debug, Default)]
pub struct Stop {
    since: Option<Time>,
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
    GivenUp,
    /// The process may end.
    Done,
}

impl Stop {
    /// Returns whether this host is stopping.
    #[must_use]
    pub fn begun(&self) -> bool {
        self.since.is_some()
    }

    /// Returns whether this host takes no new connections any more.
    #[must_use]
    pub fn closed(&self) -> bool {
        self.phase >= Phase::Closed
    }
}

/// Begins the stop, or goes on with it.
pub fn step(core: &mut Core, event: StopEvent, out: &mut Effects) {
    match event {
        StopEvent::Begin if !core.stop.begun() => begin(core, out),
        StopEvent::Begin => {}
        StopEvent::Idle => {
            core.stop.idle = true;
            look(core, out);
        }
    }
}

fn begin(core: &mut Core, out: &mut Effects) {
    core.stop.since = Some(core.now);
    let running = running(core);
    say(
        core,
        log::Level::Info,
        "host.stopping",
        "a planned stop began",
        running,
        out,
    );
    let notice = if core.settings.relay.is_some() {
        RELAY_NOTICE
    } else {
        NOTICE
    };
    let notice = notice.min(core.settings.limits.stop_timeout / 3);
    out.push(Effect::Wake {
        at: core.now.after(notice),
        timer: Timer::Stop,
    });
    // Peers pass this host over from now on; shards and loans move while it still answers.
    member::send_heartbeats(core, out);
    share::leave(core, out);
    order::release(core, out);
    super::once::view_changed(core, out);
    look(core, out);
}

/// Returns how many requests this host holds.
fn running(core: &Core) -> usize {
    core.requests.arena.len() + core.relay.calls.len()
}

/// Ends the process once nothing is left to do.
pub fn look(core: &mut Core, out: &mut Effects) {
    let stop = &core.stop;
    if !stop.begun() || stop.phase == Phase::Done || !stop.idle {
        return;
    }
    if running(core) == 0 && core.once.idle() {
        let why = if stop.phase == Phase::GivenUp {
            BOUND_REACHED
        } else {
            "every request is finished"
        };
        finish(core, why, out);
    }
}

/// Why a planned stop ended with requests still running.
const BOUND_REACHED: &str = "the bound is reached";

/// The notice is over, or the stop has reached its bound.
pub fn timer(core: &mut Core, out: &mut Effects) {
    let Some(since) = core.stop.since else {
        return;
    };
    match core.stop.phase {
        Phase::Open => {
            core.stop.phase = Phase::Closed;
            out.push(Effect::Close);
            out.push(Effect::Wake {
                at: since.after(bound(core)),
                timer: Timer::Stop,
            });
        }
        Phase::Closed => give_up(core, out),
        Phase::GivenUp => finish(core, BOUND_REACHED, out),
        Phase::Done => {}
    }
}

/// Returns the time after which this host gives up what still runs.
fn bound(core: &Core) -> Duration {
    let stop = core.settings.limits.stop_timeout;
    if core.settings.relay.is_some() {
        stop.saturating_sub(stop / LEFT)
    } else {
        stop
    }
}

/// Ends what still runs, so that each caller is told, and each request is in the log.
fn give_up(core: &mut Core, out: &mut Effects) {
    core.stop.phase = Phase::GivenUp;
    let running = running(core);
    say(
        core,
        log::Level::Error,
        "host.stop_bound",
        BOUND_REACHED,
        running,
        out,
    );
    super::relay::abandon_all(core, BOUND_REACHED, out);
    out.push(Effect::Wake {
        at: core.now.after(LAST_WRITES),
        timer: Timer::Stop,
    });
}

fn finish(core: &mut Core, why: &str, out: &mut Effects) {
    core.stop.phase = Phase::Done;
    trace::flush(core, out);
    member::unregister(core, out);
    let running = running(core);
    say(core, log::Level::Info, "host.stopped", why, running, out);
    out.push(Effect::Exit);
}

/// Logs a step of the stop, in the form of this host's other events.
fn say(
    core: &Core,
    level: log::Level,
    name: &'static str,
    why: &str,
    running: usize,
    out: &mut Effects,
) {
    if core.settings.relay.is_some() {
        out.push(Effect::Note(Note {
            level,
            name,
            fields: vec![("why", why.into()), ("running", running.to_string().into())],
        }));
    } else {
        let text = format!("{why}, with {running} requests running");
        out.push(log_event(level, name, text));
    }
}
