//! Adapter for the platform's store: makes the core's calls.

use std::rc::Rc;
use std::time::Duration;

use snafu::Snafu;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{apply, event_log, progress};
use crate::backend::pool::{Call, CallLimits, PoolError};
use crate::core::effect::LogFields;
use crate::core::event::{Job, StoreEvent, StoreReply, StoreResult};
use crate::core::relay::event::{Changes, RelayEvent, StoreAnswer, StoreCall, StoreChange};
use crate::core::{Effect, Event};
use crate::error::Ran;
use crate::host::node::Node;
use crate::platform::{self, store};
use crate::store::{CallCounts, CallKind, Compare, Op, Span, Txn};

/// Time limit of a call, or for the next part of its answer: far above the slowest answer of a working store.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Time limit for all parts of an answer: the largest one over the narrowest link of a host.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the end of its wait at which a watch times out, unless it was found lost earlier.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(1500);
/// Largest size of an answer: a page of 1 MB in base64, plus its framing.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Reason for which a call of the store failed.
#[derive(Debug, Snafu)]
enum CallError {
    /// The call failed.
    #[snafu(transparent)]
    Channel {
        /// Error of the connection.
        source: PoolError,
    },
    /// The store answered with another status.
    #[snafu(display("the store answered {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The answer cannot be decoded.
    #[snafu(display("cannot decode the store's answer"))]
    Unreadable,
}

impl CallError {
    fn ran(&self) -> Ran {
        match self {
            Self::Channel { source } => source.ran(),
            // The status says that nothing was done, or that too many calls were made.
            Self::Status { .. } => Ran::No,
            Self::Unreadable => Ran::Unknown,
        }
    }
}

/// Makes a call, counts it, and logs a failure.
///
/// Without the log line an operator could not distinguish an unavailable store from a lost call,
/// nor see how long the host waited for it.
async fn call_store(
    node: &Rc<Node>,
    call: store::Call,
    time: Duration,
) -> Result<(u16, bytes::Bytes), CallError> {
    call_observed(node, call, time, |_| {}).await
}

/// Returns the limits of a call whose answer begins within a time.
fn limits(head: Duration) -> CallLimits {
    CallLimits {
        head,
        silence: CALL_TIMEOUT,
        body: TRANSFER_TIMEOUT,
    }
}

/// Does the same as [`call_store`], and passes the bytes received so far to `progress`.
async fn call_observed(
    node: &Rc<Node>,
    call: store::Call,
    time: Duration,
    progress: impl FnMut(usize),
) -> Result<(u16, bytes::Bytes), CallError> {
    let sort = call.kind;
    update_counts(node, |calls| sort.count(calls));
    let sent = Instant::now();
    let result = send(node, call, time, progress).await;
    let (ran, why) = match &result {
        Ok((status, _)) if *status == 429 || *status >= 500 => {
            (Ran::No, format!("the store answered {status}"))
        }
        Ok(_) => return result,
        Err(err) => (err.ran(), err.to_string()),
    };
    update_counts(node, |calls| match ran {
        Ran::No => calls.refused += 1,
        Ran::Yes | Ran::Unknown => calls.unknown += 1,
    });
    if sort == CallKind::Probe {
        // In an outage each host probes twice a second; the counter and `store.down` suffice.
        return result;
    }
    event_log::write(&LogFields {
        level: log::Level::Info,
        name: "store.call_failed",
        fields: vec![
            ("call", sort.name().into()),
            ("after_ms", sent.elapsed().as_millis().to_string().into()),
            ("why", why.into()),
        ],
    });
    result
}

fn update_counts(node: &Rc<Node>, change: impl FnOnce(&mut CallCounts)) {
    let mut calls = node.relay.calls.get();
    change(&mut calls);
    node.relay.calls.set(calls);
}

async fn send(
    node: &Rc<Node>,
    call: store::Call,
    time: Duration,
    progress: impl FnMut(usize),
) -> Result<(u16, bytes::Bytes), CallError> {
    let addr = node.with_core(|core| core.settings.relay.as_ref().map(|relay| relay.store));
    let Some(addr) = addr else {
        return Err(CallError::Unreadable);
    };
    let mut headers: Vec<(Box<str>, Box<[u8]>)> = Vec::new();
    if !call.body.is_empty() {
        headers.push(("content-type".into(), (*b"application/json").into()));
    }
    let call = Call {
        addr,
        method: hyper::Method::from_bytes(call.method.as_bytes()).unwrap_or_default(),
        path: call.path.into(),
        id: None,
        may_repeat: true,
        headers,
        body: call.body.into(),
    };
    let answer = node
        .relay
        .store
        .call_observed(&call, limits(time), MAX_ANSWER_BYTES, progress)
        .await?;
    if let Some(era) = store::decode_era(&answer.headers) {
        apply(node, RelayEvent::StoreEra(era));
    }
    Ok((answer.status, answer.body))
}

/// Executes an effect on the store.
pub fn execute(node: &Rc<Node>, effect: Effect) {
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        let Some((job, result)) = run(&node, effect).await else {
            return;
        };
        let result = result.unwrap_or_else(|err| {
            log::debug!("call of the store failed: {err}");
            match err.ran() {
                Ran::No => StoreResult::Refused,
                Ran::Yes | Ran::Unknown => StoreResult::Unknown,
            }
        });
        node.apply(Event::Store(StoreEvent::Reply(StoreReply { job, result })));
    });
}

async fn run(node: &Rc<Node>, effect: Effect) -> Option<(Job, Result<StoreResult, CallError>)> {
    match effect {
        Effect::GrantLease { job, ttl } => Some((job, grant(node, ttl).await)),
        Effect::RenewLease { job, lease } => Some((job, renew(node, lease).await)),
        Effect::Txn { job, txn } => Some((job, write_txn(node, &prefix_keys(txn)).await)),
        Effect::RevokeLease(lease) => {
            if let Err(err) = call_store(node, store::revoke(lease), CALL_TIMEOUT).await {
                log::debug!("cannot revoke lease {lease}, it will expire: {err}");
            }
            None
        }
        other => {
            log::debug!("ignored an effect that a relaying host does not support: {other:?}");
            None
        }
    }
}

async fn grant(node: &Rc<Node>, life: Duration) -> Result<StoreResult, CallError> {
    match call_store(node, store::grant(life), CALL_TIMEOUT).await? {
        (200, body) => {
            let lease = store::decode_lease(&body).ok_or(CallError::Unreadable)?;
            Ok(StoreResult::Lease(lease))
        }
        (status, _) => Err(CallError::Status { status }),
    }
}

async fn renew(node: &Rc<Node>, lease: i64) -> Result<StoreResult, CallError> {
    match call_store(node, store::keepalive(lease), CALL_TIMEOUT).await? {
        (200, _) => Ok(StoreResult::Lease(lease)),
        (404, _) => Ok(StoreResult::Lease(0)),
        (status, _) => Err(CallError::Status { status }),
    }
}

async fn write_txn(node: &Rc<Node>, txn: &Txn) -> Result<StoreResult, CallError> {
    match call_store(node, store::txn(txn), CALL_TIMEOUT).await? {
        (404, _) => Ok(StoreResult::Lease(0)),
        (status @ (200 | 412), body) => {
            let reply = store::decode_txn_reply(status, &body).ok_or(CallError::Unreadable)?;
            Ok(StoreResult::Txn(reply))
        }
        (status, _) => Err(CallError::Status { status }),
    }
}

/// Prepends this program's prefix to every key.
pub(super) fn prefix_keys(mut txn: Txn) -> Txn {
    let full = |key: &str| -> Box<str> { format!("{}{key}", platform::OWN_PREFIX).into() };
    for compare in &mut txn.compare {
        match compare {
            Compare::Modified { key, .. }
            | Compare::Absent { key }
            | Compare::Value { key, .. } => {
                *key = full(key);
            }
        }
    }
    for op in &mut txn.then {
        match op {
            Op::Put { key, .. }
            | Op::Delete(Span::Key(key) | Span::Prefix(key))
            | Op::Get(Span::Key(key) | Span::Prefix(key)) => *key = full(key),
        }
    }
    txn
}

/// Makes a read, watch or probe of the store and reports the answer, unless `cancelled` closes
/// first.
pub async fn run_store_call(
    node: Rc<Node>,
    number: u64,
    call: StoreCall,
    cancelled: oneshot::Receiver<()>,
) {
    let answer = tokio::select! {
        answer = fetch_answer(&node, number, call) => answer,
        _ = cancelled => return,
    };
    node.relay.store_calls.borrow_mut().remove(&number);
    let answer = answer.unwrap_or_else(|err| {
        // Idle connections may have failed for the same reason.
        node.relay.store.close_idle();
        StoreAnswer::Failed {
            refused: err.ran() == Ran::No,
        }
    });
    apply(&node, RelayEvent::StoreAnswered { number, answer });
}

/// Returns a callback that reports the bytes received by a call.
fn report_progress(node: &Rc<Node>, number: u64) -> impl FnMut(usize) {
    let node = Rc::clone(node);
    progress::throttled(move |bytes| {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        apply(&node, RelayEvent::StoreReceived { number, bytes });
    })
}

async fn fetch_answer(
    node: &Rc<Node>,
    number: u64,
    call: StoreCall,
) -> Result<StoreAnswer, CallError> {
    let progress = report_progress(node, number);
    match call {
        StoreCall::Page { after } => page(node, after, progress).await,
        StoreCall::Watch { after, wait } => changes(node, after, wait, progress).await,
        StoreCall::Probe => {
            let (status, body) = call_store(node, store::probe(), CALL_TIMEOUT).await?;
            let page = decode_success(status, || store::decode_page(&body))?;
            Ok(StoreAnswer::Newest(page.range.revision))
        }
    }
}

async fn page(
    node: &Rc<Node>,
    after: Option<Box<str>>,
    progress: impl FnMut(usize),
) -> Result<StoreAnswer, CallError> {
    let call = store::range(platform::WATCHED_PREFIX, after.as_deref());
    let (status, body) = call_observed(node, call, CALL_TIMEOUT, progress).await?;
    let page = decode_success(status, || store::decode_page(&body))?;
    let mut changes = Changes::default();
    for pair in &page.range.pairs {
        platform::apply_change(
            &mut changes,
            &pair.key,
            Some(&pair.value),
            pair.mod_revision,
        );
    }
    let last = page.range.pairs.last().filter(|_| page.has_more);
    Ok(StoreAnswer::Page {
        revision: page.range.revision,
        changes,
        after: last.map(|pair| pair.key.clone()),
    })
}

async fn changes(
    node: &Rc<Node>,
    after: i64,
    wait: Duration,
    progress: impl FnMut(usize),
) -> Result<StoreAnswer, CallError> {
    let call = store::watch(platform::WATCHED_PREFIX, after, wait);
    let (status, body) = call_observed(node, call, wait + WATCH_TIMEOUT_MARGIN, progress).await?;
    if status == 410 {
        return Ok(StoreAnswer::Compacted);
    }
    let events = decode_success(status, || store::decode_events(&body))?;
    let mut changes = Changes::default();
    let mut decoded = Vec::with_capacity(events.changes.len());
    for (key, value, revision) in events.changes {
        platform::apply_change(&mut changes, &key, value.as_deref(), revision);
        let mut event = StoreChange {
            revision,
            key,
            value: value.as_deref().map(Into::into),
            changes: Changes::default(),
        };
        decode_change(&mut event);
        decoded.push(event);
    }
    Ok(StoreAnswer::Changes {
        revision: events.revision,
        changes,
        events: decoded,
    })
}

/// Decodes a change of the store.
pub fn decode_change(event: &mut StoreChange) {
    let (key, value) = (&event.key, event.value.as_deref());
    platform::apply_change(&mut event.changes, key, value, event.revision);
}

/// Decodes the answer if its status is 200.
fn decode_success<T>(status: u16, read: impl FnOnce() -> Option<T>) -> Result<T, CallError> {
    if status != 200 {
        return Err(CallError::Status { status });
    }
    read().ok_or(CallError::Unreadable)
}
