//! A host's core in a site of a given size.

use std::net::SocketAddr;

use chiveway::core::event::{
    Arrival, Entry, EntryKind, Event, Fingerprint, FleetEvent, Health, ModelRequest, RequestEvent,
    RequestSpec, Role, StoreEvent, WatchedKey,
};
use chiveway::core::key::{AttemptKey, RequestKey};
use chiveway::core::{Core, Effect, Effects, Time};
use chiveway::lists::{KeyHash, KeyIndex, Lists, Plans, Uses};
use chiveway::settings::Settings;

/// Model of every request.
pub const MODEL: &str = "model";

/// A core and what is around it.
pub struct Site {
    /// The core.
    pub core: Core,
}

/// A stream that is being answered.
pub struct Stream {
    /// Request.
    pub request: RequestKey,
    /// Attempt.
    pub attempt: AttemptKey,
    /// Position of the next token.
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
    /// Starts a core that knows this many engines, accounts and peers.
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

    /// Puts lists with this many accounts in force.
    pub fn set_accounts(&mut self, count: usize) {
        let customers = (0..count).map(|at| {
            let key = account_key(at);
            format!("[customer Account number {at}]\nplan = plan\nkeys = {key}\n")
        });
        let text: String = customers.collect();
        let uses = format!("[plan plan]\nmodels = {MODEL}\npriority = 5\n");
        let lists = Lists {
            revision: 1,
            plans: Plans::parse(&text, "bench").expect("sound plans"),
            uses: Uses::parse(&uses, "bench").expect("sound uses"),
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

    /// Lists this many engines, a third of them for prefill.
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

    /// Takes in a request up to its first token.
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
            panic!("the request is not taken: {refused:?}");
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

    /// Takes in a request, gives it one token and its end.
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
    Settings::parse(&text, "bench").expect("the bench writes sound settings")
}
