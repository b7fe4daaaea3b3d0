//! Time per decision of the core, and memory per object.
//!
//! `cargo bench --bench core` first prints the memory per engine, account, peer, live request and
//! record, counted by the allocator, and then the time of each decision at several sizes, measured
//! by criterion.

mod memory;
mod site;

use std::time::Duration;

use bytes::BytesMut;
use chiveway::core::event::{Event, FleetEvent, PeerEvent, Report, RequestEvent};
use chiveway::core::message::{Heartbeat, Message, SentPrompt};
use chiveway::core::route::{self, Need};
use chiveway::core::{Effects, Time, admit};
use chiveway::wire::{self, Frame};
use criterion::{BenchmarkId, Criterion};
use site::Site;

#[global_allocator]
static ALLOCATOR: memory::CountingAllocator = memory::CountingAllocator;

/// Numbers of engines: a small site, a medium one, and the largest size that the design covers.
const ENGINE_COUNTS: [usize; 3] = [21, 200, 1_300];
/// Numbers of accounts.
const ACCOUNT_COUNTS: [usize; 3] = [100, 3_000, 31_000];
/// Numbers of hosts, without this one.
const PEER_COUNTS: [usize; 3] = [8, 39, 369];

fn main() {
    memory::print();
    // Growth over the sizes matters more than precision: few and short samples suffice.
    let mut criterion = Criterion::default()
        .without_plots()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(400))
        .configure_from_args();
    bench_engines(&mut criterion);
    bench_accounts(&mut criterion);
    bench_peers(&mut criterion);
    criterion.final_summary();
}

fn bench_engines(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("engines");
    for count in ENGINE_COUNTS {
        let mut site = Site::new(count, 100, 8);
        let need = need();
        group.bench_function(BenchmarkId::new("route", count), |bench| {
            bench.iter(|| route::choose_engine(&mut site.core, &need));
        });
        group.bench_function(BenchmarkId::new("admit", count), |bench| {
            let fingerprint = chiveway::core::event::Fingerprint::default();
            bench.iter(|| admit::check(&mut site.core, &need, fingerprint));
        });
        let mut out = Effects::new();
        group.bench_function(BenchmarkId::new("report", count), |bench| {
            bench.iter(|| {
                out.clear();
                let event = Event::Fleet(FleetEvent::Report {
                    name: site::engine(7),
                    report: Some(Report::default()),
                });
                site.core.reduce(Time::from_millis(10), event, &mut out);
            });
        });
        group.bench_function(BenchmarkId::new("prompt-told", count), |bench| {
            bench.iter(|| {
                out.clear();
                let message = Message::SentPrompt(SentPrompt {
                    engine: 7,
                    prompt_tokens: 1_000,
                });
                site.core
                    .reduce(Time::from_millis(10), from_peer(message), &mut out);
            });
        });
    }
    group.finish();
}

fn bench_accounts(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("accounts");
    for count in ACCOUNT_COUNTS {
        let mut site = Site::new(21, count, 8);
        group.bench_function(BenchmarkId::new("request", count), |bench| {
            let mut tag = 0;
            bench.iter(|| {
                tag += 1;
                site.serve(tag, usize::try_from(tag).unwrap_or(0) % count);
            });
        });
        let mut stream = site.open(0, 0);
        let mut out = Effects::new();
        group.bench_function(BenchmarkId::new("token", count), |bench| {
            bench.iter(|| {
                out.clear();
                let event = RequestEvent::StreamEvent {
                    attempt: stream.attempt,
                    offset: stream.offset,
                    tokens: 1,
                };
                stream.offset += 1;
                site.core
                    .reduce(Time::from_millis(20), Event::Request(event), &mut out);
            });
        });
    }
    group.finish();
}

fn bench_peers(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("peers");
    for count in PEER_COUNTS {
        let mut site = Site::new(21, 100, count);
        let mut out = Effects::new();
        let mut bytes = BytesMut::new();
        let frame = Frame::Message(Message::Heartbeat(Heartbeat::default()));
        wire::encode(&frame, &mut bytes);
        group.bench_function(BenchmarkId::new("frame-read", count), |bench| {
            bench.iter(|| wire::decode(&*bytes));
        });
        let mut number = 0;
        group.bench_function(BenchmarkId::new("beat-received", count), |bench| {
            bench.iter(|| {
                out.clear();
                number += 1;
                let heartbeat = Heartbeat {
                    number,
                    revision: 1,
                    ..Heartbeat::default()
                };
                let event = from_peer(Message::Heartbeat(heartbeat));
                site.core.reduce(Time::from_millis(10), event, &mut out);
            });
        });
        group.bench_function(BenchmarkId::new("beats-sent", count), |bench| {
            bench.iter(|| {
                out.clear();
                let event = Event::Timer(chiveway::core::event::Timer::Heartbeat);
                site.core.reduce(Time::from_millis(10), event, &mut out);
            });
        });
    }
    group.finish();
}

fn from_peer(message: Message) -> Event {
    Event::Peer(PeerEvent::Message {
        from: site::host(1),
        message,
    })
}

fn need() -> Need {
    Need {
        model: site::MODEL.into(),
        prompt: 4_000,
        output: 500,
        prefix: 1_234_567,
        avoid: Vec::new(),
    }
}
