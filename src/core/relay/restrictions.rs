//! Limits and pushbacks named by backend servers whose entries are missing from the store.
//!
//! An entry expires while its server does not reach the store, although the server runs on and its limit and its pushback
//! still hold: they apply again once the same start of the server is listed again.

use std::collections::BTreeMap;
use std::time::Duration;

use super::departed::ServerStart;
use super::instance::Instance;
use super::limit::Limit;
use super::pushback::Pushback;
use crate::core::time::Time;

/// Time for which restrictions are kept, in addition to the rest of a pushback.
const RETENTION: Duration = Duration::from_mins(5);

/// What a server named before its record was removed.
#[derive(Debug, Clone, Copy)]
struct Restriction {
    limit: Limit,
    pushback: Pushback,
    /// Time after which it is dropped.
    expires: Time,
}

/// The restrictions of servers without a record, by start: a server that starts again has none.
#[derive(Debug, Default)]
pub struct Restrictions {
    servers: BTreeMap<ServerStart, Restriction>,
}

impl Restrictions {
    /// Keeps the restrictions of a server whose record is removed.
    pub fn keep(&mut self, instance: &Instance, now: Time) {
        let (limit, pushback) = (instance.limit, instance.pushback);
        if limit.rate().is_none() && pushback == Pushback::default() {
            return;
        }
        let restriction = Restriction {
            limit,
            pushback,
            expires: now.after(pushback.remaining(now) + RETENTION),
        };
        self.servers.insert(instance.start(), restriction);
    }

    /// Applies the kept restrictions of a server to its new record.
    pub fn restore(&mut self, instance: &mut Instance) {
        if let Some(kept) = self.servers.remove(&instance.start()) {
            instance.limit = kept.limit;
            instance.pushback = kept.pushback;
        }
    }

    /// Drops restrictions that have expired.
    pub fn sweep(&mut self, now: Time) {
        self.servers.retain(|_, kept| kept.expires > now);
    }
}
