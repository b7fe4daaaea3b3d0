//! Execution of a simulated host's effects.

use rand::RngExt;

use super::{CallerResult, Cluster, Pending, ServiceCall};
use crate::core::event::{
    AttemptFailure, PeerEvent, RequestEvent, StoreEvent, StoreReply, StoreResult, StoredResponse,
};
use crate::core::key::{HostKey, RequestKey};
use crate::core::message::Message;
use crate::core::{Effect, Event};
use crate::error::Ran;

impl Cluster {
    pub(super) fn apply_effect(&mut self, at: usize, effect: Effect) {
        let incarnation = self.hosts[at].incarnation;
        match effect {
            Effect::Opened { tag, request, id } => {
                let tag = usize::try_from(tag).expect("tags are indexes of calls");
                self.sent[tag].id = id;
                self.hosts[at].calls.insert(request, tag);
            }
            Effect::Reply {
                request, result, ..
            } => self.record_result(at, request, &CallerResult::Reply(result)),
            Effect::Refuse { request, refusal } => {
                self.record_result(at, request, &CallerResult::Refused(refusal));
            }
            Effect::SetTimer { at: due, timer } => {
                self.schedule(
                    due,
                    Pending::Event(at, incarnation, Box::new(Event::Timer(timer))),
                );
            }
            Effect::AddPeer { host, name, .. } => {
                self.hosts[at].peers.insert(host, name);
            }
            Effect::RemovePeer(host) => {
                self.hosts[at].peers.remove(&host);
            }
            Effect::Send { to, message } => self.send_message(at, to, &message),
            Effect::Read { .. }
            | Effect::Txn { .. }
            | Effect::GrantLease { .. }
            | Effect::RenewLease { .. }
            | Effect::RevokeLease(_) => {
                let due = self.delivery_time();
                self.schedule(due, Pending::Store(at, incarnation, Box::new(effect)));
            }
            Effect::CallService {
                request, attempt, ..
            } => {
                let call = &self.sent[self.hosts[at].calls[&request]];
                let (key, id) = (call.key.clone(), call.id.clone());
                let call = ServiceCall {
                    host: at,
                    incarnation,
                    attempt,
                    key,
                    id,
                };
                let due = self.delivery_time();
                self.schedule(due, Pending::Call(call));
            }
            Effect::Meter(_) | Effect::Log(_) | Effect::ReadListing | Effect::ReadLoad { .. } => {}
            other => self.unhandled.push((at, other)),
        }
    }

    fn record_result(&mut self, at: usize, request: RequestKey, got: &CallerResult) {
        if let Some(tag) = self.hosts[at].calls.get(&request) {
            self.sent[*tag].result = Some(got.clone());
        }
    }

    fn send_message(&mut self, at: usize, to: HostKey, message: &Message) {
        let name = self.hosts[at].peers.get(&to);
        let Some(target) = self.hosts.iter().position(|host| Some(&host.name) == name) else {
            return;
        };
        if self.blocked_links.contains(&(at, target)) {
            return;
        }
        let from = self.hosts[at].name.clone();
        let incarnation = self.hosts[target].incarnation;
        let copies = u8::from(!self.rng.random_bool(self.faults.drop_message))
            + u8::from(self.rng.random_bool(self.faults.duplicate_message));
        for _ in 0..copies {
            let due = self.delivery_time();
            let event = Event::Peer(PeerEvent::Message {
                from: from.clone(),
                message: message.clone(),
            });
            self.schedule(due, Pending::Event(target, incarnation, Box::new(event)));
        }
    }

    pub(super) fn store_call(&mut self, at: usize, incarnation: u64, effect: Effect) {
        let write = matches!(effect, Effect::Txn { .. });
        let lost = self.rng.random_bool(self.faults.lose_store_reply);
        if self.isolated.contains(&at) {
            self.fail_store_call(at, incarnation, &effect);
            return;
        }
        let Some(mut reply) = self.store.apply(self.now, effect) else {
            return;
        };
        if lost || write && self.store.take_lost_reply(reply.job) {
            reply.result = StoreResult::Unknown;
        }
        let due = self.delivery_time();
        let event = Event::Store(StoreEvent::Reply(reply));
        self.schedule(due, Pending::Event(at, incarnation, Box::new(event)));
    }

    /// Fails a call that does not reach the key-value service.
    fn fail_store_call(&mut self, at: usize, incarnation: u64, effect: &Effect) {
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
        let due = self.delivery_time();
        let event = Event::Store(StoreEvent::Reply(reply));
        self.schedule(due, Pending::Event(at, incarnation, Box::new(event)));
    }

    pub(super) fn run_service(&mut self, call: ServiceCall) {
        let attempt = call.attempt;
        let failed = |ran, end| RequestEvent::AttemptFailed {
            attempt,
            ran,
            end,
            detail: "injected fault".into(),
        };
        let event = if self.rng.random_bool(self.faults.refuse_call) {
            failed(Ran::No, AttemptFailure::Refused)
        } else {
            *self.runs_by_key.entry(call.key.clone()).or_default() += 1;
            *self.runs_by_id.entry(call.id).or_default() += 1;
            if self.rng.random_bool(self.faults.lose_service_reply) {
                failed(Ran::Unknown, AttemptFailure::Cut)
            } else {
                RequestEvent::Answered {
                    attempt,
                    result: StoredResponse {
                        status: 200,
                        content_type: "text/plain".into(),
                        body: call.key.as_bytes().into(),
                    },
                }
            }
        };
        let due = self.delivery_time().after(self.service_time);
        let event = Event::Request(event);
        self.schedule(
            due,
            Pending::Event(call.host, call.incarnation, Box::new(event)),
        );
    }
}
