//! A small fake of the network between two processes: passes bytes on, or loses track of them.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

const PASS: u8 = 0;
const SILENT: u8 = 1;
const REFUSE: u8 = 2;
/// What goes to the target passes, what comes back does not.
const ONE_WAY: u8 = 3;
/// Everything passes late.
const DELAY: u8 = 4;

/// Delay of each piece.
const LATE: Duration = Duration::from_millis(60);

/// Time between two looks at the switch.
const LOOK: Duration = Duration::from_millis(20);

/// A forwarder in front of one address.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// Where to connect instead of the address behind it.
    pub addr: SocketAddr,
    state: Arc<AtomicU8>,
    /// Grows with each time that all open connections are closed.
    resets: Arc<AtomicU32>,
}

/// The switches of one forwarder, as its connections see them.
#[derive(Debug, Clone)]
struct Switch {
    state: Arc<AtomicU8>,
    resets: Arc<AtomicU32>,
    /// Resets that had been when the connection was opened.
    born: u32,
}

impl Switch {
    fn state(&self) -> u8 {
        if self.resets.load(Ordering::SeqCst) == self.born {
            self.state.load(Ordering::SeqCst)
        } else {
            REFUSE
        }
    }

    /// Waits while bytes that way are held back.
    fn wait(&self, back: bool) {
        while matches!((self.state(), back), (SILENT, _) | (ONE_WAY, true)) {
            thread::sleep(LOOK);
        }
        if self.state() == DELAY {
            thread::sleep(LATE);
        }
    }
}

impl FaultProxy {
    /// Puts a forwarder in front of `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback can be bound");
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(AtomicU8::new(PASS));
        let resets = Arc::new(AtomicU32::new(0));
        let cut = Self {
            addr,
            state,
            resets,
        };
        let shared = cut.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let switch = Switch {
                    state: Arc::clone(&shared.state),
                    resets: Arc::clone(&shared.resets),
                    born: shared.resets.load(Ordering::SeqCst),
                };
                thread::spawn(move || join(stream, target, &switch));
            }
        });
        cut
    }

    /// Holds back what comes from the target.
    pub fn block_replies(&self) {
        self.state.store(ONE_WAY, Ordering::SeqCst);
    }

    /// Passes everything on late.
    pub fn delay(&self) {
        self.state.store(DELAY, Ordering::SeqCst);
    }

    /// Closes all open connections; new ones work.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }

    /// Passes everything on; what was held back meanwhile goes too.
    pub fn restore(&self) {
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

fn join(stream: TcpStream, target: SocketAddr, switch: &Switch) {
    if switch.state() == REFUSE {
        return;
    }
    switch.wait(false);
    let Ok(other) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(from), Ok(to)) = (stream.try_clone(), other.try_clone()) else {
        return;
    };
    let there = switch.clone();
    let up = thread::spawn(move || pump(from, to, &there, false));
    pump(other, stream, switch, true);
    drop(up.join());
}

fn pump(mut from: TcpStream, mut to: TcpStream, switch: &Switch, back: bool) {
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
        switch.wait(back);
        if switch.state() == REFUSE || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    drop(from.shutdown(Shutdown::Both));
    drop(to.shutdown(Shutdown::Both));
}
