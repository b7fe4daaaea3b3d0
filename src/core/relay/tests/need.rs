//! Orders to fleets of many sizes: none while nobody waits, and more prefill engines once prompts do.

use super::planner::{acquire, plan, requested};
use super::*;
use crate::core::event::Job;
use crate::core::relay::RelayJob;
use crate::core::relay::event::EngineReport;
use crate::core::relay::instance::Work;

/// Engines a host of the fleets.
const ENGINES_A_HOST: std::ops::RangeInclusive<usize> = 3..=12;
/// One engine in so many prefills at first.
const ENGINES_A_PREFILL: usize = 3;
/// One engine of a stage in so many is lost.
const ENGINES_A_LOSS: usize = 10;
/// Plans for the whole fleet, and for the rest of it.
const PLANS: usize = 30;
/// Milliseconds between two plans.
const PLAN_MILLIS: u64 = 1_000;
/// Milliseconds without a prompt after which a fleet is known to be idle.
const QUIET_MILLIS: u64 = 1_200_000;
/// Prefill engines from which on none waits for another where half of them are busy.
const ENOUGH_PREFILL: usize = 8;

/// A fleet, whose engines carry out each order at once.
struct Fleet {
    site: TestHost,
    /// Stages of the remaining engines, by id.
    stages: BTreeMap<Box<str>, Stage>,
}

impl Fleet {
    /// Starts a host that has the authority, after `quiet` milliseconds without a prompt.
    fn new(hosts: usize, engines: usize, quiet: u64) -> Self {
        let mut site = TestHost::new();
        site.apply_changes(Changes {
            is_snapshot: true,
            ..Changes::default()
        });
        let stage = |at: usize| match at % ENGINES_A_PREFILL {
            0 => Stage::Prefill,
            _ => Stage::Decode,
        };
        let stages: BTreeMap<Box<str>, Stage> = (0..engines)
            .map(|at| (format!("e-{at:05}").into(), stage(at)))
            .collect();
        let entries = stages.iter().map(|(id, stage)| engine_entry(id, *stage));
        site.register(entries.collect());
        acquire(&mut site, 41);
        site.now += quiet;
        for host in 2..=hosts {
            let entry = r#"{"addr":"10.1.0.1:3","domain":"z"}"#;
            site.write_key(&format!("hosts/host-{host}"), Some(entry), 5);
        }
        Self { site, stages }
    }

    fn of(&self, stage: Stage) -> Vec<Box<str>> {
        let engines = self.stages.iter().filter(|(_, other)| **other == stage);
        engines.map(|(id, _)| id.clone()).collect()
    }

    /// Loses a tenth of the engines of a stage, at least one.
    fn lose(&mut self, stage: Stage) {
        let lost = self.of(stage);
        let lost = &lost[..lost.len().div_ceil(ENGINES_A_LOSS)];
        self.stages.retain(|id, _| !lost.contains(id));
        self.site.apply_changes(Changes {
            removed: lost.to_vec(),
            ..Changes::default()
        });
    }

    /// Spreads prompts over the prefill engines.
    fn spread(&mut self, prompts: usize) {
        let prefill = self.of(Stage::Prefill);
        let instances = &mut self.site.core.relay.instances;
        for instance in instances.arena.values_mut() {
            instance.own_work = Work::default();
        }
        for (at, id) in prefill.iter().enumerate() {
            let key = instances.find(id).expect("an engine");
            let calls = (prompts + at) / prefill.len();
            instances.arena[key].own_work.calls = calls.try_into().expect("few prompts");
        }
    }

    /// Plans with so many prompts at the prefill engines; returns the number of orders.
    fn plan(&mut self, prompts: usize) -> usize {
        let mut orders = 0;
        for _ in 0..PLANS {
            self.spread(prompts);
            self.site.now += PLAN_MILLIS;
            let job = RelayJob::AuthorityLease(Time::from_millis(self.site.now));
            let job = Job::Relay(job, 0);
            self.site.store_reply(job, StoreResult::Lease(9));
            plan(&mut self.site);
            for id in requested(&self.site) {
                orders += usize::from(self.report(&id));
            }
        }
        orders
    }

    /// Reports an engine's state and carries out the order that follows; returns whether one does.
    fn report(&mut self, id: &str) -> bool {
        let report = EngineReport {
            stage: self.stages[id],
            busy: false,
            orders: 0,
        };
        self.site.event(RelayEvent::EngineReported {
            instance: id.into(),
            report: Some(report),
        });
        let ordered = self.site.out.iter().find_map(|effect| match effect {
            Effect::Relay(RelayEffect::Order(order)) => Some(order.stage),
            _ => None,
        });
        if let Some(stage) = ordered {
            self.stages.insert(id.into(), stage);
            self.site.register(vec![engine_entry(id, stage)]);
        }
        ordered.is_some()
    }
}

/// Load of a fleet, relative to the prefill engines that it starts with.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Load {
    /// No prompts since the host started, just before.
    New,
    /// No prompts for minutes.
    Idle,
    /// A prompt for every other prefill engine.
    Half,
    /// Three prompts for each prefill engine.
    Burst,
    /// A prompt for each prefill engine, and none from before engines are lost.
    Past,
}

impl Load {
    fn prompts(self, prefill: usize) -> usize {
        match self {
            Self::New | Self::Idle => 0,
            Self::Half => prefill / 2,
            Self::Burst => prefill * 3,
            Self::Past => prefill,
        }
    }
}

/// Checks the orders to the fleets of so many hosts with [`ENGINES_A_HOST`] engines each.
fn check(hosts: usize, load: Load, lost: Stage) {
    for engines in ENGINES_A_HOST {
        let quiet = if load == Load::New { 0 } else { QUIET_MILLIS };
        let mut fleet = Fleet::new(hosts, hosts * engines, quiet);
        let prompts = load.prompts(fleet.of(Stage::Prefill).len());
        let before = fleet.plan(prompts);
        fleet.lose(lost);
        let left = fleet.of(Stage::Prefill).len();
        let after = fleet.plan(if load == Load::Past { 0 } else { prompts });
        let case = format!("{hosts} hosts, {engines} engines each: {before}, {after} orders");
        // Requests need an engine of each stage, whatever the load is.
        let missing = usize::from(left == 0);
        match load {
            // What traffic comes is not known: few engines may soon be all busy.
            Load::New => assert!(
                before + after == missing || fleet.of(Stage::Prefill).len() <= ENOUGH_PREFILL,
                "{case}"
            ),
            Load::Idle => assert_eq!((before, after), (0, missing), "{case}"),
            // Where half of many engines are free, no prompt waits; a few engines are all busy at times.
            Load::Half => assert!(before + after <= 2 + missing, "{case}"),
            Load::Burst => {
                let (prefill, all) = (fleet.of(Stage::Prefill).len(), fleet.stages.len());
                assert!(prefill >= all / 2, "{case}, {prefill} of {all} prefill");
            }
            Load::Past => {
                let is_full = fleet.of(Stage::Prefill).len() >= fleet.stages.len() / 2;
                assert!(after > 0 || is_full, "{case}");
            }
        }
    }
}

/// Generates a test for each number of hosts, load, and stage that loses engines.
macro_rules! fleets {
    ($($name:ident: $hosts:literal, $load:ident, $lost:ident;)*) => {$(
        #[test]
        fn $name() {
            check($hosts, Load::$load, Stage::$lost);
        }
    )*};
}

// Pattern: a tenth of the engines of a stage is lost. Guards against orders from which no caller gains: each takes an
// engine away for seconds, and a fleet of thousands of engines gives hundreds of them.
fleets! {
    an_idle_host_orders_nothing_after_losing_prefill_engines: 1, Idle, Prefill;
    an_idle_host_orders_nothing_after_losing_decode_engines: 1, Idle, Decode;
    nine_idle_hosts_order_nothing_after_losing_prefill_engines: 9, Idle, Prefill;
    nine_idle_hosts_order_nothing_after_losing_decode_engines: 9, Idle, Decode;
    forty_five_idle_hosts_order_nothing_after_losing_prefill_engines: 45, Idle, Prefill;
    forty_five_idle_hosts_order_nothing_after_losing_decode_engines: 45, Idle, Decode;
    three_hundred_idle_hosts_order_nothing_after_losing_prefill_engines: 300, Idle, Prefill;
    three_hundred_idle_hosts_order_nothing_after_losing_decode_engines: 300, Idle, Decode;
    a_host_orders_little_at_half_load: 1, Half, Prefill;
    a_host_orders_little_at_half_load_after_losing_decode_engines: 1, Half, Decode;
    nine_hosts_order_little_at_half_load: 9, Half, Prefill;
    nine_hosts_order_little_at_half_load_after_losing_decode_engines: 9, Half, Decode;
    forty_five_hosts_order_little_at_half_load: 45, Half, Prefill;
    forty_five_hosts_order_little_at_half_load_after_losing_decode_engines: 45, Half, Decode;
    three_hundred_hosts_order_little_at_half_load: 300, Half, Prefill;
    three_hundred_hosts_order_little_at_half_load_after_losing_decode_engines: 300, Half, Decode;
}

// Guards against a start of a large fleet that orders as many engines as that of a small one, relative to its size.
fleets! {
    a_new_host_orders_few: 1, New, Prefill;
    nine_new_hosts_order_few: 9, New, Prefill;
    forty_five_new_hosts_order_nothing: 45, New, Prefill;
    three_hundred_new_hosts_order_nothing: 300, New, Prefill;
}

// Pattern: more prompts than prefill engines, now or before a tenth of the engines of a stage was lost. Guards against
// a rule that keeps idle fleets from orders and keeps prompts waiting.
fleets! {
    a_host_orders_in_a_burst: 1, Burst, Prefill;
    a_host_orders_in_a_burst_after_losing_decode_engines: 1, Burst, Decode;
    nine_hosts_order_in_a_burst: 9, Burst, Prefill;
    nine_hosts_order_in_a_burst_after_losing_decode_engines: 9, Burst, Decode;
    forty_five_hosts_order_in_a_burst: 45, Burst, Prefill;
    forty_five_hosts_order_in_a_burst_after_losing_decode_engines: 45, Burst, Decode;
    three_hundred_hosts_order_in_a_burst: 300, Burst, Prefill;
    three_hundred_hosts_order_in_a_burst_after_losing_decode_engines: 300, Burst, Decode;
    a_host_orders_for_the_traffic_of_before: 1, Past, Prefill;
    nine_hosts_order_for_the_traffic_of_before: 9, Past, Prefill;
    forty_five_hosts_order_for_the_traffic_of_before: 45, Past, Prefill;
    three_hundred_hosts_order_for_the_traffic_of_before: 300, Past, Prefill;
}
