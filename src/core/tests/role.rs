//! Decisions to change an engine's role.

use crate::core::Time;
use crate::core::event::Role;
use crate::core::key::BackendKey;
use crate::core::role::{Change, DecisionState, Engine, View, decide};
use crate::settings::PoolSettings;
use slotmap::SlotMap;

/// Prompt and output tokens per second for which three prefill engines of nine are right.
const BALANCED_DEMAND: (f64, f64) = (16_000.0, 4_000.0);
/// Twice the prompt tokens, which needs more prefill engines.
const PREFILL_HEAVY_DEMAND: (f64, f64) = (32_000.0, 3_000.0);
/// Two demands: three prefill engines are right for their mean, but not for the second alone.
const ALTERNATING_DEMANDS: [(f64, f64); 2] = [(12_000.0, 5_000.0), (24_000.0, 3_000.0)];

/// A split pool of nine engines, three of them for prefill.
struct Pool {
    settings: PoolSettings,
    engines: Vec<Engine>,
    state: DecisionState,
}

impl Pool {
    fn new(goodput: f64, change: f64) -> Self {
        let mut settings = super::settings("host").pools["raadgiver"].clone();
        settings.split = true;
        settings.goodput_weight = goodput;
        settings.change_cost = change;
        let mut keys: SlotMap<BackendKey, ()> = SlotMap::with_key();
        let engine = |at: usize| Engine {
            key: keys.insert(()),
            domain: format!("d-{}", at % 3).into(),
            role: if at < 3 { Role::Prefill } else { Role::Decode },
            serving: true,
            streams: 0,
            speed: 1.0,
        };
        Self {
            settings,
            engines: (0..9).map(engine).collect(),
            state: DecisionState::default(),
        }
    }

    /// Decides once per second under a demand; returns the decided changes, without applying
    /// them.
    fn decide_during(
        &mut self,
        seconds: std::ops::Range<u64>,
        demand: fn(u64) -> (f64, f64),
    ) -> Vec<Change> {
        let changes = seconds.filter_map(|second| {
            let (prompt, output) = demand(second);
            let view = View {
                now: Time::from_millis(second * 1000),
                settings: &self.settings,
                engines: &self.engines,
                prompt,
                output,
            };
            decide(&view, &mut self.state)
        });
        changes.collect()
    }
}

/// Prompts grow longer permanently; without a role change their queue would grow without limit.
#[test]
fn lasting_shift_changes_a_role() {
    for (goodput, change) in [(4.0, 5.0), (1.0, 30.0)] {
        let mut pool = Pool::new(goodput, change);
        assert_eq!(pool.decide_during(0..60, |_| BALANCED_DEMAND), []);
        let changes = pool.decide_during(60..120, |_| PREFILL_HEAVY_DEMAND);
        let first = changes.first().expect("a change");
        assert_eq!(first.role, Role::Prefill);
        let engine = pool
            .engines
            .iter()
            .find(|engine| engine.key == first.engine);
        assert_eq!(engine.map(|engine| engine.role), Some(Role::Decode));
    }
}

/// The mix alternates within seconds. An engine that changed its role each time would be
/// unavailable most of the time.
#[test]
fn short_swing_changes_no_role() {
    let swing = |second| {
        if second % 10 < 5 {
            ALTERNATING_DEMANDS[0]
        } else {
            ALTERNATING_DEMANDS[1]
        }
    };
    for (goodput, change) in [(4.0, 5.0), (1.0, 30.0)] {
        assert_eq!(Pool::new(goodput, change).decide_during(0..300, swing), []);
    }
}

/// One engine is unavailable because of a change. Taking a second one from so small a pool would
/// cost more than the shift in demand.
#[test]
fn one_engine_changes_at_a_time() {
    let mut pool = Pool::new(4.0, 5.0);
    pool.engines[8].serving = false;
    assert_eq!(pool.decide_during(0..120, |_| PREFILL_HEAVY_DEMAND), []);
}

/// Engines of an unsplit pool serve both stages; a role change would only make one unavailable.
#[test]
fn unsplit_pool_changes_no_role() {
    let mut pool = Pool::new(4.0, 5.0);
    pool.settings.split = false;
    assert_eq!(pool.decide_during(0..120, |_| PREFILL_HEAVY_DEMAND), []);
}

/// A split pool starts with engines that serve both stages. If they kept doing so, long prompts
/// would delay the decoding of other requests.
#[test]
fn engine_with_both_roles_gets_one() {
    let mut pool = Pool::new(4.0, 5.0);
    pool.engines[0].role = Role::Both;
    let changes = pool.decide_during(0..1, |_| BALANCED_DEMAND);
    assert_eq!(
        changes.first().map(|change| change.engine),
        Some(pool.engines[0].key)
    );
}
