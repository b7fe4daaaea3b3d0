//! A small fake of the network between two processes: passes bytes on, or loses track of them.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

const PASS: u8 = 0;
const SILENT: u8 = 1;
const REFUSE: u8 = 2;

/// Time between two looks at the switch.
const LOOK: Duration = Duration::from_millis(20);

/// A forwarder in front of one address.
#[derive(Debug, Clone)]
pub struct Cut {
    /// Where to connect instead of the address behind it.
    pub addr: SocketAddr,
    state: Arc<AtomicU8>,
}

impl Cut {
    /// Puts a forwarder in front of `target`.
    pub fn before(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback can be bound");
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(AtomicU8::new(PASS));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || join(stream, target, &shared));
            }
        });
        Self { addr, state }
    }

    /// Passes everything on; what was held back meanwhile goes too.
    pub fn heal(&self) {
        self.state.store(PASS, Ordering::SeqCst);
    }

    /// Holds everything back, on open and new connections, without closing any.
    pub fn silence(&self) {
        self.state.store(SILENT, Ordering::SeqCst);
    }

    /// Closes open connections and refuses new ones.
    pub fn refuse(&self) {
        self.state.store(REFUSE, Ordering::SeqCst);
    }
}

fn join(stream: TcpStream, target: SocketAddr, state: &Arc<AtomicU8>) {
    if state.load(Ordering::SeqCst) == REFUSE {
        return;
    }
    while state.load(Ordering::SeqCst) == SILENT {
        thread::sleep(LOOK);
    }
    let Ok(other) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(from), Ok(to)) = (stream.try_clone(), other.try_clone()) else {
        return;
    };
    let back = Arc::clone(state);
    let up = thread::spawn(move || pump(from, to, &back));
    pump(other, stream, state);
    drop(up.join());
}

fn pump(mut from: TcpStream, mut to: TcpStream, state: &AtomicU8) {
    drop(from.set_read_timeout(Some(LOOK)));
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => read,
            Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => 0,
            Err(err) if err.kind() == std::io::ErrorKind::TimedOut => 0,
            Err(_) => break,
        };
        while state.load(Ordering::SeqCst) == SILENT {
            thread::sleep(LOOK);
        }
        if state.load(Ordering::SeqCst) == REFUSE || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    drop(from.shutdown(Shutdown::Both));
    drop(to.shutdown(Shutdown::Both));
}
