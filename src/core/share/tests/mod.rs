//! No plan exceeds its share, whatever happens to the hosts between which it is divided.

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
/// What a plan may use at once, beyond its rate: 1.5 s of it and one request.
const MAX_BURST: f64 = RATE_PER_SEC * 1.5 + 1.0;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// A quiet site with a share in use: nearly all of it is used, and not more.
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
        "used {:.4} of the share, {sent:.0} bytes a second a host",
        used / (RATE_PER_SEC * 60.0)
    );
    assert!(site.max_excess(RATE_PER_SEC, |admitted| admitted.requests) <= MAX_BURST);
    assert!(used >= RATE_PER_SEC * 60.0 * 0.97, "used {used}");
    assert!(sent <= 3000.0, "{sent} bytes a second a host");
}

/// Hosts are cut off from each other and from the store, paused, killed and replaced in every
/// order. A share that two hosts both believed theirs would let a customer use twice what was
/// sold, and nobody would notice but the engines.
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
            let parts = site.lendable_fraction();
            assert!(
                parts < 1.0001,
                "seed {seed}: parts of {parts} at {:?}",
                site.now
            );
        }
    }
    let over = site.max_excess(RATE_PER_SEC, |admitted| admitted.requests);
    assert!(over <= MAX_BURST, "seed {seed}: {over} above the rate");
    if uses.contains("running") {
        assert!(
            site.max_running <= 20,
            "seed {seed}: {} ran at once",
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
            let span = Duration::from_millis(site.rng.random_range(200..5000));
            site.hosts[one].paused = site.now.after(span);
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

macro_rules! troubles {
    ($($name:ident: $uses:literal, $seeds:expr;)+) => {
        $(#[test]
        fn $name() {
            let total: usize = $seeds.map(|seed| run_with_faults(seed, $uses)).iter().sum();
            println!("{total} let in");
            assert!(total > 500 * $seeds.len(), "only {total} were let in at all");
        })+
    };
}

troubles! {
    rate_limit_holds_under_faults: "requests = 200/s", [3, 6, 16, 19];
    rate_limit_holds_under_faults_other_seeds: "requests = 200/s", [0, 1, 2, 4];
    permit_limit_holds_under_faults: "requests = 200/s\nrunning = 20", [24, 26, 36, 37];
    permit_limit_holds_under_faults_other_seeds: "requests = 200/s\nrunning = 20", [8, 9, 10, 11];
}

/// Half the hosts of a site lose the store and the others, and the store drops them. Each half
/// believes that it is all that is left; both together must not use more than the share.
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
    // New hosts come that never heard of the lost half but by the others.
    site.start("host-6");
    site.hosts[6].load = 100.0;
    for one in 0..3 {
        site.cut_links.insert((one, 6));
        site.cut_links.insert((6, one));
    }
    site.run(seconds(20));
    assert!(site.max_excess(RATE_PER_SEC, |admitted| admitted.requests) <= MAX_BURST);
}

/// A customer asks for long answers and gets short ones, or long ones after a short estimate: what
/// was not used comes back, and the plan gets what it pays for.
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
    println!("used {used:.4} of the tokens");
    assert!(site.max_excess(20_000.0, |admitted| admitted.tokens) <= 30_000.0 + 500.0);
    assert!(used > 0.9, "used {used}");
}

/// A plan that nobody uses costs neither memory nor messages.
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

/// A host that says it is ready and then refuses its first callers would be worse than one that
/// says so a little later.
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
        assert!(site.arrived > 800, "only {} came", site.arrived);
        assert_eq!(site.refused, 0, "seed {seed}: refused at once");
    }
}
