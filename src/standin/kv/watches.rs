//! Open watches of the stand-in.

use std::io;
use std::task::Poll;

use futures_util::Stream;
use ntex::util::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::data::{Data, Event};
use super::wire::{Keys, WatchCreate, header};

#[derive(Debug)]
struct Open {
    keys: Keys,
    to: mpsc::UnboundedSender<Bytes>,
    /// Next revision to tell.
    next: i64,
    progress: bool,
    frozen: bool,
}

/// Hands `result` to a watch; one whose reader is gone is pruned later.
fn send(to: &mpsc::UnboundedSender<Bytes>, result: &Value) {
    let line = format!("{}\n", json!({"result": result}));
    if to.send(Bytes::from(line)).is_err() {
        log::trace!("a watch is gone");
    }
}

/// All open watches.
#[derive(Debug, Default)]
pub(super) struct Watches(Vec<Open>);

impl Watches {
    /// Opens a watch; the stream ends when the watch is closed here.
    pub(super) fn open(
        &mut self,
        call: WatchCreate,
        data: &Data,
    ) -> impl Stream<Item = io::Result<Bytes>> + Unpin + use<> {
        let (to, mut from) = mpsc::unbounded_channel();
        let next = if call.start_revision == 0 {
            data.revision + 1
        } else {
            call.start_revision
        };
        send(
            &to,
            &json!({"header": header(data.revision), "created": true}),
        );
        if next <= data.compacted {
            send(
                &to,
                &json!({
                    "header": header(data.revision),
                    "canceled": true,
                    "compact_revision": (data.compacted + 1).to_string(),
                }),
            );
        } else {
            self.0.push(Open {
                keys: Keys {
                    key: call.key,
                    range_end: call.range_end,
                },
                to,
                next,
                progress: call.progress_notify,
                frozen: false,
            });
            self.tell(data);
        }
        futures_util::stream::poll_fn(move |cx| match from.poll_recv(cx) {
            Poll::Ready(part) => Poll::Ready(part.map(Ok)),
            Poll::Pending => Poll::Pending,
        })
    }

    /// Sends what is new, one message a revision.
    pub(super) fn tell(&mut self, data: &Data) {
        for open in &mut self.0 {
            let from = open.next;
            open.next = open.next.max(data.revision + 1);
            if open.frozen {
                continue;
            }
            let events: Vec<&Event> = data
                .since(from)
                .filter(|event| open.keys.holds(&event.key))
                .collect();
            for same in events.chunk_by(|a, b| a.entry.modified == b.entry.modified) {
                let all: Vec<Value> = same.iter().map(|event| event.json()).collect();
                let revision = same.first().map_or(0, |event| event.entry.modified);
                send(
                    &open.to,
                    &json!({"header": header(revision), "events": all}),
                );
            }
        }
        self.prune();
    }

    /// Sends a progress notification to each watch that asked for them.
    pub(super) fn progress(&mut self, data: &Data) {
        let told = json!({"header": header(data.revision)});
        for open in self
            .0
            .iter()
            .filter(|open| open.progress && !open.frozen && open.next > data.revision)
        {
            send(&open.to, &told);
        }
        self.prune();
    }

    /// Makes the watches that are open now silent for good.
    pub(super) fn freeze(&mut self) {
        for open in &mut self.0 {
            open.frozen = true;
        }
    }

    /// Closes all watches.
    pub(super) fn close(&mut self) {
        self.0.clear();
    }

    /// Returns the number of watches that wait.
    pub(super) fn waiting(&mut self) -> usize {
        self.prune();
        self.0.len()
    }

    fn prune(&mut self) {
        self.0.retain(|open| !open.to.is_closed());
    }
}
