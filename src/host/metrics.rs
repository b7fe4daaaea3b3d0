//! Counts and histograms, by opentelemetry with its Prometheus exporter.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter as OtelMeter, MeterProvider};
use opentelemetry_sdk::error::OTelSdkError;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

use crate::core::effect::Meter;
use crate::settings::Settings;
use crate::store::Calls;

/// Customers with histograms of their own; all others share one.
///
/// Each series stays in memory for the life of the process: thousands of customers must not
/// become thousands of histograms.
const MAX_NAMED_CUSTOMERS: usize = 32;
/// Requests after which a customer counts as busy.
const NAMED_MIN_REQUESTS: u32 = 50;
/// Customers whose requests are counted to find the busy ones.
const MAX_COUNTED_CUSTOMERS: usize = 1024;
/// Label of all customers without a name of their own.
const OTHER_CUSTOMERS: &str = "other";
/// Bounds of the histograms of seconds.
const BUCKET_BOUNDS_SECS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.049, 0.1, 0.2, 0.4, 0.78, 1.5, 3.0, 6.0, 15.0, 60.0, 300.0,
];

/// Every instrument of a host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    queue_time: Histogram<f64>,
    request_time: Histogram<f64>,
    retries: Counter<u64>,
    orders: Counter<u64>,
    store_calls: Counter<u64>,
    view_age: Gauge<f64>,
    store_era: Gauge<u64>,
    unlisted: Gauge<u64>,
    limited: Gauge<u64>,
    last_calls: Cell<Calls>,
    request_counts: RefCell<BTreeMap<Box<str>, u32>>,
    named_customers: RefCell<Vec<Box<str>>>,
}

fn seconds_histogram(meter: &OtelMeter, name: &'static str, about: &'static str) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(about)
        .with_unit("s")
        .with_boundaries(BUCKET_BOUNDS_SECS.to_vec())
        .build()
}

impl Metrics {
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
            first_token: seconds_histogram(
                &meter,
                "chiveway_first_token",
                "Arrival to the first token",
            ),
            token_gap: seconds_histogram(&meter, "chiveway_between_tokens", "Token to token"),
            queue_time: seconds_histogram(&meter, "chiveway_queued", "Arrival to a back end"),
            request_time: seconds_histogram(
                &meter,
                "chiveway_requests",
                "Arrival to the end, by outcome",
            ),
            retries: counter("chiveway_retries", "Attempts beyond the first"),
            orders: counter("chiveway_orders", "Orders given to engines"),
            store_calls: counter("chiveway_store_calls", "Calls of the key-value service"),
            view_age: meter
                .f64_gauge("chiveway_store_view_age")
                .with_description("Time since all that the key-value service held was known")
                .with_unit("s")
                .build(),
            store_era: meter
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
            last_calls: Cell::default(),
            request_counts: RefCell::default(),
            named_customers: RefCell::default(),
        })
    }

    /// Counts or times one thing.
    pub fn record(&self, meter: &Meter) {
        match meter {
            Meter::Ended {
                class,
                customer,
                outcome,
                lasted,
            } => {
                let labels = [
                    label("class", class),
                    self.customer_label(customer),
                    KeyValue::new("outcome", *outcome),
                ];
                self.request_time.record(lasted.as_secs_f64(), &labels);
            }
            Meter::First {
                class,
                customer,
                after,
            } => {
                let labels = [label("class", class), self.customer_label(customer)];
                self.first_token.record(after.as_secs_f64(), &labels);
            }
            Meter::Between { class, gap } => {
                self.token_gap
                    .record(gap.as_secs_f64(), &[label("class", class)]);
            }
            Meter::Queued { class, after } => {
                self.queue_time
                    .record(after.as_secs_f64(), &[label("class", class)]);
            }
            Meter::Retried { class } => self.retries.add(1, &[label("class", class)]),
            Meter::Ordered { pool } => self.orders.add(1, &[label("pool", pool)]),
        }
    }

    /// Returns the customer's own label, or the label of all others.
    fn customer_label(&self, customer: &str) -> KeyValue {
        let mut named = self.named_customers.borrow_mut();
        if named.iter().any(|name| &**name == customer) {
            return label("customer", customer);
        }
        if named.len() < MAX_NAMED_CUSTOMERS && !customer.is_empty() {
            let mut customers = self.request_counts.borrow_mut();
            if customers.len() >= MAX_COUNTED_CUSTOMERS && !customers.contains_key(customer) {
                customers.clear();
            }
            let count = customers.entry(customer.into()).or_default();
            *count += 1;
            if *count >= NAMED_MIN_REQUESTS {
                named.push(customer.into());
            }
        }
        label("customer", OTHER_CUSTOMERS)
    }

    /// Takes in the counts of calls to the key-value service.
    pub fn record_store_calls(&self, now: &Calls) {
        let seen = self.last_calls.replace(*now);
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
            self.store_calls
                .add(now.saturating_sub(seen), &[KeyValue::new("kind", kind)]);
        }
    }

    /// Takes in how long ago all that the key-value service held was known.
    pub fn set_view_age(&self, age: Duration) {
        self.view_age.record(age.as_secs_f64(), &[]);
    }

    /// Takes in the era of the key-value service.
    pub fn set_store_era(&self, era: u64) {
        self.store_era.record(era, &[]);
    }

    /// Takes in how many backend servers get work while their entries are missing.
    pub fn set_unlisted(&self, servers: u64) {
        self.unlisted.record(servers, &[]);
    }

    /// Takes in how many backend servers name a limit.
    pub fn set_limited(&self, servers: u64) {
        self.limited.record(servers, &[]);
    }

    /// Returns everything in Prometheus' text form.
    #[must_use]
    pub fn encode(&self) -> Option<String> {
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
