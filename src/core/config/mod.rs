//! The operators' lists: the revision in force, updates to a newer one, and edits.
//!
//! The store holds the lists as content-addressed chunks and one small head value that references
//! them. An edit writes the chunks first and then replaces the head by compare-and-swap, so a
//! reader never sees a partial edit, and of two concurrent edits one succeeds and one gets a
//! conflict.

mod edit;

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};

use super::effect::{Effect, log_event};
use super::event::{Job, StoreReply, StoreResult, Timer, WatchedKey};
use super::key::{CommandKey, HostKey};
use super::message::Message;
use super::{Core, Effects, member, share};
use crate::lists::{self, Chunk, KeyIndex, Lists, Plans, Uses};
use crate::sections::Fault;
use crate::store::{Pair, Span};

pub use edit::apply;

/// First segment of the watched key of the head.
pub const WATCH_PREFIX: &str = "lists";
/// Key of the head.
const HEAD_KEY: &str = "w/lists/head";
/// Key prefix of the chunks.
const CHUNK_FOLDER: &str = "d/chunk/";
/// Maximum size of a chunk; well below the maximum value size of the store.
const MAX_CHUNK_BYTES: usize = 256 * 1024;
/// Time until lists known to be newer are requested again.
const FETCH_INTERVAL: Duration = Duration::from_millis(500);

/// The head: the chunks of the newest lists, and the edit that wrote it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct Head {
    revision: u64,
    /// Identifies the edit, so that its writer recognizes it if the answer was lost.
    token: Box<str>,
    plans: Vec<Box<str>>,
    uses: Vec<Box<str>>,
    /// Chunks that only the previous head references; hosts may still read them.
    retired: Vec<Box<str>>,
    /// Tokens of the previous edits, newest first.
    prior_tokens: Vec<Box<str>>,
}

impl Head {
    fn references(&self, chunk: &str) -> bool {
        let mut names = self.plans.iter().chain(&self.uses);
        names.any(|name| **name == *chunk)
    }
}

/// The lists in force, and pending updates and edits.
#[derive(Debug, Default)]
pub struct Config {
    /// The lists in force.
    pub lists: Lists,
    /// Customers by the hashes of their keys.
    pub index: KeyIndex,
    /// Chunks of the plans in force.
    plan_chunks: Vec<Chunk>,
    /// Newest head seen, and the store revision at which it was written.
    head: Head,
    head_modified: i64,
    /// Chunks of the newest head that have been read so far.
    head_chunks: BTreeMap<Box<str>, Box<[u8]>>,
    /// Newest revision in force at a peer.
    peer_revision: u64,
    fetch_scheduled: bool,
    pending: BTreeMap<CommandKey, edit::Pending>,
}

impl Config {
    /// Returns the revision in force; 0 if there is none yet.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.lists.revision
    }

    fn newest_known(&self) -> u64 {
        self.head.revision.max(self.peer_revision)
    }
}

/// Handles a watch event of the head.
pub fn watched(core: &mut Core, pair: &WatchedKey, out: &mut Effects) {
    let Some(head) = pair.value.as_deref().and_then(parse_head) else {
        return;
    };
    if head.revision < core.config.head.revision {
        return;
    }
    core.config.head = head;
    core.config.head_modified = pair.modified;
    fetch(core, out);
}

/// Handles the revision in a peer's heartbeat: if it is newer, requests the lists from the peer.
///
/// During an outage of the store, this is how a revision accepted just before reaches every host.
pub fn peer_revision_seen(core: &mut Core, from: HostKey, revision: u64, out: &mut Effects) {
    if revision > core.config.newest_known() {
        core.config.peer_revision = revision;
        out.push(Effect::Send {
            to: from,
            message: Message::FetchLists(core.config.revision()),
        });
        schedule_fetch(core, out);
    }
}

fn schedule_fetch(core: &mut Core, out: &mut Effects) {
    if !core.config.fetch_scheduled {
        core.config.fetch_scheduled = true;
        out.push(Effect::SetTimer {
            at: core.now.after(FETCH_INTERVAL),
            timer: Timer::FetchLists,
        });
    }
}

/// Requests lists that are known to be newer again.
pub fn timer(core: &mut Core, out: &mut Effects) {
    core.config.fetch_scheduled = false;
    if core.config.newest_known() <= core.config.revision() {
        return;
    }
    fetch(core, out);
    let have = core.config.revision();
    let ahead: Vec<HostKey> = core
        .members
        .peers()
        .filter(|&host| core.members.arena[host].heartbeat.revision > have)
        .take(2)
        .collect();
    for to in ahead {
        out.push(Effect::Send {
            to,
            message: Message::FetchLists(have),
        });
    }
}

/// Reads the chunks of the newest head that are still missing.
fn fetch(core: &mut Core, out: &mut Effects) {
    let config = &mut core.config;
    let revision = config.head.revision;
    if revision <= config.lists.revision {
        return;
    }
    let wanted: Vec<&Box<str>> = config.head.plans.iter().chain(&config.head.uses).collect();
    config.head_chunks.retain(|hash, _| wanted.contains(&hash));
    let missing: Vec<Box<str>> = wanted
        .into_iter()
        .filter(|hash| !config.head_chunks.contains_key(*hash))
        .cloned()
        .collect();
    if missing.is_empty() {
        assemble(core, out);
        return;
    }
    for hash in missing {
        out.push(Effect::Read {
            job: Job::Chunk(revision),
            span: Span::Key(format!("{CHUNK_FOLDER}{hash}").into()),
        });
    }
    schedule_fetch(core, out);
}

/// Returns the name of a chunk: its hash in hexadecimal.
fn chunk_name(chunk: &Chunk) -> Box<str> {
    blake3::Hash::from_bytes(chunk.hash)
        .to_hex()
        .as_str()
        .into()
}

/// Puts the lists of the newest head in force once every chunk has been read.
fn assemble(core: &mut Core, out: &mut Effects) {
    let head = &core.config.head;
    let text = |hashes: &[Box<str>]| {
        let chunks: Option<Vec<Chunk>> = hashes
            .iter()
            .map(|hash| {
                core.config
                    .head_chunks
                    .get(hash)
                    .map(|bytes| Chunk::new(bytes))
            })
            .collect();
        lists::join(&chunks?).ok()
    };
    let (Some(plans), Some(uses)) = (text(&head.plans), text(&head.uses)) else {
        return;
    };
    handle_lists(core, head.revision, &plans, &uses, out);
}

/// Handles complete lists from a peer or from the store.
pub fn handle_lists(core: &mut Core, revision: u64, plans: &str, uses: &str, out: &mut Effects) {
    let config = &core.config;
    // A host that starts with lists known to be outdated would admit customers whose access was
    // revoked long ago.
    let starts_old = config.revision() == 0 && revision < config.newest_known();
    if revision <= config.revision() || starts_old {
        return;
    }
    let parts = lists::chunks(plans, MAX_CHUNK_BYTES);
    let parsed = (read_plans(config, &parts), Uses::parse(uses, "use"));
    let (Ok(plans), Ok(uses)) = parsed else {
        let text = format!(
            "revision {revision} of the lists cannot be parsed; the revision in force stays"
        );
        out.push(log_event(log::Level::Error, "lists.unreadable", text));
        return;
    };
    let lists = Lists {
        revision,
        plans,
        uses,
    };
    put_in_force(core, lists, parts, out);
}

/// Parses plans; only chunks that differ from the plans in force are parsed again.
fn read_plans(config: &Config, parts: &[Chunk]) -> Result<Plans, Vec<Fault>> {
    config
        .lists
        .plans
        .clone()
        .reparse(&config.plan_chunks, parts, "plans")
}

/// Puts lists in force; a revision that is not newer is ignored, so the lists never revert.
fn put_in_force(core: &mut Core, lists: Lists, parts: Vec<Chunk>, out: &mut Effects) {
    if lists.revision <= core.config.lists.revision {
        return;
    }
    let text = format!("revision {} of the lists is in force", lists.revision);
    out.push(log_event(log::Level::Info, "lists.in_force", text));
    let config = &mut core.config;
    config.index.update(&config.lists.plans, &lists.plans);
    config.lists = lists;
    config.plan_chunks = parts;
    share::lists_changed(core);
    member::send_heartbeats(core, out);
}

/// Sends the lists to a peer that has an older revision.
pub fn handle_fetch(core: &mut Core, from: HostKey, revision: u64, out: &mut Effects) {
    let lists = &core.config.lists;
    if lists.revision > revision {
        out.push(Effect::Send {
            to: from,
            message: Message::Lists {
                revision: lists.revision,
                plans: lists.plans.to_string().into(),
                uses: lists.uses.to_string().into(),
            },
        });
    }
}

/// Handles an answer of the store to an edit or to the read of a chunk.
pub fn reply(core: &mut Core, reply: StoreReply, out: &mut Effects) {
    match reply.job {
        Job::Apply(ask) => edit::handle_reply(core, ask, &reply.result, out),
        Job::Chunk(revision) => {
            if let StoreResult::Read(range) = reply.result
                && revision == core.config.head.revision
            {
                for pair in &range.pairs {
                    store_chunk(core, pair);
                }
                assemble(core, out);
            }
        }
        _ => {}
    }
}

fn store_chunk(core: &mut Core, pair: &Pair) {
    let Some(hash) = pair.key.strip_prefix(CHUNK_FOLDER) else {
        return;
    };
    let chunk = Chunk::new(&pair.value);
    if *chunk_name(&chunk) == *hash {
        core.config
            .head_chunks
            .insert(hash.into(), pair.value.to_vec().into());
    }
}

fn write_head(head: &Head) -> Vec<u8> {
    let value = json!({
        "revision": head.revision,
        "token": &*head.token,
        "plans": head.plans,
        "use": head.uses,
        "old": head.retired,
        "before": head.prior_tokens,
    });
    value.to_string().into_bytes()
}

fn parse_head(bytes: &[u8]) -> Option<Head> {
    let value: Value = serde_json::from_slice(bytes).ok()?;
    let names = |value: &Value| -> Option<Vec<Box<str>>> {
        let names = value.as_array()?;
        names
            .iter()
            .map(|name| name.as_str().map(Box::from))
            .collect()
    };
    Some(Head {
        revision: value["revision"].as_u64()?,
        token: value["token"].as_str()?.into(),
        plans: names(&value["plans"])?,
        uses: names(&value["use"])?,
        retired: names(&value["old"])?,
        prior_tokens: names(&value["before"])?,
    })
}
