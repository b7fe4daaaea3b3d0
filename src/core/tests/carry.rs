//! What becomes of the effects of a core: most are put on their way, some answer a caller.

use rand::RngExt;

use super::{Called, Due, Got, World};
use crate::core::event::{
    AttemptFailure, PeerEvent, RequestEvent, StoreEvent, StoreReply, StoreResult, StoredResponse,
};
use crate::core::key::{HostKey, RequestKey};
use crate::core::message::Message;
use crate::core::{Effect, Event};
use crate::error::Ran;

impl World {
    pub(super) fn carry(&mut self, at: usize, effect: Effect) {
        let life = self.hosts[at].life;
        match effect {
            Effect::Opened { tag, request, id } => {
                let tag = usize::try_from(tag).expect("a small number");
                self.sent[tag].id = id;
                self.hosts[at].calls.insert(request, tag);
            }
            Effect::Reply {
                request, result, ..
            } => self.got(at, request, &Got::Reply(result)),
            Effect::Refuse { request, refusal } => self.got(at, request, &Got::Refused(refusal)),
            Effect::SetTimer { at: due, timer } => {
                self.put(due, Due::Event(at, life, Box::new(Event::Timer(timer))));
            }
            Effect::AddPeer { host, name, .. } => {
                self.hosts[at].peers.insert(host, name);
            }
            Effect::RemovePeer(host) => {
                self.hosts[at].peers.remove(&host);
            }
            Effect::Send { to, message } => self.message(at, to, &message),
            Effect::Read { .. }
            | Effect::Txn { .. }
            | Effect::GrantLease { .. }
            | Effect::RenewLease { .. }
            | Effect::RevokeLease(_) => {
                let due = self.soon();
                self.put(due, Due::Store(at, life, Box::new(effect)));
            }
            Effect::CallService {
                request, attempt, ..
            } => {
                let call = &self.sent[self.hosts[at].calls[&request]];
                let (key, id) = (call.key.clone(), call.id.clone());
                let called = Called {
                    host: at,
                    life,
                    attempt,
                    key,
                    id,
                };
                let due = self.soon();
                self.put(due, Due::Call(called));
            }
            Effect::Meter(_) | Effect::Log(_) | Effect::ReadListing | Effect::ReadLoad { .. } => {}
            other => self.other.push((at, other)),
        }
    }

    fn got(&mut self, at: usize, request: RequestKey, got: &Got) {
        if let Some(tag) = self.hosts[at].calls.get(&request) {
            self.sent[*tag].got = Some(got.clone());
        }
    }

    fn message(&mut self, at: usize, to: HostKey, message: &Message) {
        let name = self.hosts[at].peers.get(&to);
        let Some(target) = self.hosts.iter().position(|host| Some(&host.name) == name) else {
            return;
        };
        if self.cut.contains(&(at, target)) {
            return;
        }
        let from = self.hosts[at].name.clone();
        let life = self.hosts[target].life;
        let copies = u8::from(!self.rng.random_bool(self.odds.drop))
            + u8::from(self.rng.random_bool(self.odds.twice));
        for _ in 0..copies {
            let due = self.soon();
            let event = Event::Peer(PeerEvent::Message {
                from: from.clone(),
                message: message.clone(),
            });
            self.put(due, Due::Event(target, life, Box::new(event)));
        }
    }

    pub(super) fn store_call(&mut self, at: usize, life: u64, effect: Effect) {
        let write = matches!(effect, Effect::Txn { .. });
        let lost = self.rng.random_bool(self.odds.lose);
        if self.deaf.contains(&at) {
            self.unheard(at, life, &effect);
            return;
        }
        let Some(mut reply) = self.store.carry(self.now, effect) else {
            return;
        };
        if lost || write && self.store.lose(reply.job) {
            reply.result = StoreResult::Unknown;
        }
        let due = self.soon();
        let event = Event::Store(StoreEvent::Reply(reply));
        self.put(due, Due::Event(at, life, Box::new(event)));
    }

    /// A call that the key-value service never got ends without an answer.
    fn unheard(&mut self, at: usize, life: u64, effect: &Effect) {
        let (Effect::Read { job, .. }
        | Effect::Txn { job, .. }
        | Effect::GrantLease { job, .. }
        | Effect::RenewLease { job, .. }) = effect
        else {
            return;
        };
        let reply = StoreReply {
            job: *job,
            result: StoreResult::Unknown,
        };
        let due = self.soon();
        let event = Event::Store(StoreEvent::Reply(reply));
        self.put(due, Due::Event(at, life, Box::new(event)));
    }

    pub(super) fn service(&mut self, called: Called) {
        let attempt = called.attempt;
        let broke = |ran, end| RequestEvent::AttemptFailed {
            attempt,
            ran,
            end,
            detail: "on purpose".into(),
        };
        let event = if self.rng.random_bool(self.odds.refuse) {
            broke(Ran::No, AttemptFailure::Refused)
        } else {
            *self.runs.entry(called.key.clone()).or_default() += 1;
            *self.ran.entry(called.id).or_default() += 1;
            if self.rng.random_bool(self.odds.cut) {
                broke(Ran::Unknown, AttemptFailure::Cut)
            } else {
                RequestEvent::Answered {
                    attempt,
                    result: StoredResponse {
                        status: 200,
                        content_type: "text/plain".into(),
                        body: called.key.as_bytes().into(),
                    },
                }
            }
        };
        let due = self.soon().after(self.work);
        let event = Event::Request(event);
        self.put(due, Due::Event(called.host, called.life, Box::new(event)));
    }
}
