//! Series of faults, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::partition::LinkCut;
use crate::standin::torn::{Break, End, Framing, Place};
use crate::standin::trouble::{Arrival, Trouble, Unread};

/// A kind of fault; the number is the index of a host or of a server's position.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A host's process is killed and restarted.
    Kill(usize),
    /// All hosts are killed at once and restarted.
    KillAll,
    /// A host receives SIGTERM and is restarted once it has exited.
    Stop(usize),
    /// A host's process is frozen.
    Freeze(usize),
    /// A host receives SIGHUP and reads its settings again.
    Reload(usize),
    /// A host's connections to the store pass no data.
    StoreLinkSilent(usize),
    /// A host's connections to the store pass requests and no answers.
    StoreLinkOneWay(usize),
    /// A host's connections to the store are refused.
    StoreLinkRefuses(usize),
    /// A host's connections to the store are reset; new ones work.
    StoreLinkReset(usize),
    /// The store is down.
    StoreDown,
    /// The store accepts calls and answers none; the configuration changes meanwhile.
    StoreHang,
    /// The store goes down and is restored from an older copy; the lost writes are repeated later.
    StoreRestored,
    /// The store applies writes without an answer.
    StoreDropsReplies,
    /// A server's connections pass no data.
    ServerSilent(usize),
    /// A server's connections pass requests and no answers.
    ServerOneWay(usize),
    /// A server's connections are delayed.
    ServerDelay(usize),
    /// A server's connections are reset; new ones work.
    ServerReset(usize),
    /// A server crashes and is replaced.
    ServerCrash(usize),
    /// A server drains and is replaced.
    ServerDrain(usize),
    /// The configuration changes.
    Configure,
    /// A server's next stream breaks off in the middle of an event.
    BreakStream(usize),
    /// Hosts, a bit for each, are partitioned from all servers.
    Partition(u8, LinkCut),
    /// Most new connections go to a host.
    Crowd(usize),
    /// A server breaks its next answer off.
    TearAnswer(usize, Break),
    /// A server answers some requests in a way that hosts may mistake.
    Trouble(usize, Trouble),
}

/// One fault of a series.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Time since the previous fault.
    pub delay: Duration,
    pub kind: FaultKind,
    /// How long it lasts, for kinds that last.
    pub duration: Duration,
}

/// Separates the draws of restores from a seed's other draws.
const RESTORE_SEED_MASK: u64 = 0x5eed;
/// Separates the draws of answers that are broken off from a seed's other draws.
const TEAR_SEED_MASK: u64 = 0x7ea5;
/// Answers that are broken off in a series.
const TEAR_COUNT: usize = 8;
/// Separates the draws of partitions from a seed's other draws.
const PARTITION_SEED_MASK: u64 = 0x9a47;
/// Partitions in a series.
const PARTITION_COUNT: usize = 4;
/// Separates the draws of crowds from a seed's other draws.
const CROWD_SEED_MASK: u64 = 0xc70;
/// Crowds in a series.
const CROWD_COUNT: usize = 2;
/// Separates the draws of servers' troubles from a seed's other draws.
const TROUBLE_SEED_MASK: u64 = 0x70b1e;
/// Troubles of servers among the other faults of a series.
const TROUBLE_COUNT: usize = 10;
/// Troubles of servers after them, and how many of these come with one signal.
const FINAL_TROUBLE_COUNT: usize = 16;
const TROUBLES_PER_SIGNAL: usize = 4;
/// Number of faults in a series.
const FAULT_COUNT: usize = 14;

/// Draws the series of a seed.
pub fn series(seed: u64, hosts: usize, servers: usize) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let draw_fault = |rng: &mut StdRng| {
        let (host, server) = (rng.random_range(0..hosts), rng.random_range(0..servers));
        let kind = match rng.random_range(0..22) {
            0 | 1 => FaultKind::Kill(host),
            2 => FaultKind::KillAll,
            3 | 4 => FaultKind::Stop(host),
            5 => FaultKind::Freeze(host),
            6 => FaultKind::Reload(host),
            7 => FaultKind::StoreLinkSilent(host),
            8 => FaultKind::StoreLinkOneWay(host),
            9 => FaultKind::StoreLinkRefuses(host),
            10 => FaultKind::StoreLinkReset(host),
            11 => FaultKind::StoreDown,
            12 => FaultKind::StoreDropsReplies,
            13 => FaultKind::ServerSilent(server),
            14 => FaultKind::ServerOneWay(server),
            15 => FaultKind::ServerDelay(server),
            16 => FaultKind::ServerReset(server),
            17 => FaultKind::ServerCrash(server),
            18 | 19 => FaultKind::ServerDrain(server),
            20 => FaultKind::Configure,
            _ => FaultKind::BreakStream(server),
        };
        Fault {
            delay: Duration::from_millis(rng.random_range(20..500)),
            kind,
            duration: Duration::from_millis(rng.random_range(200..1500)),
        }
    };
    (0..FAULT_COUNT).map(|_| draw_fault(&mut rng)).collect()
}

/// Inserts one hang of the store at a random position of a series.
///
/// It has its own random generator, so that the seed's other faults do not depend on it.
pub fn with_hang(seed: u64, mut series: Vec<Fault>) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let fault = Fault {
        delay: Duration::from_millis(rng.random_range(20..500)),
        kind: FaultKind::StoreHang,
        duration: Duration::from_millis(rng.random_range(200..3000)),
    };
    series.insert(rng.random_range(0..=series.len()), fault);
    series
}

/// Inserts two restores of the store at random positions of a series, with their own random generator.
pub fn with_restores(seed: u64, mut series: Vec<Fault>) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORE_SEED_MASK);
    for _ in 0..2 {
        let fault = Fault {
            delay: Duration::from_millis(rng.random_range(20..500)),
            kind: FaultKind::StoreRestored,
            duration: Duration::from_millis(rng.random_range(200..2500)),
        };
        series.insert(rng.random_range(0..=series.len()), fault);
    }
    series
}

/// Inserts answers that are broken off at random positions of a series, with their own random generator.
pub fn with_torn_answers(seed: u64, mut series: Vec<Fault>, servers: usize) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed ^ TEAR_SEED_MASK);
    for _ in 0..TEAR_COUNT {
        let how = draw_break(&mut rng);
        let fault = Fault {
            delay: Duration::from_millis(rng.random_range(20..100)),
            kind: FaultKind::TearAnswer(rng.random_range(0..servers), how),
            duration: Duration::from_millis(rng.random_range(200..1500)),
        };
        series.insert(rng.random_range(0..=series.len()), fault);
    }
    series
}

/// Inserts partitions of hosts from all servers at random positions of a series, with their own random generator.
pub fn with_partitions(seed: u64, mut series: Vec<Fault>, hosts: usize) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed ^ PARTITION_SEED_MASK);
    for _ in 0..PARTITION_COUNT {
        let cut = rng.random_range(1..1 << hosts);
        let fault = Fault {
            delay: Duration::from_millis(rng.random_range(20..300)),
            kind: FaultKind::Partition(cut, LinkCut::draw(&mut rng)),
            duration: Duration::from_millis(rng.random_range(200..3000)),
        };
        series.insert(rng.random_range(0..=series.len()), fault);
    }
    series
}

/// Inserts crowds at one host at random positions of a series, with their own random generator.
pub fn with_crowds(seed: u64, mut series: Vec<Fault>, hosts: usize) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed ^ CROWD_SEED_MASK);
    for _ in 0..CROWD_COUNT {
        let fault = Fault {
            delay: Duration::from_millis(rng.random_range(20..300)),
            kind: FaultKind::Crowd(rng.random_range(0..hosts)),
            duration: Duration::from_millis(rng.random_range(1000..4000)),
        };
        series.insert(rng.random_range(0..=series.len()), fault);
    }
    series
}

/// Inserts troubles of servers at random positions of a series, with their own random generator, and appends others, among
/// which hosts get signals.
pub fn with_troubles(
    seed: u64,
    mut series: Vec<Fault>,
    hosts: usize,
    servers: usize,
) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed ^ TROUBLE_SEED_MASK);
    for _ in 0..TROUBLE_COUNT {
        let fault = draw_trouble_of(&mut rng, servers);
        series.insert(rng.random_range(0..=series.len()), fault);
    }
    for number in 0..FINAL_TROUBLE_COUNT {
        series.push(draw_trouble_of(&mut rng, servers));
        if number % TROUBLES_PER_SIGNAL == 0 {
            let host = rng.random_range(0..hosts);
            let signals = [FaultKind::Stop, FaultKind::Reload, FaultKind::Freeze];
            series.push(Fault {
                delay: Duration::from_millis(rng.random_range(20..300)),
                kind: signals[rng.random_range(0..signals.len())](host),
                duration: Duration::from_millis(rng.random_range(200..1000)),
            });
        }
    }
    series
}

/// Draws a trouble and its server, more often one of the first two, which are plain.
fn draw_trouble_of(rng: &mut StdRng, servers: usize) -> Fault {
    let trouble = draw_trouble(rng);
    Fault {
        delay: Duration::from_millis(rng.random_range(20..250)),
        kind: FaultKind::Trouble(rng.random_range(0..servers + 2) % servers, trouble),
        duration: Duration::from_millis(rng.random_range(1000..4000)),
    }
}

/// Draws in which way a server answers some requests; more often with late copies than in each other way.
fn draw_trouble(rng: &mut StdRng) -> Trouble {
    let refusals = [Some(503), Some(503), Some(429), Some(421), None];
    let unread = [
        Unread::ReadLater,
        Unread::NeverRead,
        Unread::Closed,
        Unread::Reset,
    ];
    match rng.random_range(0..7) {
        0..=2 => Trouble::LateCopies {
            refusal: refusals[rng.random_range(0..refusals.len())],
            arrival: [Arrival::AtOnce, Arrival::WithNext][rng.random_range(0..2)],
            is_whole: rng.random_bool(0.7),
        },
        3 => Trouble::UnstatedRefusals([408, 429, 503][rng.random_range(0..3)]),
        4 => Trouble::EarlyRefusals(unread[rng.random_range(0..unread.len())]),
        5 => Trouble::LateRuns(Duration::from_millis(rng.random_range(800..2500))),
        _ => Trouble::Full([429, 503][rng.random_range(0..2)]),
    }
}

/// Draws how an answer is broken off.
///
/// An answer that only its connection ends is never broken off between events: it is complete as soon as the
/// connection is closed, also by another fault, and nobody could see that the rest is missing.
fn draw_break(rng: &mut StdRng) -> Break {
    let framings = [Framing::Length, Framing::Chunks, Framing::Connection];
    let ends = [End::Close, End::Reset, End::Silence];
    let places = [
        Place::Head,
        Place::BeforeFirst,
        Place::Between,
        Place::Inside,
        Place::InsideChar,
    ];
    loop {
        let how = Break {
            framing: framings[rng.random_range(0..framings.len())],
            end: ends[rng.random_range(0..ends.len())],
            place: places[rng.random_range(0..places.len())],
        };
        if how.framing != Framing::Connection || how.place != Place::Between {
            return how;
        }
    }
}
