//! Hosts: applies the effects of their cores, and passes events to them.

use chiveway::core::effect::{Effect, Meter, Refusal};
use chiveway::core::event::{AttemptFailure, Event, PeerEvent, RequestEvent};
use chiveway::core::key::{AttemptKey, HostKey, RequestKey};
use chiveway::core::message::Message;
use chiveway::core::{Effects, Time};
use chiveway::error::Ran;

use super::{Frontend, HOP_US, HostEvent, SimEvent, Simulation};
use crate::engine::State;
use crate::hosts;

impl Simulation<'_> {
    pub(super) fn reduce(&mut self, host: usize, event: Event) {
        let mut effects = Effects::new();
        let at = Time::from_micros(self.now);
        self.cores[host].reduce(at, event, &mut effects);
        self.apply_effects(host, effects);
    }

    pub(super) fn apply_effects(&mut self, host: usize, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Opened { tag, request, .. } => {
                    self.requests.insert((host, request), tag as usize);
                    self.callers[tag as usize].request = Some(request);
                }
                Effect::OpenStream(open) => self.open_stream(host, &open),
                Effect::Cancel(key) => self.cancel_stream(host, key),
                Effect::Refuse { request, refusal } => self.refuse(host, request, &refusal),
                Effect::Send { to, message } => self.send_message(host, to, message),
                Effect::SetTimer { at, timer } => {
                    let at = at.micros().max(self.now);
                    self.schedule(at, SimEvent::Host(host, HostEvent::Timer(timer)));
                }
                Effect::ReadListing => self.schedule(
                    self.now + 2 * HOP_US,
                    SimEvent::Host(host, HostEvent::Listing),
                ),
                Effect::ReadLoad { addr, .. } => {
                    let engine = hosts::engine_at(addr);
                    self.schedule(
                        self.now + 2 * HOP_US,
                        SimEvent::Host(host, HostEvent::LoadReport(engine)),
                    );
                }
                Effect::Meter(Meter::Retried { .. }) => self.tally.retries += 1,
                _ => {}
            }
        }
    }

    pub(super) fn send_message(&mut self, host: usize, to: HostKey, message: Message) {
        let Some(peer) = self.cores[host].members.arena.get(to) else {
            return;
        };
        let name = peer.name.clone();
        let to = (0..self.cores.len()).find(|&at| hosts::host_name(at) == *name);
        if let Some(to) = to {
            let from = hosts::host_name(host).into();
            let event = Event::Peer(PeerEvent::Message { from, message });
            self.schedule(
                self.now + HOP_US,
                SimEvent::Host(to, HostEvent::Event(Box::new(event))),
            );
        }
    }

    pub(super) fn host_event(&mut self, host: usize, event: HostEvent) {
        match event {
            HostEvent::Timer(timer) => self.reduce(host, Event::Timer(timer)),
            HostEvent::Event(event) => self.reduce(host, *event),
            HostEvent::Listing => {
                let event = hosts::listing(self.case, &self.leaving);
                self.reduce(host, Event::Fleet(event));
                for at in 0..self.engines.len() {
                    self.update_route(host, at);
                }
            }
            HostEvent::LoadReport(engine) => {
                if self.engines[engine].state != State::Down {
                    let (load, age_ms) = self.reported_load(engine);
                    let role = self.engines[engine].role;
                    let event = hosts::load_report(engine, load, role, age_ms);
                    self.reduce(host, Event::Fleet(event));
                }
            }
            HostEvent::Began(id) => {
                if let Some(key) = self.attempts[id].key {
                    self.reduce(host, Event::Request(RequestEvent::Began(key)));
                }
            }
            HostEvent::FirstToken(id) => self.stream_tokens(id, 0, 1),
            HostEvent::Completed(id, slow_gaps, gaps) => self.complete_attempt(id, slow_gaps, gaps),
            HostEvent::Failed(id, ran, end) => self.attempt_failed(id, ran, end),
        }
    }

    /// Updates the routing state of an engine at a host.
    pub(super) fn update_route(&mut self, host: usize, engine: usize) {
        let role = self.engines[engine].role;
        hosts::set_route(&mut self.cores[host], engine, self.routed[engine], role);
    }

    pub(super) fn update_routes(&mut self, engine: usize) {
        for host in 0..self.cores.len() {
            self.update_route(host, engine);
        }
    }

    pub(super) fn stream_tokens(&mut self, id: usize, offset: u64, count: u64) {
        let (call, host, delivered) = {
            let attempt = &self.attempts[id];
            (attempt.call, attempt.host, attempt.delivered)
        };
        self.first_token(call);
        if let Some(attempt) = self.attempts[id].key {
            let event = RequestEvent::StreamEvent {
                attempt,
                offset: delivered + offset,
                tokens: u32::try_from(count).unwrap_or(u32::MAX),
            };
            self.reduce(host, Event::Request(event));
        }
    }

    pub(super) fn complete_attempt(&mut self, id: usize, slow_gaps: u64, gaps: u64) {
        let (call, host) = (self.attempts[id].call, self.attempts[id].host);
        if gaps > 0 {
            self.stream_tokens(id, 1, gaps);
        }
        if let Some(key) = self.attempts[id].key {
            self.stream_tokens(id, gaps + 1, 0);
            self.reduce(host, Event::Request(RequestEvent::StreamCompleted(key)));
        }
        self.answered(call, slow_gaps, gaps);
    }

    pub(super) fn attempt_failed(&mut self, id: usize, ran: Ran, end: AttemptFailure) {
        let (call, host, key) = {
            let attempt = &self.attempts[id];
            (attempt.call, attempt.host, attempt.key)
        };
        let Some(attempt) = key else {
            // A baseline retries on any engine.
            if let Frontend::Baseline(router) = self.setup.frontend {
                self.tally.retries += 1;
                self.route_by_baseline(router, call, host);
            }
            return;
        };
        let event = RequestEvent::AttemptFailed {
            attempt,
            ran,
            end,
            detail: "the attempt failed at the engine".into(),
        };
        self.reduce(host, Event::Request(event));
    }

    pub(super) fn refuse(&mut self, host: usize, request: RequestKey, refusal: &Refusal) {
        if let Some(call) = self.requests.remove(&(host, request)) {
            self.refused(call, refusal.retry_after);
        }
    }

    pub(super) fn cancel_stream(&mut self, host: usize, key: AttemptKey) {
        if let Some(&id) = self.attempt_ids.get(&(host, key)) {
            self.cancel_attempt(id);
        }
    }
}
