//! Poison requests in the store.
//!
//! What only hosts remember is lost when all of them are restarted, and a host that starts later has
//! received none of the reports. One host therefore writes each refused request to the store, and one
//! removes it once it is no longer refused. Each waits for a random time first, so that the others see
//! the change in the store and make no call.

use std::time::Duration;

use rand::RngExt;
use serde_json::{Value, json};

use super::super::super::effect::Effect;
use super::super::super::time::Time;
use super::super::super::{Core, Effects};
use super::super::event::{Changes, CrashReport, KeyChange};
use super::super::{RelayJob, RelayTimer, job, note, wake};
use super::{CrashRecord, fingerprint_text, log_cleared, record_reported};
use crate::store::{Op, Span, Txn};

/// Prefix of the store's keys of poison requests.
const POISON_PREFIX: &str = "poison/";
/// Source, in the log, of a crash that the store holds.
const STORE_SOURCE: &str = "store";
/// Time after which hosts that saw a crash write the request, unless the servers turn out to be alive.
const OWN_WRITE_DELAY: Duration = Duration::from_millis(400);
/// Time after which hosts that saw none write it: the others may have been stopped.
const OTHER_WRITE_DELAY: Duration = Duration::from_secs(2);
/// Time within which hosts remove requests that are no longer refused.
const REMOVE_DELAY: Duration = Duration::from_secs(50);
/// Time after which a write or a removal that the store does not show is repeated.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// Shortest time between two calls of one host.
const MIN_SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// Writes and removals in one call; the store accepts 32.
const MAX_CALL_KEYS: usize = 16;

/// Schedules a write of a request, if it is refused from now on.
pub(super) fn crash_recorded(core: &mut Core, fingerprint: u64, out: &mut Effects) {
    let now = core.now;
    let record = core.relay.poison_requests.records.get(&fingerprint);
    let is_due = record.is_some_and(|record| {
        record.is_blocked(now) && !record.is_stored && record.sync_at.is_none()
    });
    if is_due {
        schedule_write(core, fingerprint, out);
    }
}

/// Schedules the removal of a request that was answered.
pub(super) fn cleared(core: &mut Core, fingerprint: u64, out: &mut Effects) {
    let record = core.relay.poison_requests.records.get(&fingerprint);
    if record.is_some_and(|record| record.is_stored) {
        schedule(core, fingerprint, Duration::ZERO, out);
    }
}

fn schedule_write(core: &mut Core, fingerprint: u64, out: &mut Effects) {
    let record = core.relay.poison_requests.records.get(&fingerprint);
    let delay = if record.is_some_and(|record| record.is_own) {
        OWN_WRITE_DELAY
    } else {
        OTHER_WRITE_DELAY
    };
    // Others see the write of the first and make none.
    let delay = delay.mul_f64(core.rng.random_range(1.0..2.0));
    schedule(core, fingerprint, delay, out);
}

fn schedule(core: &mut Core, fingerprint: u64, after: Duration, out: &mut Effects) {
    let at = core.now.after(after);
    if let Some(record) = core.relay.poison_requests.records.get_mut(&fingerprint) {
        record.sync_at = Some(at);
        arm_timer(core, at, out);
    }
}

/// Sets the timer for the next call, unless it is due by then.
pub(in super::super) fn arm_timer(core: &mut Core, at: Time, out: &mut Effects) {
    let requests = &mut core.relay.poison_requests;
    let earliest = requests
        .last_sync
        .map_or(at, |last| at.max(last.after(MIN_SYNC_INTERVAL)));
    // Timers have a resolution of a millisecond.
    let at = Time::from_millis(earliest.millis() + 1);
    if requests.timer.is_none_or(|timer| at < timer) {
        requests.timer = Some(at);
        let after = at.since(core.now);
        wake(core, after, RelayTimer::SyncPoison, out);
    }
}

/// Writes requests that are refused and not in the store, and removes those that are in the store and
/// no longer refused.
pub fn sync(core: &mut Core, out: &mut Effects) {
    let (now, wall_ms) = (core.now, core.wall_ms());
    let requests = &mut core.relay.poison_requests;
    if requests.timer.is_none_or(|timer| now < timer) {
        // An earlier timer took the place of this one.
        return;
    }
    requests.timer = None;
    let mut ops = Vec::new();
    for (fingerprint, record) in &mut requests.records {
        if ops.len() == MAX_CALL_KEYS || record.sync_at.is_none_or(|at| at > now) {
            continue;
        }
        let key = format!("{POISON_PREFIX}{}", fingerprint_text(*fingerprint));
        record.sync_at = Some(now.after(RETRY_DELAY));
        match (record.is_blocked(now), record.is_stored) {
            (true, false) => ops.push(Op::Put {
                key: key.into(),
                value: encode(record, now, wall_ms).into(),
                lease: 0,
            }),
            (false, true) => ops.push(Op::Delete(Span::Key(key.into()))),
            // It crashed another server since it was written.
            (true, true) => {
                let expiry = now.after(record.blocked_for(now));
                record.sync_at = Some(expiry.after(REMOVE_DELAY));
            }
            (false, false) => record.sync_at = None,
        }
    }
    let room = MAX_CALL_KEYS - ops.len();
    ops.extend(core.relay.parts.sync(room, now, wall_ms));
    let requests = &mut core.relay.poison_requests;
    if !ops.is_empty() {
        requests.last_sync = Some(now);
        let txn = Txn {
            then: ops,
            ..Txn::default()
        };
        let job = job(core, RelayJob::Poison);
        out.push(Effect::Txn { job, txn });
    }
    let records = core.relay.poison_requests.records.values();
    let next = records.filter_map(|record| record.sync_at).min();
    if let Some(next) = next.into_iter().chain(core.relay.parts.next_sync()).min() {
        arm_timer(core, next, out);
    }
}

/// Handles changes of poison requests in the store.
pub fn changed(core: &mut Core, changes: &Changes, out: &mut Effects) {
    if changes.is_snapshot {
        let stored = core.relay.poison_requests.records.iter_mut();
        let stored = stored.filter_map(|(fingerprint, record)| {
            std::mem::take(&mut record.is_stored).then_some(*fingerprint)
        });
        // A store that was restored from an older copy may have lost them.
        for fingerprint in stored.collect::<Vec<_>>() {
            schedule_write(core, fingerprint, out);
        }
    }
    for change in &changes.keys {
        let Some(name) = change.key.strip_prefix(POISON_PREFIX) else {
            continue;
        };
        match u64::from_str_radix(name, 16) {
            Ok(fingerprint) => key_changed(core, fingerprint, change, out),
            Err(err) => log_unreadable(change, &err.to_string(), out),
        }
    }
}

fn key_changed(core: &mut Core, fingerprint: u64, change: &KeyChange, out: &mut Effects) {
    let Some(value) = &change.value else {
        // It was answered, or is no longer refused.
        if let Some(record) = core.relay.poison_requests.records.get_mut(&fingerprint) {
            if record.count() > 0 {
                log_cleared(fingerprint, "removed-from-store", out);
            }
            record.clear();
            record.is_stored = false;
            record.sync_at = None;
        }
        return;
    };
    let Some((servers, last_ms)) = decode(value) else {
        log_unreadable(change, "expected servers and last_ms", out);
        return;
    };
    let age = Duration::from_millis(core.wall_ms().saturating_sub(last_ms));
    let at = core.now.before(age);
    for (instance, started_ms) in servers {
        let crash = CrashReport {
            fingerprint,
            instance,
            started_ms,
            number: 0,
        };
        record_reported(core, crash, at, STORE_SOURCE, out);
    }
    let Some(record) = core.relay.poison_requests.records.get_mut(&fingerprint) else {
        return;
    };
    record.is_stored = true;
    let delay = record.blocked_for(core.now) + REMOVE_DELAY.mul_f64(core.rng.random());
    schedule(core, fingerprint, delay, out);
}

fn log_unreadable(change: &KeyChange, why: &str, out: &mut Effects) {
    let fields = vec![("key", change.key.clone()), ("why", why.into())];
    note(out, log::Level::Warn, "poison.unreadable", fields);
}

/// Returns a record as the store holds it: the crashed processes, and the wall clock at the last crash in
/// milliseconds since the Unix epoch.
fn encode(record: &CrashRecord, now: Time, wall_ms: u64) -> Vec<u8> {
    let counted = record.crashes.iter().filter(|(_, crash)| crash.counts);
    let servers: Vec<Value> = counted.map(|(server, _)| json!(server)).collect();
    let age = now.since(record.last_crash).as_millis();
    let last_ms = wall_ms.saturating_sub(u64::try_from(age).unwrap_or(u64::MAX));
    json!({ "servers": servers, "last_ms": last_ms })
        .to_string()
        .into_bytes()
}

fn decode(value: &[u8]) -> Option<(Vec<(u32, u64)>, u64)> {
    let mut value: Value = serde_json::from_slice(value).ok()?;
    let servers = serde_json::from_value(value["servers"].take()).ok()?;
    Some((servers, value["last_ms"].as_u64()?))
}
