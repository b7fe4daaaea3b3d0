//! Hosts that are partitioned from all servers, while callers, the store and the other hosts reach them.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::check::RequestKind;
use crate::cluster::{Cluster, HOST_COUNT};
use crate::cut::FaultProxy;
use crate::standin::Store;
use crate::standin::store::Addrs;

/// Separates the draws of the last partition from a seed's other draws.
const PARTITION_SEED_MASK: u64 = 0xca7;
/// Time after the begin of a partition from which requests must be served.
const DETECTION_TIME: Duration = Duration::from_secs(3);
/// Requests of each kind that are then sent to each host.
const REQUEST_COUNT: usize = 6;

/// How the links of a host to all servers end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkCut {
    /// Connections, old and new, pass no data.
    Silent,
    /// Connections are reset, and new ones pass no data.
    Reset,
    /// Connections are closed, and new ones at once.
    Refused,
    /// New connections are closed at once; those that are open stay.
    NewRefused,
}

impl LinkCut {
    pub fn draw(rng: &mut StdRng) -> Self {
        let all = [Self::Silent, Self::Reset, Self::Refused, Self::NewRefused];
        all[rng.random_range(0..all.len())]
    }

    fn apply(self, link: &FaultProxy) {
        match self {
            Self::Silent => link.silence(),
            Self::Reset => {
                link.reset();
                link.silence();
            }
            Self::Refused => link.refuse(),
            Self::NewRefused => link.refuse_new(),
        }
    }
}

/// The links of a host: a forwarder to each server, named in the host's own view of the store.
pub struct Links {
    addrs: Addrs,
    forwarders: Vec<FaultProxy>,
    /// How they end now, and how many partitions that have not ended began.
    cut: Option<LinkCut>,
    cuts: usize,
}

impl Links {
    pub fn new() -> Self {
        Self {
            addrs: Addrs::default(),
            forwarders: Vec::new(),
            cut: None,
            cuts: 0,
        }
    }

    /// Opens the host's view of the store.
    pub fn view(&self, store: &Store) -> std::net::SocketAddr {
        store.view(&self.addrs)
    }

    /// Adds a link to a server.
    pub fn add(&mut self, server: std::net::SocketAddr) {
        let link = FaultProxy::start(server);
        if let Some(how) = self.cut {
            how.apply(&link);
        }
        self.addrs
            .lock()
            .expect("no panic")
            .push((server, link.addr));
        self.forwarders.push(link);
    }

    fn begin(&mut self, how: LinkCut) {
        self.cuts += 1;
        self.cut = Some(how);
        self.forwarders.iter().for_each(|link| how.apply(link));
    }

    /// Ends a partition; the links come back with the end of the last.
    fn end(&mut self) {
        self.cuts -= 1;
        if self.cuts == 0 {
            self.cut = None;
            self.forwarders.iter().for_each(FaultProxy::restore);
        }
    }
}

impl Cluster {
    /// Partitions hosts for a time; `hosts` has a bit for each.
    pub fn partition(&self, hosts: u8, how: LinkCut, duration: Duration) {
        let cut: Vec<usize> = (0..HOST_COUNT)
            .filter(|host| hosts & (1 << host) != 0)
            .collect();
        for host in &cut {
            self.links[*host].lock().expect("no panic").begin(how);
        }
        thread::sleep(duration);
        for host in cut {
            self.links[host].lock().expect("no panic").end();
        }
    }

    /// Partitions one or two hosts once all other faults have ended; returns where too few requests were served.
    pub fn unserved_in_partition(&self, seed: u64) -> Vec<String> {
        if !self.has_links {
            return Vec::new();
        }
        let mut rng = StdRng::seed_from_u64(seed ^ PARTITION_SEED_MASK);
        let how = LinkCut::draw(&mut rng);
        let first = rng.random_range(0..HOST_COUNT);
        let cut = [
            first,
            (first + rng.random_range(0..HOST_COUNT - 1)) % HOST_COUNT,
        ];
        self.unplanned.0.fetch_add(1, Ordering::SeqCst);
        self.unplanned.1.fetch_add(1, Ordering::SeqCst);
        for host in cut {
            self.links[host].lock().expect("no panic").begin(how);
        }
        let begin = Instant::now();
        let mut count = 0;
        while begin.elapsed() < DETECTION_TIME {
            for host in 0..HOST_COUNT {
                count += 1;
                let kind = RequestKind::ALL[count % RequestKind::ALL.len()];
                self.request(
                    &self.incarnation(host),
                    kind,
                    &format!("cut-{host}-{count}"),
                );
            }
        }
        let mut missing = Vec::new();
        for host in 0..HOST_COUNT {
            for kind in RequestKind::ALL {
                let served = (0..REQUEST_COUNT).filter(|number| {
                    let id = format!("cut-{host}-{kind:?}-{number}");
                    self.request(&self.incarnation(host), kind, &id)
                });
                let served = served.count();
                if served * 3 < REQUEST_COUNT * 2 {
                    let path = kind.path();
                    missing.push(format!(
                        "host-{host} served {served} of {REQUEST_COUNT} {path}, hosts {cut:?} partitioned ({how:?})"
                    ));
                }
            }
        }
        for host in cut {
            self.links[host].lock().expect("no panic").end();
        }
        self.unplanned.0.fetch_sub(1, Ordering::SeqCst);
        missing
    }
}
