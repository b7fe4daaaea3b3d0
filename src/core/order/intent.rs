//! Intended orders: each is recorded before it is sent.
//!
//! A holder that crashes between record and answer leaves the record behind. Its successor finds it
//! there and brings the engine to the intended role before it intends anything else, so that no
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
    /// Number of the order under that fencing number.
    pub order: u64,
    /// Role the engine is to take.
    pub role: Role,
}

/// Intended orders by engine, each with the revision at which it was written.
pub type Intents = BTreeMap<Box<str>, (Intent, i64)>;

/// A pending call about intended orders.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Reads all intended orders of a pool.
    Read,
    /// Writes one.
    Put(Box<str>, Intent),
    /// Deletes one.
    Delete(Box<str>),
}

fn key_prefix(pool: &str) -> Box<str> {
    format!("d/intent/{pool}/").into()
}

fn key(pool: &str, engine: &str) -> Box<str> {
    format!("d/intent/{pool}/{engine}").into()
}

/// Reads all intended orders of a pool.
pub(super) fn read(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let span = Span::Prefix(key_prefix(&name(core, pool)));
    core.orders.pool_mut(pool).holder.intent_call = Some(Call::Read);
    let job = Job::Intent(pool);
    out.push(Effect::Read { job, span });
}

/// Writes or deletes an engine's intended order, provided that this host is the holder.
pub(super) fn write(core: &mut Core, pool: PoolKey, call: Call, out: &mut Effects) {
    let pool_name = name(core, pool);
    let state = core.orders.pool_mut(pool);
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
    let stored = state
        .holder
        .intents
        .as_ref()
        .and_then(|all| all.get(engine));
    let txn = Txn {
        compare: vec![
            Compare::Value {
                key: record::holder_key(&pool_name),
                value: state.authority.value.clone(),
            },
            Compare::Modified {
                key: key(&pool_name, engine),
                revision: stored.map_or(0, |(_, modified)| *modified),
            },
        ],
        then: vec![op],
        otherwise: Vec::new(),
    };
    state.holder.intent_call = Some(call);
    let job = Job::Intent(pool);
    out.push(Effect::Txn { job, txn });
}

/// Handles the end of a read or write; anything but a plain success is resolved by reading again.
pub(super) fn reply(core: &mut Core, pool: PoolKey, result: StoreResult) {
    let now = core.now;
    let folder = key_prefix(&name(core, pool));
    let holder = &mut core.orders.pool_mut(pool).holder;
    match (holder.intent_call.take(), result) {
        (Some(Call::Read), StoreResult::Read(range)) => {
            let pairs = range.pairs.iter();
            holder.intents = pairs.map(|pair| parse_pair(&folder, pair)).collect();
            holder.next_call = now.after(super::RETRY_DELAY * u32::from(holder.intents.is_none()));
        }
        (Some(Call::Put(engine, intent)), StoreResult::Txn(txn)) if txn.succeeded => {
            if let Some(all) = &mut holder.intents {
                all.insert(engine, (intent, txn.revision));
            }
        }
        (Some(Call::Delete(engine)), StoreResult::Txn(txn)) if txn.succeeded => {
            if let Some(all) = &mut holder.intents {
                all.remove(&engine);
            }
        }
        (None, _) => {}
        _ => {
            holder.intents = None;
            holder.next_call = now.after(super::RETRY_DELAY);
        }
    }
}

fn parse_pair(folder: &str, pair: &Pair) -> Option<(Box<str>, (Intent, i64))> {
    let engine = pair.key.strip_prefix(folder)?;
    let intent = Intent::parse(&pair.value)?;
    Some((engine.into(), (intent, pair.mod_revision)))
}

impl Intent {
    /// Encodes the intent as JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let role = self.role.name();
        json!({"fence": self.fence, "order": self.order, "role": role})
            .to_string()
            .into_bytes()
    }

    /// Decodes an intent from JSON.
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
