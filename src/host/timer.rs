//! Timers: the core schedules a time and receives an event when it is due.
//!
//! They use tokio's timers, since the timer wheel of the HTTP library is too coarse.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use rustix::time::{ClockId, clock_gettime};
use tokio::sync::Notify;

use super::node::Node;
use crate::core::event::Timer;
use crate::core::{Event, Time};

/// Reads the boot-time clock, which keeps running while the machine is suspended.
///
/// After a suspension the holder of a lease must see that the lease has expired; the ordinary
/// monotonic clock stops while the machine is suspended.
#[must_use]
pub fn now() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    let secs = u64::try_from(now.tv_sec).unwrap_or(0);
    let micros = u64::try_from(now.tv_nsec / 1000).unwrap_or(0);
    Time::from_micros(secs * 1_000_000 + micros)
}

/// Pending timers, in order of their time.
#[derive(Debug, Default)]
pub struct Timers {
    queue: RefCell<BTreeMap<(Time, u64), Timer>>,
    next_id: Cell<u64>,
    rescheduled: Notify,
}

impl Timers {
    /// Schedules an event.
    pub fn schedule(&self, at: Time, timer: Timer) {
        let count = self.next_id.get();
        self.next_id.set(count + 1);
        let mut queue = self.queue.borrow_mut();
        let first = queue.first_key_value().map(|(key, _)| *key);
        queue.insert((at, count), timer);
        if first.is_none_or(|first| at < first.0) {
            self.rescheduled.notify_one();
        }
    }

    fn pop_due(&self, now: Time) -> Option<Timer> {
        let mut queue = self.queue.borrow_mut();
        let entry = queue.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }

    fn next_at(&self) -> Option<Time> {
        self.queue.borrow().first_key_value().map(|(key, _)| key.0)
    }
}

/// Feeds due timers to the core until the process ends.
pub async fn run(node: Rc<Node>) {
    loop {
        while let Some(timer) = node.timers.pop_due(now()) {
            node.apply(Event::Timer(timer));
        }
        let next = node.timers.next_at();
        let wait = async {
            match next {
                Some(at) => tokio::time::sleep(at.since(now())).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = wait => {}
            () = node.timers.rescheduled.notified() => {}
        }
    }
}
