//! Counts and histograms, by opentelemetry with its Prometheus exporter.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter as Otel, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::core::effect::Meter;
use crate::settings::Settings;
use crate::store::CallCounts;

/// Customers with histograms of their own; all others share one.
///
/// Each series stays in memory for the life of the process: thousands of customers must not
/// become thousands of histograms.
const NAMED: usize = 32;
/// Requests after which a customer counts as busy.
const BUSY: u32 = 50;
/// Customers whose requests are counted to find the busy ones.
const WATCHED: usize = 1024;
/// Label of all customers without a name of their own.
const OTHERS: &str = "other";
/// Bounds of the histograms of seconds.
const BOUNDS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.049, 0.1, 0.2, 0.4, 0.78, 1.5, 3.0, 6.0, 15.0, 60.0, 300.0,
];

/// Every instrument of a host.
#[derive(Debug)]
pub struct Meters {
    registry: Registry,
    _provider: SdkMeterProvider,
    first: Histogram<f64>,
    between: Histogram<f64>,
    queued: Histogram<f64>,
    lasted: Histogram<f64>,
    retried: Counter<u64>,
    ordered: Counter<u64>,
    calls: Counter<u64>,
    age: Gauge<f64>,
    era: Gauge<u64>,
    unlisted: Gauge<u64>,
    limited: Gauge<u64>,
    seen: Cell<CallCounts>,
    customers: RefCell<BTreeMap<Box<str>, u32>>,
    named: RefCell<Vec<Box<str>>>,
}

fn seconds(meter: &Otel, name: &'static str, about: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(about)
        .with_unit("s")
        .with_boundaries(BOUNDS.to_vec())
        .build()
}

impl Meters {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns the library's error if the exporter cannot be made.
    pub fn new(settings: &Settings) -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("chiveway");
        log::debug!("meters of {} are ready", settings.host.name);
        let counter = |name: &'static str, about: &'static str| {
            meter.u64_counter(name).with_description(about).build()
        };
        Ok(Self {
            first: seconds(&meter, "chiveway_first_token", "Arrival to the first token"),
            between: seconds(&meter, "chiveway_between_tokens", "Token to token"),
            queued: seconds(&meter, "chiveway_queued", "Arrival to a back end"),
            lasted: seconds(
                &meter,
                "chiveway_requests",
                "Arrival to the end, by outcome",
            ),
            retried: counter("chiveway_retries", "Attempts beyond the first"),
            ordered: counter("chiveway_orders", "Orders given to engines"),
            calls: counter("chiveway_store_calls", "Calls of the key-value service"),
            age: meter
                .f64_gauge("chiveway_store_view_age")
                .with_description("Time since all that the key-value service held was known")
                .with_unit("s")
                .build(),
            era: meter
                .u64_gauge("chiveway_store_era")
                .with_description("Era of the key-value service")
                .build(),
            unlisted: meter
                .u64_gauge("chiveway_backends_unlisted")
                .with_description("Backend servers that get work while their entries are missing")
                .build(),
            limited: meter
                .u64_gauge("chiveway_backends_limited")
                .with_description("Backend servers that name a limit")
                .build(),
            registry,
            _provider: provider,
            seen: Cell::default(),
            customers: RefCell::default(),
            named: RefCell::default(),
        })
    }

    /// Counts or times one thing.
    pub fn count(&self, meter: &Meter) {
        match meter {
            Meter::Ended {
                class,
                customer,
                outcome,
                lasted,
            } => {
                let labels = [
                    label("class", class),
                    self.customer(customer),
                    KeyValue::new("outcome", *outcome),
                ];
                self.lasted.record(lasted.as_secs_f64(), &labels);
            }
            Meter::First {
                class,
                customer,
                after,
            } => {
                let labels = [label("class", class), self.customer(customer)];
                self.first.record(after.as_secs_f64(), &labels);
            }
            Meter::Between { class, gap } => {
                self.between
                    .record(gap.as_secs_f64(), &[label("class", class)]);
            }
            Meter::Queued { class, after } => {
                self.queued
                    .record(after.as_secs_f64(), &[label("class", class)]);
            }
            Meter::Retried { class } => self.retried.add(1, &[label("class", class)]),
            Meter::Ordered { pool } => self.ordered.add(1, &[label("pool", pool)]),
        }
    }

    /// Returns the customer's own label, or the label of all others.
    fn customer(&self, customer: &str) -> KeyValue {
        let mut named = self.named.borrow_mut();
        if named.iter().any(|name| &**name == customer) {
            return label("customer", customer);
        }
        if named.len() < NAMED && !customer.is_empty() {
            let mut customers = self.customers.borrow_mut();
            if customers.len() >= WATCHED && !customers.contains_key(customer) {
                customers.clear();
            }
            let count = customers.entry(customer.into()).or_default();
            *count += 1;
            if *count >= BUSY {
                named.push(customer.into());
            }
        }
        label("customer", OTHERS)
    }

    /// Takes in the counts of calls to the key-value service.
    pub fn store(&self, now: &CallCounts) {
        let seen = self.seen.replace(*now);
        for (kind, now, seen) in [
            ("range", now.range, seen.range),
            ("probe", now.probe, seen.probe),
            ("txn", now.txn, seen.txn),
            ("grant", now.grant, seen.grant),
            ("keepalive", now.keepalive, seen.keepalive),
            ("revoke", now.revoke, seen.revoke),
            ("watch", now.watch, seen.watch),
            ("hosts", now.hosts, seen.hosts),
            ("refused", now.refused, seen.refused),
            ("unknown", now.unknown, seen.unknown),
        ] {
            self.calls
                .add(now.saturating_sub(seen), &[KeyValue::new("kind", kind)]);
        }
    }

    /// Takes in how long ago all that the key-value service held was known.
    pub fn view_age(&self, age: Duration) {
        self.age.record(age.as_secs_f64(), &[]);
    }

    /// Takes in the era of the key-value service.
    pub fn store_era(&self, era: u64) {
        self.era.record(era, &[]);
    }

    /// Takes in how many backend servers get work while their entries are missing.
    pub fn unlisted(&self, servers: u64) {
        self.unlisted.record(servers, &[]);
    }

    /// Takes in how many backend servers name a limit.
    pub fn limited(&self, servers: u64) {
        self.limited.record(servers, &[]);
    }

    /// Returns everything in Prometheus' text form.
    #[must_use]
    pub fn text(&self) -> Option<String> {
        let mut text = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut text)
            .ok()?;
        String::from_utf8(text).ok()
    }
}

fn label(name: &'static str, value: &str) -> KeyValue {
    KeyValue::new(name, value.to_owned())
}
