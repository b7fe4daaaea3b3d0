//! Orders of workers that were given, and when one is due.

use std::collections::BTreeMap;
use std::time::Duration;

use super::plan::Supply;
use crate::core::time::Time;

/// Pause before an order that was not carried out is given again.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Time in addition to the start of a worker after which the list must show what was ordered.
const LISTING_MARGIN: Duration = Duration::from_secs(4);

/// What an order is about: service, failure domain and kind of workers.
pub type Subject = (Box<str>, Box<str>, Supply);

/// The last order on a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Given {
    /// Number of workers.
    count: u32,
    /// When it was given.
    at: Time,
    /// Whether the platform accepted it.
    accepted: bool,
    /// Number of the call that awaits its answer.
    call: Option<u64>,
}

/// Orders given by this host under one fencing number.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    fence: u64,
    given: BTreeMap<Subject, Given>,
}

impl Orders {
    /// Forgets the orders of another fencing number: another host may have given orders since.
    pub fn begin(&mut self, fence: u64) {
        if self.fence != fence {
            *self = Self {
                fence,
                given: BTreeMap::new(),
            };
        }
    }

    /// Returns the number of workers last ordered.
    #[must_use]
    pub fn last(&self, subject: &Subject) -> Option<u32> {
        self.given.get(subject).map(|given| given.count)
    }

    /// Returns whether `count` workers are to be ordered, where the list shows `present`; workers take `boot` to start.
    ///
    /// An order of an earlier holder, or one whose answer was lost, may be carried out after a newer one. The list shows
    /// that, and the count is ordered again.
    #[must_use]
    pub fn is_due(
        &self,
        subject: &Subject,
        count: u32,
        present: u32,
        boot: Duration,
        now: Time,
    ) -> bool {
        let Some(given) = self.given.get(subject) else {
            return count != present;
        };
        let age = now.since(given.at);
        if given.call.is_some() {
            return false;
        }
        if !given.accepted {
            return age >= RETRY_INTERVAL;
        }
        given.count != count || present != count && age >= boot + LISTING_MARGIN
    }

    /// Records that an order was given.
    pub fn sent(&mut self, subject: Subject, count: u32, number: u64, now: Time) {
        let given = Given {
            count,
            at: now,
            accepted: false,
            call: Some(number),
        };
        self.given.insert(subject, given);
    }

    /// Records the answer to an order.
    pub fn answered(&mut self, subject: &Subject, number: u64, accepted: bool) {
        let given = self.given.get_mut(subject);
        if let Some(given) = given.filter(|given| given.call == Some(number)) {
            given.call = None;
            given.accepted = accepted;
        }
    }
}
