//! Stand-in of the platform's load balancer.
//!
//! It names the host for a new connection, which the caller opens itself: a host that does not accept it, or closes it
//! unread, looks to the caller as it does behind the platform's.

use std::io::{ErrorKind, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two readiness checks of a host, and time limit of each.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Failed checks in a row after which a host gets no new connections.
const MAX_MISSES: u32 = 2;
/// Of so many new connections one is spread over all hosts while a crowd is drawn.
const CROWD_SPREAD: usize = 10;
/// Time that callers allow for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A host behind the balancer.
#[derive(Debug, Clone)]
pub struct Member {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub domain: usize,
}

#[derive(Debug)]
struct State {
    members: Vec<Member>,
    /// Failed checks in a row of each host.
    misses: Vec<u32>,
    /// Whether most new connections go to one host.
    draws_crowd: bool,
    /// The host to which they go.
    target: Option<usize>,
    /// Connections so far.
    count: usize,
}

/// Stand-in of the platform's load balancer.
pub struct Balancer {
    state: Arc<Mutex<State>>,
    ended: Arc<AtomicBool>,
}

impl State {
    fn is_in(&self, host: usize) -> bool {
        self.misses[host] < MAX_MISSES
    }

    /// Returns the hosts of a domain that get new connections.
    fn candidates(&self, domain: usize) -> Vec<usize> {
        let all = 0..self.members.len();
        let hosts = all
            .clone()
            .filter(|host| self.members[*host].domain == domain);
        let hosts: Vec<usize> = hosts.collect();
        let are_in = |hosts: &[usize]| -> Vec<usize> {
            hosts
                .iter()
                .copied()
                .filter(|host| self.is_in(*host))
                .collect()
        };
        let ready = are_in(&hosts);
        if ready.is_empty() {
            let elsewhere = are_in(&all.collect::<Vec<_>>());
            return if elsewhere.is_empty() {
                hosts
            } else {
                elsewhere
            };
        }
        if ready.len() * 2 < hosts.len() {
            return hosts;
        }
        ready
    }

    /// Returns the host of the crowd, another one once it is out.
    fn crowded(&mut self, candidates: &[usize]) -> Option<usize> {
        let is_kept = self.target.is_some_and(|target| self.is_in(target));
        if !is_kept {
            self.target = candidates.first().copied();
        }
        self.target
    }
}

impl Balancer {
    /// Starts a balancer of hosts, all of which are in.
    pub fn start(members: Vec<Member>) -> Self {
        let state = State {
            misses: vec![0; members.len()],
            members,
            draws_crowd: false,
            target: None,
            count: 0,
        };
        let count = state.members.len();
        let balancer = Self {
            state: Arc::new(Mutex::new(state)),
            ended: Arc::default(),
        };
        for host in 0..count {
            let (state, ended) = (Arc::clone(&balancer.state), Arc::clone(&balancer.ended));
            thread::spawn(move || {
                while !ended.load(Ordering::SeqCst) {
                    let begin = Instant::now();
                    let readiness = state.lock().expect("the balancer").members[host].readiness;
                    let is_ready = is_ready(readiness);
                    let misses = &mut state.lock().expect("the balancer").misses[host];
                    *misses = if is_ready { 0 } else { *misses + 1 };
                    thread::sleep(CHECK_INTERVAL.saturating_sub(begin.elapsed()));
                }
            });
        }
        balancer
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the balancer")
    }

    /// Replaces the addresses of a host that was started again.
    pub fn replace(&self, host: usize, callers: SocketAddr, readiness: SocketAddr) {
        let member = &mut self.state().members[host];
        (member.callers, member.readiness) = (callers, readiness);
    }

    /// Hands most new connections to one host, or spreads them again.
    pub fn draw_crowd(&self, target: Option<usize>) {
        let mut state = self.state();
        state.draws_crowd = target.is_some();
        state.target = target;
    }

    /// Returns the host for a new connection while most go to one.
    pub fn crowded_host(&self) -> Option<usize> {
        let draws_crowd = self.state().draws_crowd;
        draws_crowd.then(|| self.choose(0, None).0)
    }

    /// Returns the host to which most new connections go.
    pub fn target(&self) -> Option<usize> {
        self.state().target
    }

    /// Whether a host gets new connections by its readiness check.
    pub fn is_in(&self, host: usize) -> bool {
        self.state().is_in(host)
    }

    /// Returns the host for a new connection of a caller in a domain, and its address; a retry meets another host than
    /// the attempt before it.
    pub fn choose(&self, domain: usize, last: Option<usize>) -> (usize, SocketAddr) {
        let mut state = self.state();
        state.count += 1;
        let count = state.count;
        let candidates = state.candidates(domain);
        let is_crowded = state.draws_crowd && last.is_none() && !count.is_multiple_of(CROWD_SPREAD);
        let target = is_crowded.then(|| state.crowded(&candidates)).flatten();
        let others = candidates
            .iter()
            .copied()
            .filter(|host| Some(*host) != last);
        let others: Vec<usize> = others.collect();
        let spread = if others.is_empty() {
            candidates
        } else {
            others
        };
        let host = target.unwrap_or(spread[count % spread.len()]);
        (host, state.members[host].callers)
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::SeqCst);
    }
}

/// Whether a host answers its readiness check with 200 in time.
fn is_ready(addr: SocketAddr) -> bool {
    let head = "GET /v1/readyz HTTP/1.1\r\nhost: balancer\r\nconnection: close\r\n\r\n";
    let answer = exchange(addr, head.as_bytes(), CHECK_INTERVAL);
    matches!(answer, Exchange::Answered(answer) if answer.starts_with(b"HTTP/1.1 200"))
}

/// What became of bytes sent on a connection of their own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Exchange {
    /// All bytes that came back before the connection ended.
    Answered(Vec<u8>),
    /// The connection could not be opened, or ended without a byte.
    Closed,
    /// The connection did not end in time.
    TimedOut,
}

/// Sends bytes on a new connection and reads what comes back until its end.
pub fn exchange(addr: SocketAddr, sent: &[u8], limit: Duration) -> Exchange {
    let end = Instant::now() + limit;
    let Ok(mut stream) = TcpStream::connect_timeout(&addr, limit.min(CONNECT_TIMEOUT)) else {
        return Exchange::Closed;
    };
    // The other side may have closed the connection by now, and may have answered before.
    drop(stream.write_all(sent));
    let (mut answer, mut buffer) = (Vec::new(), [0; 4096]);
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return Exchange::TimedOut;
        }
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => answer.extend(&buffer[..read]),
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return Exchange::TimedOut;
            }
            Err(_) => break,
        }
    }
    if answer.is_empty() {
        Exchange::Closed
    } else {
        Exchange::Answered(answer)
    }
}
