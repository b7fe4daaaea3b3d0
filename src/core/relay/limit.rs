//! Limits that backend servers name: the requests a second that they take from all hosts together.

use super::super::key::AttemptKey;
use super::super::{Core, Effects};
use super::event::NamedLimit;
use super::note;

/// What is known of one backend server's limit.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Limit {
    /// What its answers last named.
    named: NamedLimit,
}

impl Limit {
    /// Returns the requests a second that all hosts together may send; `None` where there is no limit.
    #[must_use]
    pub fn rate(&self) -> Option<f64> {
        match self.named {
            NamedLimit::Rate(rate) => Some(rate),
            _ => None,
        }
    }
}

/// Takes in what an answer names.
pub fn named(core: &mut Core, attempt: AttemptKey, limit: NamedLimit, out: &mut Effects) {
    let Some(attempt) = core.relay.attempts.get(attempt) else {
        return;
    };
    let Some(instance) = core.relay.instances.arena.get_mut(attempt.backend) else {
        return;
    };
    if instance.limit.named == limit {
        return;
    }
    instance.limit.named = limit;
    let rate = match limit {
        NamedLimit::None => "none".into(),
        NamedLimit::Rate(rate) => format!("{rate:.2}").into(),
        NamedLimit::Unreadable => "unreadable".into(),
    };
    note(
        out,
        log::Level::Info,
        "backend.limit",
        vec![("backend", instance.id.clone()), ("rate", rate)],
    );
}
