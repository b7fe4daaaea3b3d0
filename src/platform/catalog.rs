//! Decoding of the operator's configuration from the platform's format.

use std::rc::Rc;
use std::time::Duration;

use serde_json::Value;

use super::{millis, secs, whole_number};
use crate::core::relay::catalog::{
    Access, Catalog, Engine, InputLimits, RetryPolicy, Route, Scaling, Service,
};
use crate::core::relay::customers::{Customer, Customers};
use crate::lists::KeyHash;

/// Timeout of requests on routes that set none; well above the timeouts in use.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Target latency of routes that set none.
const DEFAULT_LATENCY_TARGET: Duration = Duration::from_secs(1);

/// Decodes a configuration; `None` if it is not valid.
#[must_use]
pub fn decode(bytes: &[u8]) -> Option<Catalog> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    let routes = value["routes"].as_array()?;
    let services = value["services"].as_array()?;
    let services = services
        .iter()
        .filter_map(|service| Some((service["name"].as_str()?.into(), self::service(service))));
    let mut limits = InputLimits::default();
    if let Some(body) = whole_number(&value["limits"]["maxBodyBytes"]) {
        limits.max_body = usize::try_from(body).unwrap_or(limits.max_body);
    }
    Some(Catalog {
        version: whole_number(&value["version"])?,
        routes: routes.iter().filter_map(route).collect(),
        services: services.collect(),
        limits,
        customers: customers(&value["tenants"]),
    })
}

/// Decodes the customers; `None` if the configuration has none, so that callers need no key.
fn customers(value: &Value) -> Option<Rc<Customers>> {
    let mut customers = Customers::default();
    for tenant in value.as_array()? {
        let Some(name) = tenant["name"].as_str() else {
            log::warn!(target: "chiveway::config.unreadable", "ignoring a customer without a name");
            continue;
        };
        let customer = Customer {
            name: name.into(),
            rank: whole_number(&tenant["priority"]).map(rank),
        };
        let keys = tenant["apiKeys"].as_array().into_iter().flatten();
        let keys = keys.filter_map(|key| Some(KeyHash::of(key.as_str()?)));
        customers.add(customer, keys);
    }
    Some(Rc::new(customers))
}

/// Returns the rank of a priority.
fn rank(priority: u64) -> u8 {
    u8::try_from(priority).unwrap_or(9)
}

fn route(value: &Value) -> Option<Route> {
    let kind = value["type"].as_str()?;
    let resumable = value["resumable"].as_bool().unwrap_or(false);
    let streaming = kind == "streaming";
    let retry = if kind == "idempotent" || streaming && resumable {
        RetryPolicy::Idempotent
    } else {
        RetryPolicy::Once
    };
    let target = millis(&value["targetLatencyMs"]).unwrap_or(DEFAULT_LATENCY_TARGET);
    Some(Route {
        name: value["name"].as_str().unwrap_or_default().into(),
        host: value["hostname"].as_str()?.to_ascii_lowercase().into(),
        prefix: value["prefix"].as_str()?.into(),
        streaming,
        retry,
        resumable: streaming && resumable,
        timeout: millis(&value["timeoutMs"]).unwrap_or(DEFAULT_TIMEOUT),
        target,
        gap_target: millis(&value["gapTargetMs"]).unwrap_or(target),
        rank: whole_number(&value["priority"]).map_or(5, self::rank),
        access: match value["public"].as_bool() {
            Some(true) => Access::Public,
            _ => Access::Keyed,
        },
        split: split(value)?,
        max_attempts: whole_number(&value["maxAttempts"])
            .and_then(|count| u32::try_from(count).ok())
            .unwrap_or(1)
            .max(1),
    })
}

/// Returns the services of a route with their weights.
fn split(route: &Value) -> Option<Vec<(Box<str>, u32)>> {
    if let Some(entries) = route["trafficSplit"].as_array() {
        let services = entries.iter().filter_map(|entry| {
            let weight = u32::try_from(whole_number(&entry["weight"])?).ok()?;
            Some((entry["service"].as_str()?.into(), weight))
        });
        let services: Vec<_> = services.collect();
        if !services.is_empty() {
            return Some(services);
        }
    }
    Some(vec![(route["service"].as_str()?.into(), 1)])
}

fn service(value: &Value) -> Service {
    let connections = whole_number(&value["maxConnections"]).unwrap_or(0);
    Service {
        max_connections: u32::try_from(connections).unwrap_or(u32::MAX),
        health: value["healthPath"].as_str().unwrap_or_default().into(),
        engine: engine(&value["engine"]),
        scaling: scaling(&value["scaling"]),
    }
}

fn scaling(value: &Value) -> Option<Scaling> {
    let count = |value| u32::try_from(whole_number(value)?).ok();
    let prices = value["zonePrices"].as_object()?;
    let prices = prices
        .iter()
        .map(|(zone, price)| Some((zone.as_str().into(), price.as_f64()?)));
    Some(Scaling {
        min: count(&value["min"])?,
        max: count(&value["max"])?,
        boot: secs(&value["bootS"]).unwrap_or_default(),
        spot_price: value["spotPrice"].as_f64(),
        prices: prices.collect::<Option<_>>()?,
    })
}

fn engine(value: &Value) -> Option<Engine> {
    value.as_object()?;
    Some(Engine {
        kv_capacity: whole_number(&value["kvCapacity"]).unwrap_or(0),
        token_bytes: whole_number(&value["kvBytes"]).unwrap_or(0),
        link_mbps: value["linkMbps"].as_f64().unwrap_or(0.0),
        switch_time: secs(&value["switchS"]).unwrap_or_default(),
    })
}
