//! Responses that come twice or before their requests are read, refusals of requests that ran, and runs that begin late.

use std::cell::RefCell;
use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use socket2::SockRef;

use super::Engine;
use super::engine::{EngineState, HEALTH_PATH, Shared};
use super::http::{Early, Request, response};
use super::torn::ARRIVAL_TIME;

/// When a response is sent for a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    AtOnce,
    /// After the next request on the connection has arrived.
    WithNext,
}

/// What happens to the connection of a request that is refused before its body is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unread {
    /// The body is read later, and the connection is kept.
    ReadLater,
    /// The connection is kept for a while, and the body is never read.
    NeverRead,
    Closed,
    Reset,
}

/// A way in which a server answers some of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// It sends responses, or refusals of this status, for a second time; whole ones or halves.
    LateCopies {
        refusal: Option<u16>,
        arrival: Arrival,
        is_whole: bool,
    },
    /// It runs requests, and answers with the status of a refusal, without stating that they did not run.
    UnstatedRefusals(u16),
    /// It refuses requests before it has read their bodies.
    EarlyRefusals(Unread),
    /// It holds requests for a time and runs them then, whether or not their connections are open.
    LateRuns(Duration),
    /// It refuses requests with this status.
    Full(u16),
}

impl Trouble {
    pub const ALL_NAMES: [&str; 5] = [
        LATE_COPIES,
        "unstated refusals",
        "early refusals",
        "late runs",
        "full",
    ];

    pub fn name(self) -> &'static str {
        let [_, unstated, early, late, full] = Self::ALL_NAMES;
        match self {
            Self::LateCopies { .. } => LATE_COPIES,
            Self::UnstatedRefusals(_) => unstated,
            Self::EarlyRefusals(_) => early,
            Self::LateRuns(_) => late,
            Self::Full(_) => full,
        }
    }

    /// Whether hosts keep the server out of use from then on.
    pub fn ends_use(self) -> bool {
        matches!(
            self,
            Self::LateCopies {
                refusal: Some(421),
                ..
            }
        )
    }
}

/// Name of [`Trouble::LateCopies`], which a request meets that arrives after the copied response.
const LATE_COPIES: &str = "late copies";
/// One in so many requests meets a trouble.
const INTERVAL: usize = 3;
/// Time for which a connection is kept whose request is never read.
const UNREAD_TIME: Duration = Duration::from_secs(3);

/// Troubles of a server.
#[derive(Debug, Default)]
pub struct Troubles {
    active: Vec<Trouble>,
    /// Requests so far: heads, and those that were read.
    heads: usize,
    requests: usize,
    /// Ids of requests that met a trouble, and its name.
    met: Vec<(String, &'static str)>,
    /// Ids of requests that were refused before their bodies were read, and what came as their bodies.
    late_bodies: Vec<(String, Vec<u8>)>,
}

impl Troubles {
    /// Returns the trouble that the next request meets.
    pub fn next(&mut self, id: &str) -> Option<Trouble> {
        self.requests += 1;
        let is_early = |trouble: &Trouble| matches!(trouble, Trouble::EarlyRefusals(_));
        let others = self.active.iter().filter(|trouble| !is_early(trouble));
        let mut others = others.enumerate();
        let trouble = others.find(|(index, _)| (self.requests + index).is_multiple_of(INTERVAL));
        let trouble = *trouble?.1;
        self.met.push((id.to_owned(), trouble.name()));
        Some(trouble)
    }

    /// Returns whether the request with the next head is refused before its body is read, and how.
    fn next_early(&mut self, id: &str) -> Option<Unread> {
        let early = self.active.iter().find_map(|trouble| match trouble {
            Trouble::EarlyRefusals(unread) => Some(*unread),
            _ => None,
        })?;
        self.heads += 1;
        if !self.heads.is_multiple_of(INTERVAL) {
            return None;
        }
        let name = Trouble::EarlyRefusals(early).name();
        self.met.push((id.to_owned(), name));
        Some(early)
    }
}

/// The second copy of a response that is sent when the next request arrives on its connection; empty if it was sent before.
pub type PendingCopy = RefCell<Option<Vec<u8>>>;

/// Returns a response that states that the request did not run.
pub fn refusal(status: u16, headers: &str) -> Vec<u8> {
    let headers = format!("{headers}x-chiveway-not-executed: 1\r\n");
    response(status, &headers, "").into_bytes()
}

/// Sends the pending copy of an earlier response.
pub fn send_pending(
    shared: &Shared,
    pending: &PendingCopy,
    request: &Request,
    stream: &mut TcpStream,
) -> Option<()> {
    let Some(copy) = pending.take() else {
        return Some(());
    };
    let met = (request.id().to_owned(), LATE_COPIES);
    let mut state = shared.0.lock().expect("the engine");
    state.troubles.met.push(met);
    drop(state);
    stream.write_all(&copy).ok()
}

/// Sends a response for a second time, or keeps it for the next request.
pub fn send_again(
    arrival: Arrival,
    is_whole: bool,
    mut copy: Vec<u8>,
    pending: &PendingCopy,
    stream: &mut TcpStream,
) -> Option<()> {
    if !is_whole {
        copy.truncate(copy.len() / 2);
    }
    if arrival == Arrival::AtOnce {
        stream.write_all(&copy).ok()?;
        copy.clear();
    }
    pending.replace(Some(copy));
    Some(())
}

/// Refuses a request before its body is read, if such a trouble is active.
pub fn refuse_early(shared: &Shared, id: &str, head: &Request, stream: &mut TcpStream) -> Early {
    if head.path == HEALTH_PATH || head.path.starts_with("/v1/") {
        return Early::Read;
    }
    let mut state = shared.0.lock().expect("the engine");
    if state.crashed {
        return Early::Read;
    }
    let Some(unread) = state.troubles.next_early(head.id()) else {
        return Early::Read;
    };
    drop(state);
    let own = head.id();
    let headers = format!(
        "x-chiveway-attempt-id: {own}\r\nx-chiveway-server-stamp: {id}\r\nkeep-alive: timeout=5\r\n"
    );
    if stream.write_all(&refusal(503, &headers)).is_err() {
        return Early::End;
    }
    match unread {
        Unread::ReadLater => return Early::Answered,
        Unread::NeverRead => std::thread::sleep(UNREAD_TIME),
        Unread::Closed => {}
        Unread::Reset => {
            std::thread::sleep(ARRIVAL_TIME);
            let reset = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            reset.expect("a reset on close");
        }
    }
    Early::End
}

/// Notes the body of a request that was refused before it was read.
pub fn note_late_body(shared: &Shared, request: &Request) {
    let mut state = shared.0.lock().expect("the engine");
    let body = (request.id().to_owned(), request.body.clone());
    state.troubles.late_bodies.push(body);
}

impl EngineState {
    /// Returns the trouble that a request meets; none if it would crash the process, or is a call of the host's own.
    pub fn next_trouble(&mut self, request: &Request) -> Option<Trouble> {
        let crashes = self.poison.as_ref() == Some(&request.body) || self.has_bad_part(request);
        if crashes || request.path.starts_with("/v1/") {
            return None;
        }
        self.troubles.next(request.id())
    }
}

impl Engine {
    /// Answers some requests in this way from now on.
    pub fn begin_trouble(&self, trouble: Trouble) {
        let mut state = self.shared.0.lock().expect("the engine");
        state.troubles.active.push(trouble);
    }

    /// Cancels [`begin_trouble`](Self::begin_trouble).
    pub fn end_trouble(&self, trouble: Trouble) {
        let mut state = self.shared.0.lock().expect("the engine");
        let active = &mut state.troubles.active;
        if let Some(index) = active.iter().position(|other| *other == trouble) {
            active.remove(index);
        }
    }

    /// Returns the ids of requests that met a trouble, and its name.
    pub fn troubled_requests(&self) -> Vec<(String, &'static str)> {
        let state = self.shared.0.lock().expect("the engine");
        state.troubles.met.clone()
    }

    /// Returns the ids of requests that were refused before their bodies were read, and what came as their bodies.
    pub fn late_bodies(&self) -> Vec<(String, Vec<u8>)> {
        let state = self.shared.0.lock().expect("the engine");
        state.troubles.late_bodies.clone()
    }
}
