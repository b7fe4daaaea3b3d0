//! Role changes: decision, drain, completion and cancellation.

use chiveway::core::event::Role;
use chiveway::core::fleet::ServingState;
use chiveway::core::key::BackendKey;
use chiveway::core::role;

use super::{CHANGE_CHECK_INTERVAL_US, RoleChange, SECOND_US, Setup, SimEvent, Simulation};
use crate::engine::State;
use crate::roles::{Candidate, Pool};

/// Duration of a role change once the engine is drained.
const ROLE_CHANGE_US: u64 = 5_000_000;
/// Time for a withdrawn engine to finish its work, after which the change is cancelled.
const DRAIN_TIMEOUT_US: u64 = 30_000_000;

impl Simulation<'_> {
    pub(super) fn decide_roles(&mut self) {
        self.schedule(self.now + SECOND_US, SimEvent::RoleDecision);
        let candidates: Vec<Candidate> = (0..self.engines.len())
            .filter(|&at| !self.leaving[at] && self.engines[at].state != State::Down)
            .map(|at| Candidate {
                engine: role::Engine {
                    key: backend_key(at),
                    domain: format!("domain-{}", at % 3).into(),
                    role: self.engines[at].role,
                    serving: self.routed[at] == ServingState::Serving,
                    streams: self.active_attempts[at],
                    speed: self.engines[at].speed,
                },
                load: self.reported_load(at).0,
            })
            .collect();
        let pool = Pool {
            second: self.now / SECOND_US,
            settings: &self.settings,
            engines: &candidates,
            prompt_rate: std::mem::take(&mut self.prompt_demand),
            output_rate: std::mem::take(&mut self.output_demand),
        };
        let Some((key, role)) = self.setup.controller.decide(&pool) else {
            return;
        };
        let engine = (0..self.engines.len()).find(|&at| backend_key(at) == key);
        if let Some(engine) = engine {
            self.routed[engine] = ServingState::Withdrawn;
            self.update_routes(engine);
            self.changes.push(RoleChange {
                engine,
                role,
                withdrawn_at: self.now,
                ordered_at: None,
            });
        }
    }

    /// Advances the running role changes.
    pub(super) fn advance_changes(&mut self) {
        self.schedule(self.now + CHANGE_CHECK_INTERVAL_US, SimEvent::ChangeCheck);
        let mut changes = std::mem::take(&mut self.changes);
        changes.retain_mut(|change| !self.advance_change(change));
        self.changes.extend(changes);
    }

    /// Advances a role change; returns whether it has ended.
    pub(super) fn advance_change(&mut self, change: &mut RoleChange) -> bool {
        let engine = change.engine;
        let is_down = self.engines[engine].state == State::Down;
        match change.ordered_at {
            None if self.active_attempts[engine] == 0 && !is_down => {
                change.ordered_at = Some(self.now);
                self.engines[engine].state = State::Changing;
                return false;
            }
            None if is_down || self.now > change.withdrawn_at + DRAIN_TIMEOUT_US => {}
            Some(at) if self.now >= at + ROLE_CHANGE_US => {
                self.engines[engine].state = State::Up;
                self.engines[engine].role = change.role;
                self.tally.role_changes += 1;
            }
            _ => return false,
        }
        self.tally.lost_secs += (self.now - change.withdrawn_at) as f64 / 1e6;
        self.routed[engine] = ServingState::Serving;
        self.update_routes(engine);
        true
    }
}

/// Returns the key of an engine for the role controllers.
fn backend_key(at: usize) -> BackendKey {
    slotmap::KeyData::from_ffi(1 << 32 | (at as u64 + 1)).into()
}

pub(super) fn initial_role(at: usize, setup: &Setup, count: usize) -> Role {
    // Spreads the prefill engines over the indices, so that each failure domain has both roles.
    let before = at * setup.prefill_engines / count;
    let after = (at + 1) * setup.prefill_engines / count;
    if after > before {
        Role::Prefill
    } else {
        Role::Decode
    }
}
