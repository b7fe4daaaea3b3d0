//! Pushback: with a refusal a backend server may name a time in which it wants no requests from this host.
//!
//! Nothing is sent to it meanwhile, whatever the purpose. Afterwards it gets one request at a time until one succeeds: it
//! was overloaded, and many hosts may have waited for the same end.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::event::NamedPushback;
use super::instance::Instance;
use super::{millis, note};
use crate::core::Effects;
use crate::core::time::Time;

/// Longest pushback that is kept to; a server that names a longer one gets requests again then.
const MAX_PUSHBACK: Duration = Duration::from_hours(1);
/// Upper bound, as a fraction of a pushback, of the random time that a host adds to it: a server often names the same one
/// to all hosts at the same moment.
const MAX_JITTER_FRACTION: f64 = 0.25;
/// Upper bound of that time.
const MAX_JITTER: Duration = Duration::from_secs(2);
/// Time for which a request after a pushback may be unanswered before another one is sent.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// The latest pushback of a backend server towards this host.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Pushback {
    /// Its end; it is over if that is in the past.
    until: Time,
    /// Whether no request succeeded since its end.
    unproven: bool,
    /// When the next request may be sent while none succeeded.
    next_trial: Time,
    /// Whether the last refusal named a pushback that cannot be parsed.
    unreadable: bool,
}

impl Pushback {
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

    /// Records that a request succeeded. One that was sent before the pushback and ends within it proves nothing.
    pub fn succeeded(&mut self, now: Time) {
        if now >= self.until {
            self.unproven = false;
        }
    }

    /// Applies the pushback that a refusal names. A shorter one does not end a longer one: each refusal holds for its time.
    fn update(&mut self, pushback: Duration, now: Time, rng: &mut impl Rng) {
        if pushback.is_zero() {
            return;
        }
        let pushback = pushback.min(MAX_PUSHBACK);
        let jitter = pushback.mul_f64(rng.random_range(0.0..MAX_JITTER_FRACTION));
        self.until = self.until.max(now.after(pushback + jitter.min(MAX_JITTER)));
        self.next_trial = self.until;
        self.unproven = true;
    }
}

/// Handles the pushback that a refusal names.
pub fn observe(
    instance: &mut Instance,
    named: NamedPushback,
    now: Time,
    rng: &mut impl Rng,
    out: &mut Effects,
) {
    let pushback = match named {
        NamedPushback::None => return,
        NamedPushback::For(pushback) => pushback,
        NamedPushback::Unreadable => {
            if !std::mem::replace(&mut instance.pushback.unreadable, true) {
                log_pushback(instance, "unreadable".into(), out);
            }
            return;
        }
    };
    instance.pushback.unreadable = false;
    instance.pushback.update(pushback, now, rng);
    log_pushback(instance, format!("{:.0}", millis(pushback)).into(), out);
}

fn log_pushback(instance: &Instance, pushback: Box<str>, out: &mut Effects) {
    let fields = vec![("backend", instance.id.clone()), ("pushback_ms", pushback)];
    note(out, log::Level::Info, "backend.pushback", fields);
}
