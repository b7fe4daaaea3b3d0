//! The switches of the stand-in, and its counts of calls.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Whether and how the service is out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Outage {
    /// It works.
    #[default]
    None,
    /// Calls are answered 503 at once; open watches are closed.
    Refuse,
    /// Calls get no answer until the outage ends; open watches fall silent.
    Hang,
}

/// Body of `POST /fault`; what is left out stays as it is.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultCall {
    pub down: Option<Down>,
    pub slow_ms: Option<u64>,
    pub lose_answers: Option<usize>,
    pub lose_key: Option<Box<str>>,
    pub freeze_watches: Option<bool>,
    pub lag_ms: Option<u64>,
    pub hosts_down: Option<bool>,
}

/// `true` and `"refuse"` are the same.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(untagged)]
pub(super) enum Down {
    Plain(bool),
    Named(DownName),
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub(super) enum DownName {
    Refuse,
    Hang,
}

impl From<Down> for Outage {
    fn from(down: Down) -> Self {
        match down {
            Down::Plain(false) => Self::None,
            Down::Plain(true) | Down::Named(DownName::Refuse) => Self::Refuse,
            Down::Named(DownName::Hang) => Self::Hang,
        }
    }
}

/// The switches as they stand.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub outage: Outage,
    pub slow: Duration,
    pub lose: usize,
    pub lose_key: Box<str>,
    pub lag: Duration,
    pub hosts_down: bool,
}

impl Faults {
    pub(super) fn apply(&mut self, call: &FaultCall) {
        if let Some(down) = call.down {
            self.outage = down.into();
        }
        if let Some(ms) = call.slow_ms {
            self.slow = Duration::from_millis(ms);
        }
        if let Some(n) = call.lose_answers {
            self.lose = n;
        }
        if let Some(key) = &call.lose_key {
            self.lose_key.clone_from(key);
        }
        if let Some(ms) = call.lag_ms {
            self.lag = Duration::from_millis(ms);
        }
        if let Some(down) = call.hosts_down {
            self.hosts_down = down;
        }
    }
}

/// Kinds of calls that are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Sort {
    Range,
    Put,
    Delete,
    Txn,
    Grant,
    Keepalive,
    Revoke,
    TimeLeft,
    Watch,
    Compaction,
}

/// Answer of `GET /calls`.
#[derive(Debug, Clone, Default, Serialize)]
pub(super) struct Calls {
    pub range: u64,
    pub put: u64,
    pub delete: u64,
    pub txn: u64,
    pub grant: u64,
    pub keepalive: u64,
    pub revoke: u64,
    pub time_left: u64,
    pub watch: u64,
    pub compaction: u64,
    pub hosts: u64,
    /// Watches waiting now; each counts as a call of the platform's budget.
    pub waiting: usize,
    /// Most watches that waited at once.
    pub most_waiting: usize,
    /// Calls answered with an error or left hanging in an outage.
    pub refused: u64,
    /// Answers lost on purpose.
    pub lost: u64,
    /// Most calls that came in one whole second since the last reset.
    pub busiest_second: u64,
    #[serde(skip)]
    second: u64,
    #[serde(skip)]
    in_second: u64,
}

impl Calls {
    /// Counts one call that came at `now`, in whole seconds since `start`.
    pub(super) fn count(&mut self, sort: Sort, start: Instant, now: Instant) {
        *match sort {
            Sort::Range => &mut self.range,
            Sort::Put => &mut self.put,
            Sort::Delete => &mut self.delete,
            Sort::Txn => &mut self.txn,
            Sort::Grant => &mut self.grant,
            Sort::Keepalive => &mut self.keepalive,
            Sort::Revoke => &mut self.revoke,
            Sort::TimeLeft => &mut self.time_left,
            Sort::Watch => &mut self.watch,
            Sort::Compaction => &mut self.compaction,
        } += 1;
        let second = now.saturating_duration_since(start).as_secs();
        if second != self.second {
            self.second = second;
            self.in_second = 0;
        }
        self.in_second += 1;
        self.busiest_second = self.busiest_second.max(self.in_second);
    }
}
