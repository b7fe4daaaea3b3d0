//! Callers: how they ask, leave, come back and take an answer.

use std::time::Duration;

use chiveway::core::event::{Arrival, Event, ModelRequest, RequestEvent, RequestSpec};
use chiveway::error::ceil_secs;
use rand::RngExt;

use super::{Ev, Front, SECOND, World};
use crate::hosts;
use crate::trace::{Call, Case, Manner};

/// Part of a refused request that counts as demand; its caller asks again.
const REFUSED: f64 = 0.5;
/// Time without a first token after which an eager caller sends again.
const EAGER_WAIT: u64 = 2_000_000;
/// Tries of one caller.
const TRIES: u8 = 4;
/// Longest time to come back that a caller waits.
const LONGEST: u64 = 60;
/// Part of what is known of answers' lengths that one more answer leaves in force.
const FORGET: f64 = 0.99;

impl World<'_> {
    pub(super) fn try_call(&mut self, at: usize) {
        let call = &self.calls[at];
        let host = self.rng.random_range(0..self.case.site.hosts);
        let caller = &mut self.callers[at];
        if caller.over {
            return;
        }
        caller.tries += 1;
        caller.host = host;
        caller.sent = self.now;
        caller.first = None;
        caller.request = None;
        caller.attempt = None;
        self.tally.tries += 1;
        if call.manner == Manner::Eager {
            self.push(self.now + EAGER_WAIT, Ev::GiveUp(at));
        }
        match self.setup.front {
            Front::Cores => {
                let arrival = arrival(self.case, at, call);
                self.reduce(
                    host,
                    Event::Request(RequestEvent::Arrived(Box::new(arrival))),
                );
            }
            Front::Plain(router) => self.plain(router, at, host),
        }
    }

    /// An eager caller without a first token leaves and sends again.
    pub(super) fn give_up(&mut self, at: usize) {
        let caller = &self.callers[at];
        let waited = self.now >= caller.sent + EAGER_WAIT;
        if caller.over || caller.first.is_some() || caller.tries >= TRIES || !waited {
            return;
        }
        if let Some(request) = caller.request {
            let host = caller.host;
            let event = RequestEvent::CallerLeft(request);
            self.reduce(host, Event::Request(event));
        } else if let Some(run) = caller.attempt {
            self.cancel(run);
        }
        self.push(self.now + SECOND / 5, Ev::Try(at));
    }

    pub(super) fn refused(&mut self, at: usize, retry: Option<Duration>) {
        self.demand(at, REFUSED);
        self.tally.refused += 1;
        self.tally.named += u32::from(retry.is_some());
        let caller = &mut self.callers[at];
        caller.request = None;
        if std::mem::take(&mut caller.follows) {
            self.tally.back += 1;
        }
        if caller.tries >= TRIES {
            caller.over = true;
            return;
        }
        let secs = retry.map(ceil_secs);
        let after = match (self.calls[at].manner, secs) {
            (Manner::Eager, _) => SECOND / 2 + self.rng.random_range(0..SECOND),
            (Manner::Follows, Some(secs)) if secs <= LONGEST => {
                caller.follows = true;
                secs * SECOND
            }
            (Manner::Follows, _) => {
                caller.over = true;
                return;
            }
        };
        self.push(self.now + after, Ev::Try(at));
    }

    /// Counts what is asked for, as hosts do.
    fn demand(&mut self, at: usize, part: f64) {
        let call = &self.calls[at];
        self.prompt += part * f64::from(call.prompt);
        self.output += part * f64::from(call.most) * self.ratio.0 / self.ratio.1;
    }

    /// A request was taken: an engine has it.
    pub(super) fn taken(&mut self, at: usize) {
        self.demand(at, 1.0);
        if std::mem::take(&mut self.callers[at].follows) {
            self.tally.back += 1;
            self.tally.kept += 1;
        }
    }

    pub(super) fn first_token(&mut self, at: usize) {
        let caller = &mut self.callers[at];
        caller.first.get_or_insert(self.now);
    }

    pub(super) fn answered(&mut self, at: usize, slow: u64, gaps: u64) {
        let caller = &mut self.callers[at];
        caller.over = true;
        let first = caller.first.unwrap_or(self.now) - caller.sent;
        let call = &self.calls[at];
        let plan = hosts::plan(call.customer);
        self.tally.answer(call.class, plan, first, slow, gaps);
        self.ratio.0 = self.ratio.0 * FORGET + f64::from(call.output);
        self.ratio.1 = self.ratio.1 * FORGET + f64::from(call.most);
    }
}

fn arrival(case: &Case, at: usize, call: &Call) -> Arrival {
    Arrival {
        tag: at as u64,
        key_hash: hosts::key(call.customer),
        spec: RequestSpec::Model(ModelRequest {
            model: case.site.model.into(),
            prompt_tokens: call.prompt,
            max_output: call.most,
            prefix_hashes: call.pieces.to_vec(),
        }),
        idempotency_key: None,
        fingerprint: call.print,
    }
}
