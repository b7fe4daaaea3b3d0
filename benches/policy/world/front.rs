//! Hosts: the effects of their cores carried out, and events brought to them.

use chiveway::core::effect::{Effect, Meter, Refusal};
use chiveway::core::event::{AttemptFailure, Event, PeerEvent, RequestEvent};
use chiveway::core::key::{AttemptKey, HostKey, RequestKey};
use chiveway::core::message::Message;
use chiveway::core::{Effects, Time};
use chiveway::error::Ran;

use super::{Ev, Front, HOP, HostEv, World};
use crate::engine::State;
use crate::hosts;

impl World<'_> {
    pub(super) fn reduce(&mut self, host: usize, event: Event) {
        let mut effects = Effects::new();
        let at = Time::from_micros(self.now);
        self.cores[host].reduce(at, event, &mut effects);
        self.carry_out(host, effects);
    }

    pub(super) fn carry_out(&mut self, host: usize, effects: Effects) {
        for effect in effects {
            match effect {
                Effect::Opened { tag, request, .. } => {
                    self.requests.insert((host, request), tag as usize);
                    self.callers[tag as usize].request = Some(request);
                }
                Effect::OpenStream(open) => self.open(host, &open),
                Effect::Cancel(key) => self.cancelled(host, key),
                Effect::Refuse { request, refusal } => self.refuse(host, request, &refusal),
                Effect::Send { to, message } => self.send(host, to, message),
                Effect::SetTimer { at, timer } => {
                    let at = at.micros().max(self.now);
                    self.push(at, Ev::Host(host, HostEv::Wake(timer)));
                }
                Effect::ReadListing => self.push(self.now + 2 * HOP, Ev::Host(host, HostEv::List)),
                Effect::ReadLoad { addr, .. } => {
                    let engine = hosts::engine_at(addr);
                    self.push(self.now + 2 * HOP, Ev::Host(host, HostEv::Load(engine)));
                }
                Effect::Meter(Meter::Retried { .. }) => self.tally.retries += 1,
                _ => {}
            }
        }
    }

    pub(super) fn send(&mut self, host: usize, to: HostKey, message: Message) {
        let Some(peer) = self.cores[host].members.arena.get(to) else {
            return;
        };
        let name = peer.name.clone();
        let to = (0..self.cores.len()).find(|&at| hosts::host_name(at) == *name);
        if let Some(to) = to {
            let from = hosts::host_name(host).into();
            let event = Event::Peer(PeerEvent::Message { from, message });
            self.push(self.now + HOP, Ev::Host(to, HostEv::Event(Box::new(event))));
        }
    }

    pub(super) fn host(&mut self, host: usize, ev: HostEv) {
        match ev {
            HostEv::Wake(timer) => self.reduce(host, Event::Timer(timer)),
            HostEv::Event(event) => self.reduce(host, *event),
            HostEv::List => {
                let event = hosts::listing(self.case, &self.leaving);
                self.reduce(host, Event::Fleet(event));
                for at in 0..self.engines.len() {
                    self.tell(host, at);
                }
            }
            HostEv::Load(engine) => {
                if self.engines[engine].state != State::Down {
                    let (load, age) = self.lagging(engine);
                    let role = self.engines[engine].role;
                    let event = hosts::report(engine, load, role, age);
                    self.reduce(host, Event::Fleet(event));
                }
            }
            HostEv::Began(run) => {
                if let Some(key) = self.runs[run].key {
                    self.reduce(host, Event::Request(RequestEvent::Began(key)));
                }
            }
            HostEv::First(run) => self.tokens(run, 0, 1),
            HostEv::Last(run, slow, gaps) => self.last(run, slow, gaps),
            HostEv::Broke(run, ran, end) => self.broke(run, ran, end),
        }
    }

    /// Brings a host's routing state for one engine up to date.
    pub(super) fn tell(&mut self, host: usize, engine: usize) {
        let role = self.engines[engine].role;
        hosts::route(&mut self.cores[host], engine, self.routed[engine], role);
    }

    pub(super) fn tell_all(&mut self, engine: usize) {
        for host in 0..self.cores.len() {
            self.tell(host, engine);
        }
    }

    pub(super) fn tokens(&mut self, run: usize, from: u64, count: u64) {
        let (call, host, skip) = {
            let run = &self.runs[run];
            (run.call, run.host, run.skip)
        };
        self.first_token(call);
        if let Some(attempt) = self.runs[run].key {
            let event = RequestEvent::StreamEvent {
                attempt,
                offset: skip + from,
                tokens: u32::try_from(count).unwrap_or(u32::MAX),
            };
            self.reduce(host, Event::Request(event));
        }
    }

    pub(super) fn last(&mut self, run: usize, slow: u64, gaps: u64) {
        let (call, host) = (self.runs[run].call, self.runs[run].host);
        if gaps > 0 {
            self.tokens(run, 1, gaps);
        }
        if let Some(key) = self.runs[run].key {
            self.tokens(run, gaps + 1, 0);
            self.reduce(host, Event::Request(RequestEvent::StreamCompleted(key)));
        }
        self.answered(call, slow, gaps);
    }

    pub(super) fn broke(&mut self, run: usize, ran: Ran, end: AttemptFailure) {
        let (call, host, key) = {
            let run = &self.runs[run];
            (run.call, run.host, run.key)
        };
        let Some(attempt) = key else {
            // A baseline tries once more, anywhere.
            if let Front::Plain(router) = self.setup.front {
                self.tally.retries += 1;
                self.plain(router, call, host);
            }
            return;
        };
        let event = RequestEvent::AttemptFailed {
            attempt,
            ran,
            end,
            detail: "the engine broke off".into(),
        };
        self.reduce(host, Event::Request(event));
    }

    pub(super) fn refuse(&mut self, host: usize, request: RequestKey, refusal: &Refusal) {
        if let Some(call) = self.requests.remove(&(host, request)) {
            self.refused(call, refusal.retry_after);
        }
    }

    pub(super) fn cancelled(&mut self, host: usize, key: AttemptKey) {
        if let Some(&run) = self.attempts.get(&(host, key)) {
            self.cancel(run);
        }
    }
}
