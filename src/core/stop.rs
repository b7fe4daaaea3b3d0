//! Planned stop of this host: no new work, every request finished, then the end.

use std::time::Duration;

use super::effect::{Effect, log_event};
use super::event::{StopEvent, Timer};
use super::{Core, Effects, Time, member, order, share, trace};

/// Time between the first word of the stop and the end of new connections.
///
/// The balancer hears of it from the readiness check, which it asks about once a second; closed
/// at once, the listener would refuse callers whom the balancer still sends here.
const NOTICE: Duration = Duration::from_secs(1);

/// The same for a host that relays: its balancer takes a host out after two checks without a yes,
/// which come once a second.
const RELAY_NOTICE: Duration = Duration::from_millis(2500);

/// How far a planned stop is.
#[derive(Debug, Default)]
pub struct Stop {
    since: Option<Time>,
    closed: bool,
    idle: bool,
    done: bool,
}

impl Stop {
    /// Returns whether this host is stopping.
    #[must_use]
    pub fn begun(&self) -> bool {
        self.since.is_some()
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
    out.push(log_event(
        log::Level::Info,
        "host.stopping",
        "a planned stop began",
    ));
    let notice = if core.settings.relay.is_some() {
        RELAY_NOTICE
    } else {
        NOTICE
    };
    let notice = notice.min(core.settings.limits.stop / 3);
    out.push(Effect::Wake {
        at: core.now.after(notice),
        timer: Timer::Stop,
    });
    // Peers pass this host over from now on; shards and loans move while it still answers.
    member::beats(core, out);
    share::leave(core, out);
    order::release(core, out);
    super::once::moved(core, out);
    look(core, out);
}

/// Ends the process once nothing is left to do.
pub fn look(core: &mut Core, out: &mut Effects) {
    let stop = &core.stop;
    if !stop.begun() || stop.done || !stop.idle {
        return;
    }
    if core.requests.arena.is_empty() && core.once.idle() && core.relay.calls.is_empty() {
        finish(core, "every request is finished", out);
    }
}

/// The notice is over, or the stop has reached its bound.
pub fn timer(core: &mut Core, out: &mut Effects) {
    let Some(since) = core.stop.since else {
        return;
    };
    if !core.stop.closed {
        core.stop.closed = true;
        out.push(Effect::Close);
        out.push(Effect::Wake {
            at: since.after(core.settings.limits.stop),
            timer: Timer::Stop,
        });
    } else if !core.stop.done {
        let left = core.requests.arena.len() + core.relay.calls.len();
        let text = format!("the bound is reached with {left} requests running");
        out.push(log_event(log::Level::Error, "host.stop_bound", text));
        finish(core, "the bound is reached", out);
    }
}

fn finish(core: &mut Core, why: &str, out: &mut Effects) {
    core.stop.done = true;
    trace::flush(core, out);
    member::unregister(core, out);
    out.push(log_event(log::Level::Info, "host.stopped", why));
    out.push(Effect::Exit);
}
