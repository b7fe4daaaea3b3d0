//! Orders to engines, checked against the engines' own logs.

use std::net::SocketAddr;
use std::time::Duration;

use chiveway::store::{Op, Span, Store, Txn};
use serde_json::{Value, json};

use crate::support::http::send;
use crate::support::proxy::FaultProxy;
use crate::support::{Fleet, FleetConfig, MODEL, inject_fault, open_completion, wait_for};

const ENGINE: &str = "raadgiver-1";
/// Prefix of the keys of recorded orders.
const INTENT_PREFIX: &str = "chiveway/d/intent/raadgiver/";
/// Attempts to hold an order back.
const MAX_ATTEMPTS: usize = 5;
/// Key of the pool's holder.
const HOLDER_KEY: &str = "chiveway/w/holder/raadgiver";

/// Reads a key, or commits operations, with the hosts' own client of the key-value service.
fn store(kv: SocketAddr, then: Vec<Op>) -> Option<String> {
    let request = async move {
        let store = Store::new(vec![kv], Duration::from_secs(5)).await;
        if let [Op::Get(span)] = &*then {
            let range = store.range(span.clone()).await.ok()?;
            let value = &range.pairs.first()?.value;
            return Some(String::from_utf8_lossy(value).into_owned());
        }
        let txn = Txn {
            then,
            ..Txn::default()
        };
        // An injected fault may lose this answer; the write takes effect.
        drop(store.txn(txn).await);
        None
    };
    ntex::rt::System::new("test", ntex::rt::DefaultRuntime).block_on(request)
}

fn stored(fleet: &Fleet, key: &str) -> Value {
    let get = Op::Get(Span::Key(key.into()));
    let value = store(fleet.kv_addr, vec![get]);
    value.map_or(Value::Null, |text| {
        serde_json::from_str(&text).unwrap_or_default()
    })
}

/// Records an order, as a holder does before it crashes, and deletes the pool's holder.
fn leave_order(fleet: &Fleet, role: &str) {
    let key = format!("{INTENT_PREFIX}{ENGINE}").into();
    let value = json!({"fence": 0, "order": 0, "role": role}).to_string();
    let put = Op::Put {
        key,
        value: value.into(),
        lease: 0,
    };
    let delete = Op::Delete(Span::Key(HOLDER_KEY.into()));
    store(fleet.kv_addr, vec![put, delete]);
}

/// Returns the orders that an engine received, in order of arrival.
fn orders(engine: SocketAddr) -> Vec<Value> {
    let log = send(engine, "GET", "/log", &[], &[]).expect("the stand-in responds");
    log.json()["orders"].as_array().cloned().unwrap_or_default()
}

fn backend(fleet: &Fleet, host: usize, name: &str) -> Value {
    let status = fleet.status(host);
    let backends = status["backends"].as_array().cloned().unwrap_or_default();
    let mut matches = backends
        .into_iter()
        .filter(|backend| backend["name"] == name);
    matches.next().unwrap_or_default()
}

fn has_holder(fleet: &Fleet) -> bool {
    stored(fleet, HOLDER_KEY)["host"].is_string()
}

/// Waits until a host lists the engine as serving in a role.
fn wait_until_serving(fleet: &Fleet, host: usize, role: &str) {
    wait_for("the engine serves in its new role", || {
        let engine = backend(fleet, host, ENGINE);
        engine["routed"] == "serving" && engine["role"] == role
    });
}

fn config(hosts: usize, engines: usize, fencing: &'static str) -> FleetConfig {
    FleetConfig {
        hosts,
        engines,
        fencing,
        services: 0,
        limits: "cut-off = 1s\n".into(),
        ..FleetConfig::default()
    }
}

/// Holds an order back in a proxy in front of the engine, pauses its sender, the pool's holder,
/// until its lease expires, and waits until a second host takes over. Returns the deployment, the
/// engine's own address and the proxy that holds the order.
///
/// On a busy machine the order may pass before the proxy is silenced; the setup is then retried.
fn paused_holder(fencing: &'static str) -> (Fleet, SocketAddr, FaultProxy) {
    let mut attempts = std::iter::repeat_with(|| try_paused_holder(fencing)).take(MAX_ATTEMPTS);
    let paused = attempts.find_map(|paused| paused);
    paused.expect("an order is held back")
}

fn try_paused_holder(fencing: &'static str) -> Option<(Fleet, SocketAddr, FaultProxy)> {
    let mut fleet = Fleet::start(config(1, 1, fencing));
    let engine = fleet.backends[0].addr;
    let proxy = FaultProxy::start(engine);
    fleet.backends[0].addr = proxy.addr;
    fleet.publish_listing(|_| "live");
    wait_for("the host uses the proxy's address", || {
        backend(&fleet, 0, ENGINE)["addr"] == proxy.addr.to_string()
    });
    wait_for("the host holds the pool", || has_holder(&fleet));

    // The lost answer delays the order, so that the proxy can be silenced before it is sent.
    leave_order(&fleet, "prefill");
    fleet.inject_kv_fault(&json!({"lose_answers": 1, "lose_key": INTENT_PREFIX}));
    wait_for("the order is recorded", || {
        // A starved host may lose the pool and take it again, with a higher number each time.
        let order = stored(&fleet, &format!("{INTENT_PREFIX}{ENGINE}"));
        order["fence"].as_u64() >= Some(2) && order["fence"] == stored(&fleet, HOLDER_KEY)["fence"]
    });
    proxy.silence();
    wait_for("the order is sent", || {
        proxy.holds("POST /order") || !orders(engine).is_empty()
    });
    if !orders(engine).is_empty() {
        return None;
    }
    fleet.hosts[0].process.freeze();
    fleet.backends[0].addr = engine;
    fleet.publish_listing(|_| "live");
    fleet.add_host("host-2");
    wait_for("the second host holds the pool", || {
        stored(&fleet, HOLDER_KEY)["host"] == "host-2"
    });
    Some((fleet, engine, proxy))
}

/// An order of a paused holder reaches the engine after a second host took over. The engine checks
/// fencing numbers: it must apply the second host's order and refuse the late one.
#[test]
fn a_late_order_has_no_effect_at_an_engine_that_checks() {
    let (fleet, engine, proxy) = paused_holder("checks");
    wait_for("the engine receives the second host's order", || {
        orders(engine)
            .iter()
            .any(|order| order["holder"] == "host-2")
    });
    proxy.restore();
    wait_for("the late order arrives", || {
        orders(engine)
            .iter()
            .any(|order| order["holder"] == "host-1")
    });
    fleet.hosts[0].process.thaw();
    wait_for("the resumed host is ready", || {
        fleet.status(0)["ready"] == true
    });
    wait_until_serving(&fleet, 0, "prefill");
    wait_until_serving(&fleet, 1, "prefill");
    for order in orders(engine) {
        let result = if order["holder"] == "host-2" {
            "applied"
        } else {
            "refused"
        };
        assert_eq!(order["result"], result, "{order}");
    }
}

/// The engine does not check fencing numbers. The second host must send no order while the paused
/// host may still have one in transit, and no different one after the paused host was killed.
#[test]
fn late_order_is_the_only_one_at_an_engine_without_fencing() {
    let (mut fleet, engine, proxy) = paused_holder("ignores");
    proxy.restore();
    wait_for("the late order arrives", || !orders(engine).is_empty());
    assert!(backend(&fleet, 1, ENGINE)["routed"] == "withdrawn");
    fleet.hosts[0].process.kill();
    wait_until_serving(&fleet, 1, "prefill");
    let orders = orders(engine);
    assert!(
        orders.iter().all(|order| order["holder"] == "host-1"),
        "{orders:?}"
    );
    assert!(
        orders
            .iter()
            .all(|order| order["action"] == orders[0]["action"])
    );
}

/// Two take-overs take effect, but their answers are lost. Each must get a higher fencing number,
/// and the engine must receive a single order.
#[test]
fn two_takeovers_with_lost_answers_give_one_order() {
    let fleet = Fleet::start(config(2, 1, "checks"));
    let engine = fleet.backends[0].addr;
    wait_for("a host holds the pool", || has_holder(&fleet));
    let mut last_fence = 0;
    for _ in 0..2 {
        let fence = stored(&fleet, HOLDER_KEY)["fence"].as_u64().unwrap_or(0);
        assert!(
            fence > last_fence,
            "fencing number {fence} after {last_fence}"
        );
        last_fence = fence;
        // Loses the answer to this test's own write and the one to the take-over.
        fleet.inject_kv_fault(&json!({"lose_answers": 2, "lose_key": HOLDER_KEY}));
        leave_order(&fleet, "decode");
        wait_for("a host takes over the pool", || {
            stored(&fleet, HOLDER_KEY)["fence"].as_u64() > Some(last_fence)
        });
    }
    wait_until_serving(&fleet, 0, "decode");
    wait_until_serving(&fleet, 1, "decode");
    let orders = orders(engine);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0]["result"], "applied");
}

/// The engine crashes during a change of role and is restarted at another address in its first
/// role. The holder must see that role in its report and send the order again, with a new number.
#[test]
fn engine_crashed_during_change_is_ordered_again() {
    let mut fleet = Fleet::start(config(1, 2, "checks"));
    let engine = fleet.backends[0].addr;
    wait_for("the host holds the pool", || has_holder(&fleet));
    inject_fault(engine, &json!({"crash_mid_change": true}));
    leave_order(&fleet, "decode");
    fleet.backends[0].process.wait_for_exit();
    fleet.add_engine(ENGINE);
    fleet.backends.swap_remove(0);
    fleet.publish_listing(|_| "live");
    wait_until_serving(&fleet, 0, "decode");
    let mut engines = fleet.engines().filter(|engine| engine.name == ENGINE);
    let orders = orders(engines.next().expect("the engine was added").addr);
    assert_eq!(orders.len(), 1, "{orders:?}");
    assert_eq!(orders[0]["order"], 2);
}

/// The key-value service fails after the engine was withdrawn and recovers. The other engine must
/// serve requests, and the change of role must then be completed once.
#[test]
fn role_change_completes_after_a_store_outage() {
    let fleet = Fleet::start(config(1, 2, "checks"));
    let engine = fleet.backends[0].addr;
    wait_for("the host holds the pool", || has_holder(&fleet));
    let text = "a clause";
    leave_order(&fleet, "decode");
    wait_for("the engine is withdrawn", || {
        backend(&fleet, 0, ENGINE)["routed"] == "withdrawn"
    });
    fleet.inject_kv_fault(&json!({"down": true}));
    wait_for("the host reports the store as down", || {
        fleet.status(0)["store"] == "down"
    });
    fleet.inject_kv_fault(&json!({"down": false}));
    wait_for("the host reports the store as up", || {
        fleet.status(0)["store"] == "up"
    });
    let answer = open_completion(fleet.hosts[0].callers, text, 20, false);
    assert_eq!(answer.map(|answer| answer.status), Some(200));
    wait_until_serving(&fleet, 0, "decode");
    let applied = orders(engine);
    let applied = applied.iter().filter(|order| order["result"] == "applied");
    assert_eq!(applied.count(), 1);
}

/// An engine is to change its role while it streams long answers. The order must wait until they
/// are complete, else the callers would receive truncated answers.
#[test]
fn role_change_waits_for_running_answers() {
    let mut config = config(2, 1, "checks");
    config.engine_args = vec!["--decode-cost".into(), "5ms".into()];
    let fleet = Fleet::start(config);
    let engine = fleet.backends[0].addr;
    wait_for("a host holds the pool", || has_holder(&fleet));
    let answers: Vec<_> = (0..2)
        .map(|host| open_completion(fleet.hosts[host].callers, "a long briefing", 400, true))
        .map(|answer| answer.expect("the host answers"))
        .collect();
    leave_order(&fleet, "decode");
    for answer in answers {
        assert_eq!(answer.status, 200);
        let answer = answer.rest();
        let completion = chiveway::standin::engine::expected(MODEL, "a long briefing", 400);
        assert_eq!(chiveway::trial::stream_text(&answer.body), Some(completion));
    }
    wait_for("the engine receives the order", || {
        !orders(engine).is_empty()
    });
    wait_until_serving(&fleet, 0, "decode");
    let log = send(engine, "GET", "/log", &[], &[]).expect("the stand-in responds");
    let runs = log.json()["runs"].as_array().cloned().unwrap_or_default();
    assert!(runs.iter().all(|run| run["end"] == "done"), "{runs:?}");
}
