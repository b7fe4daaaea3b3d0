//! A TCP proxy between two processes that injects network faults.

use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// Forwards all bytes.
const MODE_PASS: u8 = 0;
/// Holds all bytes back.
const MODE_SILENT: u8 = 1;
/// Closes connections.
const MODE_REFUSE: u8 = 2;
/// Forwards bytes to the target and holds back its replies.
const MODE_ONE_WAY: u8 = 3;
/// Delays all bytes.
const MODE_DELAY: u8 = 4;

/// Closes connections opened in this mode, and forwards those that were open before.
const MODE_REFUSE_NEW: u8 = 5;

/// Delay of each read in [`MODE_DELAY`].
const FORWARD_DELAY: Duration = Duration::from_millis(60);

/// Time between two checks of the mode.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy in front of one address.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// The address to connect to in place of the target's.
    pub addr: SocketAddr,
    mode: Arc<AtomicU8>,
    /// Number of times that all open connections were closed.
    resets: Arc<AtomicU32>,
    held: HeldBytes,
}

/// Bytes for the target that were held back.
type HeldBytes = Arc<Mutex<Vec<u8>>>;

/// The proxy's mode as one connection sees it.
#[derive(Debug, Clone)]
struct ConnectionMode {
    mode: Arc<AtomicU8>,
    resets: Arc<AtomicU32>,
    /// Value of `resets` when the connection was opened.
    resets_at_open: u32,
    /// Whether one side has reset the connection, which resets the other.
    is_reset: Arc<AtomicBool>,
    held: HeldBytes,
}

impl ConnectionMode {
    fn current(&self) -> u8 {
        if self.resets.load(Ordering::SeqCst) == self.resets_at_open {
            self.mode.load(Ordering::SeqCst)
        } else {
            MODE_REFUSE
        }
    }

    fn is_silent(&self) -> bool {
        self.current() == MODE_SILENT
    }

    fn note_held(&self, bytes: &[u8]) {
        let mut held = self.held.lock().expect("no thread panicked");
        held.extend_from_slice(bytes);
    }

    /// Waits while a new connection is held back, and notes the first bytes that arrive on it.
    fn wait_noting(&self, stream: &TcpStream) {
        drop(stream.set_read_timeout(Some(POLL_INTERVAL)));
        let mut buffer = [0; 16 * 1024];
        while self.is_silent() {
            match stream.peek(&mut buffer) {
                Ok(read) => {
                    self.note_held(&buffer[..read]);
                    break;
                }
                Err(err) if err.kind() == ErrorKind::WouldBlock => {}
                Err(_) => break,
            }
        }
        self.wait(false);
    }

    /// Waits while bytes in this direction are held back; `reply` is the direction from the target.
    fn wait(&self, reply: bool) {
        while matches!(
            (self.current(), reply),
            (MODE_SILENT, _) | (MODE_ONE_WAY, true)
        ) {
            thread::sleep(POLL_INTERVAL);
        }
        if self.current() == MODE_DELAY {
            thread::sleep(FORWARD_DELAY);
        }
    }
}

impl FaultProxy {
    /// Starts a proxy in front of `target`.
    pub fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("loopback can be bound");
        let addr = listener.local_addr().expect("the listener has an address");
        let mode = Arc::new(AtomicU8::new(MODE_PASS));
        let resets = Arc::new(AtomicU32::new(0));
        let proxy = Self {
            addr,
            mode,
            resets,
            held: HeldBytes::default(),
        };
        let shared = proxy.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let mode = ConnectionMode {
                    mode: Arc::clone(&shared.mode),
                    resets: Arc::clone(&shared.resets),
                    resets_at_open: shared.resets.load(Ordering::SeqCst),
                    is_reset: Arc::default(),
                    held: Arc::clone(&shared.held),
                };
                thread::spawn(move || forward(stream, target, &mode));
            }
        });
        proxy
    }

    /// Holds back all bytes from the target.
    pub fn block_replies(&self) {
        self.mode.store(MODE_ONE_WAY, Ordering::SeqCst);
    }

    /// Delays all bytes.
    pub fn delay(&self) {
        self.mode.store(MODE_DELAY, Ordering::SeqCst);
    }

    /// Closes all open connections; new ones are forwarded.
    pub fn reset(&self) {
        self.resets.fetch_add(1, Ordering::SeqCst);
    }

    /// Forwards everything again, including the bytes that were held back.
    pub fn restore(&self) {
        self.mode.store(MODE_PASS, Ordering::SeqCst);
    }

    /// Holds all bytes back on open and new connections, without closing any.
    pub fn silence(&self) {
        self.mode.store(MODE_SILENT, Ordering::SeqCst);
    }

    /// Returns whether `text` is among the bytes for the target that were held back.
    pub fn holds(&self, text: &str) -> bool {
        let held = self.held.lock().expect("no thread panicked");
        held.windows(text.len())
            .any(|window| window == text.as_bytes())
    }

    /// Refuses new connections; open ones pass.
    pub fn refuse_new(&self) {
        self.mode.store(MODE_REFUSE_NEW, Ordering::SeqCst);
    }

    /// Closes open connections and refuses new ones.
    pub fn refuse(&self) {
        self.mode.store(MODE_REFUSE, Ordering::SeqCst);
    }
}

fn forward(stream: TcpStream, target: SocketAddr, mode: &ConnectionMode) {
    if matches!(mode.current(), MODE_REFUSE | MODE_REFUSE_NEW) {
        return;
    }
    mode.wait_noting(&stream);
    let Ok(upstream) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(from), Ok(to)) = (stream.try_clone(), upstream.try_clone()) else {
        return;
    };
    let request_mode = mode.clone();
    let requests = thread::spawn(move || copy_bytes(from, to, &request_mode, false));
    copy_bytes(upstream, stream, mode, true);
    drop(requests.join());
}

fn copy_bytes(mut from: TcpStream, mut to: TcpStream, mode: &ConnectionMode, reply: bool) {
    drop(from.set_read_timeout(Some(POLL_INTERVAL)));
    let mut buffer = [0; 16 * 1024];
    loop {
        let read = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => read,
            Err(err) if err.kind() == ErrorKind::WouldBlock => 0,
            Err(err) if err.kind() == ErrorKind::TimedOut => 0,
            Err(_) => {
                mode.is_reset.store(true, Ordering::SeqCst);
                break;
            }
        };
        if !reply && mode.is_silent() {
            mode.note_held(&buffer[..read]);
        }
        mode.wait(reply);
        if mode.is_reset.load(Ordering::SeqCst) {
            break;
        }
        if mode.current() == MODE_REFUSE || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    if mode.is_reset.load(Ordering::SeqCst) {
        // The last handle that is dropped sends the reset.
        drop(SockRef::from(&to).set_linger(Some(Duration::ZERO)));
        return;
    }
    drop(from.shutdown(Shutdown::Both));
    drop(to.shutdown(Shutdown::Both));
}
