//! Series of faults, drawn by a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// Trouble of one kind; numbers name a host or a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
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
    StoreSilent(usize),
    /// The store's answers to a host are held back.
    StoreOneWay(usize),
    /// A host cannot reach the store.
    StoreRefuses(usize),
    /// Connections to the store end; new ones work.
    StoreReset(usize),
    /// The store is away.
    StoreAway,
    /// The store takes calls and answers none, and the configuration changes meanwhile.
    StoreMute,
    /// The store is away for a moment and comes back from an older copy; what that lacks is written again later.
    StoreRestored,
    /// Writes at the store take effect without an answer.
    StoreLoses,
    /// A server's connections hold everything back.
    Silent(usize),
    /// A server's answers are held back.
    OneWay(usize),
    /// A server answers late.
    Delay(usize),
    /// A server's connections end; new ones work.
    Reset(usize),
    /// A server dies; another takes its place.
    Crash(usize),
    /// A server reports that it leaves, and another takes its place.
    Leave(usize),
    /// The configuration changes.
    Configure,
    /// A stream breaks off in the middle of an event.
    Break(usize),
}

/// One fault of a series.
#[derive(Debug, Clone, Copy)]
pub struct Fault {
    /// Pause before it.
    pub after: Duration,
    pub trouble: Trouble,
    /// Time that it lasts, where it does.
    pub lasts: Duration,
}

/// Sets the restores of a seed apart from its other draws.
const RESTORES: u64 = 0x5eed;
/// Faults in a series.
const COUNT: usize = 14;

/// Returns the series of a seed.
pub fn series(seed: u64, hosts: usize, servers: usize) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed);
    let draw = |rng: &mut StdRng| {
        let (host, server) = (rng.random_range(0..hosts), rng.random_range(0..servers));
        let trouble = match rng.random_range(0..22) {
            0 | 1 => Trouble::Kill(host),
            2 => Trouble::KillAll,
            3 | 4 => Trouble::Stop(host),
            5 => Trouble::Freeze(host),
            6 => Trouble::Reload(host),
            7 => Trouble::StoreSilent(host),
            8 => Trouble::StoreOneWay(host),
            9 => Trouble::StoreRefuses(host),
            10 => Trouble::StoreReset(host),
            11 => Trouble::StoreAway,
            12 => Trouble::StoreLoses,
            13 => Trouble::Silent(server),
            14 => Trouble::OneWay(server),
            15 => Trouble::Delay(server),
            16 => Trouble::Reset(server),
            17 => Trouble::Crash(server),
            18 | 19 => Trouble::Leave(server),
            20 => Trouble::Configure,
            _ => Trouble::Break(server),
        };
        Fault {
            after: Duration::from_millis(rng.random_range(20..500)),
            trouble,
            lasts: Duration::from_millis(rng.random_range(200..1500)),
        }
    };
    (0..COUNT).map(|_| draw(&mut rng)).collect()
}

/// Adds one silence of the store at any place of a series.
///
/// It is drawn apart, so that a seed's other faults stay what they were before there was this one.
pub fn with_silence(seed: u64, mut series: Vec<Fault>) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(!seed);
    let fault = Fault {
        after: Duration::from_millis(rng.random_range(20..500)),
        trouble: Trouble::StoreMute,
        lasts: Duration::from_millis(rng.random_range(200..3000)),
    };
    series.insert(rng.random_range(0..=series.len()), fault);
    series
}

/// Adds two restores of the store, each at any place of a series, drawn apart likewise.
pub fn with_restores(seed: u64, mut series: Vec<Fault>) -> Vec<Fault> {
    let mut rng = StdRng::seed_from_u64(seed ^ RESTORES);
    for _ in 0..2 {
        let fault = Fault {
            after: Duration::from_millis(rng.random_range(20..500)),
            trouble: Trouble::StoreRestored,
            lasts: Duration::from_millis(rng.random_range(200..2500)),
        };
        series.insert(rng.random_range(0..=series.len()), fault);
    }
    series
}
