//! Role changes: when one is decided, how it goes on and when it is called off.

use chiveway::core::event::Role;
use chiveway::core::fleet::ServingState;
use chiveway::core::key::BackendKey;
use chiveway::core::role;

use super::{Ev, LOOK, SECOND, Setup, Shift, World};
use crate::engine::State;
use crate::roles::{Pool, Seen};

/// Time a role change takes.
const CHANGE: u64 = 5_000_000;
/// Time a withdrawn engine may finish its work before the change is called off.
const DRAIN: u64 = 30_000_000;

impl World<'_> {
    pub(super) fn second(&mut self) {
        self.push(self.now + SECOND, Ev::Second);
        let seen: Vec<Seen> = (0..self.engines.len())
            .filter(|&at| !self.leaving[at] && self.engines[at].state != State::Down)
            .map(|at| Seen {
                own: role::Engine {
                    key: key(at),
                    domain: format!("domain-{}", at % 3).into(),
                    role: self.engines[at].role,
                    serving: self.routed[at] == ServingState::Serving,
                    streams: self.held[at],
                    speed: self.engines[at].speed,
                },
                load: self.lagging(at).0,
            })
            .collect();
        let pool = Pool {
            second: self.now / SECOND,
            settings: &self.settings,
            engines: &seen,
            prompt: std::mem::take(&mut self.prompt),
            output: std::mem::take(&mut self.output),
        };
        let Some((change, role)) = self.setup.roles.decide(&pool) else {
            return;
        };
        let engine = (0..self.engines.len()).find(|&at| key(at) == change);
        if let Some(engine) = engine {
            self.routed[engine] = ServingState::Withdrawn;
            self.tell_all(engine);
            self.shifts.push(Shift {
                engine,
                role,
                since: self.now,
                ordered: None,
            });
        }
    }

    /// Goes on with the changes under way.
    pub(super) fn look(&mut self) {
        self.push(self.now + LOOK, Ev::Look);
        let mut shifts = std::mem::take(&mut self.shifts);
        shifts.retain_mut(|shift| !self.go_on(shift));
        self.shifts.extend(shifts);
    }

    /// Goes on with a change; returns whether it has ended.
    pub(super) fn go_on(&mut self, shift: &mut Shift) -> bool {
        let engine = shift.engine;
        let gone = self.engines[engine].state == State::Down;
        match shift.ordered {
            None if self.held[engine] == 0 && !gone => {
                shift.ordered = Some(self.now);
                self.engines[engine].state = State::Changing;
                return false;
            }
            None if gone || self.now > shift.since + DRAIN => {}
            Some(at) if self.now >= at + CHANGE => {
                self.engines[engine].state = State::Up;
                self.engines[engine].role = shift.role;
                self.tally.changes += 1;
            }
            _ => return false,
        }
        self.tally.lost += (self.now - shift.since) as f64 / 1e6;
        self.routed[engine] = ServingState::Serving;
        self.tell_all(engine);
        true
    }
}

/// Returns the key by which deciders know an engine.
fn key(at: usize) -> BackendKey {
    slotmap::KeyData::from_ffi(1 << 32 | (at as u64 + 1)).into()
}

pub(super) fn first_role(at: usize, setup: &Setup, count: usize) -> Role {
    // Spread over positions, so that both roles stand in each failure domain.
    let before = at * setup.prefill / count;
    let after = (at + 1) * setup.prefill / count;
    if after > before {
        Role::Prefill
    } else {
        Role::Decode
    }
}
