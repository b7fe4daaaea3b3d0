//! Engines: jobs on their way to them, their steps, their loads and their end.

use std::time::Duration;

use chiveway::core::effect::OpenStream;
use chiveway::core::event::AttemptFailure;
use chiveway::core::fleet::ServingState;
use chiveway::error::Ran;

use super::{Ev, HOP, HostEv, Run, World};
use crate::baseline::{self, Router};
use crate::engine::{Engine, Job, Load, Made, Part, State};
use crate::hosts;
use crate::trace::Fault;

/// Time a KV cache of one token takes to another engine, in microseconds.
const IMPORT: u64 = 2;

impl World<'_> {
    pub(super) fn open(&mut self, host: usize, open: &OpenStream) {
        let call = self.requests[&(host, open.request)];
        let prefill = open.prefill_addr.map(hosts::engine_at);
        let engine = hosts::engine_at(open.addr);
        let run = self.start(call, host, prefill, engine, open.priority);
        self.attempts.insert((host, open.attempt), run);
        self.runs[run].key = Some(open.attempt);
        self.runs[run].skip = open.delivered;
        self.taken(call);
    }

    pub(super) fn plain(&mut self, router: Router, call: usize, host: usize) {
        let exact = router == Router::Exact;
        let pieces = &self.calls[call].pieces;
        let seen: Vec<baseline::Seen> = (0..self.engines.len())
            .filter(|&at| self.routed[at] == ServingState::Serving && !self.leaving[at])
            .filter(|&at| self.engines[at].state == State::Up)
            .map(|at| {
                let engine = &self.engines[at];
                let load = self.lagging(at).0;
                baseline::Seen {
                    at,
                    role: engine.role,
                    speed: engine.speed,
                    prefill: if exact {
                        self.backlog[at]
                    } else {
                        load.prefill
                    },
                    streams: if exact {
                        self.held[at]
                    } else {
                        load.running + load.waiting
                    },
                    cached: engine.cached(pieces),
                }
            })
            .collect();
        self.turns[host] += 1;
        let turn = self.turns[host] + host;
        let prompt = self.calls[call].prompt;
        match baseline::choose(router, turn, &mut self.rng, &seen, prompt) {
            Some((prefill, engine)) => {
                self.start(call, host, prefill, engine, 5);
                self.taken(call);
            }
            None => self.refused(call, Some(Duration::from_secs(1))),
        }
    }

    pub(super) fn start(
        &mut self,
        call: usize,
        host: usize,
        prefill: Option<usize>,
        engine: usize,
        priority: u8,
    ) -> usize {
        let run = self.runs.len();
        self.runs.push(Run {
            call,
            host,
            key: None,
            prefill,
            engine,
            skip: 0,
            held: true,
            priority,
        });
        self.callers[call].attempt = Some(run);
        let prompt = u64::from(self.calls[call].prompt);
        self.tally.prompt += prompt;
        self.held[engine] += 1;
        let first = prefill.unwrap_or(engine);
        if let Some(prefill) = prefill {
            self.held[prefill] += 1;
        }
        self.backlog[first] += prompt;
        let part = if prefill.is_some() {
            Part::Prefill
        } else {
            Part::Whole
        };
        self.push(self.now + HOP, Ev::Push(first, run, part));
        run
    }

    /// A job reaches an engine.
    pub(super) fn arrive(&mut self, engine: usize, run: usize, part: Part) {
        if !self.runs[run].held {
            return;
        }
        if !self.engines[engine].takes(part) {
            self.release(run);
            let end = if self.engines[engine].state == State::Down {
                AttemptFailure::Unreachable
            } else {
                AttemptFailure::Refused
            };
            let host = self.runs[run].host;
            let ev = HostEv::Broke(run, Ran::No, end);
            self.push(self.now + HOP, Ev::Host(host, ev));
            return;
        }
        let (call, skip) = (&self.calls[self.runs[run].call], self.runs[run].skip);
        let job = Job {
            id: run,
            part,
            prompt: match part {
                Part::Imported => 0,
                Part::Whole | Part::Prefill => u64::from(call.prompt) + skip,
            },
            output: u64::from(call.output).saturating_sub(skip).max(1),
            pieces: std::rc::Rc::clone(&call.pieces),
            priority: self.runs[run].priority,
        };
        self.engines[engine].push(job);
        if part != Part::Prefill {
            let host = self.runs[run].host;
            self.push(self.now + HOP, Ev::Host(host, HostEv::Began(run)));
        }
        self.begin(engine);
    }

    pub(super) fn begin(&mut self, engine: usize) {
        if let Some(length) = self.engines[engine].begin() {
            self.push(self.now + length, Ev::Step(engine));
        }
    }

    pub(super) fn engine_step(&mut self, engine: usize) {
        if self.engines[engine].state != State::Up {
            return;
        }
        let mut made = Vec::new();
        self.engines[engine].finish(&mut made);
        for made in made {
            match made {
                Made::Prefilled(run) => {
                    self.filled(run);
                    let prompt = u64::from(self.calls[self.runs[run].call].prompt);
                    let at = self.now + 2 * HOP + IMPORT * prompt;
                    let engine = self.runs[run].engine;
                    self.push(at, Ev::Push(engine, run, Part::Imported));
                }
                Made::First(run) => {
                    if self.runs[run].prefill.is_none() {
                        self.unload(run);
                    }
                    let host = self.runs[run].host;
                    self.push(self.now + HOP, Ev::Host(host, HostEv::First(run)));
                }
                Made::Last { id, slow, gaps } => {
                    self.release(id);
                    let host = self.runs[id].host;
                    let ev = HostEv::Last(id, slow, gaps);
                    self.push(self.now + HOP, Ev::Host(host, ev));
                }
            }
        }
        self.begin(engine);
    }

    /// The prompt of a run is worked through at its prefill engine.
    pub(super) fn filled(&mut self, run: usize) {
        self.unload(run);
        if let Some(prefill) = self.runs[run].prefill.take() {
            self.held[prefill] -= 1;
        }
    }

    pub(super) fn unload(&mut self, run: usize) {
        let first = self.runs[run].prefill.unwrap_or(self.runs[run].engine);
        let prompt = u64::from(self.calls[self.runs[run].call].prompt);
        self.backlog[first] = self.backlog[first].saturating_sub(prompt);
    }

    /// No engine has or will get a run any more.
    pub(super) fn release(&mut self, run: usize) {
        if !std::mem::take(&mut self.runs[run].held) {
            return;
        }
        if self.runs[run].prefill.is_some() {
            self.filled(run);
        }
        self.held[self.runs[run].engine] -= 1;
    }

    pub(super) fn cancel(&mut self, run: usize) {
        if !self.runs[run].held {
            return;
        }
        let engines = [self.runs[run].prefill, Some(self.runs[run].engine)];
        for engine in engines.into_iter().flatten() {
            self.engines[engine].cancel(run);
        }
        if self.runs[run].prefill.is_none() {
            self.unload(run);
        }
        self.release(run);
    }

    pub(super) fn sample(&mut self) {
        let loads = self.engines.iter().map(Engine::load).collect();
        self.samples.push_back((self.now, loads));
        let lag = (self.case.lag * 1e6) as u64;
        while self.samples.len() > 1 && self.samples[1].0 + lag <= self.now {
            self.samples.pop_front();
        }
    }

    /// Returns the load that an engine reports now, and its age in milliseconds.
    pub(super) fn lagging(&self, engine: usize) -> (Load, u32) {
        if self.case.lag == 0.0 {
            return (self.engines[engine].load(), 0);
        }
        let (at, loads) = &self.samples[0];
        let age = u32::try_from((self.now - at) / 1000).unwrap_or(u32::MAX);
        (loads[engine], age)
    }

    pub(super) fn fault(&mut self) {
        match self.case.fault {
            Fault::None => {}
            Fault::Withdrawn(_) => self.leaving[0] = true,
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
        for (run, made) in self.engines[engine].clear() {
            let host = self.runs[run].host;
            self.release(run);
            if made > 1 && self.runs[run].key.is_some() {
                self.tokens(run, 1, made - 1);
            }
            let ev = HostEv::Broke(run, Ran::Yes, AttemptFailure::Cut);
            self.push(self.now + HOP, Ev::Host(host, ev));
        }
    }
}
