//! The platform's store: carries out the core's calls.

use std::rc::Rc;
use std::time::Duration;

use snafu::Snafu;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::{journal, tell};
use crate::backend::pool::{Call, PoolError};
use crate::core::effect::Note;
use crate::core::event::{Job, StoreEvent, StoreReply, StoreResult};
use crate::core::relay::event::{Changes, RelayEvent, StoreAnswer, StoreCall, StoreChange};
use crate::core::{Effect, Event};
use crate::error::Ran;
use crate::host::node::Node;
use crate::platform::{self, store};
use crate::store::{CallCounts, CallKind, Compare, Op, Txn};

/// Time one call may take: far above the slowest answer of a store that is of use.
const CALL: Duration = Duration::from_secs(3);
/// Time beyond its wait after which a watch is given up, if nothing showed before that it was lost.
const SILENT: Duration = Duration::from_millis(1500);
/// Most bytes of an answer: a page of a megabyte in base64, and its frame.
const ANSWER: usize = 4 * 1024 * 1024;

/// Why the store could not be followed.
#[derive(Debug, Snafu)]
enum Trouble {
    /// The call failed.
    #[snafu(transparent)]
    Channel {
        /// Why.
        source: PoolError,
    },
    /// The store answered with another status.
    #[snafu(display("the store answered {status}"))]
    Status {
        /// HTTP status.
        status: u16,
    },
    /// The answer is not understood.
    #[snafu(display("the store's answer is not understood"))]
    Unreadable,
}

impl Trouble {
    fn ran(&self) -> Ran {
        match self {
            Self::Channel { source } => source.ran(),
            // It says that nothing was done, or too many calls were made.
            Self::Status { .. } => Ran::No,
            Self::Unreadable => Ran::Unknown,
        }
    }
}

/// Makes a call; counts it, and writes a line where it fails.
///
/// Without the line nothing tells a store that is away from a call that was lost, and how long a
/// host held on to it.
async fn ask(
    node: &Rc<Node>,
    call: store::Call,
    time: Duration,
) -> Result<(u16, bytes::Bytes), Trouble> {
    let sort = call.kind;
    count(node, |calls| sort.count(calls));
    let sent = Instant::now();
    let result = send(node, call, time).await;
    let (ran, why) = match &result {
        Ok((status, _)) if *status == 429 || *status >= 500 => {
            (Ran::No, format!("the store answered {status}"))
        }
        Ok(_) => return result,
        Err(trouble) => (trouble.ran(), trouble.to_string()),
    };
    count(node, |calls| match ran {
        Ran::No => calls.refused += 1,
        Ran::Yes | Ran::Unknown => calls.unknown += 1,
    });
    if sort == CallKind::Probe {
        // One a host and half a second through an outage: the counter and `store.down` say enough.
        return result;
    }
    journal::write(&Note {
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

fn count(node: &Rc<Node>, change: impl FnOnce(&mut CallCounts)) {
    let mut calls = node.relay.calls.get();
    change(&mut calls);
    node.relay.calls.set(calls);
}

async fn send(
    node: &Rc<Node>,
    call: store::Call,
    time: Duration,
) -> Result<(u16, bytes::Bytes), Trouble> {
    let addr = node.look(|core| core.settings.relay.as_ref().map(|relay| relay.store));
    let Some(addr) = addr else {
        return Err(Trouble::Unreadable);
    };
    let mut headers: Vec<(Box<str>, Box<[u8]>)> = Vec::new();
    if !call.body.is_empty() {
        headers.push(("content-type".into(), (*b"application/json").into()));
    }
    let call = Call {
        addr,
        method: hyper::Method::from_bytes(call.method.as_bytes()).unwrap_or_default(),
        path: call.path.into(),
        headers,
        body: call.body.into(),
    };
    let answer = node.relay.store.call(&call, time, ANSWER).await?;
    if let Some(era) = store::decode_era(&answer.headers) {
        tell(node, RelayEvent::StoreEra(era));
    }
    Ok((answer.status, answer.body))
}

/// Carries out an effect towards the store.
pub fn carry(node: &Rc<Node>, effect: Effect) {
    let node = Rc::clone(node);
    ntex::rt::spawn(async move {
        let Some((job, result)) = run(&node, effect).await else {
            return;
        };
        let result = result.unwrap_or_else(|trouble| {
            log::debug!("a call of the store failed: {trouble}");
            match trouble.ran() {
                Ran::No => StoreResult::Refused,
                Ran::Yes | Ran::Unknown => StoreResult::Unknown,
            }
        });
        node.apply(Event::Store(StoreEvent::Reply(StoreReply { job, result })));
    });
}

async fn run(node: &Rc<Node>, effect: Effect) -> Option<(Job, Result<StoreResult, Trouble>)> {
    match effect {
        Effect::Grant { job, life } => Some((job, grant(node, life).await)),
        Effect::Renew { job, lease } => Some((job, renew(node, lease).await)),
        Effect::Txn { job, txn } => Some((job, write(node, &own(txn)).await)),
        Effect::Revoke(lease) => {
            if let Err(trouble) = ask(node, store::revoke(lease), CALL).await {
                log::debug!("a lease was not given back and will lapse: {trouble}");
            }
            None
        }
        other => {
            log::debug!("nothing here carries out {other:?}");
            None
        }
    }
}

async fn grant(node: &Rc<Node>, life: Duration) -> Result<StoreResult, Trouble> {
    match ask(node, store::grant(life), CALL).await? {
        (200, body) => {
            let lease = store::decode_lease(&body).ok_or(Trouble::Unreadable)?;
            Ok(StoreResult::Lease(lease))
        }
        (status, _) => Err(Trouble::Status { status }),
    }
}

async fn renew(node: &Rc<Node>, lease: i64) -> Result<StoreResult, Trouble> {
    match ask(node, store::keepalive(lease), CALL).await? {
        (200, _) => Ok(StoreResult::Lease(lease)),
        (404, _) => Ok(StoreResult::Lease(0)),
        (status, _) => Err(Trouble::Status { status }),
    }
}

async fn write(node: &Rc<Node>, txn: &Txn) -> Result<StoreResult, Trouble> {
    match ask(node, store::txn(txn), CALL).await? {
        (404, _) => Ok(StoreResult::Lease(0)),
        (status @ (200 | 412), body) => {
            let reply = store::decode_txn_reply(status, &body).ok_or(Trouble::Unreadable)?;
            Ok(StoreResult::Txn(reply))
        }
        (status, _) => Err(Trouble::Status { status }),
    }
}

/// Puts this program's prefix before every key.
fn own(mut txn: Txn) -> Txn {
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
        if let Op::Put { key, .. } = op {
            *key = full(key);
        }
    }
    txn
}

/// Makes a call by which the core follows the store; `given_up` closes when it is given up.
pub async fn follow(node: Rc<Node>, number: u64, ask: StoreCall, given_up: oneshot::Receiver<()>) {
    let answer = tokio::select! {
        answer = answer(&node, ask) => answer,
        _ = given_up => return,
    };
    node.relay.asks.borrow_mut().remove(&number);
    let answer = answer.unwrap_or_else(|trouble| {
        // What is idle may have broken with it.
        node.relay.store.close_idle();
        StoreAnswer::Failed {
            refused: trouble.ran() == Ran::No,
        }
    });
    tell(&node, RelayEvent::StoreAnswered { number, answer });
}

async fn answer(node: &Rc<Node>, call: StoreCall) -> Result<StoreAnswer, Trouble> {
    match call {
        StoreCall::Page { after } => page(node, after).await,
        StoreCall::Watch { after, wait } => changes(node, after, wait).await,
        StoreCall::Probe => {
            let (status, body) = ask(node, store::probe(), CALL).await?;
            let page = readable(status, || store::decode_page(&body))?;
            Ok(StoreAnswer::Newest(page.range.revision))
        }
    }
}

async fn page(node: &Rc<Node>, after: Option<Box<str>>) -> Result<StoreAnswer, Trouble> {
    let call = store::range(platform::WATCHED_PREFIX, after.as_deref());
    let (status, body) = ask(node, call, CALL).await?;
    let page = readable(status, || store::decode_page(&body))?;
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

async fn changes(node: &Rc<Node>, after: i64, wait: Duration) -> Result<StoreAnswer, Trouble> {
    let call = store::watch(platform::WATCHED_PREFIX, after, wait);
    let (status, body) = ask(node, call, wait + SILENT).await?;
    if status == 410 {
        return Ok(StoreAnswer::Compacted);
    }
    let events = readable(status, || store::decode_events(&body))?;
    let mut changes = Changes::default();
    let mut single = Vec::with_capacity(events.changes.len());
    for (key, value, revision) in events.changes {
        platform::apply_change(&mut changes, &key, value.as_deref(), revision);
        let mut event = StoreChange {
            revision,
            key,
            value: value.as_deref().map(Into::into),
            changes: Changes::default(),
        };
        read(&mut event);
        single.push(event);
    }
    Ok(StoreAnswer::Changes {
        revision: events.revision,
        changes,
        events: single,
    })
}

/// Works out what a change of the store means.
pub fn read(event: &mut StoreChange) {
    let (key, value) = (&event.key, event.value.as_deref());
    platform::apply_change(&mut event.changes, key, value, event.revision);
}

/// Returns what a success says.
fn readable<T>(status: u16, read: impl FnOnce() -> Option<T>) -> Result<T, Trouble> {
    if status != 200 {
        return Err(Trouble::Status { status });
    }
    read().ok_or(Trouble::Unreadable)
}
