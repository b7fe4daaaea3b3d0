//! The routing state of a pool: which engines take new work, and their roles.
//!
//! The holder writes it by compare-and-swap; every host applies it as its watch delivers it.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::{ROUTE, name, record};
use crate::core::effect::Effect;
use crate::core::event::{Job, Role, StoreResult, WatchedKey};
use crate::core::fleet::ServingState;
use crate::core::key::PoolKey;
use crate::core::{Core, Effects, Time};
use crate::store::{Compare, Op, Span, Txn};

/// State of one engine in the routing state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineState {
    /// Serving or withdrawn.
    pub standing: ServingState,
    /// Role that routing assumes.
    pub role: Role,
}

/// A pool's routing state; engines that are not named serve in both roles.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Route {
    /// Increases with each write.
    pub revision: u64,
    /// Engines by name.
    pub engines: BTreeMap<Box<str>, EngineState>,
}

/// The routing state that a host acts on.
#[derive(Debug, Default)]
pub struct Applied {
    /// The state.
    pub route: Route,
    /// Revision of the key-value service at which it was written.
    pub modified: i64,
    /// Last confirmation sent to the holder.
    pub(super) last_confirm: Option<SentConfirm>,
}

/// A confirmation about withdrawn engines, as sent to the holder.
#[derive(Debug)]
pub(super) struct SentConfirm {
    pub holder: Box<str>,
    pub revision: u64,
    pub streams: Vec<(Box<str>, u32)>,
    pub at: Time,
}

/// A pending call about the routing state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Call {
    /// Reads the state.
    Read,
    /// Writes this state.
    Write(Route),
}

impl Route {
    /// Returns the state of an engine.
    #[must_use]
    pub fn engine_state(&self, engine: &str) -> EngineState {
        self.engines.get(engine).copied().unwrap_or_default()
    }

    /// Encodes the routing state as JSON.
    #[must_use]
    pub fn to_json(&self) -> Vec<u8> {
        let engines: BTreeMap<&str, Value> = self
            .engines
            .iter()
            .map(|(name, engine)| {
                let state = match engine.standing {
                    ServingState::Serving => "serving",
                    ServingState::Withdrawn | ServingState::Leaving => "withdrawn",
                };
                let role = engine.role.name();
                (&**name, json!({"state": state, "role": role}))
            })
            .collect();
        json!({"revision": self.revision, "engines": engines})
            .to_string()
            .into_bytes()
    }

    /// Decodes a routing state from JSON.
    #[must_use]
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let value: Value = serde_json::from_slice(bytes).ok()?;
        let engines = value["engines"].as_object()?.iter().map(|(name, engine)| {
            let standing = match engine["state"].as_str()? {
                "serving" => ServingState::Serving,
                _ => ServingState::Withdrawn,
            };
            let role = Role::from_name(engine["role"].as_str()?)?;
            Some((Box::from(name.as_str()), EngineState { standing, role }))
        });
        Some(Self {
            revision: value["revision"].as_u64()?,
            engines: engines.collect::<Option<_>>()?,
        })
    }
}

pub(super) fn key(pool: &str) -> Box<str> {
    format!("w/{ROUTE}/{pool}").into()
}

/// Applies the routing state that the watch shows.
pub(super) fn watched(core: &mut Core, pool: PoolKey, pair: &WatchedKey) {
    let route = match &pair.value {
        Some(bytes) => Route::parse(bytes),
        None => Some(Route::default()),
    };
    let applied = &mut core.orders.pool_mut(pool).applied;
    if let Some(route) = route.filter(|_| pair.modified >= applied.modified) {
        applied.route = route;
        applied.modified = pair.modified;
        apply(core, pool);
    }
}

/// Updates the engines to the routing state.
pub(super) fn apply(core: &mut Core, pool: PoolKey) {
    let route = &core.orders.pool(pool).applied.route;
    for &key in &core.fleet.pools[usize::from(pool.0)].engines {
        let engine = &mut core.fleet.arena[key];
        let state = route.engine_state(&engine.name);
        engine.routed = state.standing;
        engine.role = state.role;
    }
}

/// Reads the state as it is stored.
pub(super) fn read(core: &mut Core, pool: PoolKey, out: &mut Effects) {
    let span = Span::Key(key(&name(core, pool)));
    core.orders.pool_mut(pool).holder.route_call = Some(Call::Read);
    let job = Job::Route(pool);
    out.push(Effect::Read { job, span });
}

/// Writes a new state over the one that is stored, provided that this host is the holder.
pub(super) fn write(core: &mut Core, pool: PoolKey, route: Route, out: &mut Effects) {
    let pool_name = name(core, pool);
    let orders = core.orders.pool_mut(pool);
    let Some((_, modified)) = orders.holder.route else {
        return;
    };
    let txn = Txn {
        compare: vec![
            Compare::Value {
                key: record::holder_key(&pool_name),
                value: orders.authority.value.clone(),
            },
            Compare::Modified {
                key: key(&pool_name),
                revision: modified,
            },
        ],
        then: vec![Op::Put {
            key: key(&pool_name),
            value: route.to_json().into(),
            lease: 0,
        }],
        otherwise: Vec::new(),
    };
    orders.holder.route_call = Some(Call::Write(route));
    let job = Job::Route(pool);
    out.push(Effect::Txn { job, txn });
}

/// Handles the end of a read or write.
///
/// Anything but a plain success is resolved by reading what is stored: a write whose answer was
/// lost may have taken effect or not, and the next write compares with what was read.
pub(super) fn reply(core: &mut Core, pool: PoolKey, result: StoreResult) {
    let now = core.now;
    let holder = &mut core.orders.pool_mut(pool).holder;
    match (holder.route_call.take(), result) {
        (Some(Call::Read), StoreResult::Read(range)) => {
            let pair = range.pairs.first();
            let route = pair.map_or(Some(Route::default()), |pair| Route::parse(&pair.value));
            holder.route = route.map(|route| (route, pair.map_or(0, |pair| pair.mod_revision)));
        }
        (Some(Call::Write(route)), StoreResult::Txn(txn)) if txn.succeeded => {
            holder.route = Some((route, txn.revision));
        }
        // The call is from an earlier time when this host was the holder.
        (None, _) => {}
        _ => {
            holder.route = None;
            holder.next_call = now.after(super::RETRY_DELAY);
        }
    }
}
