//! Rests that backend servers ask for: with a refusal a server may name a time in which it wants no requests from this
//! host.

use std::time::Duration;

use super::event::NamedRest;
use super::instance::Instance;
use super::{millis, note};
use crate::core::Effects;
use crate::core::time::Time;

/// Longest rest that is kept to; a server that names a longer one gets requests again then.
const MAX_REST: Duration = Duration::from_hours(1);

/// The rest that a backend server last asked this host for.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Rest {
    /// Its end; it is over if that is in the past.
    until: Time,
    /// Whether the last refusal named a rest that cannot be parsed.
    unreadable: bool,
}

impl Rest {
    /// Returns the time until its end; zero if it is over.
    #[must_use]
    pub fn remaining(&self, now: Time) -> Duration {
        self.until.since(now)
    }

    /// Applies the rest that a refusal names. A shorter rest does not end a longer one: each refusal holds for its time.
    fn update(&mut self, rest: Duration, now: Time) {
        self.until = self.until.max(now.after(rest.min(MAX_REST)));
    }
}

/// Handles the rest that a refusal names.
pub fn observe(instance: &mut Instance, named: NamedRest, now: Time, out: &mut Effects) {
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
    instance.rest.update(rest, now);
    log_rest(instance, format!("{:.0}", millis(rest)).into(), out);
}

fn log_rest(instance: &Instance, rest: Box<str>, out: &mut Effects) {
    let fields = vec![("backend", instance.id.clone()), ("rest_ms", rest)];
    note(out, log::Level::Info, "backend.rest", fields);
}
