//! Tests of the relay's decisions, without a network.

mod budget;
mod config;
mod departed;
mod domain;
mod era;
mod gossip;
mod handover;
mod limit;
mod load;
mod parts;
mod plan;
mod register;
mod request;
mod spread;
mod stream;
mod view;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::core::event::{Break, Print, StoreEvent, StoreReply, StoreResult, Timer};
use crate::core::key::{AttemptKey, CallKey};
use crate::core::relay::catalog::{Catalog, Engine, Repeat, Route, Service};
use crate::core::relay::event::{
    Arrival, Changes, Entry, KeyChange, Outgoing, Prompt, PromptPart, RelayEffect, RelayEvent,
    Stage,
};
use crate::core::{Core, Effect, Effects, Event, Time};
use crate::error::Ran;
use crate::settings::Settings;

/// Settings of a relaying host.
const SETTINGS: &str = "\
[relay]
name = host-1
region = r
domain = z
callers = 127.0.0.1:1
readiness = 127.0.0.1:2
peers = 127.0.0.1:3
metrics = 127.0.0.1:4

[store]
addr = 127.0.0.1:5
";

/// A host, the time, and what it did last.
struct Site {
    core: Core,
    now: u64,
    out: Effects,
    /// Times that were asked for.
    due: Vec<(u64, Timer)>,
}

impl Site {
    /// Returns a host that knows the configuration and follows the store.
    fn new() -> Self {
        let mut site = Self::blank();
        site.core.relay.view.mark_fresh(Time::from_millis(site.now));
        site.configure(catalog(1));
        site
    }

    /// Returns a host before two engines that prefill and two that generate.
    fn of_models() -> Self {
        let mut site = Self::new();
        site.register(vec![
            engine("p", Stage::Prefill),
            engine("q", Stage::Prefill),
            engine("d", Stage::Decode),
            engine("e", Stage::Decode),
        ]);
        site
    }

    /// Returns a host that has heard nothing.
    fn blank() -> Self {
        Self::named("host-1", 7)
    }

    /// Returns a host of this name that has heard nothing.
    fn named(name: &str, seed: u64) -> Self {
        let settings = SETTINGS.replace("name = host-1", &format!("name = {name}"));
        let settings = Settings::parse_relay(&settings, "host.ini").expect("settings");
        let mut site = Self {
            core: Core::new(settings, Time::from_millis(1000), 1_000_000, seed),
            now: 1000,
            out: Effects::new(),
            due: Vec::new(),
        };
        site.apply(Event::Start);
        site
    }

    fn apply(&mut self, event: Event) {
        self.out.clear();
        let now = Time::from_millis(self.now);
        self.core.reduce(now, event, &mut self.out);
        let wakes = self.out.iter().filter_map(|effect| match effect {
            Effect::Wake { at, timer } => Some((at.millis(), *timer)),
            _ => None,
        });
        self.due.extend(wakes);
    }

    fn event(&mut self, event: RelayEvent) {
        self.apply(Event::Relay(event));
    }

    /// Lets time pass with the timers that come due.
    fn pass(&mut self, millis: u64) -> Effects {
        let mut all = Effects::new();
        let end = self.now + millis;
        while self.now < end {
            self.now += 10;
            let now = self.now;
            let due = std::mem::take(&mut self.due).into_iter();
            let (ready, later): (Vec<_>, Vec<_>) = due.partition(|(at, _)| *at <= now);
            self.due = later;
            for (_, timer) in ready {
                self.apply(Event::Timer(timer));
                all.extend(self.out.iter().cloned());
            }
        }
        all
    }

    /// Has the store tell of changes.
    fn changed(&mut self, changes: Changes) {
        self.out.clear();
        self.core.now = Time::from_millis(self.now);
        super::changed(&mut self.core, changes, &mut self.out);
    }

    fn configure(&mut self, catalog: Catalog) {
        self.changed(Changes {
            catalog: Some(catalog),
            ..Changes::default()
        });
    }

    fn register(&mut self, entries: Vec<Entry>) {
        self.changed(Changes {
            instances: entries,
            ..Changes::default()
        });
    }

    fn key(&mut self, key: &str, value: Option<&str>, revision: i64) {
        let value = value.map(|value| value.as_bytes().into());
        self.changed(Changes {
            keys: vec![KeyChange {
                key: key.into(),
                value,
                revision,
            }],
            ..Changes::default()
        });
    }

    fn reply(&mut self, job: crate::core::event::Job, result: StoreResult) {
        let reply = StoreReply { job, result };
        self.apply(Event::Store(StoreEvent::Reply(reply)));
    }

    /// Has a caller send a request; returns it if it was taken in.
    fn arrive(&mut self, arrival: Arrival) -> CallKey {
        self.event(RelayEvent::Arrived(Box::new(arrival)));
        let opened = self.out.iter().find_map(|effect| match effect {
            Effect::Relay(RelayEffect::Opened(call)) => Some(*call),
            _ => None,
        });
        opened.expect("every request gets a key")
    }

    /// Returns what was sent to a backend server by the last event.
    fn sent(&self) -> Option<Outgoing> {
        sent(&self.out).into_iter().next()
    }

    /// Returns the refusal of the last event.
    fn refused(&self) -> Option<(u16, Ran, Option<Duration>)> {
        self.out.iter().find_map(|effect| match effect {
            Effect::Relay(RelayEffect::Refuse { refusal, .. }) => {
                let status = refusal.kind.answer().status;
                Some((status, refusal.ran, refusal.retry))
            }
            _ => None,
        })
    }

    fn broke(&mut self, attempt: AttemptKey, ran: Ran, end: Break) {
        self.event(RelayEvent::Broke {
            attempt,
            ran,
            end,
            detail: "".into(),
        });
    }

    fn did(&self, wanted: impl Fn(&RelayEffect) -> bool) -> bool {
        did(&self.out, wanted)
    }
}

/// Returns every request sent among effects.
fn sent(out: &Effects) -> Vec<Outgoing> {
    let sent = out.iter().filter_map(|effect| match effect {
        Effect::Relay(RelayEffect::Send(out)) => Some((**out).clone()),
        _ => None,
    });
    sent.collect()
}

fn did(out: &Effects, wanted: impl Fn(&RelayEffect) -> bool) -> bool {
    out.iter().any(|effect| match effect {
        Effect::Relay(effect) => wanted(effect),
        _ => false,
    })
}

fn route(prefix: &str, service: &str) -> Route {
    Route {
        name: prefix.into(),
        host: "h".into(),
        prefix: prefix.into(),
        timeout: Duration::from_secs(4),
        target: Duration::from_millis(300),
        gap: Duration::from_millis(200),
        split: vec![(service.into(), 1)],
        attempts: 2,
        ..Route::default()
    }
}

/// A plain service with a route for each kind, and engines with one for each kind of stream.
fn catalog(version: u64) -> Catalog {
    let mut catalog = Catalog {
        version,
        routes: vec![
            route("/once/", "plain"),
            Route {
                repeat: Repeat::Idempotent,
                ..route("/again/", "plain")
            },
            Route {
                streaming: true,
                attempts: 1,
                rank: 1,
                target: Duration::from_millis(600),
                ..route("/long/", "model")
            },
            Route {
                streaming: true,
                resumable: true,
                repeat: Repeat::Idempotent,
                ..route("/short/", "model")
            },
        ],
        ..Catalog::default()
    };
    catalog.services.insert(
        "plain".into(),
        Service {
            connections: 100,
            ..Service::default()
        },
    );
    catalog.services.insert(
        "model".into(),
        Service {
            connections: 300,
            engine: Some(Engine {
                memory: 500_000,
                token: 18_432,
                link: 370_000.0,
                switch: Duration::from_secs(3),
            }),
        },
    );
    catalog
}

fn plain(id: &str) -> Entry {
    let last = id.bytes().last().unwrap_or(0);
    Entry {
        id: id.into(),
        service: "plain".into(),
        addr: ([10, 0, 0, last], 80).into(),
        domain: "z".into(),
        slots: 6,
        leaving: false,
        stage: None,
        born: 1,
    }
}

fn engine(id: &str, stage: Stage) -> Entry {
    Entry {
        service: "model".into(),
        slots: 64,
        stage: Some(stage),
        ..plain(id)
    }
}

fn call(path: &str) -> Arrival {
    Arrival {
        id: "id".into(),
        host: "h".into(),
        path: path.into(),
        deadline: Some(Duration::from_secs(8)),
        prompt: None,
        resume: None,
        bytes: 100,
        print: Print([1; 16]),
    }
}

/// A model request whose prompt is a shared part and one of its own.
fn prompt(path: &str, shared: (u64, u64), own: u64) -> Arrival {
    let part = |(id, tokens)| PromptPart { id, tokens };
    Arrival {
        prompt: Some(Prompt {
            tokens: shared.1 + own,
            output: 20,
            hint: None,
            parts: vec![part(shared), part((u64::MAX - own, own))],
        }),
        ..call(path)
    }
}
