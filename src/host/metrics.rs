//! Counters, gauges and histograms, by OpenTelemetry with its Prometheus exporter.

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
use crate::store::CallCounts;

/// Largest number of customers with a label value of their own; all others share one.
///
/// Each series stays in memory for the lifetime of the process, so the number of histograms must
/// not grow with thousands of customers.
const MAX_NAMED_CUSTOMERS: usize = 32;
/// Requests after which a customer gets a label value of its own.
const NAMED_MIN_REQUESTS: u32 = 50;
/// Largest number of customers without a label value whose requests are counted.
const MAX_COUNTED_CUSTOMERS: usize = 1024;
/// Label value of all customers without one of their own.
const OTHER_CUSTOMERS: &str = "other";
/// Bucket bounds of the histograms, in seconds.
const BUCKET_BOUNDS_SECS: [f64; 16] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.049, 0.1, 0.2, 0.4, 0.78, 1.5, 3.0, 6.0, 15.0, 60.0, 300.0,
];

/// Metric instruments of a host.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    first_token: Histogram<f64>,
    token_gap: Histogram<f64>,
    queue_time: Histogram<f64>,
    request_time: Histogram<f64>,
    late: Counter<u64>,
    recalls: Counter<u64>,
    retries: Counter<u64>,
    orders: Counter<u64>,
    store_calls: Counter<u64>,
    calls_lost: Counter<u64>,
    view_age: Gauge<f64>,
    store_era: Gauge<u64>,
    unlisted: Gauge<u64>,
    duty_held: Gauge<f64>,
    settled_window: Gauge<u64>,
    accepted_window: Gauge<u64>,
    limited: Gauge<u64>,
    pushbacks: Gauge<u64>,
    poison_requests: Gauge<u64>,
    refused_parts: Gauge<u64>,
    buffers: BufferGauges,
    links_lost: Gauge<u64>,
    scaling: ScalingGauges,
    fair_shares: FairShareMetrics,
    responses: ResponseMetrics,
    forwarded: Counter<u64>,
    taken_up: Counter<u64>,
    last_calls: Cell<CallCounts>,
    request_counts: RefCell<BTreeMap<Box<str>, u32>>,
    named_customers: RefCell<Vec<Box<str>>>,
}

/// Metric instruments of what is believed of responses.
#[derive(Debug)]
struct ResponseMetrics {
    foreign: Counter<u64>,
    unproven: Counter<u64>,
}

impl ResponseMetrics {
    fn new(meter: &OtelMeter) -> Self {
        let foreign = meter.u64_counter("chiveway_foreign_responses");
        let unproven = meter.u64_counter("chiveway_unproven_refusals");
        Self {
            foreign: foreign
                .with_description(
                    "Responses that belong to another request than the one under way on their connection",
                )
                .build(),
            unproven: unproven
                .with_description(
                    "Refusals that were not passed on as not run, since the request may have run",
                )
                .build(),
        }
    }
}

/// Metric instruments of fair shares.
#[derive(Debug)]
struct FairShareMetrics {
    refused: Counter<u64>,
    short_services: Gauge<u64>,
}

impl FairShareMetrics {
    fn new(meter: &OtelMeter) -> Self {
        let refused = meter.u64_counter("chiveway_over_share");
        let short_services = meter.u64_gauge("chiveway_short_services");
        Self {
            refused: refused
                .with_description("Requests whose customers had used up their shares")
                .build(),
            short_services: short_services
                .with_description("Services that are divided between customers by fair shares")
                .build(),
        }
    }
}

fn seconds_histogram(
    meter: &OtelMeter,
    name: &'static str,
    description: &'static str,
) -> Histogram<f64> {
    meter
        .f64_histogram(name)
        .with_description(description)
        .with_unit("s")
        .with_boundaries(BUCKET_BOUNDS_SECS.to_vec())
        .build()
}

fn counter(meter: &OtelMeter, name: &'static str, description: &'static str) -> Counter<u64> {
    let counter = meter.u64_counter(name).with_description(description);
    counter.build()
}

fn gauge(meter: &OtelMeter, name: &'static str, description: &'static str) -> Gauge<u64> {
    let gauge = meter.u64_gauge(name).with_description(description);
    gauge.build()
}

/// Gauges of the bytes held for callers, and what their bound has caused.
#[derive(Debug)]
struct BufferGauges {
    held_bytes: Gauge<u64>,
    refused_bodies: Gauge<u64>,
}

impl BufferGauges {
    fn new(meter: &OtelMeter) -> Self {
        Self {
            held_bytes: gauge(
                meter,
                "chiveway_held_bytes",
                "Bytes of bodies and unread answers that this host holds",
            ),
            refused_bodies: gauge(
                meter,
                "chiveway_refused_bodies",
                "Bodies refused since the host held too many bytes",
            ),
        }
    }
}

/// Gauges of the orders of workers, by service.
#[derive(Debug)]
struct ScalingGauges {
    demand: Gauge<f64>,
    workers: Gauge<u64>,
}

impl ScalingGauges {
    fn new(meter: &OtelMeter) -> Self {
        Self {
            demand: meter
                .f64_gauge("chiveway_scaling_demand")
                .with_description("Demand of a service, in workers, as this host measures it")
                .build(),
            workers: meter
                .u64_gauge("chiveway_scaling_workers")
                .with_description("Workers of a service that this host last planned; 0 if none")
                .build(),
        }
    }
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Returns the library's error if the exporter cannot be created.
    pub fn new(settings: &Settings) -> Result<Self, OTelSdkError> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("chiveway");
        log::debug!("metrics of host {} created", settings.host.name);
        let counter = |name, description| counter(&meter, name, description);
        let gauge = |name, description| gauge(&meter, name, description);
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
            late: counter(
                "chiveway_late_answers",
                "Streamed answers that were late, by cause",
            ),
            recalls: counter("chiveway_recalls", "Overdue prefills, by outcome"),
            retries: counter("chiveway_retries", "Attempts beyond the first"),
            orders: counter("chiveway_orders", "Orders given to engines"),
            store_calls: counter("chiveway_store_calls", "Calls of the key-value service"),
            calls_lost: counter(
                "chiveway_store_calls_lost",
                "Reads and watches of the key-value service abandoned as lost",
            ),
            view_age: meter
                .f64_gauge("chiveway_store_view_age")
                .with_description("Time since all that the key-value service held was known")
                .with_unit("s")
                .build(),
            store_era: gauge("chiveway_store_era", "Era of the key-value service"),
            unlisted: meter
                .u64_gauge("chiveway_backends_unlisted")
                .with_description("Backend servers that get work while their entries are missing")
                .build(),
            duty_held: meter
                .f64_gauge("chiveway_duty_held")
                .with_description("Time for which this host has held the duties; 0 if it does not")
                .with_unit("s")
                .build(),
            settled_window: meter
                .u64_gauge("chiveway_usage_settled_window")
                .with_description("Last window whose usage is settled")
                .build(),
            accepted_window: meter
                .u64_gauge("chiveway_usage_accepted_window")
                .with_description("Last window whose usage the platform accepted from this host")
                .build(),
            limited: meter
                .u64_gauge("chiveway_backends_limited")
                .with_description("Backend servers that name a limit")
                .build(),
            pushbacks: meter
                .u64_gauge("chiveway_backends_in_pushback")
                .with_description("Backend servers that want no requests from this host for a time")
                .build(),
            poison_requests: gauge(
                "chiveway_poison_requests",
                "Requests refused since backend servers crashed while running them",
            ),
            refused_parts: gauge(
                "chiveway_refused_parts",
                "Parts of prompts refused since backend servers crashed under them",
            ),
            buffers: BufferGauges::new(&meter),
            scaling: ScalingGauges::new(&meter),
            fair_shares: FairShareMetrics::new(&meter),
            links_lost: gauge(
                "chiveway_links_lost",
                "1 while this host reaches no backend server",
            ),
            taken_up: counter(
                "chiveway_streams_taken_up",
                "Streams that callers took up, by how their version was found",
            ),
            forwarded: counter(
                "chiveway_requests_forwarded",
                "Requests forwarded to other hosts",
            ),
            responses: ResponseMetrics::new(&meter),
            registry,
            _provider: provider,
            last_calls: Cell::default(),
            request_counts: RefCell::default(),
            named_customers: RefCell::default(),
        })
    }

    /// Records one measurement.
    pub fn record(&self, meter: &Meter) {
        match meter {
            Meter::RequestEnded {
                class,
                customer,
                outcome,
                duration: lasted,
            } => {
                let labels = [
                    label("class", class),
                    self.customer_label(customer),
                    KeyValue::new("outcome", *outcome),
                ];
                self.request_time.record(lasted.as_secs_f64(), &labels);
            }
            Meter::FirstToken {
                class,
                customer,
                after,
            } => {
                let labels = [label("class", class), self.customer_label(customer)];
                self.first_token.record(after.as_secs_f64(), &labels);
            }
            Meter::TokenGap { class, gap } => {
                self.token_gap
                    .record(gap.as_secs_f64(), &[label("class", class)]);
            }
            Meter::Queued { class, after } => {
                self.queue_time
                    .record(after.as_secs_f64(), &[label("class", class)]);
            }
            Meter::Late { class, cause } => self
                .late
                .add(1, &[label("class", class), KeyValue::new("cause", *cause)]),
            Meter::Recalled { class, outcome } => self.recalls.add(
                1,
                &[label("class", class), KeyValue::new("outcome", *outcome)],
            ),
            Meter::OverShare { class } => {
                self.fair_shares.refused.add(1, &[label("class", class)]);
            }
            Meter::TakenUp { outcome } => self.taken_up.add(1, &[label("outcome", outcome)]),
            Meter::Forwarded { class } => self.forwarded.add(1, &[label("class", class)]),
            Meter::Retried { class } => self.retries.add(1, &[label("class", class)]),
            Meter::ForeignResponse { reader } => self
                .responses
                .foreign
                .add(1, &[KeyValue::new("reader", *reader)]),
            Meter::UnprovenRefusal => self.responses.unproven.add(1, &[]),
            Meter::StoreCallLost => self.calls_lost.add(1, &[]),
            Meter::OrderSent { pool } => self.orders.add(1, &[label("pool", pool)]),
        }
    }

    /// Returns the label of a customer: its own, or the one shared by all others.
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

    /// Adds the calls to the key-value service made since the last update, from running totals.
    pub fn record_store_calls(&self, now: &CallCounts) {
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

    /// Sets the age of this host's view of the key-value service.
    pub fn set_view_age(&self, age: Duration) {
        self.view_age.record(age.as_secs_f64(), &[]);
    }

    /// Sets the era of the key-value service.
    pub fn set_store_era(&self, era: u64) {
        self.store_era.record(era, &[]);
    }

    /// Sets the number of backend servers that get work while their entries are missing.
    pub fn set_unlisted(&self, servers: u64) {
        self.unlisted.record(servers, &[]);
    }

    /// Sets the time for which this host has held the duties, and the last windows of usage settled and accepted.
    pub fn set_duties(&self, held: Duration, settled: u64, accepted: u64) {
        self.duty_held.record(held.as_secs_f64(), &[]);
        self.settled_window.record(settled, &[]);
        self.accepted_window.record(accepted, &[]);
    }

    /// Sets the number of backend servers that name a rate limit.
    pub fn set_limited(&self, servers: u64) {
        self.limited.record(servers, &[]);
    }

    /// Sets the number of backend servers that want no requests from this host for a time.
    pub fn set_pushbacks(&self, servers: u64) {
        self.pushbacks.record(servers, &[]);
    }

    /// Sets the number of requests that are refused because backend servers crashed while running them.
    pub fn set_poison_requests(&self, requests: u64) {
        self.poison_requests.record(requests, &[]);
    }

    /// Sets the number of parts of prompts that are refused because backend servers crashed under them.
    pub fn set_refused_parts(&self, parts: u64) {
        self.refused_parts.record(parts, &[]);
    }

    /// Sets the bytes held for callers, and how many bodies were refused for want of memory.
    pub fn set_held(&self, bytes: u64, refused: u64) {
        self.buffers.held_bytes.record(bytes, &[]);
        self.buffers.refused_bodies.record(refused, &[]);
    }

    /// Sets whether this host reaches no backend server.
    pub fn set_links_lost(&self, lost: bool) {
        self.links_lost.record(lost.into(), &[]);
    }

    /// Sets the demand of each service, and the workers planned for it.
    pub fn set_scaling(&self, services: &[(&str, f64, u32)]) {
        for (service, demand, workers) in services {
            let labels = [label("service", service)];
            self.scaling.demand.record(*demand, &labels);
            self.scaling.workers.record((*workers).into(), &labels);
        }
    }

    /// Sets the number of services that are short.
    pub fn set_short_services(&self, services: usize) {
        let services = u64::try_from(services).unwrap_or(u64::MAX);
        self.fair_shares.short_services.record(services, &[]);
    }

    /// Returns all metrics in the Prometheus text format.
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
