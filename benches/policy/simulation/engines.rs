//! Engines: arriving jobs, steps, load samples and faults.

use std::time::Duration;

use chiveway::core::effect::OpenStream;
use chiveway::core::event::AttemptFailure;
use chiveway::core::fleet::ServingState;
use chiveway::error::Ran;

use super::{Attempt, HOP_US, HostEvent, SimEvent, Simulation};
use crate::baseline::{self, Router};
use crate::engine::{Engine, Job, JobKind, Load, State, StepEvent};
use crate::hosts;
use crate::trace::Fault;

/// Transfer time of the KV cache to another engine, in microseconds per token.
const TRANSFER_US_PER_TOKEN: u64 = 2;

impl Simulation<'_> {
    pub(super) fn open_stream(&mut self, host: usize, open: &OpenStream) {
        let call = self.requests[&(host, open.request)];
        let prefill = open.prefill_addr.map(hosts::engine_at);
        let engine = hosts::engine_at(open.addr);
        let id = self.start_attempt(call, host, prefill, engine, open.priority);
        self.attempt_ids.insert((host, open.attempt), id);
        self.attempts[id].key = Some(open.attempt);
        self.attempts[id].delivered = open.delivered;
        self.admitted(call);
    }

    pub(super) fn route_by_baseline(&mut self, router: Router, call: usize, host: usize) {
        let exact = router == Router::Exact;
        let blocks = &self.calls[call].blocks;
        let candidates: Vec<baseline::Candidate> = (0..self.engines.len())
            .filter(|&at| self.routed[at] == ServingState::Serving && !self.leaving[at])
            .filter(|&at| self.engines[at].state == State::Up)
            .map(|at| {
                let engine = &self.engines[at];
                let load = self.reported_load(at).0;
                baseline::Candidate {
                    at,
                    role: engine.role,
                    speed: engine.speed,
                    prefill_tokens: if exact {
                        self.backlog_tokens[at]
                    } else {
                        load.queued_prefill
                    },
                    streams: if exact {
                        self.active_attempts[at]
                    } else {
                        load.running + load.waiting
                    },
                    cached_tokens: engine.cached(blocks),
                }
            })
            .collect();
        self.round_robin[host] += 1;
        let turn = self.round_robin[host] + host;
        let prompt = self.calls[call].prompt;
        match baseline::choose(router, turn, &mut self.rng, &candidates, prompt) {
            Some((prefill, engine)) => {
                self.start_attempt(call, host, prefill, engine, 5);
                self.admitted(call);
            }
            None => self.refused(call, Some(Duration::from_secs(1))),
        }
    }

    pub(super) fn start_attempt(
        &mut self,
        call: usize,
        host: usize,
        prefill: Option<usize>,
        engine: usize,
        priority: u8,
    ) -> usize {
        let id = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            host,
            key: None,
            prefill,
            engine,
            delivered: 0,
            active: true,
            priority,
        });
        self.callers[call].attempt = Some(id);
        let prompt = u64::from(self.calls[call].prompt);
        self.tally.prompt_tokens += prompt;
        self.active_attempts[engine] += 1;
        let first = prefill.unwrap_or(engine);
        if let Some(prefill) = prefill {
            self.active_attempts[prefill] += 1;
        }
        self.backlog_tokens[first] += prompt;
        let kind = if prefill.is_some() {
            JobKind::Prefill
        } else {
            JobKind::Full
        };
        self.schedule(self.now + HOP_US, SimEvent::JobArrival(first, id, kind));
        id
    }

    /// Queues a job at an engine, or fails the attempt if the engine does not accept it.
    pub(super) fn job_arrived(&mut self, engine: usize, id: usize, kind: JobKind) {
        if !self.attempts[id].active {
            return;
        }
        if !self.engines[engine].accepts(kind) {
            self.release_attempt(id);
            let end = if self.engines[engine].state == State::Down {
                AttemptFailure::Unreachable
            } else {
                AttemptFailure::Refused
            };
            let host = self.attempts[id].host;
            let failure = HostEvent::Failed(id, Ran::No, end);
            self.schedule(self.now + HOP_US, SimEvent::Host(host, failure));
            return;
        }
        let (call, delivered) = (
            &self.calls[self.attempts[id].call],
            self.attempts[id].delivered,
        );
        let job = Job {
            id,
            kind,
            prompt: match kind {
                JobKind::Decode => 0,
                JobKind::Full | JobKind::Prefill => u64::from(call.prompt) + delivered,
            },
            output: u64::from(call.output).saturating_sub(delivered).max(1),
            blocks: std::rc::Rc::clone(&call.blocks),
            priority: self.attempts[id].priority,
        };
        self.engines[engine].push(job);
        if kind != JobKind::Prefill {
            let host = self.attempts[id].host;
            self.schedule(
                self.now + HOP_US,
                SimEvent::Host(host, HostEvent::Began(id)),
            );
        }
        self.begin_step(engine);
    }

    pub(super) fn begin_step(&mut self, engine: usize) {
        if let Some(step_us) = self.engines[engine].begin_step() {
            self.schedule(self.now + step_us, SimEvent::StepEnd(engine));
        }
    }

    pub(super) fn finish_step(&mut self, engine: usize) {
        if self.engines[engine].state != State::Up {
            return;
        }
        let mut events = Vec::new();
        self.engines[engine].finish_step(&mut events);
        for event in events {
            match event {
                StepEvent::Prefilled(id) => {
                    self.prefill_done(id);
                    let prompt = u64::from(self.calls[self.attempts[id].call].prompt);
                    let at = self.now + 2 * HOP_US + TRANSFER_US_PER_TOKEN * prompt;
                    let engine = self.attempts[id].engine;
                    self.schedule(at, SimEvent::JobArrival(engine, id, JobKind::Decode));
                }
                StepEvent::FirstToken(id) => {
                    if self.attempts[id].prefill.is_none() {
                        self.remove_backlog(id);
                    }
                    let host = self.attempts[id].host;
                    self.schedule(
                        self.now + HOP_US,
                        SimEvent::Host(host, HostEvent::FirstToken(id)),
                    );
                }
                StepEvent::Completed {
                    id,
                    slow_gaps,
                    gaps,
                } => {
                    self.release_attempt(id);
                    let host = self.attempts[id].host;
                    let completed = HostEvent::Completed(id, slow_gaps, gaps);
                    self.schedule(self.now + HOP_US, SimEvent::Host(host, completed));
                }
            }
        }
        self.begin_step(engine);
    }

    /// Removes a prefilled attempt from the load of its prefill engine.
    pub(super) fn prefill_done(&mut self, id: usize) {
        self.remove_backlog(id);
        if let Some(prefill) = self.attempts[id].prefill.take() {
            self.active_attempts[prefill] -= 1;
        }
    }

    pub(super) fn remove_backlog(&mut self, id: usize) {
        let first = self.attempts[id]
            .prefill
            .unwrap_or(self.attempts[id].engine);
        let prompt = u64::from(self.calls[self.attempts[id].call].prompt);
        self.backlog_tokens[first] = self.backlog_tokens[first].saturating_sub(prompt);
    }

    /// Removes an attempt that no engine has or will receive from the loads of its engines.
    pub(super) fn release_attempt(&mut self, id: usize) {
        if !std::mem::take(&mut self.attempts[id].active) {
            return;
        }
        if self.attempts[id].prefill.is_some() {
            self.prefill_done(id);
        }
        self.active_attempts[self.attempts[id].engine] -= 1;
    }

    pub(super) fn cancel_attempt(&mut self, id: usize) {
        if !self.attempts[id].active {
            return;
        }
        let engines = [self.attempts[id].prefill, Some(self.attempts[id].engine)];
        for engine in engines.into_iter().flatten() {
            self.engines[engine].cancel(id);
        }
        if self.attempts[id].prefill.is_none() {
            self.remove_backlog(id);
        }
        self.release_attempt(id);
    }

    pub(super) fn sample_loads(&mut self) {
        let loads = self.engines.iter().map(Engine::load).collect();
        self.load_samples.push_back((self.now, loads));
        let lag_us = (self.case.report_lag_secs * 1e6) as u64;
        while self.load_samples.len() > 1 && self.load_samples[1].0 + lag_us <= self.now {
            self.load_samples.pop_front();
        }
    }

    /// Returns the last load reported by an engine, and its age in milliseconds.
    pub(super) fn reported_load(&self, engine: usize) -> (Load, u32) {
        if self.case.report_lag_secs == 0.0 {
            return (self.engines[engine].load(), 0);
        }
        let (at, loads) = &self.load_samples[0];
        let age_ms = u32::try_from((self.now - at) / 1000).unwrap_or(u32::MAX);
        (loads[engine], age_ms)
    }

    pub(super) fn inject_fault(&mut self) {
        match self.case.fault {
            Fault::None => {}
            Fault::Leaving(_) => self.leaving[0] = true,
            Fault::Crash(_) => {
                for engine in [0, self.engines.len() - 1] {
                    self.crash(engine);
                }
            }
        }
    }

    pub(super) fn crash(&mut self, engine: usize) {
        self.engines[engine].state = State::Down;
        self.leaving[engine] = true;
        for (id, generated) in self.engines[engine].clear() {
            let host = self.attempts[id].host;
            self.release_attempt(id);
            if generated > 1 && self.attempts[id].key.is_some() {
                self.stream_tokens(id, 1, generated - 1);
            }
            let failure = HostEvent::Failed(id, Ran::Yes, AttemptFailure::Cut);
            self.schedule(self.now + HOP_US, SimEvent::Host(host, failure));
        }
    }
}
