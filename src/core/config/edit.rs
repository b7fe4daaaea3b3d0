//! An operator's edit on its way into the key-value service.

use super::{
    CHUNK_FOLDER, HEAD_KEY, Head, MAX_CHUNK_BYTES, chunk_name, fetch, parse_head, put_in_force,
    read_plans, write_head,
};
use crate::core::effect::{Effect, OperatorAnswer};
use crate::core::event::{Edit, Health, Job, StoreResult, Which};
use crate::core::key::AskKey;
use crate::core::{Core, Effects};
use crate::lists::{self, Chunk, Lists, Uses};
use crate::store::{Compare, Op, OpReply, Pair, Span, Txn, TxnReply};

/// Edits whose tokens a head remembers: more than come while a lost answer is settled.
const MAX_PRIOR_EDITS: usize = 8;
/// Chunks deleted by one swap; a transaction takes 128 steps.
const MAX_DELETES_PER_TXN: usize = 100;
/// Tries of a write whose outcome is unknown before the operator is told so.
const MAX_EDIT_TRIES: u32 = 20;

/// An edit on its way into the key-value service.
#[derive(Debug)]
pub struct Pending {
    list: Which,
    head: Head,
    /// Revision of the key-value service at which the edited head stood; 0 for none.
    base_modified: i64,
    /// Chunks that are still to be written.
    chunks: Vec<Chunk>,
    /// Chunks that no head names any more.
    deleted: Vec<Box<str>>,
    tries: u32,
    lists: Lists,
    /// Chunks of the plans, for the next edit.
    plan_chunks: Vec<Chunk>,
}

/// Takes an operator's edit in hand.
///
/// While the key-value service is known to be down, an edit is refused at once: nothing of it was
/// sent, and an operator need not wait to learn that.
pub fn apply(core: &mut Core, ask: AskKey, edit: &Edit, out: &mut Effects) {
    if core.members.store == Health::Down {
        let answer = OperatorAnswer::StoreDown;
        out.push(Effect::Answer { ask, answer });
        return;
    }
    match prepare(core, edit) {
        Ok(pending) => {
            core.config.pending.insert(ask, pending);
            write_next(core, ask, out);
        }
        Err(answer) => out.push(Effect::Answer { ask, answer }),
    }
}

fn prepare(core: &mut Core, edit: &Edit) -> Result<Pending, OperatorAnswer> {
    let current = &core.config.lists;
    // An edit on top of a head that is not in force here yet would be checked against the wrong
    // other list.
    if edit.base != current.revision || core.config.newest_known() > current.revision {
        return Err(conflict(core, edit.list));
    }
    let mut lists = current.clone();
    let parsed = match edit.list {
        Which::Plans => {
            let parts = lists::chunks(&edit.text, MAX_CHUNK_BYTES);
            read_plans(&core.config, &parts).map(|plans| lists.plans = plans)
        }
        Which::Uses => Uses::parse(&edit.text, "use").map(|uses| lists.uses = uses),
    };
    parsed.map_err(|found| faults(&found))?;
    let found = lists::check(&lists.plans, &lists.uses);
    if !found.is_empty() {
        return Err(faults(&found));
    }
    lists.revision += 1;
    let plans = lists::chunks(&lists.plans.to_string(), MAX_CHUNK_BYTES);
    let uses = lists::chunks(&lists.uses.to_string(), MAX_CHUNK_BYTES);
    let names = |chunks: &[Chunk]| chunks.iter().map(chunk_name).collect();
    let token: u64 = rand::RngExt::random(&mut core.rng);
    let base = &core.config.head;
    let mut head = Head {
        revision: lists.revision,
        token: format!("{}-{token:016x}", core.members.name).into(),
        plans: names(&plans),
        uses: names(&uses),
        retired: Vec::new(),
        prior_tokens: base.prior_tokens.clone(),
    };
    head.prior_tokens.insert(0, base.token.clone());
    head.prior_tokens.truncate(MAX_PRIOR_EDITS);
    let (gone, old) = retire(base, &head);
    head.retired = old;
    let all = plans.iter().chain(&uses);
    // What the head names is there as long as the head stands, and the swap needs it to stand.
    let chunks = all.filter(|chunk| !base.names(&chunk_name(chunk)));
    let chunks: Vec<Chunk> = chunks.cloned().collect();
    Ok(Pending {
        list: edit.list,
        head,
        base_modified: core.config.head_modified,
        chunks,
        deleted: gone,
        tries: 0,
        lists,
        plan_chunks: plans,
    })
}

/// Returns which chunks go with the new head, and which stay for hosts that still read the old.
///
/// They are deleted by the swap itself. A racing edit that writes one of them again and counts on
/// it stands on the old head, and its own swap fails; one that stands on the new head writes them
/// after this deletion.
fn retire(base: &Head, head: &Head) -> (Vec<Box<str>>, Vec<Box<str>>) {
    let unnamed = |chunks: &[Box<str>]| -> Vec<Box<str>> {
        let chunks = chunks.iter().filter(|chunk| !head.names(chunk));
        chunks.cloned().collect()
    };
    let mut gone = unnamed(&base.retired);
    let mut old = gone.split_off(gone.len().min(MAX_DELETES_PER_TXN));
    old.extend(unnamed(&base.plans));
    old.extend(unnamed(&base.uses));
    (gone, old)
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
fn write_next(core: &mut Core, ask: AskKey, out: &mut Effects) {
    let Some(pending) = core.config.pending.get(&ask) else {
        return;
    };
    let txn = match pending.chunks.last() {
        Some(chunk) => Txn {
            compare: Vec::new(),
            then: vec![Op::Put {
                key: format!("{CHUNK_FOLDER}{}", chunk_name(chunk)).into(),
                value: chunk.bytes.clone().into(),
                lease: 0,
            }],
            otherwise: Vec::new(),
        },
        None => swap_head(pending),
    };
    out.push(Effect::Txn {
        job: Job::Apply(ask),
        txn,
    });
}

fn swap_head(pending: &Pending) -> Txn {
    let base = match pending.base_modified {
        0 => Compare::Absent {
            key: HEAD_KEY.into(),
        },
        modified => Compare::Modified {
            key: HEAD_KEY.into(),
            revision: modified,
        },
    };
    let mut then = vec![Op::Put {
        key: HEAD_KEY.into(),
        value: write_head(&pending.head).into(),
        lease: 0,
    }];
    let gone = pending.deleted.iter();
    then.extend(gone.map(|hash| Op::Delete(Span::Key(format!("{CHUNK_FOLDER}{hash}").into()))));
    Txn {
        compare: vec![base],
        then,
        otherwise: vec![Op::Get(Span::Key(HEAD_KEY.into()))],
    }
}

/// Goes on with an edit when the key-value service has answered.
pub fn handle_reply(core: &mut Core, ask: AskKey, result: &StoreResult, out: &mut Effects) {
    let Some(pending) = core.config.pending.get_mut(&ask) else {
        return;
    };
    match result {
        StoreResult::Txn(txn) if !pending.chunks.is_empty() => {
            debug_assert!(txn.succeeded, "a chunk is written without a condition");
            pending.chunks.pop();
            write_next(core, ask, out);
        }
        StoreResult::Txn(txn) => {
            let theirs = read_pairs(txn)
                .find_map(|pair| Some((parse_head(&pair.value)?, pair.mod_revision)));
            if txn.succeeded {
                finish(core, ask, Some(txn.revision), out);
            } else {
                resolve_conflict(core, ask, theirs, out);
            }
        }
        // The same swap again settles it: it succeeds, or finds its own head, or another's.
        StoreResult::Unknown if pending.tries < MAX_EDIT_TRIES => {
            pending.tries += 1;
            write_next(core, ask, out);
        }
        StoreResult::Unknown => close(core, ask, OperatorAnswer::Unclear, out),
        _ if pending.tries == 0 => close(core, ask, OperatorAnswer::StoreDown, out),
        _ if pending.tries < MAX_EDIT_TRIES => {
            pending.tries += 1;
            write_next(core, ask, out);
        }
        _ => close(core, ask, OperatorAnswer::Unclear, out),
    }
}

/// Finds out what it means that another head stands where an edit was to go.
fn resolve_conflict(core: &mut Core, ask: AskKey, theirs: Option<(Head, i64)>, out: &mut Effects) {
    let Some(pending) = core.config.pending.get_mut(&ask) else {
        return;
    };
    let Some((head, stood)) = theirs else {
        finish(core, ask, None, out);
        return;
    };
    let token = &pending.head.token;
    if head.token == *token {
        // The answer to the first swap was lost, and the second finds its own head there.
        finish(core, ask, Some(stood), out);
    } else if head.prior_tokens.contains(token) {
        // It was lost, and the next edit came on top of this one.
        finish(core, ask, Some(0), out);
    } else if head.revision + 1 == pending.head.revision && pending.tries < MAX_EDIT_TRIES {
        // The lists came from a peer, while this host's own watch is silent: the edit stands on
        // the right head and only its place was not known here.
        pending.tries += 1;
        pending.base_modified = stood;
        write_next(core, ask, out);
    } else {
        if head.revision > core.config.head.revision {
            core.config.head = head;
            core.config.head_modified = stood;
            fetch(core, out);
        }
        finish(core, ask, None, out);
    }
}

/// Returns what the reads of a transaction found.
fn read_pairs(txn: &TxnReply) -> impl Iterator<Item = &Pair> {
    txn.replies
        .iter()
        .filter_map(|reply| match reply {
            OpReply::Got(pairs) => Some(pairs),
            OpReply::Put | OpReply::Deleted(_) => None,
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
        if pending.head.revision > core.config.head.revision && stood > 0 {
            core.config.head = pending.head;
            core.config.head_modified = stood;
        }
        put_in_force(core, pending.lists, pending.plan_chunks, out);
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
