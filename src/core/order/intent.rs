//! Intended orders: each is recorded before it is given.
//!
//! A holder that dies between record and answer leaves the record behind. Its successor finds it
//! there and brings the engine to what was intended before it intends anything else, so that no
//! engine gets conflicting orders.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::{name, record};
use crate::core::effect::Effect;
use crate::core::event::{Job, Role, StoreResult};
use crate::core::key::PoolKey;
use crate::core::{Core, Effects};
use crate::store::{Compare, Op, Pair, Span, Txn};

/// An order that was or will be given to an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Intent {
    /// Fencing number.
    pub fence: u64,
    /// Number of the order under it.
    pub order: u64,
    /// Role the engine is to take.
    pub role: Role,
}

/// Intended orders by engine, each with the revision at which it was written.
pub type Intents = BTreeMap<Box<str>, (Intent, i64)>;

/// A call about intended orders that is on its way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// All of a pool are read.
    Read,
    /// One is written.
    Put(Box<str>, Intent),
    /// One is taken away.
    Delete(Box<str>),
}

fn key_prefix(pool: &str) -> Box<str> {
    format!("d/intent/{pool}/").into()
}

fn key(pool: &str, engine: &str) -> Box<str> {
    format!("d/intent/{pool}/{engine}").into()
}

/// Asks for all intended orders of a pool.
pub(super) fn read(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let span = Span::Prefix(key_prefix(&name(core, pool)));
    core.orders.pool_mut(pool).holder.intent_call = Some(Call::Read);
    let job = Job::Intent(pool);
    out.push(Effect::Read { job, span });
}

/// Records or takes away an engine's intended order, provided that this host is the holder.
pub(super) fn write(core: &mut Core, pool: PoolKey, call: Call, out: &mut Effects) {
    let pool_name = name(core, pool);
    let desk = core.orders.pool_mut(pool);
    let (engine, op) = match &call {
        Call::Read => return,
        Call::Put(engine, intent) => (
            engine,
            Op::Put {
                key: key(&pool_name, engine),
                value: intent.to_json().into(),
                lease: 0,
            },
        ),
        Call::Delete(engine) => (engine, Op::Delete(Span::Key(key(&pool_name, engine)))),
    };
    let known = desk.holder.intents.as_ref().and_then(|all| all.get(engine));
    let txn = Txn {
        compare: vec![
            Compare::Value {
                key: record::holder_key(&pool_name),
                is: desk.authority.value.clone(),
            },
            Compare::Modified {
                key: key(&pool_name, engine),
                at: known.map_or(0, |(_, modified)| *modified),
            },
        ],
        then: vec![op],
        otherwise: Vec::new(),
    };
    desk.holder.intent_call = Some(call);
    let job = Job::Intent(pool);
    out.push(Effect::Txn { job, txn });
}

/// Takes in the end of a read or write; all but a plain success is settled by reading again.
pub(super) fn reply(core: &mut Core, pool: PoolKey, result: StoreResult) {
    let now = core.now;
    let folder = key_prefix(&name(core, pool));
    let work = &mut core.orders.pool_mut(pool).holder;
    match (work.intent_call.take(), result) {
        (Some(Call::Read), StoreResult::Read(range)) => {
            let pairs = range.pairs.iter();
            work.intents = pairs.map(|pair| parse_pair(&folder, pair)).collect();
            work.next_call = now.after(super::RETRY_DELAY * u32::from(work.intents.is_none()));
        }
        (Some(Call::Put(engine, intent)), StoreResult::Txn(txn)) if txn.succeeded => {
            if let Some(all) = &mut work.intents {
                all.insert(engine, (intent, txn.revision));
            }
        }
        (Some(Call::Delete(engine)), StoreResult::Txn(txn)) if txn.succeeded => {
            if let Some(all) = &mut work.intents {
                all.remove(&engine);
            }
        }
        (None, _) => {}
        _ => {
            work.intents = None;
            work.next_call = now.after(super::RETRY_DELAY);
        }
    }
}

fn parse_pair(folder: &str, pair: &Pair) -> Option<(Box<str>, (Intent, i64))> {
    let engine = pair.key.strip_prefix(folder)?;
    let intent = Intent::parse(&pair.value)?;
    Some((engine.into(), (intent, pair.modified)))
}

impl Intent {
    /// Writes it as JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let role = self.role.name();
        json!({"fence": self.fence, "order": self.order, "role": role})
            .to_string()
            .into_bytes()
    }

    /// Reads it from JSON.
    #[must_use]
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let value: Value = serde_json::from_slice(bytes).ok()?;
        Some(Self {
            fence: value["fence"].as_u64()?,
            order: value["order"].as_u64()?,
            role: Role::from_name(value["role"].as_str()?)?,
        })
    }
}
