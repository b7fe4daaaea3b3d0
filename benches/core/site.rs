//! Core of a host in a site of a given size.

use std::net::SocketAddr;

use chiveway::core::event::{
    Arrival, Entry, EntryKind, Event, Fingerprint, FleetEvent, Health, ModelRequest, RequestEvent,
    RequestSpec, Role, StoreEvent, WatchedKey,
};
use chiveway::core::key::{AttemptKey, RequestKey};
use chiveway::core::{Core, Effect, Effects, Time};
use chiveway::lists::{KeyHash, KeyIndex, Lists, Plans, Uses};
use chiveway::settings::Settings;

/// Model of all requests.
pub const MODEL: &str = "model";

/// Core of one host, with its engines, accounts and peers.
pub struct Site {
    /// Core of the host.
    pub core: Core,
}

/// Open stream of a request.
pub struct Stream {
    /// Key of the request.
    pub request: RequestKey,
    /// Key of the attempt.
    pub attempt: AttemptKey,
    /// Offset of the next token.
    pub offset: u64,
}

/// Returns the name of an engine.
pub fn engine(at: usize) -> Box<str> {
    format!("engine-{at:04}").into()
}

/// Returns the name of a host.
pub fn host(at: usize) -> Box<str> {
    format!("host-{at:03}").into()
}

fn account_key(at: usize) -> KeyHash {
    KeyHash::of(&format!("key-{at}"))
}

impl Site {
    /// Starts a core with this many engines, accounts and peers.
    pub fn new(engines: usize, accounts: usize, peers: usize) -> Self {
        let mut core = Core::new(settings(), Time::default(), 1_700_000_000_000, 1);
        let mut out = Effects::new();
        core.reduce(Time::default(), Event::Start, &mut out);
        let health = StoreEvent::Health(Health::Up);
        core.reduce(Time::default(), Event::Store(health), &mut out);
        let mut site = Self { core };
        site.set_accounts(accounts);
        site.set_peers(peers);
        site.set_engines(engines);
        site
    }

    /// Applies lists with this many accounts.
    pub fn set_accounts(&mut self, count: usize) {
        let customers = (0..count).map(|at| {
            let key = account_key(at);
            format!("[customer Account number {at}]\nplan = plan\nkeys = {key}\n")
        });
        let text: String = customers.collect();
        let uses = format!("[plan plan]\nmodels = {MODEL}\npriority = 5\n");
        let lists = Lists {
            revision: 1,
            plans: Plans::parse(&text, "bench").expect("the generated plans are valid"),
            uses: Uses::parse(&uses, "bench").expect("the generated uses are valid"),
        };
        self.core.config.index = KeyIndex::new(&lists);
        self.core.config.lists = lists;
    }

    /// Registers this many peers.
    pub fn set_peers(&mut self, count: usize) {
        let watched = (0..=count).map(|at| WatchedKey {
            key: format!("host/{}", host(at)).into(),
            value: Some(
                format!(
                    "{{\"addr\":\"127.0.0.1:{}\",\"region\":\"region\",\"domain\":\"domain-{}\",\
                     \"incarnation\":{}}}",
                    20_000 + at,
                    at % 6,
                    self.core.members.incarnation(),
                )
                .into_bytes()
                .into(),
            ),
            modified: 1,
        });
        let event = Event::Store(StoreEvent::Watched(watched.collect()));
        self.core
            .reduce(Time::default(), event, &mut Effects::new());
    }

    /// Registers this many engines, a third of them for prefill.
    pub fn set_engines(&mut self, count: usize) {
        let entries = (0..count).map(|at| Entry {
            name: engine(at),
            kind: EntryKind::Engine,
            pool: MODEL.into(),
            addr: SocketAddr::from(([127, 0, 0, 1], 9_000 + u16::try_from(at).unwrap_or(0))),
            domain: format!("domain-{}", at % 6).into(),
            leaving: false,
        });
        let event = Event::Fleet(FleetEvent::Listed(entries.collect()));
        self.core
            .reduce(Time::default(), event, &mut Effects::new());
        for (at, engine) in self.core.fleet.arena.values_mut().enumerate() {
            engine.role = if at % 3 == 0 {
                Role::Prefill
            } else {
                Role::Decode
            };
        }
    }

    /// Sends a request to the core, up to the start of its stream.
    pub fn open(&mut self, tag: u64, account: usize) -> Stream {
        let mut out = Effects::new();
        let mut fingerprint = [0; 16];
        fingerprint[..8].copy_from_slice(&tag.to_le_bytes());
        let arrival = Arrival {
            tag,
            key_hash: account_key(account),
            spec: RequestSpec::Model(ModelRequest {
                model: MODEL.into(),
                prompt_tokens: 1,
                max_output: 1_000_000,
                prefix_hashes: Vec::new(),
            }),
            idempotency_key: None,
            fingerprint: Fingerprint(fingerprint),
        };
        let at = Time::from_millis(20);
        let event = RequestEvent::Arrived(Box::new(arrival));
        self.core.reduce(at, Event::Request(event), &mut out);
        let refused = out
            .iter()
            .find(|effect| matches!(effect, Effect::Refuse { .. }));
        let open = out.iter().find_map(|effect| match effect {
            Effect::OpenStream(open) => Some((open.request, open.attempt)),
            _ => None,
        });
        let Some((request, attempt)) = open else {
            panic!("the core did not open a stream; refusal: {refused:?}");
        };
        out.clear();
        let began = Event::Request(RequestEvent::Began(attempt));
        self.core.reduce(at, began, &mut out);
        Stream {
            request,
            attempt,
            offset: 0,
        }
    }

    /// Sends a request to the core, and completes it after one token.
    pub fn serve(&mut self, tag: u64, account: usize) {
        let stream = self.open(tag, account);
        let mut out = Effects::new();
        let at = Time::from_millis(20);
        for (offset, tokens) in [(0, 1), (1, 0)] {
            let event = RequestEvent::StreamEvent {
                attempt: stream.attempt,
                offset,
                tokens,
            };
            self.core.reduce(at, Event::Request(event), &mut out);
        }
        let completed = Event::Request(RequestEvent::StreamCompleted(stream.attempt));
        self.core.reduce(at, completed, &mut out);
        assert!(!self.core.requests.arena.contains_key(stream.request));
    }
}

fn settings() -> Settings {
    let text = format!(
        "[host]\nname = host-000\nregion = region\ndomain = domain-0\ncallers = 127.0.0.1:1\n\
         operators = 127.0.0.1:2\npeers = 127.0.0.1:3\n\
         secret = a-secret-for-one-process-only\noperator-key-hash = {}\n\
         [limits]\nrequests = 100000\n\
         [platform]\nkv = 127.0.0.1:2379\nlist = 127.0.0.1:8500\n\
         [pool {MODEL}]\nmodel = {MODEL}\nfencing = checks\nsplit = yes\nslots = 10000\n\
         decode = 1000000\nprefill = 1000000\n",
        KeyHash::of("operator")
    );
    Settings::parse(&text, "bench").expect("the generated settings are valid")
}
