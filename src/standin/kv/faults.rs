//! Faults of the stand-in, and its call counts.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Whether and how the service is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Outage {
    /// The service works.
    #[default]
    None,
    /// Calls are answered with 503 without delay; open watches are closed.
    Refuse,
    /// Calls get no answer, and their connections are closed when the hang ends; open watches send
    /// nothing.
    Hang,
}

/// Body of `POST /fault`; omitted fields leave their fault unchanged.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct FaultRequest {
    pub down: Option<Down>,
    pub slow_ms: Option<u64>,
    pub lose_answers: Option<usize>,
    pub lose_key: Option<Box<str>>,
    pub freeze_watches: Option<bool>,
    pub lag_ms: Option<u64>,
    pub hosts_down: Option<bool>,
}

/// Value of `down`; `true` and `"refuse"` mean the same.
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

/// Faults in force.
#[derive(Debug, Default)]
pub(super) struct Faults {
    pub outage: Outage,
    pub delay: Duration,
    /// Number of next answers to changes of keys that are lost.
    pub answers_to_lose: usize,
    /// Prefix of the keys whose changes lose answers; empty for all keys.
    pub lose_prefix: Box<str>,
    /// Age at which the list of hosts is served.
    pub list_lag: Duration,
    pub hosts_down: bool,
}

impl Faults {
    pub(super) fn apply(&mut self, call: &FaultRequest) {
        if let Some(down) = call.down {
            self.outage = down.into();
        }
        if let Some(ms) = call.slow_ms {
            self.delay = Duration::from_millis(ms);
        }
        if let Some(n) = call.lose_answers {
            self.answers_to_lose = n;
        }
        if let Some(key) = &call.lose_key {
            self.lose_prefix.clone_from(key);
        }
        if let Some(ms) = call.lag_ms {
            self.list_lag = Duration::from_millis(ms);
        }
        if let Some(down) = call.hosts_down {
            self.hosts_down = down;
        }
    }
}

/// Kinds of calls that are counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
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
pub(super) struct CallCounts {
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
    /// Watches open now; each counts against the platform's call budget.
    #[serde(rename = "waiting")]
    pub open_watches: usize,
    /// Maximum of watches open at the same time.
    #[serde(rename = "most_waiting")]
    pub max_open_watches: usize,
    /// Calls answered with an error, or received during an outage.
    pub refused: u64,
    /// Answers lost by the fault `lose_answers`.
    pub lost: u64,
    /// Maximum of calls received in one whole second since the last reset.
    pub busiest_second: u64,
    #[serde(skip)]
    current_second: u64,
    #[serde(skip)]
    calls_in_second: u64,
}

impl CallCounts {
    /// Counts one call received at `now`; whole seconds are counted from `start`.
    pub(super) fn count(&mut self, kind: CallKind, start: Instant, now: Instant) {
        *match kind {
            CallKind::Range => &mut self.range,
            CallKind::Put => &mut self.put,
            CallKind::Delete => &mut self.delete,
            CallKind::Txn => &mut self.txn,
            CallKind::Grant => &mut self.grant,
            CallKind::Keepalive => &mut self.keepalive,
            CallKind::Revoke => &mut self.revoke,
            CallKind::TimeLeft => &mut self.time_left,
            CallKind::Watch => &mut self.watch,
            CallKind::Compaction => &mut self.compaction,
        } += 1;
        let current_second = now.saturating_duration_since(start).as_secs();
        if current_second != self.current_second {
            self.current_second = current_second;
            self.calls_in_second = 0;
        }
        self.calls_in_second += 1;
        self.busiest_second = self.busiest_second.max(self.calls_in_second);
    }
}
