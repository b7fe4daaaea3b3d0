//! When an engine's role changes, and when it does not.

use crate::core::Time;
use crate::core::event::Role;
use crate::core::key::BackendKey;
use crate::core::role::{Change, DecisionState, Engine, View, decide};
use crate::settings::PoolSettings;
use slotmap::SlotMap;

/// Work of nine engines for which a third of them for prefill is right.
const USUAL: (f64, f64) = (16_000.0, 4_000.0);
/// Twice the prompts, for which it is not.
const PROMPTS: (f64, f64) = (32_000.0, 3_000.0);
/// Two demands for whose mean it is right, and for the second alone it is not.
const SWING: [(f64, f64); 2] = [(12_000.0, 5_000.0), (24_000.0, 3_000.0)];

/// A split pool of nine engines, three of them for prefill.
struct Pool {
    settings: PoolSettings,
    engines: Vec<Engine>,
    memory: DecisionState,
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
            memory: DecisionState::default(),
        }
    }

    /// Lets seconds pass under a demand, and returns the changes wished for; none is carried out.
    fn pass(
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
            decide(&view, &mut self.memory)
        });
        changes.collect()
    }
}

/// Prompts grow longer and stay so: without a change they would wait for ever.
#[test]
fn lasting_shift_is_followed() {
    for (goodput, change) in [(4.0, 5.0), (1.0, 30.0)] {
        let mut pool = Pool::new(goodput, change);
        assert_eq!(pool.pass(0..60, |_| USUAL), []);
        let changes = pool.pass(60..120, |_| PROMPTS);
        let first = changes.first().expect("a change");
        assert_eq!(first.role, Role::Prefill);
        let engine = pool
            .engines
            .iter()
            .find(|engine| engine.key == first.engine);
        assert_eq!(engine.map(|engine| engine.role), Some(Role::Decode));
    }
}

/// The mix swings to and fro within seconds. An engine that followed would be away most of the
/// time, and callers would wait for it.
#[test]
fn swing_is_not_followed() {
    let swing = |second| if second % 10 < 5 { SWING[0] } else { SWING[1] };
    for (goodput, change) in [(4.0, 5.0), (1.0, 30.0)] {
        assert_eq!(Pool::new(goodput, change).pass(0..300, swing), []);
    }
}

/// One engine is away for a change already. A second one taken from so small a pool would cost
/// more than the shift does.
#[test]
fn one_engine_is_away_at_a_time() {
    let mut pool = Pool::new(4.0, 5.0);
    pool.engines[8].serving = false;
    assert_eq!(pool.pass(0..120, |_| PROMPTS), []);
}

/// Engines of a pool that is not split serve both parts; an order to change would only stop one.
#[test]
fn unsplit_pool_is_left_alone() {
    let mut pool = Pool::new(4.0, 5.0);
    pool.settings.split = false;
    assert_eq!(pool.pass(0..120, |_| PROMPTS), []);
}

/// A split pool starts with engines that do both; left so, long prompts hold up every answer.
#[test]
fn engines_that_do_both_get_a_role() {
    let mut pool = Pool::new(4.0, 5.0);
    pool.engines[0].role = Role::Both;
    let changes = pool.pass(0..1, |_| USUAL);
    assert_eq!(
        changes.first().map(|change| change.engine),
        Some(pool.engines[0].key)
    );
}
