//! The operators' lists: which revision is in force here, how a newer one gets in, how an edit
//! is accepted.
//!
//! The lists stand in the key-value service as chunks named by their content and one small head
//! that names them. An edit writes the chunks first and then swaps the head, so that a reader
//! never sees half an edit and two operators who race get one success and one conflict.

use std::collections::BTreeMap;
use std::time::Duration;

use serde_json::{Value, json};

use super::effect::{Effect, OperatorAnswer, log_event};
use super::event::{Edit, Job, StoreReply, StoreResult, Timer, Watched, Which};
use super::key::{AskKey, HostKey};
use super::message::Message;
use super::{Core, Effects, member, share};
use crate::lists::{self, Chunk, Index, Lists, Plans, Uses};
use crate::store::{Compare, Op, Pair, Reply, Span, Txn, TxnReply};

/// First word of the watched key of the head.
pub const WORD: &str = "lists";
/// The head's key.
const HEAD: &str = "w/lists/head";
/// Folder of the chunks.
const CHUNKS: &str = "d/chunk/";
/// Largest chunk; well under the largest value of the key-value service.
const CHUNK_LIMIT: usize = 256 * 1024;
/// Time until a list known to be newer is asked for again.
const FETCH_EVERY: Duration = Duration::from_millis(500);
/// Tries of a write whose outcome is unknown before the operator is told so.
const EDIT_TRIES: u32 = 20;

/// What the head names.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
struct Head {
    revision: u64,
    /// Names the edit, so that its writer knows it again when the answer was lost.
    token: Box<str>,
    plans: Vec<Box<str>>,
    uses: Vec<Box<str>>,
}

/// An edit on its way into the key-value service.
#[derive(Debug)]
struct Pending {
    list: Which,
    head: Head,
    /// Revision of the key-value service at which the edited head stood; 0 for none.
    base: i64,
    chunks: Vec<Chunk>,
    tries: u32,
    lists: Lists,
}

/// The lists in force and what is on its way.
#[derive(Debug, Default)]
pub struct Config {
    /// The lists in force.
    pub lists: Lists,
    /// Customers by the hashes of their keys.
    pub index: Index,
    /// Newest head seen, and where it stood.
    head: Head,
    stood: i64,
    /// Chunks of the newest head, as far as they are here.
    chunks: BTreeMap<Box<str>, Box<[u8]>>,
    /// Newest revision a peer has in force.
    rumour: u64,
    fetching: bool,
    pending: BTreeMap<AskKey, Pending>,
}

impl Config {
    /// Returns the revision in force; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.lists.revision
    }

    fn newest(&self) -> u64 {
        self.head.revision.max(self.rumour)
    }
}

/// Nothing to start: the watch brings the head.
pub fn start(_core: &mut Core, _out: &mut Effects) {}

/// Takes in the head as the key-value service has it.
pub fn watched(core: &mut Core, pair: &Watched, out: &mut Effects) {
    let Some(head) = pair.value.as_deref().and_then(parse_head) else {
        return;
    };
    if head.revision < core.config.head.revision {
        return;
    }
    core.config.head = head;
    core.config.stood = pair.modified;
    fetch(core, out);
}

/// Notes that a peer has a newer revision in force, and asks it for the lists.
///
/// During an outage of the key-value service this is how a revision that was accepted just before
/// reaches every host.
pub fn heard(core: &mut Core, from: HostKey, revision: u64, out: &mut Effects) {
    if revision > core.config.newest() {
        core.config.rumour = revision;
        out.push(Effect::Send {
            to: from,
            message: Message::Fetch(core.config.revision()),
        });
        wake(core, out);
    }
}

fn wake(core: &mut Core, out: &mut Effects) {
    if !core.config.fetching {
        core.config.fetching = true;
        out.push(Effect::Wake {
            at: core.now.after(FETCH_EVERY),
            timer: Timer::Fetch,
        });
    }
}

/// Asks again for lists that are known to be newer.
pub fn timer(core: &mut Core, out: &mut Effects) {
    core.config.fetching = false;
    if core.config.newest() <= core.config.revision() {
        return;
    }
    fetch(core, out);
    let have = core.config.revision();
    let ahead: Vec<HostKey> = core
        .members
        .peers()
        .filter(|&host| core.members.arena[host].beat.revision > have)
        .take(2)
        .collect();
    for to in ahead {
        out.push(Effect::Send {
            to,
            message: Message::Fetch(have),
        });
    }
}

/// Reads the chunks of the newest head that are not here yet.
fn fetch(core: &mut Core, out: &mut Effects) {
    let config = &mut core.config;
    let revision = config.head.revision;
    if revision <= config.lists.revision {
        return;
    }
    let wanted: Vec<&Box<str>> = config.head.plans.iter().chain(&config.head.uses).collect();
    config.chunks.retain(|hash, _| wanted.contains(&hash));
    let missing: Vec<Box<str>> = wanted
        .into_iter()
        .filter(|hash| !config.chunks.contains_key(*hash))
        .cloned()
        .collect();
    if missing.is_empty() {
        assemble(core, out);
        return;
    }
    for hash in missing {
        out.push(Effect::Read {
            job: Job::Chunk(revision),
            span: Span::Key(format!("{CHUNKS}{hash}").into()),
        });
    }
    wake(core, out);
}

/// Returns a chunk's name in the key-value service.
fn name(chunk: &Chunk) -> Box<str> {
    blake3::Hash::from_bytes(chunk.hash)
        .to_hex()
        .as_str()
        .into()
}

/// Puts the newest head's lists in force once every chunk is here.
fn assemble(core: &mut Core, out: &mut Effects) {
    let head = &core.config.head;
    let text = |hashes: &[Box<str>]| {
        let chunks: Option<Vec<Chunk>> = hashes
            .iter()
            .map(|hash| core.config.chunks.get(hash).map(|bytes| Chunk::new(bytes)))
            .collect();
        lists::join(&chunks?).ok()
    };
    let (Some(plans), Some(uses)) = (text(&head.plans), text(&head.uses)) else {
        return;
    };
    told(core, head.revision, &plans, &uses, out);
}

/// Takes in whole lists, from a peer or from the key-value service.
pub fn told(core: &mut Core, revision: u64, plans: &str, uses: &str, out: &mut Effects) {
    if revision <= core.config.revision() {
        return;
    }
    let parsed = (Plans::parse(plans, "plans"), Uses::parse(uses, "use"));
    let (Ok(plans), Ok(uses)) = parsed else {
        let text = format!("revision {revision} of the lists cannot be read here");
        out.push(log_event(log::Level::Error, "lists.unreadable", text));
        return;
    };
    let lists = Lists {
        revision,
        plans,
        uses,
    };
    enforce(core, lists, out);
}

/// Puts lists in force; a revision that is not newer is left out, so that none reverts.
fn enforce(core: &mut Core, lists: Lists, out: &mut Effects) {
    if lists.revision <= core.config.lists.revision {
        return;
    }
    let text = format!("revision {} of the lists is in force", lists.revision);
    out.push(log_event(log::Level::Info, "lists.in_force", text));
    core.config.index = Index::new(&lists);
    core.config.lists = lists;
    share::changed(core);
    member::beats(core, out);
}

/// Sends the lists to a peer that has an older revision.
pub fn asked(core: &mut Core, from: HostKey, revision: u64, out: &mut Effects) {
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

/// Takes an operator's edit in hand.
pub fn apply(core: &mut Core, ask: AskKey, edit: &Edit, out: &mut Effects) {
    match prepare(core, edit) {
        Ok(pending) => {
            core.config.pending.insert(ask, pending);
            write(core, ask, out);
        }
        Err(answer) => out.push(Effect::Answer { ask, answer }),
    }
}

fn prepare(core: &mut Core, edit: &Edit) -> Result<Pending, OperatorAnswer> {
    let current = &core.config.lists;
    // An edit on top of a head that is not in force here yet would be checked against the wrong
    // other list.
    if edit.base != current.revision || core.config.newest() > current.revision {
        return Err(conflict(core, edit.list));
    }
    let mut lists = current.clone();
    let parsed = match edit.list {
        Which::Plans => Plans::parse(&edit.text, "plans").map(|plans| lists.plans = plans),
        Which::Uses => Uses::parse(&edit.text, "use").map(|uses| lists.uses = uses),
    };
    parsed.map_err(|found| faults(&found))?;
    let found = lists::check(&lists.plans, &lists.uses);
    if !found.is_empty() {
        return Err(faults(&found));
    }
    lists.revision += 1;
    let plans = lists::chunks(&lists.plans.to_string(), CHUNK_LIMIT);
    let uses = lists::chunks(&lists.uses.to_string(), CHUNK_LIMIT);
    let names = |chunks: &[Chunk]| chunks.iter().map(name).collect();
    let token: u64 = rand::RngExt::random(&mut core.rng);
    Ok(Pending {
        list: edit.list,
        head: Head {
            revision: lists.revision,
            token: format!("{}-{token:016x}", core.members.name).into(),
            plans: names(&plans),
            uses: names(&uses),
        },
        base: core.config.stood,
        chunks: plans.into_iter().chain(uses).collect(),
        tries: 0,
        lists,
    })
}

fn faults<T: ToString>(found: &[T]) -> OperatorAnswer {
    let lines = found.iter().map(|fault| fault.to_string().into());
    OperatorAnswer::Faults(lines.collect())
}

fn conflict(core: &Core, list: Which) -> OperatorAnswer {
    let lists = &core.config.lists;
    let text = match list {
        Which::Plans => lists.plans.to_string(),
        Which::Uses => lists.uses.to_string(),
    };
    OperatorAnswer::Conflict {
        revision: lists.revision,
        text: text.into(),
    }
}

/// Writes the next chunk, or swaps the head when all chunks are there.
fn write(core: &mut Core, ask: AskKey, out: &mut Effects) {
    let Some(pending) = core.config.pending.get(&ask) else {
        return;
    };
    let txn = match pending.chunks.last() {
        Some(chunk) => Txn {
            compare: Vec::new(),
            then: vec![Op::Put {
                key: format!("{CHUNKS}{}", name(chunk)).into(),
                value: chunk.bytes.clone().into(),
                lease: 0,
            }],
            otherwise: Vec::new(),
        },
        None => swap(pending),
    };
    out.push(Effect::Txn {
        job: Job::Apply(ask),
        txn,
    });
}

fn swap(pending: &Pending) -> Txn {
    let base = match pending.base {
        0 => Compare::Absent { key: HEAD.into() },
        modified => Compare::Modified {
            key: HEAD.into(),
            at: modified,
        },
    };
    Txn {
        compare: vec![base],
        then: vec![Op::Put {
            key: HEAD.into(),
            value: write_head(&pending.head).into(),
            lease: 0,
        }],
        otherwise: vec![Op::Get(Span::Key(HEAD.into()))],
    }
}

/// Goes on with an edit, or takes in a chunk.
pub fn reply(core: &mut Core, reply: StoreReply, out: &mut Effects) {
    match reply.job {
        Job::Apply(ask) => applied(core, ask, &reply.result, out),
        Job::Chunk(revision) => {
            if let StoreResult::Read(range) = reply.result
                && revision == core.config.head.revision
            {
                for pair in &range.pairs {
                    keep_chunk(core, pair);
                }
                assemble(core, out);
            }
        }
        _ => {}
    }
}

fn keep_chunk(core: &mut Core, pair: &Pair) {
    let Some(hash) = pair.key.strip_prefix(CHUNKS) else {
        return;
    };
    let chunk = Chunk::new(&pair.value);
    if *name(&chunk) == *hash {
        core.config
            .chunks
            .insert(hash.into(), pair.value.to_vec().into());
    }
}

fn applied(core: &mut Core, ask: AskKey, result: &StoreResult, out: &mut Effects) {
    let Some(pending) = core.config.pending.get_mut(&ask) else {
        return;
    };
    match result {
        StoreResult::Txn(txn) if !pending.chunks.is_empty() => {
            debug_assert!(txn.succeeded, "a chunk is written without a condition");
            pending.chunks.pop();
            write(core, ask, out);
        }
        StoreResult::Txn(txn) => {
            // When the answer to the first swap was lost, the second finds its own head there.
            let token = &pending.head.token;
            let own = found(txn)
                .find(|pair| parse_head(&pair.value).is_some_and(|head| head.token == *token))
                .map(|pair| pair.modified);
            let stands = if txn.succeeded {
                Some(txn.revision)
            } else {
                own
            };
            finish(core, ask, stands, out);
        }
        // The same swap again settles it: it succeeds, or finds its own head, or another's.
        StoreResult::Unknown if pending.tries < EDIT_TRIES => {
            pending.tries += 1;
            write(core, ask, out);
        }
        StoreResult::Unknown => close(core, ask, OperatorAnswer::Unclear, out),
        _ if pending.tries == 0 => close(core, ask, OperatorAnswer::StoreDown, out),
        _ if pending.tries < EDIT_TRIES => {
            pending.tries += 1;
            write(core, ask, out);
        }
        _ => close(core, ask, OperatorAnswer::Unclear, out),
    }
}

/// Returns what the reads of a transaction found.
fn found(txn: &TxnReply) -> impl Iterator<Item = &Pair> {
    txn.replies
        .iter()
        .filter_map(|reply| match reply {
            Reply::Got(pairs) => Some(pairs),
            Reply::Put | Reply::Deleted(_) => None,
        })
        .flatten()
}

/// Ends an edit whose head stands in the key-value service at this revision of it, if it does.
fn finish(core: &mut Core, ask: AskKey, stands: Option<i64>, out: &mut Effects) {
    let Some(pending) = core.config.pending.remove(&ask) else {
        return;
    };
    let answer = if let Some(stood) = stands {
        let revision = pending.lists.revision;
        // An operator's next edit may come before the watch brings this head; it must not be
        // taken for one on top of the head before.
        if pending.head.revision > core.config.head.revision {
            core.config.head = pending.head;
            core.config.stood = stood;
        }
        enforce(core, pending.lists, out);
        OperatorAnswer::Accepted(revision)
    } else {
        conflict(core, pending.list)
    };
    out.push(Effect::Answer { ask, answer });
}

fn close(core: &mut Core, ask: AskKey, answer: OperatorAnswer, out: &mut Effects) {
    core.config.pending.remove(&ask);
    out.push(Effect::Answer { ask, answer });
}

fn write_head(head: &Head) -> Vec<u8> {
    let value = json!({
        "revision": head.revision,
        "token": &*head.token,
        "plans": head.plans,
        "use": head.uses,
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
    })
}
