//! Orders, withdrawals and roles: several holders in turn, engines that check and that do not.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt;

use super::{LEASE, World};
use crate::core::effect::{Action, Effect, Order};
use crate::core::event::{Entry, EntryKind, Event, FleetEvent, Ordered, Probe, Report, Role};
use crate::core::fleet::ServingState;
use crate::core::key::PoolKey;
use crate::core::order::authority;
use crate::core::role::{Change, DecisionState, View};
use crate::core::{Time, member};
use crate::settings::Fencing;

const POOL: PoolKey = PoolKey(0);
const ENGINES: usize = 3;
/// Time between two looks of the fake engines.
const LOOK: Duration = Duration::from_millis(50);
/// Time a role change takes.
const CHANGE: Duration = Duration::from_secs(2);

/// One fake engine.
#[derive(Debug, Default)]
struct Engine {
    role: Role,
    next: Option<(Time, Role)>,
    seen: (u64, u64),
    /// Orders carried out: fencing number, number, role.
    applied: Vec<(u64, u64, Role)>,
    refused: u32,
    /// Crashes before its next change is over.
    crashes: bool,
}

/// A stream: host and its life, engine, end.
#[derive(Debug)]
struct Stream {
    host: usize,
    life: u64,
    engine: usize,
    end: Time,
    /// The host has noticed the end.
    over: bool,
}

/// Engines and streams around the hosts.
#[derive(Debug)]
struct Site {
    world: World,
    fencing: Fencing,
    engines: Vec<Engine>,
    streams: Vec<Stream>,
    /// Orders on their way: when they arrive, who sent them.
    flight: Vec<(Time, usize, u64, Order)>,
    /// Part of orders whose answer is lost.
    lose: f64,
    /// Longest time an order is on its way.
    slow: Duration,
    reported: Time,
    leaving: Option<usize>,
    /// Reports say idle whatever runs.
    idle: bool,
}

/// Wishes another role for one engine after the other.
fn alternate(view: &View<'_>, _memory: &mut DecisionState) -> Option<Change> {
    let at = usize::try_from(view.now.millis() / 5_000).expect("a short test");
    let engine = &view.engines[at % view.engines.len()];
    let wish = if (at / view.engines.len()).is_multiple_of(2) {
        Role::Prefill
    } else {
        Role::Both
    };
    (engine.role != wish).then_some(Change {
        engine: engine.key,
        role: wish,
    })
}

/// Wishes every engine for prompts only.
fn all_prefill(view: &View<'_>, _memory: &mut DecisionState) -> Option<Change> {
    let engine = view.engines.iter().find(|one| one.role == Role::Both)?;
    Some(Change {
        engine: engine.key,
        role: Role::Prefill,
    })
}

fn never(_view: &View<'_>, _memory: &mut DecisionState) -> Option<Change> {
    None
}

fn name(engine: usize) -> Box<str> {
    format!("raadgiver-{engine}").into()
}

impl Site {
    fn new(hosts: usize, fencing: Fencing, seed: u64) -> Self {
        let mut site = Self {
            world: World::new(hosts, seed),
            fencing,
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            streams: Vec::new(),
            flight: Vec::new(),
            lose: 0.0,
            slow: Duration::from_millis(100),
            reported: Time::default(),
            leaving: None,
            idle: false,
        };
        site.decide(never);
        site.list();
        site
    }

    fn decide(&mut self, decide: crate::core::order::Decide) {
        for host in &mut self.world.hosts {
            host.core.orders.decide = decide;
            let pool = &mut host.core.fleet.pools[0];
            pool.settings.split = true;
            pool.settings.fencing = self.fencing;
            host.core.settings.limits.drain_timeout = Duration::from_secs(20);
            host.core.settings.limits.cut_off = LEASE;
        }
    }

    fn list(&mut self) {
        let entries: Vec<Entry> = (0..ENGINES)
            .map(|at| Entry {
                name: name(at),
                kind: EntryKind::Engine,
                pool: "raadgiver".into(),
                addr: ([127, 0, 1, 1], 200).into(),
                domain: "d".into(),
                leaving: self.leaving == Some(at),
            })
            .collect();
        for at in 0..self.world.hosts.len() {
            self.tell(at, FleetEvent::Listed(entries.clone()));
        }
    }

    fn tell(&mut self, at: usize, event: FleetEvent) {
        if !self.world.hosts[at].dead {
            self.world.feed(at, Event::Fleet(event));
        }
    }

    fn running(&self, engine: usize) -> usize {
        let now = self.world.now;
        let streams = self.streams.iter();
        streams
            .filter(|one| one.engine == engine && one.end > now && self.lives(one.host, one.life))
            .count()
    }

    fn lives(&self, host: usize, life: u64) -> bool {
        let host = &self.world.hosts[host];
        host.life == life && !host.dead
    }

    /// Runs for a while.
    fn run(&mut self, span: Duration) {
        let end = self.world.now.after(span);
        while self.world.now < end {
            self.world.run(LOOK);
            self.carry();
            self.land();
            self.finish();
            if self.world.now.since(self.reported) >= Duration::from_millis(500) {
                self.reported = self.world.now;
                self.list();
                self.report();
            }
        }
    }

    fn carry(&mut self) {
        for (at, effect) in std::mem::take(&mut self.world.other) {
            match effect {
                Effect::Order(order) => {
                    let span = self.world.rng.random_range(0.0..1.0);
                    let due = self.world.now.after(self.slow.mul_f64(span));
                    let life = self.world.hosts[at].life;
                    self.flight.push((due, at, life, order));
                }
                Effect::Probe(addr) => {
                    let hosts = self.world.hosts.iter();
                    let mut bound =
                        hosts.filter(|host| !host.dead && host.core.settings.host.peers == addr);
                    let probe = if bound.next().is_some() {
                        Probe::Open
                    } else {
                        Probe::Refused
                    };
                    self.tell(at, FleetEvent::Probed { addr, probe });
                }
                _ => {}
            }
        }
    }

    /// Orders reach their engines; half of those of a paused process are still to be written.
    fn land(&mut self) {
        let now = self.world.now;
        let hosts = &self.world.hosts;
        let waits = |host: usize, life: u64, order: &Order| {
            hosts[host].frozen && hosts[host].life == life && order.order.is_multiple_of(2)
        };
        let (due, later) = std::mem::take(&mut self.flight)
            .into_iter()
            .partition(|(due, host, life, order)| *due <= now && !waits(*host, *life, order));
        self.flight = later;
        for (_, host, life, order) in due {
            let result = self.order(&order);
            if self.world.rng.random_bool(self.lose) {
                self.answer(host, life, &order, Ordered::Unknown);
            } else {
                self.answer(host, life, &order, result);
            }
        }
        for engine in &mut self.engines {
            if let Some((_, role)) = engine.next.filter(|(at, _)| *at <= now) {
                engine.next = None;
                if std::mem::take(&mut engine.crashes) {
                    engine.role = Role::Both;
                    // An engine that forgets its number takes any order after a crash, and is to
                    // be named as one that ignores it.
                    if self.fencing == Fencing::Ignores {
                        engine.seen = (0, 0);
                    }
                } else {
                    engine.role = role;
                }
            }
        }
    }

    fn order(&mut self, order: &Order) -> Ordered {
        let at = (0..ENGINES).find(|at| name(*at) == order.engine);
        let at = at.expect("an engine of the list");
        let Action::Role(role) = order.action else {
            panic!("an order nobody gives");
        };
        let running = self.running(at);
        let now = self.world.now;
        let engine = &mut self.engines[at];
        let number = (order.fence, order.order);
        if self.fencing == Fencing::Checks {
            if number < engine.seen {
                engine.refused += 1;
                return Ordered::Fenced(engine.seen.0);
            }
            if number == engine.seen {
                return Ordered::Done;
            }
        }
        engine.seen = number;
        engine.applied.push((number.0, number.1, role));
        if engine.role != role {
            assert_eq!(running, 0, "{} cut streams at {now:?}", order.engine);
            engine.next = Some((now.after(CHANGE), role));
        }
        Ordered::Done
    }

    fn answer(&mut self, host: usize, life: u64, order: &Order, result: Ordered) {
        if self.lives(host, life) {
            let event = FleetEvent::Ordered {
                name: order.engine.clone(),
                fence: order.fence,
                order: order.order,
                result,
            };
            self.tell(host, event);
        }
    }

    fn report(&mut self) {
        for at in 0..ENGINES {
            let running = if self.idle { 0 } else { self.running(at) };
            let engine = &self.engines[at];
            let report = Report {
                running: u32::try_from(running).expect("few"),
                role: engine.role,
                age: 0,
                changing: engine.next.is_some(),
                fence: engine.seen.0,
                order: engine.seen.1,
                ..Report::default()
            };
            for host in 0..self.world.hosts.len() {
                let event = FleetEvent::Report {
                    name: name(at),
                    report: Some(report.clone()),
                };
                self.tell(host, event);
            }
        }
    }

    /// Opens a stream from a host where that host's view lets it; returns whether it did.
    fn open(&mut self, host: usize, engine: usize, span: Duration) -> bool {
        let now = self.world.now;
        let one = &mut self.world.hosts[host];
        if one.dead || one.frozen || member::cut_off(&one.core) {
            return false;
        }
        let Some(key) = one.core.fleet.find(&name(engine)) else {
            return false;
        };
        if !one.core.fleet.arena[key].is_available(now) || self.engines[engine].next.is_some() {
            return false;
        }
        one.core.fleet.add_work(key, 10, 10);
        let life = one.life;
        self.streams.push(Stream {
            host,
            life,
            engine,
            end: now.after(span),
            over: false,
        });
        true
    }

    /// Hosts that are awake notice the end of their streams.
    fn finish(&mut self) {
        let now = self.world.now;
        for stream in &mut self.streams {
            let host = &mut self.world.hosts[stream.host];
            if stream.over || stream.end > now || host.frozen {
                continue;
            }
            stream.over = true;
            if host.life == stream.life
                && let Some(key) = host.core.fleet.find(&name(stream.engine))
            {
                host.core.fleet.remove_work(key, 10, 10);
            }
        }
    }

    /// Opens a stream from these hosts wherever an order is about to land, if their view lets it.
    fn tempt(&mut self, hosts: &[usize]) {
        let aims = self.flight.iter().map(|(_, _, _, order)| &order.engine);
        let aims: Vec<usize> = aims
            .filter_map(|aim| (0..ENGINES).find(|at| name(*at) == *aim))
            .collect();
        for engine in aims {
            for host in hosts {
                self.open(*host, engine, Duration::from_millis(500));
            }
        }
    }

    /// Lets the orders on their way arrive after this time.
    fn hold_back(&mut self, span: Duration) {
        assert!(!self.flight.is_empty(), "no order is on its way");
        let due = self.world.now.after(span);
        for late in &mut self.flight {
            late.0 = due;
        }
    }

    fn holder(&self) -> Option<usize> {
        let hosts = self.world.hosts.iter();
        let mut holders = hosts
            .enumerate()
            .filter(|(_, host)| !host.dead && !host.frozen && authority::holds(&host.core, POOL))
            .map(|(at, _)| at);
        let first = holders.next();
        assert_eq!(holders.next(), None, "two hosts hold the pool");
        first
    }

    /// Runs until `done` holds.
    fn until(&mut self, what: &str, done: impl Fn(&Self) -> bool) {
        for _ in 0..4000 {
            if done(self) {
                return;
            }
            self.run(LOOK);
        }
        panic!("waited in vain: {what}");
    }

    /// Fails unless each engine's orders came in the order of their numbers and none was for
    /// anything but what its number first said.
    fn check(&self, what: &str) {
        for (at, engine) in self.engines.iter().enumerate() {
            let mut said = BTreeMap::new();
            for pair in engine.applied.windows(2) {
                let (one, two) = ((pair[0].0, pair[0].1), (pair[1].0, pair[1].1));
                assert!(
                    one <= two,
                    "{what}: engine {at} took {two:?} after {one:?}: {:?}",
                    engine.applied
                );
            }
            for (fence, order, role) in &engine.applied {
                let first = said.entry((*fence, *order)).or_insert(*role);
                assert_eq!(first, role, "{what}: engine {at} got one number twice");
            }
        }
    }

    fn withdrawn(&self, host: usize, engine: usize) -> bool {
        let fleet = &self.world.hosts[host].core.fleet;
        fleet
            .find(&name(engine))
            .is_some_and(|key| fleet.arena[key].routed == ServingState::Withdrawn)
    }
}

/// One host after the other holds the pool; hosts freeze past their lease and wake, die and come
/// back, lose the key-value service's answers, and lose sight of it. Orders are slow and their
/// answers get lost. A caller would notice a stream cut by an order that was not meant for that
/// moment; an operator would find an engine in a role that nobody wants.
fn shuffled(seed: u64, fencing: Fencing) {
    let mut site = Site::new(3, fencing, seed);
    site.decide(alternate);
    site.lose = 0.2;
    site.slow = Duration::from_millis(1500);
    site.world.odds.lose = 0.05;
    site.world.odds.drop = 0.02;
    site.world.odds.twice = 0.05;
    for _ in 0..2000 {
        disturb(&mut site);
        for host in 0..3 {
            let engine = site.world.rng.random_range(0..ENGINES);
            let span = Duration::from_millis(site.world.rng.random_range(50..2500));
            site.open(host, engine, span);
        }
        site.tempt(&[0, 1, 2]);
        site.run(Duration::from_millis(250));
        site.holder();
    }
    site.check(&format!("seed {seed}"));
    let given: usize = site.engines.iter().map(|one| one.applied.len()).sum();
    assert!(given > 10, "seed {seed}: only {given} orders were given");
}

fn disturb(site: &mut Site) {
    let host = site.world.rng.random_range(0..3);
    match site.world.rng.random_range(0..150) {
        0 | 1 if !site.world.hosts[host].dead => site.world.freeze(host),
        2..=7 if site.world.hosts[host].frozen && !site.world.hosts[host].dead => {
            site.world.thaw(host);
        }
        8 => {
            site.world.hosts[host].frozen = false;
            site.world.kill(host);
        }
        9..=13 if site.world.hosts[host].dead => {
            site.world.restart(host);
            site.decide(alternate);
            site.list();
        }
        22 => {
            site.world.deaf.insert(host);
            for other in 0..3 {
                site.world.cut.extend([(host, other), (other, host)]);
            }
        }
        23..=27 if !site.world.deaf.is_empty() => {
            site.world.cut.clear();
            for host in std::mem::take(&mut site.world.deaf) {
                site.world.open_watch(host);
            }
        }
        14 => site.world.outage(true),
        15..=20 if site.world.store.down => site.world.outage(false),
        21 => {
            let engine = site.world.rng.random_range(0..ENGINES);
            site.engines[engine].crashes = true;
        }
        _ => {}
    }
}

macro_rules! shuffles {
    ($($name:ident: $seeds:expr, $fencing:expr;)*) => {$(
        #[test]
        fn $name() {
            for seed in $seeds {
                shuffled(seed, $fencing);
            }
        }
    )*};
}

shuffles! {
    a_host_wakes_to_its_own_old_registration: 163..164, Fencing::Checks;
    no_conflicting_order_at_engines_that_check: 1..7, Fencing::Checks;
    no_conflicting_order_at_engines_that_ignore: 101..107, Fencing::Ignores;
}

/// Everything works and the mix calls for other roles. An operator sees each engine change once
/// a turn and go back to work.
#[test]
fn a_wished_change_is_made() {
    let mut site = Site::new(3, Fencing::Checks, 5);
    site.decide(alternate);
    for at in 0..ENGINES {
        site.until("the engine changes", |site| {
            site.engines[at].role == Role::Prefill
        });
        site.until("the engine works again", |site| {
            (0..3).all(|host| !site.withdrawn(host, at))
        });
        assert_eq!(site.engines[at].applied.len(), 1);
    }
}

/// A host is paused while an engine is to change its role; it may hold streams there and cannot
/// say so. A caller of that host would lose its answer if the order were given. The change is
/// called off, and the engine works on.
#[test]
fn a_host_that_does_not_confirm_calls_the_change_off() {
    let mut site = Site::new(3, Fencing::Checks, 6);
    site.until("somebody holds the pool", |site| site.holder().is_some());
    site.run(Duration::from_secs(15));
    let holder = site.holder().expect("it was there");
    let other = (holder + 1) % 3;
    // Its lease is kept alive: it is slow, not gone.
    site.world.cut = vec![(other, holder)];
    site.decide(all_prefill);
    site.until("the engine is withdrawn", |site| {
        (0..ENGINES).any(|at| site.withdrawn(other, at))
    });
    site.until("it goes back to work", |site| {
        (0..ENGINES).all(|at| !site.withdrawn(other, at))
    });
    assert!(site.engines.iter().all(|engine| engine.applied.is_empty()));
}

/// A long answer runs on an engine that is to change its role, and outlasts the drain. Its caller
/// must get it whole, so the change is called off.
#[test]
fn a_stream_that_outlasts_the_drain_calls_the_change_off() {
    let mut site = Site::new(3, Fencing::Checks, 7);
    site.run(Duration::from_secs(15));
    for at in 0..ENGINES {
        assert!(site.open(0, at, Duration::from_mins(5)));
    }
    site.decide(all_prefill);
    site.run(Duration::from_secs(100));
    assert!(site.engines.iter().all(|engine| engine.applied.is_empty()));
    assert!((0..ENGINES).any(|at| !site.withdrawn(0, at)));
}

/// Reports lag or err: the engine says it is idle while a host still streams from it. Only the
/// hosts' own counts keep the order back until the caller has its answer.
#[test]
fn a_report_that_says_idle_does_not_let_an_order_through() {
    let mut site = Site::new(3, Fencing::Checks, 8);
    site.run(Duration::from_secs(15));
    site.idle = true;
    for at in 0..ENGINES {
        assert!(site.open(1, at, Duration::from_secs(10)));
    }
    site.decide(all_prefill);
    // An order before the streams end fails the engine's own check.
    site.until("an engine changes", |site| {
        site.engines.iter().any(|engine| !engine.applied.is_empty())
    });
    assert!(site.streams.iter().any(|stream| stream.over));
}

/// A host loses the key-value service and its peers without noticing, and goes on sending work by
/// what it knew, until its bound. Its streams would be cut by a change that did not wait for that.
#[test]
fn a_host_that_is_cut_off_loses_no_stream() {
    for seed in 20..30 {
        let mut site = Site::new(3, Fencing::Checks, seed);
        site.run(Duration::from_secs(15));
        let holder = site.holder().expect("a host holds the pool");
        let other = (holder + 1) % 3;
        site.world.deaf.insert(other);
        for peer in 0..3 {
            site.world.cut.extend([(other, peer), (peer, other)]);
        }
        // With some seeds it has a stream all the while, with the others only new ones.
        if seed % 2 == 0 {
            assert!(site.open(other, 0, Duration::from_secs(12)));
        }
        site.slow = Duration::from_millis(300);
        site.decide(all_prefill);
        for host in &mut site.world.hosts {
            host.core.settings.limits.cut_off = LEASE * 3;
        }
        for _ in 0..400 {
            site.tempt(&[other]);
            site.run(LOOK);
        }
        let changed = site.engines.iter().filter(|one| !one.applied.is_empty());
        assert!(changed.count() > 0, "no engine changed in the end");
    }
}

/// A host starts and takes work just before an engine is withdrawn, and the holder's own watch
/// lags, so that it knows the withdrawal stands but not that there is one host more. It must not
/// count hosts before its watch has caught up, or it would cut the new host's streams.
#[test]
fn a_host_that_joined_unseen_loses_no_stream() {
    let mut site = Site::new(3, Fencing::Checks, 18);
    site.run(Duration::from_secs(5));
    let holder = site.holder().expect("a host holds the pool");
    let other = (holder + 1) % 3;
    site.world.kill(other);
    site.run(Duration::from_secs(20));
    assert_eq!(site.holder(), Some(holder));

    site.world.lags.insert(holder, LEASE * 2);
    site.world.restart(other);
    site.decide(never);
    site.list();
    site.until("the new host is registered", |site| {
        !member::cut_off(&site.world.hosts[other].core)
    });
    site.world.lags.insert(other, LEASE);
    site.decide(all_prefill);
    for _ in 0..200 {
        site.tempt(&[other]);
        site.run(LOOK);
    }
    assert!(site.engines.iter().any(|one| !one.applied.is_empty()));
}

/// The holder's watch breaks and opens anew; a host may have come and gone meanwhile, and may be
/// cut off with streams by an old view. The holder begins no change until such a host has stopped.
#[test]
fn a_holder_that_missed_hosts_waits() {
    let mut site = Site::new(3, Fencing::Checks, 19);
    site.run(Duration::from_secs(15));
    let holder = site.holder().expect("a host holds the pool");
    let down = crate::core::event::StoreEvent::Health(crate::core::event::Health::Down);
    site.world.feed(holder, Event::Store(down));
    site.world.open_watch(holder);
    site.decide(all_prefill);
    let any = |site: &Site| (0..ENGINES).any(|at| site.withdrawn(holder, at));
    for _ in 0..LEASE.as_millis() / LOOK.as_millis() {
        site.run(LOOK);
        assert!(!any(&site), "an engine is withdrawn at once");
    }
    site.until("an engine is withdrawn", any);
}

/// The holder is paused with an order recorded and on its way, past its lease; another takes
/// over. To an engine that takes any order the first one may still come, so the successor gives
/// none while the paused process lives, and goes on once it is known dead.
#[test]
fn a_paused_holder_keeps_its_successor_from_engines_that_ignore() {
    let mut site = Site::new(3, Fencing::Ignores, 9);
    site.decide(all_prefill);
    site.slow = Duration::from_secs(1000);
    site.until("an order is on its way", |site| !site.flight.is_empty());
    let first = site.holder().expect("it gave the order");
    site.hold_back(Duration::from_hours(1));
    site.world.freeze(first);
    site.until("another holds the pool", |site| {
        site.holder().is_some_and(|at| at != first)
    });
    site.run(Duration::from_mins(1));
    let sent: Vec<usize> = site.flight.iter().map(|(_, host, ..)| *host).collect();
    assert!(sent.iter().all(|host| *host == first), "{sent:?}");

    site.world.hosts[first].frozen = false;
    site.world.kill(first);
    // Its last bytes are still on their way when it dies.
    site.hold_back(Duration::from_millis(2900));
    site.slow = Duration::from_millis(100);
    site.until("the successor goes on", |site| {
        let mut applied = site.engines.iter().flat_map(|engine| &engine.applied);
        applied.any(|order| order.0 > 1)
    });
    site.run(Duration::from_secs(5));
    site.check("the last bytes of a dead holder");
}

/// The same with engines that check: the successor orders, the paused one's order comes late, and
/// the engine refuses it.
#[test]
fn a_paused_holders_order_is_refused_by_engines_that_check() {
    let mut site = Site::new(3, Fencing::Checks, 10);
    site.decide(all_prefill);
    site.slow = Duration::from_secs(1000);
    site.until("an order is on its way", |site| !site.flight.is_empty());
    let first = site.holder().expect("it gave the order");
    site.hold_back(Duration::from_hours(1));
    site.world.freeze(first);
    site.slow = Duration::from_millis(100);
    site.until("the successor's order is carried out", |site| {
        site.engines.iter().any(|engine| !engine.applied.is_empty())
    });
    site.hold_back(Duration::ZERO);
    site.until("the late order is refused", |site| {
        site.engines.iter().any(|engine| engine.refused > 0)
    });
    site.world.thaw(first);
    site.run(Duration::from_secs(30));
    site.check("a paused holder");
}

/// The holder is stopped as planned. It gives the pool back and takes its name out of the record,
/// so that the next holder need not wait for a lease to lapse nor for the process to be known
/// dead, also where engines take any order.
#[test]
fn a_planned_stop_gives_the_pool_back() {
    let mut site = Site::new(3, Fencing::Ignores, 17);
    site.run(Duration::from_secs(15));
    let first = site.holder().expect("a host holds the pool");
    let stop = Event::Stop(crate::core::event::StopEvent::Begin);
    site.world.feed(first, stop);
    assert_eq!(site.holder(), None);
    site.until("another holds the pool", |site| site.holder().is_some());
    let next = site.holder().expect("it was there");
    assert_ne!(next, first);
    let hold = &site.world.hosts[next].core.orders.pool(POOL).authority;
    assert!(hold.suspects.is_empty(), "{:?}", hold.suspects);
}

/// Two holders in a row lose the pool before they gave an order. Each take-over has its own
/// fencing number, also after the leased key has vanished.
#[test]
fn fencing_numbers_never_repeat() {
    let mut site = Site::new(3, Fencing::Checks, 11);
    let mut last = 0;
    for _ in 0..4 {
        site.until("somebody holds the pool", |site| site.holder().is_some());
        let at = site.holder().expect("it was there");
        let fence = site.world.hosts[at].core.orders.pool(POOL).authority.fence;
        assert!(fence > last, "{fence} after {last}");
        last = fence;
        site.world.freeze(at);
        site.run(LEASE * 4);
        site.world.thaw(at);
        site.run(LEASE * 4);
    }
}

/// Every answer of the key-value service is lost for a while, renewals' and take-overs' too. The
/// writes took effect all the same; nobody gives orders on a lease it does not know of, and work
/// goes on after it.
#[test]
fn lost_answers_end_no_authority_for_good() {
    let mut site = Site::new(3, Fencing::Checks, 12);
    site.decide(all_prefill);
    site.world.odds.lose = 1.0;
    site.run(LEASE * 5);
    assert_eq!(site.holder(), None);
    site.world.odds.lose = 0.0;
    site.until("an engine changes", |site| {
        site.engines
            .iter()
            .any(|engine| engine.role == Role::Prefill)
    });
    site.check("lost answers");
}

/// An engine crashes halfway through its change and comes back in its first role, the order
/// without effect. The holder sees it and gives the order again.
#[test]
fn a_crash_halfway_through_a_change_is_made_good() {
    let mut site = Site::new(3, Fencing::Checks, 13);
    site.engines[0].crashes = true;
    site.engines[1].crashes = true;
    site.engines[2].crashes = true;
    site.decide(all_prefill);
    site.until("the engine has its role", |site| {
        site.engines
            .iter()
            .any(|engine| engine.role == Role::Prefill)
    });
    let most = site.engines.iter().map(|engine| engine.applied.len()).max();
    assert_eq!(most, Some(2));
    site.check("a crash halfway");
}

/// The key-value service goes down between the record and the end of a change. The engine stays
/// withdrawn, nothing conflicts, and the change is finished on its return.
#[test]
fn an_outage_halfway_through_a_change_is_made_good() {
    let mut site = Site::new(3, Fencing::Checks, 14);
    site.decide(all_prefill);
    site.until("an order is carried out", |site| {
        site.engines.iter().any(|engine| !engine.applied.is_empty())
    });
    site.world.outage(true);
    site.run(Duration::from_secs(30));
    site.world.outage(false);
    site.until("the engine works again", |site| {
        site.engines[0].role == Role::Prefill && (0..3).all(|host| !site.withdrawn(host, 0))
            || site.engines[1].role == Role::Prefill && !site.withdrawn(0, 1)
    });
    site.check("an outage halfway");
}

/// A host sleeps while engines are withdrawn and ordered; what waits in its sockets when it wakes
/// is from before. It must not send work by what it knew.
#[test]
fn a_host_that_slept_takes_no_work_before_it_is_registered_anew() {
    let mut site = Site::new(3, Fencing::Checks, 15);
    site.run(Duration::from_secs(5));
    assert!(!member::cut_off(&site.world.hosts[1].core));
    let before = crate::core::event::StoreEvent::Watched(site.world.store.watched());
    site.world.freeze(1);
    site.world.feed(1, Event::Store(before));
    site.run(LEASE * 3);
    // All that waited in its sockets is taken in at this moment, and sounds like news; so does
    // its own registration, read just before it slept.
    site.world.thaw(1);
    assert!(member::cut_off(&site.world.hosts[1].core));
    site.until("it is registered anew", |site| {
        !member::cut_off(&site.world.hosts[1].core)
    });
}

/// The platform's list calls an engine leaving. From the next read on no host sends it work.
#[test]
fn a_leaving_engine_gets_no_new_work() {
    let mut site = Site::new(3, Fencing::Checks, 16);
    site.run(Duration::from_secs(5));
    assert!(site.open(0, 0, LEASE));
    site.leaving = Some(0);
    site.run(Duration::from_secs(1));
    for host in 0..3 {
        assert!(!site.open(host, 0, LEASE));
        assert!(site.open(host, 1, LEASE));
    }
}
