//! The policy under load and a shifting mix, measured in virtual time.
//!
//! The real decisions of every host's core (admission, routing, retries) and of a pool's holder
//! (role changes) meet small fake engines at the interface. Everything is drawn from seeds, so
//! that each figure is the same on every run. Prints one table and ends with an error where a
//! figure lies beyond its bound in `bounds.ini`.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "virtual times and draws are positive and far below the bounds of the types"
)]

mod baseline;
mod bounds;
mod cases;
mod engine;
mod hosts;
mod roles;
mod table;
mod tally;
mod trace;
mod world;

use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use baseline::Router;
use roles::{Roles, schedule};
use table::Row;
use tally::Tally;
use trace::{Case, calls};
use world::{Front, Setup, World};

/// Seed of the traces; any other gives another table.
const SEED: u64 = 20_240;
/// Runs at the same time at most.
const THREADS: usize = 4;
/// Seconds that the schedules of the oracle look ahead.
const WINDOWS: [f64; 2] = [20.0, 60.0];

/// What is run for one case.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// The project's own decisions.
    Ours,
    /// Our routing with the best fixed split in hindsight.
    Static,
    /// Our routing with a threshold controller of roles.
    Threshold,
    /// Round robin over the split that suits the first minute.
    Turn,
    /// Random over that split.
    Random,
    /// Least reported load over that split.
    Report,
    /// Exact routing and the best of several plans of roles that know the trace.
    Oracle,
}

/// All policies, in the order of the table.
pub const POLICIES: [Policy; 7] = [
    Policy::Oracle,
    Policy::Ours,
    Policy::Static,
    Policy::Threshold,
    Policy::Report,
    Policy::Turn,
    Policy::Random,
];

fn main() -> ExitCode {
    // Words narrow the table down: a part of a case's name, then a part of a policy's.
    let words: Vec<String> = std::env::args().skip(1).collect();
    let mut words = words.iter().filter(|word| !word.starts_with('-'));
    let (case, policy) = (words.next(), words.next());
    let cases: Vec<&Case> = cases::CASES
        .iter()
        .filter(|known| case.is_none_or(|word| known.name.contains(&**word)))
        .collect();
    let policies = POLICIES.into_iter();
    let policies: Vec<Policy> = policies
        .filter(|known| policy.is_none_or(|word| known.word().contains(&**word)))
        .collect();
    let groups: Vec<(&Case, Policy)> = cases
        .iter()
        .flat_map(|&case| policies.iter().map(move |&policy| (case, policy)))
        .collect();
    let jobs: Vec<(usize, Setup)> = groups
        .iter()
        .enumerate()
        .flat_map(|(at, &(case, policy))| setups(case, policy).into_iter().map(move |s| (at, s)))
        .collect();
    let tallies = all(&jobs, |(at, setup)| {
        let case = groups[*at].0;
        World::new(case, &calls(case, SEED), setup.clone(), SEED).run(SEED)
    });
    let rows = rows(&groups, &jobs, &tallies);
    table::print(&rows);
    let broken = bounds::check(include_str!("bounds.ini"), &rows);
    for line in &broken {
        eprintln!("{line}");
    }
    if broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Carries out jobs on a few threads; results stand in the order of the jobs.
fn all<J: Sync, R: Send>(jobs: &[J], work: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(at) else {
                        return;
                    };
                    let result = work(job);
                    let mut done = done.lock().unwrap_or_else(PoisonError::into_inner);
                    done.push((at, result));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|&(at, _)| at);
    done.into_iter().map(|(_, result)| result).collect()
}

/// Returns one row a group: of several variants, the best counts.
fn rows(groups: &[(&Case, Policy)], jobs: &[(usize, Setup)], tallies: &[Tally]) -> Vec<Row> {
    let row = |at: usize| {
        let (case, policy) = groups[at];
        let variants = jobs
            .iter()
            .zip(tallies)
            .filter(|((group, _), _)| *group == at);
        let best = variants
            .map(|(_, tally)| tally)
            // Of equal goodput, the one with fewer role changes.
            .max_by(|one, other| {
                let fewer = other.changes.cmp(&one.changes);
                one.goodput().total_cmp(&other.goodput()).then(fewer)
            });
        Row {
            case: case.name,
            policy,
            tally: best.expect("each policy has a variant").clone(),
        }
    };
    (0..groups.len()).map(row).collect()
}

/// Returns the variants of one policy on one case.
fn setups(case: &Case, policy: Policy) -> Vec<Setup> {
    let calls = calls(case, SEED);
    let first = schedule(case, &calls, 60.0)[0];
    let fixed = |front, roles| Setup {
        front,
        roles,
        prefill: first,
    };
    match policy {
        Policy::Ours => vec![fixed(Front::Cores, Roles::Ours(<_>::default()))],
        Policy::Threshold => vec![fixed(Front::Cores, Roles::Threshold)],
        Policy::Turn => vec![fixed(Front::Plain(Router::Turn), Roles::Fixed)],
        Policy::Random => vec![fixed(Front::Plain(Router::Random), Roles::Fixed)],
        Policy::Report => vec![fixed(Front::Plain(Router::Report), Roles::Fixed)],
        Policy::Static => statics(case, Front::Cores),
        Policy::Oracle => {
            let front = Front::Plain(Router::Exact);
            let mut setups = statics(case, front);
            setups.extend(WINDOWS.map(|window| {
                let wanted = schedule(case, &calls, window);
                Setup {
                    front,
                    prefill: wanted[0],
                    roles: Roles::Schedule(wanted),
                }
            }));
            setups
        }
    }
}

/// Returns every fixed split up to two thirds of the engines for prefill; no case needs more.
fn statics(case: &Case, front: Front) -> Vec<Setup> {
    let setup = |prefill| Setup {
        front,
        roles: Roles::Fixed,
        prefill,
    };
    (1..=case.site.engines * 2 / 3).map(setup).collect()
}
