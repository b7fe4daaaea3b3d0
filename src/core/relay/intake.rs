//! Connections of callers, each admitted or closed before anything is read from it.
//!
//! The load balancer may hand most new connections of a failure domain to one host. Its event loop then lags, and it
//! reads requests that it answers too late, or not at all. A caller whose connection is closed unread may send any
//! request again, to another host. So a host whose loop lags admits connections at a limited rate, which it lowers until
//! the lag ends and raises afterwards.

use std::time::Duration;

use super::super::effect::Effect;
use super::super::time::Time;
use super::super::{Core, Effects};
use super::event::RelayEffect;
use super::note;

/// Lag of the event loop from which on a host is overloaded: a request takes some eight turns of the loop.
const MAX_LAG: Duration = Duration::from_millis(10);
/// Lag from which on a host only works off what it has read.
const SEVERE_LAG: Duration = Duration::from_millis(40);
/// Connections offered per second from which on a limit is set: with fewer, something else makes the loop lag, and closing them
/// does not end it.
const MIN_OFFERED: f64 = 100.0;
/// Time over which the lag and the rate of connections are measured.
const WINDOW: Duration = Duration::from_millis(150);
/// Measurements of the lag in a window: few may all meet a task that takes long.
const MIN_SAMPLES: u32 = 3;
/// Weight of the newest window in the usual rate of connections.
const USUAL_WEIGHT: f64 = 0.05;
/// First limit, as a multiple of the usual rate.
const START_FACTOR: f64 = 1.5;
/// Factor on the limit while the lag does not fall.
const DECREASE: f64 = 0.7;
/// Factor on the limit after a window without lag.
const INCREASE: f64 = 1.1;
/// Multiple of the rate offered from which on the limit is lifted.
const LIFT_FACTOR: f64 = 3.0;
/// Lowest limit, in connections per second: a host that says it is ready must go on taking some.
const MIN_RATE: f64 = 5.0;
/// Time for which unused admissions accumulate.
const BURST: Duration = Duration::from_millis(50);
/// Fraction of the file descriptors that callers' connections may take: each of their requests takes another for a
/// server, and idle connections to servers and hosts are kept beside them.
const CALLER_FRACTION: f64 = 0.375;
/// Fraction of these connections from which on callers are asked to close theirs after an answer.
const FULL_FRACTION: f64 = 0.75;

/// Connections of callers, and the lag of the event loop.
#[derive(Debug, Default)]
pub struct Intake {
    /// Open connections.
    open: usize,
    /// Largest number of open connections; `None` before it is known.
    max_open: Option<usize>,
    /// When the next measurement of the lag is due.
    due: Option<Time>,
    /// The newest measurement of the lag, and when it was taken.
    newest: (Time, Duration),
    window: Window,
    /// Shortest lag in the last window.
    lag: Duration,
    /// Connections offered per second while there was no lag.
    usual: f64,
    limit: Option<RateLimit>,
}

/// What was measured since a time.
#[derive(Debug, Clone, Copy, Default)]
struct Window {
    start: Time,
    /// Measurements of the lag.
    samples: u32,
    /// The shortest of them.
    min_lag: Duration,
    /// Connections that callers opened.
    offered: u32,
}

/// A limit on the rate at which connections are admitted.
#[derive(Debug, Clone, Copy)]
struct RateLimit {
    /// Connections per second.
    rate: f64,
    /// Connections that may be admitted, as of `refilled_at`.
    tokens: f64,
    refilled_at: Time,
    since: Time,
    /// Connections closed unread.
    closed: u64,
}

impl RateLimit {
    fn new(rate: f64, now: Time) -> Self {
        Self {
            rate: rate.max(MIN_RATE),
            tokens: 0.0,
            refilled_at: now,
            since: now,
            closed: 0,
        }
    }

    /// Admits a connection if one is due at a rate of at most `max`.
    fn admit(&mut self, max: f64, now: Time) -> bool {
        let rate = self.rate.min(max);
        let gained = rate * now.since(self.refilled_at).as_secs_f64();
        let max_tokens = (rate * BURST.as_secs_f64()).max(1.0);
        self.tokens = (self.tokens + gained).min(max_tokens);
        self.refilled_at = now;
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        } else {
            self.closed += 1;
        }
        admitted
    }
}

impl Intake {
    /// Whether callers should open their next connections to other hosts.
    #[must_use]
    pub fn is_strained(&self) -> bool {
        let full = |max: usize| self.open as f64 >= max as f64 * FULL_FRACTION;
        self.limit.is_some() || self.max_open.is_some_and(full)
    }

    /// Returns the lag of the event loop in a time until now, as far as it is known; zero if it is short.
    #[must_use]
    pub fn lag_since(&self, start: Time, now: Time) -> Duration {
        let (at, newest) = self.newest;
        let measured = if at >= start { newest } else { Duration::ZERO };
        let overdue = self.due.map_or(Duration::ZERO, |due| now.since(due));
        let lag = measured.max(overdue);
        if lag > MAX_LAG { lag } else { Duration::ZERO }
    }

    /// Adjusts the limit after a window; returns a limit that was lifted.
    fn adjust(&mut self, now: Time) -> Option<RateLimit> {
        let window = self.window;
        let offered = f64::from(window.offered) / now.since(window.start).as_secs_f64();
        let (lag, previous) = (
            window.min_lag,
            std::mem::replace(&mut self.lag, window.min_lag),
        );
        let lags = lag > MAX_LAG;
        match &mut self.limit {
            None if lags && offered >= MIN_OFFERED => {
                self.limit = Some(RateLimit::new(self.usual * START_FACTOR, now));
            }
            None => self.usual += (offered - self.usual) * USUAL_WEIGHT,
            Some(limit) if lags && lag >= previous => {
                limit.rate = (limit.rate * DECREASE).max(MIN_RATE);
            }
            Some(_) if lags => {}
            Some(limit) if limit.rate > offered * LIFT_FACTOR => return self.limit.take(),
            Some(limit) => limit.rate *= INCREASE,
        }
        None
    }
}

/// Decides on a connection that a caller opened.
pub(super) fn connected(core: &mut Core, out: &mut Effects) {
    let now = core.now;
    let intake = &mut core.relay.intake;
    intake.window.offered += 1;
    let max = if intake.lag > SEVERE_LAG {
        MIN_RATE
    } else {
        f64::INFINITY
    };
    let has_room = intake.max_open.is_none_or(|max| intake.open < max);
    let limit = &mut intake.limit;
    if has_room && limit.as_mut().is_none_or(|limit| limit.admit(max, now)) {
        intake.open += 1;
        out.push(Effect::Relay(RelayEffect::AdmitConnection));
    }
}

/// Handles the number of file descriptors that this process may open.
pub(super) fn set_descriptors(core: &mut Core, count: u64, out: &mut Effects) {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a fraction of a number of descriptors"
    )]
    let max = (count as f64 * CALLER_FRACTION) as usize;
    let max = max.max(1);
    core.relay.intake.max_open = Some(max);
    let fields = vec![
        ("descriptors", count.to_string().into()),
        ("callers", max.to_string().into()),
    ];
    note(out, log::Level::Info, "host.descriptors", fields);
}

/// Handles the end of an admitted connection.
pub(super) fn disconnected(core: &mut Core) {
    let open = &mut core.relay.intake.open;
    *open = open.saturating_sub(1);
}

/// Measures the lag of the event loop at a periodic timer, which is due again after `interval`.
pub(super) fn measure(core: &mut Core, interval: Duration, out: &mut Effects) {
    let (now, is_ready) = (core.now, core.relay.ready().is_ok());
    let intake = &mut core.relay.intake;
    let due = intake.due.replace(now.after(interval));
    // A host that starts has much to read, and refuses requests until then.
    let Some(due) = due.filter(|_| is_ready) else {
        return;
    };
    let lag = now.since(due);
    intake.newest = (now, lag);
    let window = &mut intake.window;
    window.min_lag = if window.samples == 0 {
        lag
    } else {
        window.min_lag.min(lag)
    };
    window.samples += 1;
    if window.samples < MIN_SAMPLES || now.since(window.start) < WINDOW {
        return;
    }
    let was_limited = intake.limit.is_some();
    let lifted = intake.adjust(now);
    intake.window = Window {
        start: now,
        ..Window::default()
    };
    if let Some(limit) = lifted {
        log_lifted(&limit, now, out);
    } else if !was_limited && intake.limit.is_some() {
        log_limited(intake, out);
    }
}

fn log_limited(intake: &Intake, out: &mut Effects) {
    let rate = intake.limit.map_or(0.0, |limit| limit.rate);
    let fields = vec![
        ("lag_ms", intake.lag.as_millis().to_string().into()),
        ("open", intake.open.to_string().into()),
        ("rate", format!("{rate:.0}").into()),
    ];
    note(out, log::Level::Warn, "callers.limited", fields);
}

fn log_lifted(limit: &RateLimit, now: Time, out: &mut Effects) {
    let lasted = now.since(limit.since).as_millis();
    let fields = vec![
        ("closed", limit.closed.to_string().into()),
        ("lasted_ms", lasted.to_string().into()),
        ("rate", format!("{:.0}", limit.rate).into()),
    ];
    note(out, log::Level::Info, "callers.unlimited", fields);
}
