//! Set-up of the real cores of the hosts, and the events that they receive.

use std::net::SocketAddr;

use chiveway::core::event::{
    Entry, EntryKind, Event, FleetEvent, Health, Report, Role, StoreEvent, WatchedKey,
};
use chiveway::core::fleet::ServingState;
use chiveway::core::{Core, Effects, Time};
use chiveway::lists::{KeyHash, KeyIndex, Lists, Plans, Uses};
use chiveway::settings::Settings;

use crate::engine::{
    BATCH_SLOTS, DECODE_TOKENS_PER_SEC, Load, PREFILL_TOKENS_PER_SEC, TOKENS_PER_BLOCK,
};
use crate::trace::{CUSTOMER_COUNT, Case, PLANS};

/// Wall clock at the start of a run, in milliseconds since the Unix epoch.
const EPOCH_MS: u64 = 1_700_000_000_000;
/// Request quota per second of the hot customer's plan.
const HOT_REQUESTS_PER_SEC: f64 = 16.0;
/// Number of failure domains.
const FAILURE_DOMAINS: usize = 3;

/// Returns the name of a host.
pub fn host_name(at: usize) -> String {
    format!("host-{at}")
}

/// Returns the address of an engine.
pub fn engine_addr(at: usize) -> SocketAddr {
    let port = u16::try_from(9000 + at).expect("ports of all engines fit in 16 bits");
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Returns the index of the engine with this address.
pub fn engine_at(addr: SocketAddr) -> usize {
    usize::from(addr.port()) - 9000
}

/// Returns the name of an engine.
pub fn engine_name(at: usize) -> String {
    format!("engine-{at:04}")
}

/// Returns the key hash of a customer.
pub fn key_hash(customer: usize) -> KeyHash {
    KeyHash::of(&format!("customer-{customer}-key"))
}

/// Returns the index of a customer's plan; the hot customer has the last plan to itself.
pub fn plan_index(customer: usize) -> usize {
    if customer + 1 == CUSTOMER_COUNT {
        PLANS.len() - 1
    } else {
        customer % (PLANS.len() - 1)
    }
}

fn domain(at: usize) -> String {
    format!("domain-{}", at % FAILURE_DOMAINS)
}

/// Creates the settings of one host.
pub fn settings(case: &Case, at: usize) -> Settings {
    let site = case.site;
    let text = format!(
        "[host]\nname = {}\nregion = region\ndomain = {}\ncallers = 127.0.0.1:{}\n\
         operators = 127.0.0.1:{}\npeers = 127.0.0.1:{}\n\
         secret = a-secret-for-one-process-only\noperator-key-hash = {}\n\
         [platform]\nkv = 127.0.0.1:2379\nlist = 127.0.0.1:8500\n\
         [pool {}]\nmodel = {}\nfencing = checks\nsplit = yes\ngoodput = {}\nchange = {}\n\
         prefill = {PREFILL_TOKENS_PER_SEC}\ndecode = {DECODE_TOKENS_PER_SEC}\n\
         slots = {BATCH_SLOTS}\npiece = {TOKENS_PER_BLOCK}\n",
        host_name(at),
        domain(at),
        10_000 + at,
        11_000 + at,
        12_000 + at,
        KeyHash::of("operator"),
        site.model,
        site.model,
        site.goodput_weight,
        site.change_cost,
    );
    Settings::parse(&text, "bench").expect("the generated settings are valid")
}

/// Creates the lists of customers and of plans.
pub fn lists(case: &Case) -> Lists {
    let customers = (0..CUSTOMER_COUNT).map(|at| {
        let (plan, key) = (PLANS[plan_index(at)], key_hash(at));
        format!("[customer c{at}]\nplan = {plan}\nkeys = {key}\n")
    });
    let plans = PLANS.iter().enumerate().map(|(at, name)| {
        let model = case.site.model;
        let limit = if case.hot_fraction > 0.0 && at == plan_index(CUSTOMER_COUNT - 1) {
            format!("requests = {HOT_REQUESTS_PER_SEC}/s\n")
        } else {
            String::new()
        };
        format!("[plan {name}]\nmodels = {model}\nservices =\npriority = 5\n{limit}")
    });
    Lists {
        revision: 1,
        plans: Plans::parse(&customers.collect::<String>(), "bench")
            .expect("the generated plans are valid"),
        uses: Uses::parse(&plans.collect::<String>(), "bench")
            .expect("the generated uses are valid"),
    }
}

/// Starts the cores of all hosts; appends their effects to `out` with the index of the host.
pub fn start_cores(case: &Case, seed: u64, out: &mut Vec<(usize, Effects)>) -> Vec<Core> {
    let lists = lists(case);
    let mut cores: Vec<Core> = (0..case.site.hosts)
        .map(|at| {
            let settings = settings(case, at);
            let mut core = Core::new(settings, Time::default(), EPOCH_MS, seed + at as u64);
            core.config.index = KeyIndex::new(&lists);
            core.config.lists = lists.clone();
            core
        })
        .collect();
    let registered: Vec<WatchedKey> = cores.iter().map(registration).collect();
    for (at, core) in cores.iter_mut().enumerate() {
        let mut effects = Effects::new();
        let now = Time::default();
        core.reduce(now, Event::Start, &mut effects);
        core.reduce(
            now,
            Event::Store(StoreEvent::Health(Health::Up)),
            &mut effects,
        );
        let watched = StoreEvent::Watched(registered.clone());
        core.reduce(now, Event::Store(watched), &mut effects);
        out.push((at, effects));
    }
    cores
}

fn registration(core: &Core) -> WatchedKey {
    let host = &core.settings.host;
    let value = format!(
        "{{\"addr\":\"{}\",\"region\":\"{}\",\"domain\":\"{}\",\"incarnation\":{}}}",
        host.peers,
        host.region,
        host.domain,
        core.members.incarnation()
    );
    WatchedKey {
        key: format!("host/{}", host.name).into(),
        value: Some(value.into_bytes().into()),
        modified: 1,
    }
}

/// Returns the event with the platform's list of engines.
pub fn listing(case: &Case, leaving: &[bool]) -> FleetEvent {
    let entries = leaving.iter().enumerate().map(|(at, &leaving)| Entry {
        name: engine_name(at).into(),
        kind: EntryKind::Engine,
        pool: case.site.model.into(),
        addr: engine_addr(at),
        domain: domain(at).into(),
        leaving,
    });
    FleetEvent::Listed(entries.collect())
}

/// Returns the event with an engine's load report.
pub fn load_report(at: usize, load: Load, role: Role, age_ms: u32) -> FleetEvent {
    let report = Report {
        running: load.running,
        waiting: load.waiting,
        queued_prefill: load.queued_prefill,
        role,
        age_ms,
        ..Report::default()
    };
    FleetEvent::Report {
        name: engine_name(at).into(),
        report: Some(report),
    }
}

/// Sets the serving state and the role by which a host routes to an engine.
pub fn set_route(core: &mut Core, engine: usize, routed: ServingState, role: Role) {
    if let Some(key) = core.fleet.find(&engine_name(engine)) {
        let engine = &mut core.fleet.arena[key];
        engine.routed = routed;
        engine.role = role;
    }
}
