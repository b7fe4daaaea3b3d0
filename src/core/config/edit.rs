//! Writing an operator's edit to the store.

use super::{
    CHUNK_FOLDER, HEAD_KEY, Head, MAX_CHUNK_BYTES, chunk_name, fetch, parse_head, put_in_force,
    read_plans, write_head,
};
use crate::core::effect::{Effect, OperatorAnswer};
use crate::core::event::{Edit, Health, Job, ListKind, StoreResult};
use crate::core::key::CommandKey;
use crate::core::{Core, Effects};
use crate::lists::{self, Chunk, Lists, Uses};
use crate::store::{Compare, Op, OpReply, Pair, Span, Txn, TxnReply};

/// Number of previous edits whose tokens a head keeps; more than can follow while the writer of an
/// edit finds out about a lost answer.
const MAX_PRIOR_EDITS: usize = 8;
/// Maximum number of chunks deleted by one swap; a transaction has at most 128 operations.
const MAX_DELETES_PER_TXN: usize = 100;
/// Retries of a write with an unknown outcome before the operator is answered that it is unclear.
const MAX_EDIT_TRIES: u32 = 20;

/// An edit that is being written to the store.
#[derive(Debug)]
pub struct Pending {
    list: ListKind,
    head: Head,
    /// Store revision at which the edited head was written; 0 if there is no head.
    base_modified: i64,
    /// Chunks not written yet.
    chunks: Vec<Chunk>,
    /// Chunks that no head references any more, deleted by the swap.
    deleted: Vec<Box<str>>,
    tries: u32,
    lists: Lists,
    /// Chunks of the new plans; the next edit is parsed against them.
    plan_chunks: Vec<Chunk>,
}

/// Starts an operator's edit.
///
/// While the store is known to be down, an edit is refused immediately: none of it was sent, and
/// the operator need not wait for a timeout.
pub fn apply(core: &mut Core, ask: CommandKey, edit: &Edit, out: &mut Effects) {
    if core.members.store == Health::Down {
        let answer = OperatorAnswer::StoreDown;
        out.push(Effect::AnswerOperator {
            command: ask,
            answer,
        });
        return;
    }
    match prepare(core, edit) {
        Ok(pending) => {
            core.config.pending.insert(ask, pending);
            write_next(core, ask, out);
        }
        Err(answer) => out.push(Effect::AnswerOperator {
            command: ask,
            answer,
        }),
    }
}

fn prepare(core: &mut Core, edit: &Edit) -> Result<Pending, OperatorAnswer> {
    let current = &core.config.lists;
    // With a newer head that is not in force here yet, the edit would be checked against an
    // outdated version of the other list.
    if edit.base_revision != current.revision || core.config.newest_known() > current.revision {
        return Err(conflict(core, edit.list));
    }
    let mut lists = current.clone();
    let parsed = match edit.list {
        ListKind::Plans => {
            let parts = lists::chunks(&edit.text, MAX_CHUNK_BYTES);
            read_plans(&core.config, &parts).map(|plans| lists.plans = plans)
        }
        ListKind::Uses => Uses::parse(&edit.text, "use").map(|uses| lists.uses = uses),
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
    let (deleted, kept) = retire(base, &head);
    head.retired = kept;
    let all = plans.iter().chain(&uses);
    // Chunks that the base head references exist as long as it is current, and the swap only
    // succeeds while it is.
    let chunks = all.filter(|chunk| !base.references(&chunk_name(chunk)));
    let chunks: Vec<Chunk> = chunks.cloned().collect();
    Ok(Pending {
        list: edit.list,
        head,
        base_modified: core.config.head_modified,
        chunks,
        deleted,
        tries: 0,
        lists,
        plan_chunks: plans,
    })
}

/// Returns the chunks that the swap deletes, and those kept for hosts that still read the old head.
///
/// The swap itself deletes them. A concurrent edit that rewrites one of them and relies on it is
/// based on the old head, so its swap fails; an edit based on the new head writes them after this
/// deletion.
fn retire(base: &Head, head: &Head) -> (Vec<Box<str>>, Vec<Box<str>>) {
    let unnamed = |chunks: &[Box<str>]| -> Vec<Box<str>> {
        let chunks = chunks.iter().filter(|chunk| !head.references(chunk));
        chunks.cloned().collect()
    };
    let mut deleted = unnamed(&base.retired);
    let mut kept = deleted.split_off(deleted.len().min(MAX_DELETES_PER_TXN));
    kept.extend(unnamed(&base.plans));
    kept.extend(unnamed(&base.uses));
    (deleted, kept)
}

fn faults<T: ToString>(found: &[T]) -> OperatorAnswer {
    let lines = found.iter().map(|fault| fault.to_string().into());
    OperatorAnswer::Faults(lines.collect())
}

fn conflict(core: &Core, list: ListKind) -> OperatorAnswer {
    let lists = &core.config.lists;
    let text = match list {
        ListKind::Plans => lists.plans.to_string(),
        ListKind::Uses => lists.uses.to_string(),
    };
    OperatorAnswer::Conflict {
        revision: lists.revision,
        text: text.into(),
    }
}

/// Writes the next chunk, or swaps the head when all chunks are written.
fn write_next(core: &mut Core, ask: CommandKey, out: &mut Effects) {
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
    let deleted = pending.deleted.iter();
    then.extend(deleted.map(|hash| Op::Delete(Span::Key(format!("{CHUNK_FOLDER}{hash}").into()))));
    Txn {
        compare: vec![base],
        then,
        otherwise: vec![Op::Get(Span::Key(HEAD_KEY.into()))],
    }
}

/// Continues an edit after an answer of the store.
pub fn handle_reply(core: &mut Core, ask: CommandKey, result: &StoreResult, out: &mut Effects) {
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
            let found_head = read_pairs(txn)
                .find_map(|pair| Some((parse_head(&pair.value)?, pair.mod_revision)));
            if txn.succeeded {
                finish(core, ask, Some(txn.revision), out);
            } else {
                resolve_conflict(core, ask, found_head, out);
            }
        }
        // Retrying the same swap settles the outcome: it succeeds, or finds this edit's head, or
        // that of another edit.
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

/// Resolves a failed swap: finds out whether this edit or another one was written.
fn resolve_conflict(
    core: &mut Core,
    ask: CommandKey,
    found_head: Option<(Head, i64)>,
    out: &mut Effects,
) {
    let Some(pending) = core.config.pending.get_mut(&ask) else {
        return;
    };
    let Some((head, modified)) = found_head else {
        finish(core, ask, None, out);
        return;
    };
    let token = &pending.head.token;
    if head.token == *token {
        // The answer to an earlier swap was lost, and this one found the head that it wrote.
        finish(core, ask, Some(modified), out);
    } else if head.prior_tokens.contains(token) {
        // The answer was lost, and another edit has been written on top of this one.
        finish(core, ask, Some(0), out);
    } else if head.revision + 1 == pending.head.revision && pending.tries < MAX_EDIT_TRIES {
        // The lists in force came from a peer while this host's watch delivered nothing: the edit
        // is based on the current head, and only its store revision was not known here.
        pending.tries += 1;
        pending.base_modified = modified;
        write_next(core, ask, out);
    } else {
        if head.revision > core.config.head.revision {
            core.config.head = head;
            core.config.head_modified = modified;
            fetch(core, out);
        }
        finish(core, ask, None, out);
    }
}

/// Returns the pairs found by the reads of a transaction.
fn read_pairs(txn: &TxnReply) -> impl Iterator<Item = &Pair> {
    txn.replies
        .iter()
        .filter_map(|reply| match reply {
            OpReply::Got(pairs) => Some(pairs),
            OpReply::Put | OpReply::Deleted(_) => None,
        })
        .flatten()
}

/// Ends an edit: accepted if its head was written, at this store revision (0 if unknown), and
/// otherwise refused with a conflict.
fn finish(core: &mut Core, ask: CommandKey, written_at: Option<i64>, out: &mut Effects) {
    let Some(pending) = core.config.pending.remove(&ask) else {
        return;
    };
    let answer = if let Some(modified) = written_at {
        let revision = pending.lists.revision;
        // An operator's next edit may arrive before the watch event of this head; it must not be
        // treated as based on the previous head.
        if pending.head.revision > core.config.head.revision && modified > 0 {
            core.config.head = pending.head;
            core.config.head_modified = modified;
        }
        put_in_force(core, pending.lists, pending.plan_chunks, out);
        OperatorAnswer::Accepted(revision)
    } else {
        conflict(core, pending.list)
    };
    out.push(Effect::AnswerOperator {
        command: ask,
        answer,
    });
}

fn close(core: &mut Core, ask: CommandKey, answer: OperatorAnswer, out: &mut Effects) {
    core.config.pending.remove(&ask);
    out.push(Effect::AnswerOperator {
        command: ask,
        answer,
    });
}
