//! The authority to order engines and to carry out duties, held by one host at a time.
//!
//! The host whose key is in the store holds the authority; the revision of the key is its fencing number. The holder
//! counts its lease from before it requested it, on a clock that advances while the process is suspended, so that it
//! stops before another can start.

use std::time::Duration;

use super::super::Effects;
use super::super::effect::Effect;
use super::super::event::{Job, StoreReply, StoreResult, Timer};
use super::super::time::Time;
use super::event::Changes;
use super::view::era;
use super::{RelayJob, RelayTimer, note};
use crate::store::{Compare, Op, Txn};

/// Store key of the holder.
pub const KEY: &str = "planner";
/// Renewals within the lifetime of a lease.
const RENEWALS_PER_LEASE: u32 = 3;
/// Fraction of the lease's lifetime that is used: the store's clock may run a little faster.
const USABLE_LEASE_FRACTION: f64 = 0.9;

/// What a decision about the authority depends on, apart from its state.
#[derive(Debug, Clone)]
pub struct Scope {
    /// Current time.
    pub now: Time,
    /// Era of the store.
    pub era: u64,
    /// Number of eras of the store that ended since this host's start.
    pub ended_eras: u32,
    /// Lifetime of a lease.
    pub ttl: Duration,
    /// Name of this host.
    pub host: Box<str>,
}

impl Scope {
    fn job(&self, job: RelayJob) -> Job {
        Job::Relay(job, self.ended_eras)
    }

    fn wake_to_renew(&self) -> Effect {
        Effect::SetTimer {
            at: self.now.after(self.ttl / RENEWALS_PER_LEASE),
            timer: Timer::Relay(RelayTimer::Authority),
        }
    }
}

/// The authority of this host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// Fencing number.
    pub fence: u64,
    /// Revision of the holder's key, for conditions of writes.
    pub revision: i64,
    /// When it ends, unless it is renewed.
    pub until: Time,
}

/// Who holds the authority, as far as this host knows.
#[derive(Debug, Default)]
pub struct Authority {
    /// Revision of the holder's key; 0 while nobody holds it.
    holder: i64,
    /// Name of the holder.
    name: Option<Box<str>>,
    /// Whether all keys were read, so that the holder is known.
    holder_known: bool,
    /// This host's lease; 0 for none.
    lease: i64,
    /// Fencing number while this host holds the authority; 0 otherwise.
    fence: u64,
    /// Revision of this host's key, as it acquired the authority.
    revision: i64,
    /// When the authority ends, unless it is renewed.
    lease_end: Time,
    /// Since when this host holds it.
    taken_at: Time,
    /// Whether this host is trying to acquire the authority.
    pending: bool,
}

impl Authority {
    /// Returns the authority, if this host holds it.
    #[must_use]
    pub fn grant(&self, now: Time) -> Option<Grant> {
        (self.fence != 0 && now < self.lease_end).then_some(Grant {
            fence: self.fence,
            revision: self.revision,
            until: self.lease_end,
        })
    }

    /// Returns the name of the host that holds the authority, if it is known.
    #[must_use]
    pub fn holder(&self) -> Option<&str> {
        self.name.as_deref().filter(|_| self.holder != 0)
    }

    /// Returns the time for which this host has held the authority.
    #[must_use]
    pub fn held_for(&self, now: Time) -> Option<Duration> {
        self.grant(now).map(|_grant| now.since(self.taken_at))
    }

    /// Gives up a fencing number that another host's number has overtaken; it is never used again.
    pub fn resign(&mut self, fence: u64) {
        if self.fence == fence {
            self.fence = 0;
            self.lease = 0;
        }
    }

    /// Releases the authority: its key is removed with the lease, and its fencing number is never used again.
    pub fn release(&mut self, out: &mut Effects) {
        if self.fence == 0 {
            return;
        }
        let fence = self.fence.to_string().into();
        note(
            out,
            log::Level::Info,
            "planner.released",
            vec![("fence", fence)],
        );
        out.push(Effect::RevokeLease(self.lease));
        self.fence = 0;
        self.lease = 0;
    }

    /// Drops the authority: its lease belongs to an era of the store that has ended.
    pub fn era_ended(&mut self, out: &mut Effects) {
        if self.fence != 0 {
            let fence = self.fence.to_string().into();
            note(
                out,
                log::Level::Warn,
                "planner.lost",
                vec![("fence", fence)],
            );
        }
        *self = Self::default();
    }

    /// Handles changes of the holder's key in the store, up to the revision `at`.
    pub fn changed(&mut self, changes: &Changes, era_now: u64, at: i64, out: &mut Effects) {
        if changes.is_snapshot {
            self.holder_known = true;
            // A snapshot from before the acquisition lacks this host's key.
            if self.fence == 0 || at >= self.revision {
                self.holder = 0;
            }
        }
        for change in changes.keys.iter().filter(|change| &*change.key == KEY) {
            if change.revision < self.holder {
                // The removal of an earlier holder's key.
                continue;
            }
            let name = change.value.as_deref().map(String::from_utf8_lossy);
            self.holder = if name.is_some() { change.revision } else { 0 };
            self.name = name.map(|name| name.as_ref().into());
        }
        let revision = era::fence(era_now, self.holder);
        if self.fence != 0 && (self.holder == 0 || revision > self.fence) {
            note(
                out,
                log::Level::Warn,
                "planner.lost",
                vec![
                    ("fence", self.fence.to_string().into()),
                    ("holder", revision.to_string().into()),
                ],
            );
            self.fence = 0;
            self.lease = 0;
        }
    }

    /// Returns the authority if this host holds it; otherwise tries to acquire it if nobody does and `is_candidate`.
    pub fn poll(&mut self, scope: &Scope, is_candidate: bool, out: &mut Effects) -> Option<Grant> {
        if let Some(grant) = self.grant(scope.now) {
            return Some(grant);
        }
        if self.fence != 0 {
            note(
                out,
                log::Level::Warn,
                "planner.lapsed",
                vec![("fence", self.fence.to_string().into())],
            );
            self.fence = 0;
            self.lease = 0;
            self.pending = false;
        }
        if self.holder_known && self.holder == 0 && !self.pending && is_candidate {
            self.pending = true;
            out.push(Effect::GrantLease {
                job: scope.job(RelayJob::AuthorityLease(scope.now)),
                ttl: scope.ttl,
            });
        }
        None
    }

    /// Renews the lease.
    pub fn renew(&self, scope: &Scope, out: &mut Effects) {
        if self.lease == 0 {
            return;
        }
        out.push(Effect::RenewLease {
            job: scope.job(RelayJob::AuthorityLease(scope.now)),
            lease: self.lease,
        });
        out.push(scope.wake_to_renew());
    }

    /// Handles the store's reply to an acquisition or a renewal.
    pub fn reply(&mut self, job: RelayJob, reply: &StoreReply, scope: &Scope, out: &mut Effects) {
        match (job, &reply.result) {
            (RelayJob::AuthorityLease(asked), StoreResult::Lease(lease)) if *lease != 0 => {
                self.lease_end = asked.after(scope.ttl.mul_f64(USABLE_LEASE_FRACTION));
                if self.lease != *lease {
                    self.lease = *lease;
                    out.push(claim(scope, *lease));
                }
            }
            (RelayJob::AuthorityLease(_), StoreResult::Lease(_)) => {
                self.lease = 0;
                self.fence = 0;
                self.pending = false;
            }
            (RelayJob::Authority, StoreResult::Txn(done)) if done.succeeded => {
                self.fence = era::fence(scope.era, done.revision);
                self.revision = done.revision;
                self.holder = done.revision;
                self.name = Some(scope.host.clone());
                self.taken_at = scope.now;
                self.pending = false;
                note(
                    out,
                    log::Level::Info,
                    "planner.taken",
                    vec![("fence", self.fence.to_string().into())],
                );
                out.push(scope.wake_to_renew());
            }
            (RelayJob::Authority, _) => {
                // Another host was first, or it is unknown whether the write took effect. In that case
                // the key is removed with the lease, which is revoked.
                let lease = std::mem::take(&mut self.lease);
                self.pending = false;
                out.push(Effect::RevokeLease(lease));
            }
            _ => self.pending = false,
        }
    }
}

fn claim(scope: &Scope, lease: i64) -> Effect {
    Effect::Txn {
        job: scope.job(RelayJob::Authority),
        txn: Txn {
            compare: vec![Compare::Absent { key: KEY.into() }],
            then: vec![Op::Put {
                key: KEY.into(),
                value: scope.host.as_bytes().to_vec().into(),
                lease,
            }],
            otherwise: Vec::new(),
        },
    }
}
