//! The key-value service: carries out the core's reads and writes, and keeps one watch open.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use super::node::Node;
use crate::core::event::{Health, Job, StoreEvent, StoreReply, StoreResult, Watched};
use crate::core::{Effect, Event};
use crate::error::Ran;
use crate::store::{Batch, Compare, Op, OpReply, Range, Span, StoreError, Txn};

/// Folder of the watched keys, below the deployment's prefix.
const FOLDER: &str = "w/";
/// Least time before the watch is opened again after a failure.
const RETRY_LEAST: Duration = Duration::from_millis(200);
/// Most time before the watch is opened again.
///
/// All hosts lose the service at the same moment; times drawn at random up to this bound spread
/// their return over it.
const RETRY_MOST: Duration = Duration::from_secs(5);

/// Carries out an effect towards the key-value service.
pub fn carry(node: &Rc<Node>, effect: Effect) {
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
    let prefix = node.look(|core| core.settings.platform.prefix.clone());
    Some(match effect {
        Effect::Read { job, span } => {
            let read = node.store.range(full_span(&prefix, span)).await;
            let read = read.map(|range| StoreResult::Read(bare_range(&prefix, range)));
            (job, read.unwrap_or_else(|err| failed(&err)))
        }
        Effect::Txn { job, txn } => {
            let done = node.store.txn(full_txn(&prefix, txn)).await;
            let done = done.map(|mut reply| {
                for step in &mut reply.replies {
                    if let OpReply::Got(pairs) = step {
                        for pair in pairs {
                            pair.key = bare(&prefix, &pair.key);
                        }
                    }
                }
                StoreResult::Txn(reply)
            });
            (job, done.unwrap_or_else(|err| failed(&err)))
        }
        Effect::Grant { job, life } => {
            let lease = node.store.grant(life).await;
            (
                job,
                lease.map_or_else(|err| failed(&err), StoreResult::Lease),
            )
        }
        Effect::Renew { job, lease } => {
            let left = node.store.keepalive(lease).await;
            let lease = left.map(|left| if left.is_some() { lease } else { 0 });
            (
                job,
                lease.map_or_else(|err| failed(&err), StoreResult::Lease),
            )
        }
        Effect::Revoke(lease) => {
            if let Err(err) = node.store.revoke(lease).await {
                log::debug!("a lease was not given back and will lapse: {err}");
            }
            return None;
        }
        _ => return None,
    })
}

fn failed(err: &StoreError) -> StoreResult {
    match err.ran() {
        Ran::No => StoreResult::Refused,
        Ran::Yes | Ran::Unknown => StoreResult::Unknown,
    }
}

fn full(prefix: &str, key: &str) -> Box<str> {
    format!("{prefix}{key}").into()
}

fn bare(prefix: &str, key: &str) -> Box<str> {
    key.strip_prefix(prefix).unwrap_or(key).into()
}

fn full_span(prefix: &str, span: Span) -> Span {
    match span {
        Span::Key(key) => Span::Key(full(prefix, &key)),
        Span::Prefix(key) => Span::Prefix(full(prefix, &key)),
    }
}

fn bare_range(prefix: &str, mut range: Range) -> Range {
    for pair in &mut range.pairs {
        pair.key = bare(prefix, &pair.key);
    }
    range
}

fn full_txn(prefix: &str, txn: Txn) -> Txn {
    let compare = txn.compare.into_iter().map(|compare| match compare {
        Compare::Modified { key, revision } => Compare::Modified {
            key: full(prefix, &key),
            revision,
        },
        Compare::Absent { key } => Compare::Absent {
            key: full(prefix, &key),
        },
        Compare::Value { key, value } => Compare::Value {
            key: full(prefix, &key),
            value,
        },
    });
    let ops = |ops: Vec<Op>| -> Vec<Op> {
        ops.into_iter()
            .map(|op| match op {
                Op::Put { key, value, lease } => Op::Put {
                    key: full(prefix, &key),
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
    let prefix = node.look(|core| core.settings.platform.prefix.clone());
    let folder = full(&prefix, FOLDER);
    let mut known = BTreeSet::new();
    let mut wait = RETRY_LEAST;
    loop {
        match follow(&node, &folder, &mut known).await {
            // The service answered and the watch ended: it may only have been this connection.
            Ok(()) => wait = RETRY_LEAST,
            Err(err) => {
                log::debug!("the key-value service: {err}");
                node.apply(Event::Store(StoreEvent::Health(Health::Down)));
                let part = rand::random_range(0.5..1.5);
                tokio::time::sleep(wait.mul_f64(part)).await;
                wait = (wait * 2).min(RETRY_MOST);
            }
        }
    }
}

/// Reads every watched key, then follows their changes; returns when the watch ends.
async fn follow(
    node: &Rc<Node>,
    folder: &str,
    known: &mut BTreeSet<Box<str>>,
) -> Result<(), StoreError> {
    let span = Span::Prefix(folder.into());
    let range = node.store.range(span.clone()).await?;
    let next = range.revision + 1;
    let mut gone = std::mem::take(known);
    let mut pairs = Vec::new();
    for pair in range.pairs {
        let key = bare(folder, &pair.key);
        gone.remove(&key);
        known.insert(key.clone());
        pairs.push(Watched {
            key,
            value: Some(pair.value.to_vec().into()),
            modified: pair.mod_revision,
        });
    }
    // What vanished while no watch was open is told as well, or it would stay here for ever.
    pairs.extend(gone.into_iter().map(|key| Watched {
        key,
        value: None,
        modified: range.revision,
    }));
    let mut watch = node.store.watch(span, next).await?;
    node.apply(Event::Store(StoreEvent::Health(Health::Up)));
    node.apply(Event::Store(StoreEvent::Watched(pairs)));
    loop {
        match watch.next().await {
            Ok(batch) => changed(node, folder, known, batch),
            Err(err) => {
                log::info!(target: "chiveway::store.watch_ended", "the watch ended: {err}");
                return Ok(());
            }
        }
    }
}

fn changed(node: &Rc<Node>, folder: &str, known: &mut BTreeSet<Box<str>>, batch: Batch) {
    node.apply(Event::Store(StoreEvent::Health(Health::Up)));
    if batch.changes.is_empty() {
        return;
    }
    let pairs = batch.changes.into_iter().map(|change| {
        let key = bare(folder, &change.key);
        if change.value.is_some() {
            known.insert(key.clone());
        } else {
            known.remove(&key);
        }
        Watched {
            key,
            value: change.value.map(|value| value.to_vec().into()),
            modified: change.mod_revision,
        }
    });
    let pairs = pairs.collect();
    node.apply(Event::Store(StoreEvent::Watched(pairs)));
}
