//! Injects faults into the run of a seed.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::cluster::{Cluster, HOST_COUNT, SERVER_STAGES, entry};
use crate::cut::FaultProxy;
use crate::faults::{Fault, FaultKind};
use crate::standin::Engine;
use crate::standin::torn::Framing;
use crate::standin::trouble::Trouble;

/// Writes without an answer in one [`FaultKind::StoreDropsReplies`].
const DROPPED_REPLIES: u32 = 3;

impl Cluster {
    /// Injects one fault, and ends it after its duration.
    pub fn inject(&self, fault: Fault) {
        let planned = matches!(
            fault.kind,
            FaultKind::Stop(_)
                | FaultKind::Reload(_)
                | FaultKind::Configure
                | FaultKind::Crowd(_)
                | FaultKind::ServerDrain(_)
        );
        if !planned {
            self.unplanned.0.fetch_add(1, Ordering::SeqCst);
            self.unplanned.1.fetch_add(1, Ordering::SeqCst);
        }
        self.apply(fault);
        if !planned {
            self.unplanned.0.fetch_sub(1, Ordering::SeqCst);
        }
    }

    fn apply(&self, fault: Fault) {
        let lasting = |forwarder: &FaultProxy, begin: fn(&FaultProxy)| {
            begin(forwarder);
            thread::sleep(fault.duration);
            forwarder.restore();
        };
        let forwarder = |position| self.with_server(position, |server| server.forwarder.clone());
        match fault.kind {
            FaultKind::Kill(host) => self.kill(&[host]),
            FaultKind::KillAll => self.kill(&(0..HOST_COUNT).collect::<Vec<_>>()),
            FaultKind::Stop(index) => {
                let mut host = self.hosts[index].lock().expect("no panic");
                host.process.term();
                host.process.wait_for_exit();
                self.restart(index, &mut host);
            }
            FaultKind::Freeze(host) => {
                let host = self.hosts[host].lock().expect("no panic");
                host.process.freeze();
                thread::sleep(fault.duration);
                host.process.thaw();
            }
            FaultKind::Reload(host) => self.hosts[host].lock().expect("no panic").process.hup(),
            FaultKind::StoreLinkSilent(host) => {
                lasting(&self.store_forwarders[host], FaultProxy::silence);
            }
            FaultKind::StoreLinkOneWay(host) => {
                lasting(&self.store_forwarders[host], FaultProxy::block_replies);
            }
            FaultKind::StoreLinkRefuses(host) => {
                lasting(&self.store_forwarders[host], FaultProxy::refuse);
            }
            FaultKind::StoreLinkReset(host) => self.store_forwarders[host].reset(),
            FaultKind::StoreDown => {
                self.store.go_down();
                thread::sleep(fault.duration);
                self.store.recover();
            }
            FaultKind::StoreHang => {
                self.store.hang();
                thread::sleep(fault.duration / 2);
                self.configure();
                thread::sleep(fault.duration / 2);
                self.store.recover();
            }
            FaultKind::StoreRestored => {
                let _writes = self.writes.lock().expect("no panic");
                let revision = self.store.revision_before(fault.duration);
                self.store.go_down();
                thread::sleep(fault.duration / 10);
                self.store.restore(revision);
                self.store.recover();
                thread::sleep(fault.duration / 2);
                self.store.rewrite_lost();
            }
            FaultKind::StoreDropsReplies => self.store.drop_replies(DROPPED_REPLIES),
            FaultKind::ServerSilent(position) => lasting(&forwarder(position), FaultProxy::silence),
            FaultKind::ServerOneWay(position) => {
                lasting(&forwarder(position), FaultProxy::block_replies);
            }
            FaultKind::ServerDelay(position) => lasting(&forwarder(position), FaultProxy::delay),
            FaultKind::ServerReset(position) => forwarder(position).reset(),
            FaultKind::ServerCrash(position) => {
                let id = self.with_server(position, |server| {
                    server.engine.crash();
                    server.forwarder.refuse();
                    server.engine.id.clone()
                });
                thread::sleep(fault.duration);
                self.remove_entry(&id);
                self.replace(position);
            }
            FaultKind::ServerDrain(position) => {
                self.drain_and_replace(position);
            }
            FaultKind::Configure => {
                self.configure();
            }
            FaultKind::Crowd(host) => self.draw_crowd(host, fault.duration),
            FaultKind::Partition(hosts, how) => self.partition(hosts, how, fault.duration),
            FaultKind::TearAnswer(position, mut how) => {
                // Nobody could see that a whole answer is torn that only its connection ends.
                if SERVER_STAGES[position].is_none() && how.framing == Framing::Connection {
                    how.framing = Framing::Length;
                }
                self.with_server(position, |server| Engine::tear_next(&[&server.engine], how));
                thread::sleep(fault.duration);
                for server in &*self.servers.lock().expect("no panic") {
                    server.engine.clear_tear();
                }
            }
            FaultKind::Trouble(position, trouble) => {
                self.pass_trouble(position, trouble, fault.duration);
            }
            FaultKind::BreakStream(position) => {
                self.with_server(position, |server| server.engine.break_after(2));
                thread::sleep(fault.duration);
                // The position may have another server by now, so every server is reset.
                for server in &*self.servers.lock().expect("no panic") {
                    server.engine.clear_break();
                }
            }
        }
    }

    /// Has the server of a position answer some requests in a way for a time.
    fn pass_trouble(&self, position: usize, trouble: Trouble, duration: Duration) {
        let index = self.positions.lock().expect("no panic")[position];
        let with_engine = |act: &dyn Fn(&Engine)| {
            act(&self.servers.lock().expect("no panic")[index].engine);
        };
        with_engine(&|engine| engine.begin_trouble(trouble));
        thread::sleep(duration);
        with_engine(&|engine| engine.end_trouble(trouble));
        let is_current = self.positions.lock().expect("no panic")[position] == index;
        if trouble.ends_use() && is_current {
            let id = self.servers.lock().expect("no panic")[index]
                .engine
                .id
                .clone();
            self.remove_entry(&id);
            self.replace(position);
        }
    }

    fn kill(&self, indices: &[usize]) {
        let mut hosts: Vec<_> = indices
            .iter()
            .map(|host| self.hosts[*host].lock().expect("no panic"))
            .collect();
        for host in &mut hosts {
            host.process.kill();
        }
        for (index, host) in indices.iter().zip(&mut hosts) {
            self.restart(*index, host);
        }
    }

    /// Drains a server; a configuration written after it shows which hosts have read of the drain.
    fn drain_and_replace(&self, position: usize) {
        let index = self.positions.lock().expect("no panic")[position];
        self.replace(position);
        let (key, entry) = {
            let servers = self.servers.lock().expect("no panic");
            let server = &servers[index];
            let key = format!("servers/{}", server.engine.id);
            (key, entry(server, "draining"))
        };
        let writes = self.writes.lock().expect("no panic");
        self.store.put(&key, &entry);
        let version = self.write_version();
        drop(writes);
        self.servers.lock().expect("no panic")[index].drain_version = Some(version);
    }
}
