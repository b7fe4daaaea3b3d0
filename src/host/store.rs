//! Adapter for the key-value service: executes the core's reads and writes, keeps one watch open.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use super::node::Node;
use crate::core::event::{Health, Job, StoreEvent, StoreReply, StoreResult, WatchedKey};
use crate::core::{Effect, Event};
use crate::error::Ran;
use crate::store::{Batch, Compare, Op, OpReply, Range, Span, StoreError, Txn};

/// Prefix of the watched keys, after the deployment's prefix.
const WATCHED_PREFIX: &str = "w/";
/// Initial backoff before the watch is reopened after a failure.
const MIN_WATCH_BACKOFF: Duration = Duration::from_millis(200);
/// Largest backoff before the watch is reopened, before jitter.
///
/// All hosts lose the service at the same moment; the jitter spreads their reconnects.
const MAX_WATCH_BACKOFF: Duration = Duration::from_secs(5);

/// Executes an effect on the key-value service.
pub fn execute(node: &Rc<Node>, effect: Effect) {
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        let Some((job, result)) = run(&node, effect).await else {
            return;
        };
        let reply = StoreReply { job, result };
        node.apply(Event::Store(StoreEvent::Reply(reply)));
    });
}

async fn run(node: &Rc<Node>, effect: Effect) -> Option<(Job, StoreResult)> {
    let prefix = node.with_core(|core| core.settings.platform.prefix.clone());
    Some(match effect {
        Effect::Read { job, span } => {
            let read = node.store.range(full_span(&prefix, span)).await;
            let read = read.map(|range| StoreResult::Read(bare_range(&prefix, range)));
            (job, read.unwrap_or_else(|err| failure_result(&err)))
        }
        Effect::Txn { job, txn } => {
            let done = node.store.txn(full_txn(&prefix, txn)).await;
            let done = done.map(|mut reply| {
                for op_reply in &mut reply.replies {
                    if let OpReply::Got(pairs) = op_reply {
                        for pair in pairs {
                            pair.key = bare_key(&prefix, &pair.key);
                        }
                    }
                }
                StoreResult::Txn(reply)
            });
            (job, done.unwrap_or_else(|err| failure_result(&err)))
        }
        Effect::GrantLease { job, ttl } => {
            let lease = node.store.grant(ttl).await;
            (
                job,
                lease.map_or_else(|err| failure_result(&err), StoreResult::Lease),
            )
        }
        Effect::RenewLease { job, lease } => {
            let left = node.store.keepalive(lease).await;
            let lease = left.map(|left| if left.is_some() { lease } else { 0 });
            (
                job,
                lease.map_or_else(|err| failure_result(&err), StoreResult::Lease),
            )
        }
        Effect::RevokeLease(lease) => {
            if let Err(err) = node.store.revoke(lease).await {
                log::debug!("cannot revoke lease {lease}, it will expire: {err}");
            }
            return None;
        }
        _ => return None,
    })
}

fn failure_result(err: &StoreError) -> StoreResult {
    match err.ran() {
        Ran::No => StoreResult::Refused,
        Ran::Yes | Ran::Unknown => StoreResult::Unknown,
    }
}

fn full_key(prefix: &str, key: &str) -> Box<str> {
    format!("{prefix}{key}").into()
}

fn bare_key(prefix: &str, key: &str) -> Box<str> {
    key.strip_prefix(prefix).unwrap_or(key).into()
}

fn full_span(prefix: &str, span: Span) -> Span {
    match span {
        Span::Key(key) => Span::Key(full_key(prefix, &key)),
        Span::Prefix(key) => Span::Prefix(full_key(prefix, &key)),
    }
}

fn bare_range(prefix: &str, mut range: Range) -> Range {
    for pair in &mut range.pairs {
        pair.key = bare_key(prefix, &pair.key);
    }
    range
}

fn full_txn(prefix: &str, txn: Txn) -> Txn {
    let compare = txn.compare.into_iter().map(|compare| match compare {
        Compare::Modified { key, revision } => Compare::Modified {
            key: full_key(prefix, &key),
            revision,
        },
        Compare::Absent { key } => Compare::Absent {
            key: full_key(prefix, &key),
        },
        Compare::Value { key, value } => Compare::Value {
            key: full_key(prefix, &key),
            value,
        },
    });
    let ops = |ops: Vec<Op>| -> Vec<Op> {
        ops.into_iter()
            .map(|op| match op {
                Op::Put { key, value, lease } => Op::Put {
                    key: full_key(prefix, &key),
                    value,
                    lease,
                },
                Op::Delete(span) => Op::Delete(full_span(prefix, span)),
                Op::Get(span) => Op::Get(full_span(prefix, span)),
            })
            .collect()
    };
    Txn {
        compare: compare.collect(),
        then: ops(txn.then),
        otherwise: ops(txn.otherwise),
    }
}

/// Keeps one watch open over all watched keys until the process ends.
pub async fn watch(node: Rc<Node>) {
    let prefix = node.with_core(|core| core.settings.platform.prefix.clone());
    let watched_prefix = full_key(&prefix, WATCHED_PREFIX);
    let mut known_keys = BTreeSet::new();
    let mut backoff = MIN_WATCH_BACKOFF;
    loop {
        match run_watch(&node, &watched_prefix, &mut known_keys).await {
            // The service answered before the watch ended, so only the connection may have failed.
            Ok(()) => backoff = MIN_WATCH_BACKOFF,
            Err(err) => {
                log::debug!("cannot watch the key-value service: {err}");
                node.apply(Event::Store(StoreEvent::Health(Health::Down)));
                let jitter = rand::random_range(0.5..1.5);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_WATCH_BACKOFF);
            }
        }
    }
}

/// Reads all watched keys, then reports their changes until the watch ends.
async fn run_watch(
    node: &Rc<Node>,
    watched_prefix: &str,
    known_keys: &mut BTreeSet<Box<str>>,
) -> Result<(), StoreError> {
    let span = Span::Prefix(watched_prefix.into());
    let range = node.store.range(span.clone()).await?;
    let next = range.revision + 1;
    let mut deleted = std::mem::take(known_keys);
    let mut pairs = Vec::new();
    for pair in range.pairs {
        let key = bare_key(watched_prefix, &pair.key);
        deleted.remove(&key);
        known_keys.insert(key.clone());
        pairs.push(WatchedKey {
            key,
            value: Some(pair.value.to_vec().into()),
            modified: pair.mod_revision,
        });
    }
    // Keys deleted while no watch was open are reported too, or the core would keep them forever.
    pairs.extend(deleted.into_iter().map(|key| WatchedKey {
        key,
        value: None,
        modified: range.revision,
    }));
    let mut watch = node.store.watch(span, next).await?;
    node.apply(Event::Store(StoreEvent::Health(Health::Up)));
    node.apply(Event::Store(StoreEvent::Watched(pairs)));
    loop {
        match watch.next().await {
            Ok(batch) => apply_batch(node, watched_prefix, known_keys, batch),
            Err(err) => {
                log::info!(target: "chiveway::store.watch_ended", "store watch ended: {err}");
                return Ok(());
            }
        }
    }
}

fn apply_batch(
    node: &Rc<Node>,
    watched_prefix: &str,
    known_keys: &mut BTreeSet<Box<str>>,
    batch: Batch,
) {
    node.apply(Event::Store(StoreEvent::Health(Health::Up)));
    if batch.changes.is_empty() {
        return;
    }
    let pairs = batch.changes.into_iter().map(|change| {
        let key = bare_key(watched_prefix, &change.key);
        if change.value.is_some() {
            known_keys.insert(key.clone());
        } else {
            known_keys.remove(&key);
        }
        WatchedKey {
            key,
            value: change.value.map(|value| value.to_vec().into()),
            modified: change.mod_revision,
        }
    });
    let pairs = pairs.collect();
    node.apply(Event::Store(StoreEvent::Watched(pairs)));
}
