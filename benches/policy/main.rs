//! Simulates the policy in virtual time under load and a changing mix of requests.
//!
//! The real decisions of each host's core (admission, routing, retries) and of a pool's holder
//! (role changes) run against small models of engines. All random values are drawn from fixed
//! seeds, so that each figure is the same on every run. Prints one table, and exits with an error
//! if a figure violates its bound in `bounds.ini`.

#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "virtual times and random values are positive and far below the limits of the types"
)]

mod baseline;
mod bounds;
mod cases;
mod engine;
mod fleets;
mod hosts;
mod roles;
mod simulation;
mod table;
mod tally;
mod trace;

use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use baseline::Router;
use roles::{RoleController, schedule};
use simulation::{Frontend, Setup, Simulation};
use table::Row;
use tally::Tally;
use trace::{Case, calls};

/// Seed of the traces and runs; the figures depend on it.
const SEED: u64 = 20_240;
/// Maximum number of concurrent runs.
const MAX_THREADS: usize = 4;
/// Seconds of the trace that the oracle's schedules of roles look ahead.
const LOOKAHEAD_SECS: [f64; 2] = [20.0, 60.0];

/// Policy under test, or one that it is compared with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Policy {
    /// Routing and role changes of this project.
    Chiveway,
    /// Routing of this project with the fixed split that turns out best.
    Static,
    /// Routing of this project with a threshold controller of roles.
    Threshold,
    /// Round robin over the split that balances the first minute.
    RoundRobin,
    /// Random routing over that split.
    Random,
    /// Least reported load over that split.
    LeastReported,
    /// Exact routing with the best of the fixed splits and the schedules computed from the trace.
    Oracle,
}

/// All policies, in the order of the table.
pub const POLICIES: [Policy; 7] = [
    Policy::Oracle,
    Policy::Chiveway,
    Policy::Static,
    Policy::Threshold,
    Policy::LeastReported,
    Policy::RoundRobin,
    Policy::Random,
];

fn main() -> ExitCode {
    // The arguments select rows: a part of a case's name, then a part of a policy's name.
    let args: Vec<String> = std::env::args().skip(1).collect();
    let mut filters = args.iter().filter(|arg| !arg.starts_with('-'));
    let (case, policy) = (filters.next(), filters.next());
    let cases: Vec<&Case> = cases::CASES
        .iter()
        .filter(|known| case.is_none_or(|filter| known.name.contains(&**filter)))
        .collect();
    let policies = POLICIES.into_iter();
    let policies: Vec<Policy> = policies
        .filter(|known| policy.is_none_or(|filter| known.name().contains(&**filter)))
        .collect();
    let groups: Vec<(&Case, Policy)> = cases
        .iter()
        .flat_map(|&case| policies.iter().map(move |&policy| (case, policy)))
        .collect();
    let jobs: Vec<(usize, Setup)> = groups
        .iter()
        .enumerate()
        .flat_map(|(at, &(case, policy))| {
            setups(case, policy)
                .into_iter()
                .map(move |setup| (at, setup))
        })
        .collect();
    let tallies = run_all(&jobs, |(at, setup)| {
        let case = groups[*at].0;
        Simulation::new(case, &calls(case, SEED), setup.clone(), SEED).run(SEED)
    });
    let rows = best_rows(&groups, &jobs, &tallies);
    table::print(&rows);
    let orders: Vec<(&str, usize)> = fleets::FLEETS
        .iter()
        .filter(|fleet| case.is_none_or(|filter| fleet.name.contains(&**filter)))
        .map(|fleet| (fleet.name, fleets::count_orders(fleet, SEED)))
        .collect();
    table::print_orders(&orders);
    let violations = bounds::check(include_str!("bounds.ini"), &rows, &orders);
    for line in &violations {
        eprintln!("{line}");
    }
    if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Runs jobs on up to `MAX_THREADS` threads, and returns the results in the order of the jobs.
fn run_all<J: Sync, R: Send>(jobs: &[J], work: impl Fn(&J) -> R + Sync) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..MAX_THREADS {
            scope.spawn(|| {
                loop {
                    let at = next.fetch_add(1, Ordering::Relaxed);
                    let Some(job) = jobs.get(at) else {
                        return;
                    };
                    let result = work(job);
                    let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                    results.push((at, result));
                }
            });
        }
    });
    let mut results = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    results.sort_by_key(|&(at, _)| at);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Returns one row per group, with the best of its variants.
fn best_rows(groups: &[(&Case, Policy)], jobs: &[(usize, Setup)], tallies: &[Tally]) -> Vec<Row> {
    let row = |at: usize| {
        let (case, policy) = groups[at];
        let variants = jobs
            .iter()
            .zip(tallies)
            .filter(|((group, _), _)| *group == at);
        let best = variants
            .map(|(_, tally)| tally)
            // At equal goodput, the variant with fewer role changes wins.
            .max_by(|one, other| {
                let fewer = other.role_changes.cmp(&one.role_changes);
                one.goodput().total_cmp(&other.goodput()).then(fewer)
            });
        Row {
            case: case.name,
            policy,
            tally: best.expect("each policy has at least one variant").clone(),
        }
    };
    (0..groups.len()).map(row).collect()
}

/// Returns the variants of a policy to run for a case.
fn setups(case: &Case, policy: Policy) -> Vec<Setup> {
    let calls = calls(case, SEED);
    let initial = schedule(case, &calls, 60.0)[0];
    let setup = |frontend, controller| Setup {
        frontend,
        controller,
        prefill_engines: initial,
    };
    match policy {
        Policy::Chiveway => vec![setup(
            Frontend::Cores,
            RoleController::Chiveway(<_>::default()),
        )],
        Policy::Threshold => vec![setup(Frontend::Cores, RoleController::Threshold)],
        Policy::RoundRobin => vec![setup(
            Frontend::Baseline(Router::RoundRobin),
            RoleController::Fixed,
        )],
        Policy::Random => vec![setup(
            Frontend::Baseline(Router::Random),
            RoleController::Fixed,
        )],
        Policy::LeastReported => vec![setup(
            Frontend::Baseline(Router::LeastReported),
            RoleController::Fixed,
        )],
        Policy::Static => fixed_splits(case, Frontend::Cores),
        Policy::Oracle => {
            let frontend = Frontend::Baseline(Router::Exact);
            let mut setups = fixed_splits(case, frontend);
            setups.extend(LOOKAHEAD_SECS.map(|window| {
                let wanted = schedule(case, &calls, window);
                Setup {
                    frontend,
                    prefill_engines: wanted[0],
                    controller: RoleController::Schedule(wanted),
                }
            }));
            setups
        }
    }
}

/// Returns all fixed splits with up to two thirds of the engines for prefill; no case needs more.
fn fixed_splits(case: &Case, frontend: Frontend) -> Vec<Setup> {
    let setup = |prefill_engines| Setup {
        frontend,
        controller: RoleController::Fixed,
        prefill_engines,
    };
    (1..=case.site.engines * 2 / 3).map(setup).collect()
}
