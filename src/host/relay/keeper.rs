//! The platform's store: carries out the core's calls and keeps one watch open.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use snafu::Snafu;
use tokio::time::Instant;

use super::{journal, tell};
use crate::backend::channel::{Call, ChannelError};
use crate::core::effect::Note;
use crate::core::event::{Job, StoreEvent, StoreReply, StoreResult};
use crate::core::relay::event::{Changes, RelayEvent, Watch};
use crate::core::{Effect, Event};
use crate::error::Ran;
use crate::host::node::Node;
use crate::platform::store::Kind;
use crate::platform::{self, store};
use crate::store::{Calls, Compare, Op, Txn};

/// Time one call may take: far above the slowest answer of a store that is of use.
const CALL: Duration = Duration::from_secs(3);
/// Time a watch waits for a change. A connection that fell silent is ended by its probes long
/// before.
const WAIT: Duration = Duration::from_secs(20);
/// Time beyond its wait after which a watch is silent.
const SILENT: Duration = Duration::from_millis(1500);
/// Time between two watches that brought something, for each host of the deployment.
///
/// Each change ends the watch of every host: without a pause, 80 hosts that register call 80 times
/// each, and so with every change after. What comes within the pause comes with one call.
const PAUSE: Duration = Duration::from_millis(12);
/// Bounds of that time. The upper one and a call stay under the two seconds after which a server that
/// leaves must get no new work; with 700 ms 89 hosts made 3,519 calls on a day of changes, with 1200
/// ms 2,733, which was worth 0.018.
pub(super) const PAUSES: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1200));
/// Least time before the store is asked again after a failure.
const RETRY_LEAST: Duration = Duration::from_millis(100);
/// Bounds of the most time before the store is asked again, which grows with the hosts like the pause.
///
/// All hosts lose the store at the same moment; times drawn at random up to this bound spread
/// their return over it, and calls that a store in trouble turns away stay few.
const RETRIES: (Duration, Duration) = (Duration::from_millis(800), Duration::from_millis(1200));
/// Most bytes of an answer: a page of a megabyte in base64, and its frame.
const ANSWER: usize = 4 * 1024 * 1024;

/// Why the store could not be followed.
#[derive(Debug, Snafu)]
enum Trouble {
    /// The call failed.
    #[snafu(transparent)]
    Channel {
        /// Why.
        source: ChannelError,
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
    let kind = call.kind;
    count(node, |calls| match kind {
        Kind::Range => calls.range += 1,
        Kind::Watch => calls.watch += 1,
        Kind::Txn => calls.txn += 1,
        Kind::Grant => calls.grant += 1,
        Kind::Keepalive => calls.keepalive += 1,
        Kind::Revoke => calls.revoke += 1,
    });
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
    journal::write(&Note {
        level: log::Level::Info,
        name: "store.call_failed",
        fields: vec![
            ("call", kind.name().into()),
            ("after_ms", sent.elapsed().as_millis().to_string().into()),
            ("why", why.into()),
        ],
    });
    result
}

fn count(node: &Rc<Node>, change: impl FnOnce(&mut Calls)) {
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
    Ok(node.relay.store.call(&call, time, ANSWER).await?)
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
            if let Err(trouble) = ask(node, store::end(lease), CALL).await {
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
            let lease = store::lease(&body).ok_or(Trouble::Unreadable)?;
            Ok(StoreResult::Lease(lease))
        }
        (status, _) => Err(Trouble::Status { status }),
    }
}

async fn renew(node: &Rc<Node>, lease: i64) -> Result<StoreResult, Trouble> {
    match ask(node, store::keep(lease), CALL).await? {
        (200, _) => Ok(StoreResult::Lease(lease)),
        (404, _) => Ok(StoreResult::Lease(0)),
        (status, _) => Err(Trouble::Status { status }),
    }
}

async fn write(node: &Rc<Node>, txn: &Txn) -> Result<StoreResult, Trouble> {
    match ask(node, store::txn(txn), CALL).await? {
        (404, _) => Ok(StoreResult::Lease(0)),
        (status @ (200 | 412), body) => {
            let reply = store::txn_reply(status, &body).ok_or(Trouble::Unreadable)?;
            Ok(StoreResult::Txn(reply))
        }
        (status, _) => Err(Trouble::Status { status }),
    }
}

/// Puts this program's prefix before every key.
fn own(mut txn: Txn) -> Txn {
    let full = |key: &str| -> Box<str> { format!("{}{key}", platform::OWN).into() };
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

/// Follows the store until the process ends.
pub async fn watch(node: Rc<Node>) {
    let mut wait = RETRY_LEAST;
    loop {
        match follow(&node, &mut wait).await {
            // The history is gone: everything is read again.
            Ok(()) => {}
            Err(trouble) => {
                log::debug!("the store: {trouble}");
                tell(&node, RelayEvent::Watch(Watch::Broken));
                node.relay.store.clear();
            }
        }
        let part = rand::random_range(0.3..1.0);
        tokio::time::sleep(wait.mul_f64(part)).await;
        wait = (wait * 2).min(by_hosts(&node, RETRIES));
    }
}

/// Reads everything, then follows changes; returns when the watch has to begin anew.
async fn follow(node: &Rc<Node>, wait: &mut Duration) -> Result<(), Trouble> {
    let mut at = read(node).await?;
    *wait = RETRY_LEAST;
    tell(node, RelayEvent::Watch(Watch::Open));
    loop {
        let call = store::watch(platform::WATCHED, at, WAIT);
        let (status, body) = ask(node, call, WAIT + SILENT).await?;
        if status == 410 {
            return Ok(());
        }
        if status != 200 {
            return Err(Trouble::Status { status });
        }
        let events = store::events(&body).ok_or(Trouble::Unreadable)?;
        at = at.max(events.at);
        let mut changes = Changes::default();
        for (key, value, revision) in &events.changes {
            platform::sort(&mut changes, key, value.as_deref(), *revision);
        }
        tell(node, RelayEvent::Changed(changes));
        tell(node, RelayEvent::Watch(Watch::Open));
        if !events.changes.is_empty() {
            tokio::time::sleep(by_hosts(node, PAUSES)).await;
        }
    }
}

/// Returns a pause that grows with the hosts of the deployment, between bounds.
fn by_hosts(node: &Rc<Node>, bounds: (Duration, Duration)) -> Duration {
    let hosts = node.look(|core| core.relay.peers.hosts());
    spread(hosts, bounds)
}

/// Returns a pause for so many hosts, between bounds.
pub(super) fn spread(hosts: usize, bounds: (Duration, Duration)) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    PAUSE.saturating_mul(hosts).clamp(bounds.0, bounds.1)
}

/// Reads every watched key; returns the revision to watch from.
async fn read(node: &Rc<Node>) -> Result<i64, Trouble> {
    let mut changes = Changes {
        whole: true,
        ..Changes::default()
    };
    let mut first = None;
    let mut after: Option<Box<str>> = None;
    let mut keys = BTreeSet::new();
    loop {
        let call = store::range(platform::WATCHED, after.as_deref());
        let (status, body) = ask(node, call, CALL).await?;
        if status != 200 {
            return Err(Trouble::Status { status });
        }
        let page = store::page(&body).ok_or(Trouble::Unreadable)?;
        // Pages are of different moments: what changed since the first comes with the watch.
        let at = *first.get_or_insert(page.range.revision);
        for pair in &page.range.pairs {
            keys.insert(pair.key.clone());
            platform::sort(&mut changes, &pair.key, Some(&pair.value), pair.modified);
        }
        after = page.range.pairs.last().map(|pair| pair.key.clone());
        if !page.more || after.is_none() {
            tell(node, RelayEvent::Changed(changes));
            return Ok(at);
        }
    }
}
