//! Open watches of the stand-in, and the streams of events to their clients.

use std::io;
use std::task::Poll;

use futures_util::Stream;
use ntex::util::Bytes;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use super::mvcc::{Event, MvccStore};
use super::wire::{KeyRange, WatchCreateRequest, response_header};

#[derive(Debug)]
struct OpenWatch {
    keys: KeyRange,
    sender: mpsc::UnboundedSender<Bytes>,
    /// Lowest revision that is still to be sent.
    next_revision: i64,
    progress_notify: bool,
    /// Whether the watch stays open and sends nothing more.
    frozen: bool,
}

/// Sends `result` to a watch; a watch whose client is gone is removed later by `prune`.
fn send_result(sender: &mpsc::UnboundedSender<Bytes>, result: &Value) {
    let line = format!("{}\n", json!({"result": result}));
    if sender.send(Bytes::from(line)).is_err() {
        log::trace!("cannot send to a watch: its client has disconnected");
    }
}

/// All open watches.
#[derive(Debug, Default)]
pub(super) struct Watches(Vec<OpenWatch>);

impl Watches {
    /// Opens a watch and returns the stream of its events, which ends when the watch is closed.
    pub(super) fn open(
        &mut self,
        call: WatchCreateRequest,
        store: &MvccStore,
    ) -> impl Stream<Item = io::Result<Bytes>> + Unpin + use<> {
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let next_revision = if call.start_revision == 0 {
            store.revision + 1
        } else {
            call.start_revision
        };
        send_result(
            &sender,
            &json!({"header": response_header(store.revision), "created": true}),
        );
        if next_revision <= store.compacted {
            send_result(
                &sender,
                &json!({
                    "header": response_header(store.revision),
                    "canceled": true,
                    "compact_revision": (store.compacted + 1).to_string(),
                }),
            );
        } else {
            self.0.push(OpenWatch {
                keys: KeyRange {
                    key: call.key,
                    range_end: call.range_end,
                },
                sender,
                next_revision,
                progress_notify: call.progress_notify,
                frozen: false,
            });
            self.deliver(store);
        }
        futures_util::stream::poll_fn(move |cx| match receiver.poll_recv(cx) {
            Poll::Ready(line) => Poll::Ready(line.map(Ok)),
            Poll::Pending => Poll::Pending,
        })
    }

    /// Sends new changes to each watch, one message per revision.
    pub(super) fn deliver(&mut self, store: &MvccStore) {
        for watch in &mut self.0 {
            let from = watch.next_revision;
            watch.next_revision = watch.next_revision.max(store.revision + 1);
            if watch.frozen {
                continue;
            }
            let events: Vec<&Event> = store
                .changes_since(from)
                .filter(|event| watch.keys.contains(&event.key))
                .collect();
            for changes in events.chunk_by(|a, b| a.entry.mod_revision == b.entry.mod_revision) {
                let events: Vec<Value> = changes.iter().map(|event| event.to_json()).collect();
                let revision = changes.first().map_or(0, |event| event.entry.mod_revision);
                send_result(
                    &watch.sender,
                    &json!({"header": response_header(revision), "events": events}),
                );
            }
        }
        self.prune();
    }

    /// Sends a progress notification to each watch that requested them and has no change pending.
    pub(super) fn send_progress(&mut self, store: &MvccStore) {
        let result = json!({"header": response_header(store.revision)});
        for watch in self.0.iter().filter(|watch| {
            watch.progress_notify && !watch.frozen && watch.next_revision > store.revision
        }) {
            send_result(&watch.sender, &result);
        }
        self.prune();
    }

    /// Makes the watches that are open now send nothing more.
    pub(super) fn freeze(&mut self) {
        for watch in &mut self.0 {
            watch.frozen = true;
        }
    }

    /// Closes all watches.
    pub(super) fn close_all(&mut self) {
        self.0.clear();
    }

    /// Returns the number of open watches.
    pub(super) fn open_count(&mut self) -> usize {
        self.prune();
        self.0.len()
    }

    fn prune(&mut self) {
        self.0.retain(|watch| !watch.sender.is_closed());
    }
}
