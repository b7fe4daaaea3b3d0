//! Case 1: an extra copy of a worker's refusal arrives late, at the point where the next response is expected.

#[path = "../standin/common.rs"]
mod common;

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    Host, Message, Random, Record, Store, TempFolder, answer_bytes, has_trouble, listen,
    read_message, request, run_case,
};

/// Time for which requests are sent.
const LENGTH: Duration = Duration::from_secs(75);
/// Mean time between two requests, which come at random: 140 a second at two hosts.
const MEAN_PAUSE_MS: f64 = 1000.0 / 140.0;
/// One in so many is idempotent.
const READS: u64 = 4;
/// Workers of the service, the requests that each runs at once, and the few more that it queues.
const WORKERS: usize = 5;
const SLOTS: usize = 2;
const QUEUE: usize = 1;
const WORK: Duration = Duration::from_millis(60);
/// The trouble: three workers of five, one answer in 33, for 5 s at a time.
const FAULTY: usize = 3;
const GARBLED: f64 = 0.03;
const GARBLE_ON: f64 = 5.0;
const GARBLE_PERIOD: f64 = 6.0;
const GARBLE_FROM: f64 = 3.0;

struct Worker {
    id: String,
    /// Whether it sends some answers a second time.
    is_faulty: bool,
    /// Requests that run, and those that run or wait.
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    random: Mutex<Random>,
    record: Record,
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    start: Instant,
}

impl Worker {
    fn is_garbling(&self) -> bool {
        let since = self.start.elapsed().as_secs_f64() - GARBLE_FROM;
        let is_on = since >= 0.0 && since % GARBLE_PERIOD < GARBLE_ON;
        self.is_faulty && is_on && self.random.lock().expect("random").unit() < GARBLED
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone().expect("a second handle");
        let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
        let mut extra: Option<(String, u16, Vec<u8>)> = None;
        while let Some(call) = read_message(&mut reader, false) {
            let id = call
                .header("x-chiveway-attempt-id")
                .unwrap_or("none")
                .to_owned();
            if let Some((earlier, status, bytes)) = extra.take() {
                self.record.add(format!(
                    "{} sends the {status} of {earlier} once more, where the answer to {id} is due",
                    self.id
                ));
                if out.write_all(&bytes).is_err() {
                    return;
                }
            }
            let Some((status, answer)) = self.answer(&call, &id, &stream) else {
                return;
            };
            if out.write_all(&answer).is_err() {
                return;
            }
            if call.path() != "/healthz" && self.is_garbling() {
                extra = Some((id, status, answer));
            }
        }
    }

    /// Returns the answer to a request; `None` if its connection closed while it was queued.
    fn answer(&self, call: &Message, id: &str, stream: &TcpStream) -> Option<(u16, Vec<u8>)> {
        let common = format!(
            "X-Chiveway-Attempt-Id: {id}\r\nX-Chiveway-Instance-Id: {}\r\nKeep-Alive: timeout=5\r\n",
            self.id
        );
        if call.path() == "/healthz" {
            return Some((200, answer_bytes(200, &common, b"")));
        }
        if call
            .header("x-chiveway-expect-instance")
            .is_some_and(|other| other != self.id)
        {
            return Some((421, answer_bytes(421, &common, b"")));
        }
        let mut load = self.load.lock().expect("the load");
        if load.1 >= SLOTS + QUEUE {
            drop(load);
            self.record
                .add(format!("{} refuses {id}: it is full", self.id));
            let headers = format!("{common}X-Chiveway-Not-Executed: 1\r\n");
            return Some((503, answer_bytes(503, &headers, b"")));
        }
        load.1 += 1;
        while load.0 >= SLOTS {
            load = self.freed.wait(load).expect("the load");
        }
        if is_closed(stream) {
            load.1 -= 1;
            drop(load);
            self.freed.notify_one();
            self.record
                .add(format!("{} drops {id}: its connection is closed", self.id));
            return None;
        }
        load.0 += 1;
        drop(load);
        self.record
            .add(format!("{} runs {id} ({})", self.id, call.method()));
        let mut runs = self.runs.lock().expect("the runs");
        runs.entry(id.to_owned()).or_default().push(self.id.clone());
        drop(runs);
        thread::sleep(WORK);
        let mut load = self.load.lock().expect("the load");
        load.0 -= 1;
        load.1 -= 1;
        drop(load);
        self.freed.notify_one();
        let headers = format!("{common}X-Chiveway-Server-Stamp: {}.{id}\r\n", self.id);
        Some((200, answer_bytes(200, &headers, &[b'x'; 800])))
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    let _ = stream.set_nonblocking(false);
    match peeked {
        Ok(read) => read == 0,
        Err(err) => err.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn config() -> String {
    let route = |prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r{prefix}\",\"hostname\":\"ficu95.example\",\"prefix\":\"{prefix}\",\"type\":\"{kind}\",\
             \"timeoutMs\":2500,\"targetLatencyMs\":300,\"priority\":2,\"service\":\"wuno96b\",\
             \"maxAttempts\":{attempts},\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"wuno96b\",\"healthPath\":\"/healthz\",\
         \"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        route("/pule252/", "non_idempotent", 1),
        route("/puxa403/", "idempotent", 2)
    )
}

/// Writes the entry of a worker every 1.2 s.
fn register(store: Store, id: String, addr: SocketAddr, zone: String) {
    let born = common::epoch_ms();
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                "{{\"service\":\"wuno96b\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{SLOTS},\
                 \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}"
            );
            store.put(&format!("servers/{id}"), &entry);
            thread::sleep(Duration::from_millis(1200));
        }
    });
}

/// Sends one request as a client does; returns its status, 0 for a closed connection.
fn call(record: &Record, host: SocketAddr, id: &str, is_read: bool) -> u16 {
    let (method, path, body) = if is_read {
        ("GET", "/puxa403/2f", vec![])
    } else {
        ("POST", "/pule252/2f", vec![b'b'; 600])
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nX-Chiveway-Attempt-Id: {id}\r\n\
         X-Chiveway-Deadline-Ms: 2500\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    record.add(format!("client sends {id} ({method})"));
    let answer = request(host, &head, &body, Duration::from_millis(2500));
    let status = answer.map_or(0, |answer| answer.status());
    record.add(format!("client gets {status} for {id}"));
    status
}

fn case(folder: &Path) -> bool {
    let record = Record::new();
    let temp = TempFolder::new();
    let store = Store::start();
    let runs: Arc<Mutex<BTreeMap<String, Vec<String>>>> = Arc::default();
    let start = Instant::now();
    for number in 1..=WORKERS {
        let worker = Arc::new(Worker {
            id: format!("i-worker{number}"),
            is_faulty: number <= FAULTY && has_trouble(),
            load: Mutex::new((0, 0)),
            freed: Condvar::new(),
            random: Mutex::new(Random(common::epoch_ms() as u64 * 100 + number as u64)),
            record: record.clone(),
            runs: Arc::clone(&runs),
            start,
        });
        let id = worker.id.clone();
        let addr = listen(move |stream| worker.serve(stream));
        register(
            store.clone(),
            id,
            addr,
            format!("dk-east-{}", ["a", "b", "c"][number % 3]),
        );
    }
    store.put("op/config", &config());
    let hosts: Vec<Host> = ["a", "b"]
        .iter()
        .map(|zone| {
            Host::start(
                &temp.0,
                &format!("edge-dk-east-{zone}-1"),
                &format!("dk-east-{zone}"),
                store.addr,
            )
        })
        .collect();
    for host in &hosts {
        host.wait_until_ready();
    }
    thread::sleep(Duration::from_secs(2));

    let statuses: Arc<Mutex<BTreeMap<String, u16>>> = Arc::default();
    let began = Instant::now();
    let mut clients = Vec::new();
    let mut random = Random(common::epoch_ms() as u64);
    let (mut at, mut number) = (began, 0);
    while at < began + LENGTH {
        at += Duration::from_secs_f64(-random.unit().max(1e-9).ln() * MEAN_PAUSE_MS / 1000.0);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        number += 1;
        let id = format!("{:016x}", Random(number).next());
        let host = hosts[random.next() as usize % hosts.len()].callers;
        let (record, statuses) = (record.clone(), Arc::clone(&statuses));
        clients.push(thread::spawn(move || {
            let is_read = number % READS == 0;
            let status = call(&record, host, &id, is_read);
            if !is_read {
                statuses.lock().expect("the statuses").insert(id, status);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(Duration::from_secs(1));
    drop(hosts);

    let (statuses, runs) = (
        statuses.lock().expect("the statuses"),
        runs.lock().expect("the runs"),
    );
    let (mut twice, mut refused, mut served) = (0, 0, 0);
    for (id, status) in statuses.iter() {
        let ran = runs.get(id).map_or(&[][..], Vec::as_slice);
        served += u32::from(*status == 200);
        if ran.len() > 1 {
            twice += 1;
            record.add(format!(
                "TWICE: {id} ran at {}, answered {status}",
                ran.join(" and ")
            ));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !ran.is_empty() {
            refused += 1;
            record.add(format!(
                "REFUSED: {id} ran at {}, answered {status}",
                ran.join(" and ")
            ));
        }
    }
    let total = statuses.len();
    let summary = format!(
        "{total} requests that are not idempotent, {served} answered 200; {twice} ran more than once; \
         {refused} were answered as not run and had run"
    );
    record.add(summary.clone());
    println!("{summary}");
    record.write(&folder.join("record.txt"));
    twice == 0
}

fn main() {
    run_case(case)
}
