//! Pushbacks of backend servers whose entries are missing from the store.
//!
//! An entry expires while its server does not reach the store, although the server runs on and still wants no requests: its
//! pushback applies again once it is listed again.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::departed::ServerStart;
use super::instance::Instance;
use super::pushback::Pushback;
use crate::core::time::Time;

/// The pushbacks of servers without a record, by start and address: a server that starts again has none.
#[derive(Debug, Default)]
pub struct KeptPushbacks {
    servers: BTreeMap<(ServerStart, SocketAddr), Pushback>,
}

impl KeptPushbacks {
    /// Keeps the pushback of a server whose record is removed.
    pub fn keep(&mut self, instance: &Instance, now: Time) {
        if !instance.pushback.remaining(now).is_zero() {
            let server = (instance.start(), instance.addr);
            self.servers.insert(server, instance.pushback);
        }
    }

    /// Applies the kept pushback of a server to its new record.
    pub fn restore(&mut self, instance: &mut Instance) {
        let server = (instance.start(), instance.addr);
        if let Some(pushback) = self.servers.remove(&server) {
            instance.pushback = pushback;
        }
    }

    /// Drops pushbacks that are over.
    pub fn sweep(&mut self, now: Time) {
        self.servers
            .retain(|_, pushback| !pushback.remaining(now).is_zero());
    }
}
