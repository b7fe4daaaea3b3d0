//! Series of faults, drawn by a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Trouble of one kind; numbers name a host or a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A host's process is killed; another starts.
    Kill(usize),
    /// All hosts are killed at once.
    KillAll,
    /// A host is asked to stop; another starts once it has ended.
    Stop(usize),
    /// A host stands still.
    Freeze(usize),
    /// A host's settings are read again.
    Reload(usize),
    /// A host's way to the store holds everything back.
    StoreLinkSilent(usize),
    /// The store's answers to a host are held back.
    StoreLinkOneWay(usize),
    /// A host cannot reach the store.
    StoreLinkRefuses(usize),
    /// Connections to the store end; new ones work.
    StoreLinkReset(usize),
    /// The store is away.
    StoreDown,
    /// The store takes calls and answers none, and the configuration changes meanwhile.
    StoreHang,
    /// The store is away for a moment and comes back from an older copy; what that lacks is written again later.
    StoreRestored,
    /// Writes at the store take effect without an answer.
    StoreDropsReplies,
    /// A server's connections hold everything back.
    ServerSilent(usize),
    /// A server's answers are held back.
    ServerOneWay(usize),
    /// A server answers late.
    ServerDelay(usize),
    /// A server's connections end; new ones work.
    ServerReset(usize),
    /// A server dies; another takes its place.
    ServerCrash(usize),
    /// A server reports that it leaves, and another takes its place.
    ServerDrain(usize),
    /// The configuration changes.
    Configure,
    /// A stream breaks off in the middle of an event.
    BreakStream(usize),
}

/// One fault of a series.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Pause before it.
    pub delay: Duration,
    pub kind: FaultKind,
    /// Time that it lasts, where it does.
    pub duration: Duration,
}

/// Sets the restores of a seed apart from its other draws.
const RESTORE_SEED_MASK: u64 = 0x5eed;
/// Faults in a series.
const FAULT_COUNT: usize = 14;

/// Returns the series of a seed.
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

/// Adds one silence of the store at any place of a series.
///
/// It is drawn apart, so that a seed's other faults stay what they were before there was this one.
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

/// Adds two restores of the store, each at any place of a series, drawn apart likewise.
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
