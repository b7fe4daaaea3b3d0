//! No plan exceeds its share, whatever fails between the hosts that lend it to each other.

mod site;

use std::time::Duration;

use rand::RngExt;

use crate::core::Time;
use site::{Load, Site};

const SHORT_REQUEST: Load = Load {
    prompt: 0,
    output: 0,
    generated: 0,
    duration: Duration::from_millis(20),
};
const RATE_PER_SEC: f64 = 200.0;
/// Requests a plan may use in a burst beyond its rate: 1.5 s of it, and one request.
const MAX_BURST: f64 = RATE_PER_SEC * 1.5 + 1.0;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Without faults, a skewed load uses nearly all of a share and no more, at a bounded cost in bytes
/// sent between hosts.
#[test]
fn steady_skewed_load_uses_its_share() {
    let mut site = Site::new(9, "requests = 200/s", SHORT_REQUEST, 1);
    site.run(seconds(10));
    for (at, host) in site.hosts.iter_mut().enumerate() {
        host.load = 160.0 / f64::from(1 << at.min(8));
    }
    site.run(seconds(2));
    let (before, bytes) = (site.admitted.len(), site.bytes);
    site.run(seconds(60));
    let used = (site.admitted.len() - before) as f64;
    let sent = (site.bytes - bytes) as f64 / 60.0 / 9.0;
    println!(
        "used {:.4} of the share; {sent:.0} bytes/s sent by each host",
        used / (RATE_PER_SEC * 60.0)
    );
    assert!(site.max_excess(RATE_PER_SEC, |admitted| admitted.requests) <= MAX_BURST);
    assert!(
        used >= RATE_PER_SEC * 60.0 * 0.97,
        "{used} requests admitted in 60 s"
    );
    assert!(sent <= 3000.0, "{sent} bytes/s sent by each host");
}

/// Hosts are cut off from each other and from the store, paused, killed and replaced in random
/// order.
///
/// If two hosts both counted the same fraction as theirs, a customer could use twice its share;
/// only the load on the engines would show it.
fn run_with_faults(seed: u64, uses: &str) -> usize {
    let mut site = Site::new(4, uses, SHORT_REQUEST, seed);
    site.load.duration = Duration::from_millis(150);
    site.run(seconds(6));
    for host in &mut site.hosts {
        host.load = 100.0;
    }
    for _ in 0..30 {
        inject_fault(&mut site);
        for _ in 0..site.rng.random_range(2..80) {
            site.run(Duration::from_millis(50));
            let fraction = site.lendable_fraction();
            assert!(
                fraction < 1.0001,
                "seed {seed}: hosts may lend {fraction} of the share at {:?}",
                site.now
            );
        }
    }
    let excess = site.max_excess(RATE_PER_SEC, |admitted| admitted.requests);
    assert!(
        excess <= MAX_BURST,
        "seed {seed}: {excess} requests above the rate"
    );
    if uses.contains("running") {
        assert!(
            site.max_running <= 20,
            "seed {seed}: {} requests ran concurrently",
            site.max_running
        );
    }
    site.admitted.len()
}

fn inject_fault(site: &mut Site) {
    let count = site.hosts.len();
    let (one, other) = (
        site.rng.random_range(0..count),
        site.rng.random_range(0..count),
    );
    match site.rng.random_range(0..10) {
        0 | 1 => {
            site.cut_links.insert((one, other));
        }
        2 => {
            site.cut_links.insert((one, other));
            site.cut_links.insert((other, one));
        }
        3 | 4 => site.cut_links.clear(),
        5 => site.set_store(one, false),
        6 | 7 => {
            for at in 0..count {
                site.set_store(at, true);
            }
        }
        8 => {
            let pause = Duration::from_millis(site.rng.random_range(200..5000));
            site.hosts[one].paused = site.now.after(pause);
        }
        _ => {
            site.kill(one);
            let name = site.hosts[one].name.clone();
            if count < 8 && site.rng.random() {
                site.start(&format!("new-{count}"));
                site.hosts[count].load = 100.0;
            } else {
                site.start(&name);
            }
        }
    }
}

macro_rules! fault_tests {
    ($($name:ident: $uses:literal, $seeds:expr;)+) => {
        $(#[test]
        fn $name() {
            let total: usize = $seeds.map(|seed| run_with_faults(seed, $uses)).iter().sum();
            println!("{total} requests admitted");
            assert!(total > 500 * $seeds.len(), "only {total} requests were admitted");
        })+
    };
}

fault_tests! {
    rate_limit_holds_under_faults: "requests = 200/s", [3, 6, 16, 19];
    rate_limit_holds_under_faults_other_seeds: "requests = 200/s", [0, 1, 2, 4];
    permit_limit_holds_under_faults: "requests = 200/s\nrunning = 20", [24, 26, 36, 37];
    permit_limit_holds_under_faults_other_seeds: "requests = 200/s\nrunning = 20", [8, 9, 10, 11];
}

/// Half the hosts lose the store and the connections to the others, and their registrations expire.
/// Each half counts only itself as registered; both together must stay within the share.
#[test]
fn partitioned_halves_stay_within_one_share() {
    let mut site = Site::new(6, "requests = 200/s", SHORT_REQUEST, 5);
    site.run(seconds(6));
    for host in &mut site.hosts {
        host.load = 100.0;
    }
    for one in 0..3 {
        site.set_store(one, false);
        for other in 3..6 {
            site.cut_links.insert((one, other));
            site.cut_links.insert((other, one));
        }
    }
    site.run(seconds(25));
    // The new host learns of the cut-off half only from the other hosts.
    site.start("host-6");
    site.hosts[6].load = 100.0;
    for one in 0..3 {
        site.cut_links.insert((one, 6));
        site.cut_links.insert((6, one));
    }
    site.run(seconds(20));
    assert!(site.max_excess(RATE_PER_SEC, |admitted| admitted.requests) <= MAX_BURST);
}

/// A customer's answers are shorter than the estimate that was charged: the unused tokens are
/// returned, so that the plan can use nearly all of its share.
#[test]
fn token_charge_follows_actual_use() {
    let load = Load {
        prompt: 100,
        output: 400,
        generated: 100,
        duration: Duration::from_millis(300),
    };
    let mut site = Site::new(5, "tokens = 20000/s", load, 3);
    site.run(seconds(10));
    for host in &mut site.hosts {
        host.load = 60.0;
    }
    site.run(seconds(3));
    let before: f64 = site.admitted.iter().map(|admitted| admitted.tokens).sum();
    site.run(seconds(40));
    let after: f64 = site.admitted.iter().map(|admitted| admitted.tokens).sum();
    let used = (after - before) / (20_000.0 * 40.0);
    println!("used {used:.4} of the token rate");
    assert!(site.max_excess(20_000.0, |admitted| admitted.tokens) <= 30_000.0 + 500.0);
    assert!(used > 0.9, "used {used} of the token rate");
}

/// A plan that nobody uses takes no memory and no messages: its state is removed.
#[test]
fn unused_plans_leave_no_state() {
    let mut site = Site::new(3, "requests = 200/s", SHORT_REQUEST, 4);
    site.run(seconds(6));
    site.hosts[0].load = 20.0;
    site.run(seconds(5));
    site.hosts[0].load = 0.0;
    site.run(seconds(20));
    for host in &site.hosts {
        let shares = &host.core.as_ref().expect("a running host").shares;
        assert!(shares.local.is_empty() && shares.ledgers.is_empty());
    }
    assert!(site.now > Time::default());
}

/// A host reports ready only once it can admit requests; before the pledges settle it would refuse
/// its first callers.
#[test]
fn ready_hosts_refuse_no_request() {
    for seed in 0..6 {
        let mut site = Site::new(3, "requests = 1000/s", SHORT_REQUEST, seed);
        let ready = |site: &Site| {
            let mut cores = site.hosts.iter().filter_map(|host| host.core.as_ref());
            cores.all(super::pledges_settled)
        };
        for _ in 0..100 {
            if ready(&site) {
                break;
            }
            site.run(Duration::from_millis(50));
        }
        for host in &mut site.hosts {
            host.load = 100.0;
        }
        site.run(seconds(3));
        assert!(site.arrived > 800, "only {} requests arrived", site.arrived);
        assert_eq!(
            site.refused, 0,
            "seed {seed}: requests refused after hosts were ready"
        );
    }
}
