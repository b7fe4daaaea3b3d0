//! Callers: requests, time-outs, retries and answers.

use std::time::Duration;

use chiveway::core::event::{Arrival, Event, ModelRequest, RequestEvent, RequestSpec};
use chiveway::error::ceil_secs;
use rand::RngExt;

use super::{Frontend, SECOND_US, SimEvent, Simulation};
use crate::hosts;
use crate::trace::{Call, Case, RetryBehavior};

/// Weight of a refused request in the demand, below 1.0 because its caller may retry.
const REFUSED_DEMAND_FRACTION: f64 = 0.5;
/// Time without a first token after which an eager caller retries.
const EAGER_WAIT_US: u64 = 2_000_000;
/// Maximum number of tries of a caller.
const MAX_TRIES: u8 = 4;
/// Longest retry-after time that a caller waits for.
const MAX_RETRY_AFTER_SECS: u64 = 60;
/// Factor by which each answer reduces the weight of earlier answers in the output ratio.
const RATIO_DECAY: f64 = 0.99;

impl Simulation<'_> {
    pub(super) fn send_request(&mut self, at: usize) {
        let call = &self.calls[at];
        let host = self.rng.random_range(0..self.case.site.hosts);
        let caller = &mut self.callers[at];
        if caller.done {
            return;
        }
        caller.tries += 1;
        caller.host = host;
        caller.sent = self.now;
        caller.first_token = None;
        caller.request = None;
        caller.attempt = None;
        self.tally.tries += 1;
        if call.behavior == RetryBehavior::Eager {
            self.schedule(self.now + EAGER_WAIT_US, SimEvent::GiveUp(at));
        }
        match self.setup.frontend {
            Frontend::Cores => {
                let arrival = arrival(self.case, at, call);
                self.reduce(
                    host,
                    Event::Request(RequestEvent::Arrived(Box::new(arrival))),
                );
            }
            Frontend::Baseline(router) => self.route_by_baseline(router, at, host),
        }
    }

    /// Cancels the request of an eager caller that has no first token, and schedules its retry.
    pub(super) fn give_up(&mut self, at: usize) {
        let caller = &self.callers[at];
        let timed_out = self.now >= caller.sent + EAGER_WAIT_US;
        if caller.done || caller.first_token.is_some() || caller.tries >= MAX_TRIES || !timed_out {
            return;
        }
        if let Some(request) = caller.request {
            let host = caller.host;
            let event = RequestEvent::CallerLeft(request);
            self.reduce(host, Event::Request(event));
        } else if let Some(id) = caller.attempt {
            self.cancel_attempt(id);
        }
        self.schedule(self.now + SECOND_US / 5, SimEvent::Send(at));
    }

    pub(super) fn refused(&mut self, at: usize, retry_after: Option<Duration>) {
        self.count_demand(at, REFUSED_DEMAND_FRACTION);
        self.tally.refusals += 1;
        self.tally.with_retry_after += u32::from(retry_after.is_some());
        let caller = &mut self.callers[at];
        caller.request = None;
        if std::mem::take(&mut caller.returning) {
            self.tally.returned += 1;
        }
        if caller.tries >= MAX_TRIES {
            caller.done = true;
            return;
        }
        let secs = retry_after.map(ceil_secs);
        let delay_us = match (self.calls[at].behavior, secs) {
            (RetryBehavior::Eager, _) => SECOND_US / 2 + self.rng.random_range(0..SECOND_US),
            (RetryBehavior::HonorsRetryAfter, Some(secs)) if secs <= MAX_RETRY_AFTER_SECS => {
                caller.returning = true;
                secs * SECOND_US
            }
            (RetryBehavior::HonorsRetryAfter, _) => {
                caller.done = true;
                return;
            }
        };
        self.schedule(self.now + delay_us, SimEvent::Send(at));
    }

    /// Adds a request to the demand, as hosts do.
    fn count_demand(&mut self, at: usize, weight: f64) {
        let call = &self.calls[at];
        self.prompt_demand += weight * f64::from(call.prompt);
        self.output_demand +=
            weight * f64::from(call.max_output) * self.output_ratio.0 / self.output_ratio.1;
    }

    /// Counts a request that was sent to an engine.
    pub(super) fn admitted(&mut self, at: usize) {
        self.count_demand(at, 1.0);
        if std::mem::take(&mut self.callers[at].returning) {
            self.tally.returned += 1;
            self.tally.returned_admitted += 1;
        }
    }

    pub(super) fn first_token(&mut self, at: usize) {
        let caller = &mut self.callers[at];
        caller.first_token.get_or_insert(self.now);
    }

    pub(super) fn answered(&mut self, at: usize, slow_gaps: u64, gaps: u64) {
        let caller = &mut self.callers[at];
        caller.done = true;
        let first_token_us = caller.first_token.unwrap_or(self.now) - caller.sent;
        let call = &self.calls[at];
        let plan = hosts::plan_index(call.customer);
        self.tally
            .record_answer(call.class, plan, first_token_us, slow_gaps, gaps);
        self.output_ratio.0 = self.output_ratio.0 * RATIO_DECAY + f64::from(call.output);
        self.output_ratio.1 = self.output_ratio.1 * RATIO_DECAY + f64::from(call.max_output);
    }
}

fn arrival(case: &Case, at: usize, call: &Call) -> Arrival {
    Arrival {
        tag: at as u64,
        key_hash: hosts::key_hash(call.customer),
        spec: RequestSpec::Model(ModelRequest {
            model: case.site.model.into(),
            prompt_tokens: call.prompt,
            max_output: call.max_output,
            prefix_hashes: call.blocks.to_vec(),
        }),
        idempotency_key: None,
        fingerprint: call.fingerprint,
    }
}
