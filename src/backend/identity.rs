//! Whose response it is.
//!
//! A response that arrives late is read where the one to the next call on its connection is due. Servers that name the call
//! in their responses keep their connections; with any other server each call has a connection of its own, on which the
//! first response can only be its own.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use ntex::client::ClientResponse;
use ntex::http::header::HeaderValue;

use super::client::{Call, RAN_HEADER};

/// Header with the id of an attempt; servers repeat it in their responses.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Headers that a response has once: one that has them twice is made of two.
const SINGLE_HEADERS: [&str; 3] = [ATTEMPT_HEADER, RAN_HEADER, "content-length"];
/// Starts of status lines.
const STATUS_LINES: [&[u8]; 2] = [b"HTTP/1.0 ", b"HTTP/1.1 "];

/// Connection that carries a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Carrier {
    /// One that may have carried other calls.
    Kept,
    /// A new one.
    New,
}

/// Servers whose last response named its call; clones share them.
#[derive(Debug, Clone, Default)]
pub(super) struct NamingServers(Rc<RefCell<BTreeSet<SocketAddr>>>);

impl NamingServers {
    /// Returns the connection on which a call can be distinguished from others.
    pub(super) fn carrier(&self, call: &Call<'_>) -> Carrier {
        if call.id().is_none() || self.0.borrow().contains(&call.addr) {
            Carrier::Kept
        } else {
            Carrier::New
        }
    }

    /// Returns whether a response belongs to a call, and notes whether the server names calls.
    pub(super) fn is_own(
        &self,
        addr: SocketAddr,
        id: Option<&str>,
        carrier: Carrier,
        response: &ClientResponse,
    ) -> bool {
        let named = response.header(ATTEMPT_HEADER).map(HeaderValue::as_bytes);
        let is_own = match (named, id) {
            _ if response.status().is_informational() => false,
            (Some(_), _) if carrier == Carrier::Kept && is_merged(response) => false,
            (Some(named), Some(id)) => named == id.as_bytes(),
            (Some(_), None) => false,
            (None, Some(_)) => carrier == Carrier::New,
            (None, None) => true,
        };
        if is_own && named.is_some() {
            self.0.borrow_mut().insert(addr);
        } else if id.is_some() {
            self.forget(addr);
        }
        is_own
    }

    /// Drops what is known of a server.
    pub(super) fn forget(&self, addr: SocketAddr) {
        self.0.borrow_mut().remove(&addr);
    }
}

/// Returns whether a response head is made of two, of which the first was cut off.
fn is_merged(response: &ClientResponse) -> bool {
    let headers = response.headers();
    SINGLE_HEADERS
        .iter()
        .any(|name| headers.get_all(*name).count() > 1)
        || headers
            .iter()
            .any(|(_, value)| contains_status_line(value.as_bytes()))
}

fn contains_status_line(text: &[u8]) -> bool {
    let mut starts = text.windows(STATUS_LINES[0].len() + 1);
    starts.any(|start| {
        let (version, status) = start.split_at(STATUS_LINES[0].len());
        STATUS_LINES.contains(&version) && status[0].is_ascii_digit()
    })
}
