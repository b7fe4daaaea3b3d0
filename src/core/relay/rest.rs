//! Rests that backend servers ask for: with a refusal a server may name a time in which it wants no requests from this
//! host.
//!
//! Nothing is sent to a resting server, whatever the purpose. After its rest a server gets one request at a time, until
//! one succeeds: it was overloaded, and many hosts may have waited for the same end.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::event::NamedRest;
use super::instance::Instance;
use super::{millis, note};
use crate::core::Effects;
use crate::core::time::Time;

/// Longest rest that is kept to; a server that names a longer one gets requests again then.
const MAX_REST: Duration = Duration::from_hours(1);
/// Upper bound, as a fraction of a rest, of the random time that a host adds to it: a server often asks all hosts for the
/// same rest at the same moment.
const MAX_JITTER_FRACTION: f64 = 0.25;
/// Upper bound of that time.
const MAX_JITTER: Duration = Duration::from_secs(2);
/// Time for which a request after a rest may be unanswered before another one is sent.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// The rest that a backend server last asked this host for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Rest {
    /// Its end; it is over if that is in the past.
    until: Time,
    /// Whether no request succeeded since its end.
    unproven: bool,
    /// When the next request may be sent while none succeeded.
    next_trial: Time,
    /// Whether the last refusal named a rest that cannot be parsed.
    unreadable: bool,
}

impl Rest {
    /// Returns the time until its end; zero if it is over.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn admits(&self, now: Time) -> bool {
        now >= self.until && (!self.unproven || now >= self.next_trial)
    }

    /// Records that a request was sent.
    pub fn sent(&mut self, now: Time) {
        self.next_trial = now.after(TRIAL_INTERVAL);
    }

    /// Records that a request succeeded. One that was sent before the rest and ends within it proves nothing.
    pub fn succeeded(&mut self, now: Time) {
        if now >= self.until {
            self.unproven = false;
        }
    }

    /// Applies the rest that a refusal names. A shorter rest does not end a longer one: each refusal holds for its time.
    fn update(&mut self, rest: Duration, now: Time, rng: &mut impl Rng) {
        if rest.is_zero() {
            return;
        }
        let rest = rest.min(MAX_REST);
        let jitter = rest.mul_f64(rng.random_range(0.0..MAX_JITTER_FRACTION));
        self.until = self.until.max(now.after(rest + jitter.min(MAX_JITTER)));
        self.next_trial = self.until;
        self.unproven = true;
    }
}

/// Handles the rest that a refusal names.
pub fn observe(
    instance: &mut Instance,
    named: NamedRest,
    now: Time,
    rng: &mut impl Rng,
    out: &mut Effects,
) {
    let rest = match named {
        NamedRest::None => return,
        NamedRest::For(rest) => rest,
        NamedRest::Unreadable => {
            if !std::mem::replace(&mut instance.rest.unreadable, true) {
                log_rest(instance, "unreadable".into(), out);
            }
            return;
        }
    };
    instance.rest.unreadable = false;
    instance.rest.update(rest, now, rng);
    log_rest(instance, format!("{:.0}", millis(rest)).into(), out);
}

fn log_rest(instance: &Instance, rest: Box<str>, out: &mut Effects) {
    let fields = vec![("backend", instance.id.clone()), ("rest_ms", rest)];
    note(out, log::Level::Info, "backend.rest", fields);
}
