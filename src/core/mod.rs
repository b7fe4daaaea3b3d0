//! Decision logic of a host: a deterministic reducer that turns events into effects.
//!
//! Nothing here does I/O, reads a clock or uses the operating system's random numbers: time comes
//! with each event and the random seed with [`Core::new`], so the same events give the same
//! effects. The adapters in [`crate::host`] deliver events and execute effects.

pub mod admit;
pub mod config;
pub mod effect;
pub mod event;
pub mod fleet;
pub mod key;
pub mod load;
pub mod member;
pub mod message;
pub mod once;
pub mod order;
pub mod poison;
pub mod relay;
pub mod request;
pub mod role;
pub mod route;
pub mod share;
pub mod stop;
#[cfg(test)]
mod tests;
pub mod time;
pub mod trace;

use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use effect::Effect;
pub use event::Event;
pub use time::Time;

use crate::settings::Settings;

/// Effects of one event, in the order of execution.
pub type Effects = Vec<Effect>;

/// Complete state of a host.
#[derive(Debug)]
pub struct Core {
    /// Validated settings; only a reload of a relaying host changes them.
    pub settings: Settings,
    /// Time of the current event.
    pub now: Time,
    /// Milliseconds since the Unix epoch at [`Time`] zero.
    pub epoch_ms: u64,
    /// Random number generator for all random choices.
    pub rng: SmallRng,
    /// Lists in force.
    pub config: config::Config,
    /// Hosts of the deployment.
    pub members: member::Members,
    /// Engines and services.
    pub fleet: fleet::Fleet,
    /// Requests being served.
    pub requests: request::Requests,
    /// Quota of each plan that is available at this host.
    pub shares: share::Shares,
    /// Calls that must run at most once.
    pub once: once::Once,
    /// Orders to engines.
    pub orders: order::Orders,
    /// Requests suspected of crashing engines.
    pub poison_requests: poison::PoisonRequests,
    /// Trace records of requests.
    pub traces: trace::Traces,
    /// Planned stop of this host.
    pub stop: stop::Stop,
    /// Requests relayed along an operator's routes.
    pub relay: relay::Relay,
}

impl Core {
    /// Creates the state of a host that has received no event yet.
    ///
    /// `epoch_ms` is the wall clock, in milliseconds since the Unix epoch, at [`Time`] zero. `seed`
    /// determines every random choice.
    #[must_use]
    pub fn new(settings: Settings, now: Time, epoch_ms: u64, seed: u64) -> Self {
        let incarnation = epoch_ms + now.millis();
        Self {
            members: member::Members::new(&settings.host, incarnation),
            traces: trace::Traces::new(&settings.host, incarnation),
            fleet: fleet::Fleet::new(&settings),
            orders: order::Orders::new(&settings),
            settings,
            now,
            epoch_ms,
            rng: SmallRng::seed_from_u64(seed),
            config: config::Config::default(),
            requests: request::Requests::default(),
            shares: share::Shares::default(),
            once: once::Once::new(incarnation),
            poison_requests: poison::PoisonRequests::default(),
            stop: stop::Stop::default(),
            relay: relay::Relay::default(),
        }
    }

    /// Returns the wall clock at the current event, in milliseconds since the Unix epoch.
    #[must_use]
    pub fn wall_ms(&self) -> u64 {
        self.epoch_ms + self.now.millis()
    }

    /// Processes one event and appends its effects to `out`.
    pub fn reduce(&mut self, at: Time, event: Event, out: &mut Effects) {
        let gap = at.since(self.now);
        // Adapters may read the clock in any order; time must not go backwards here.
        self.now = self.now.max(at);
        member::detect_pause(self, gap, out);
        match event {
            Event::Start => self.start(out),
            Event::Request(event) => request::step(self, event, out),
            Event::Peer(event) => member::step(self, event, out),
            Event::Store(event) => self.store(event, out),
            Event::Fleet(event) => fleet::step(self, event, out),
            Event::Operator(event) => self.operator(event, out),
            Event::Timer(timer) => self.timer(timer, out),
            Event::Stop(event) => stop::step(self, event, out),
            Event::Relay(event) => relay::step(self, event, out),
        }
    }

    fn start(&mut self, out: &mut Effects) {
        if self.settings.relay.is_some() {
            relay::start(self, out);
            return;
        }
        member::start(self, out);
        fleet::start(self, out);
        order::start(self, out);
        trace::start(self, out);
    }

    fn timer(&mut self, timer: event::Timer, out: &mut Effects) {
        use event::Timer;
        match timer {
            Timer::Heartbeat | Timer::Register => member::timer(self, timer, out),
            Timer::FetchLists => config::timer(self, out),
            Timer::Listing | Timer::Reports => fleet::timer(self, timer, out),
            Timer::Request(_) | Timer::Silence(_) => request::timer(self, timer, out),
            Timer::Shares => share::timer(self, out),
            Timer::Once => once::timer(self, out),
            Timer::Orders => order::timer(self, out),
            Timer::Traces | Timer::Command(_) => trace::timer(self, timer, out),
            Timer::Stop => stop::timer(self, out),
            Timer::Relay(timer) => relay::timer(self, timer, out),
        }
    }

    fn store(&mut self, event: event::StoreEvent, out: &mut Effects) {
        use event::{Job, StoreEvent};
        match event {
            StoreEvent::Watched(pairs) => self.dispatch_watched(pairs, out),
            StoreEvent::Health(up) => member::handle_health(self, up, out),
            StoreEvent::Reply(reply) => match reply.job {
                Job::Register(_) => member::reply(self, &reply, out),
                Job::Apply(_) | Job::Chunk(_) => config::reply(self, reply, out),
                Job::Record(..) => once::reply(self, reply, out),
                Job::WriteSegment => trace::handle_write(self, &reply, out),
                Job::ReadSegments(round) => trace::handle_segments(self, round, reply, out),
                Job::Authority(_) | Job::Intent(_) | Job::Route(_) => {
                    order::reply(self, reply, out);
                }
                Job::Relay(job, ended_eras) => relay::reply(self, job, ended_eras, &reply, out),
            },
        }
    }

    /// Dispatches each watched key to the module that owns its first path segment.
    fn dispatch_watched(&mut self, pairs: Vec<event::WatchedKey>, out: &mut Effects) {
        let mut members_changed = false;
        for pair in pairs {
            let Some((folder, rest)) = pair.key.split_once('/') else {
                continue;
            };
            match folder {
                member::WATCH_PREFIX => {
                    member::watched(self, rest, &pair, out);
                    members_changed = true;
                }
                config::WATCH_PREFIX => config::watched(self, &pair, out),
                order::ROUTE => order::route_watched(self, rest, &pair, out),
                order::HOLDER => order::holder_watched(self, rest, &pair, out),
                _ => {}
            }
        }
        if members_changed {
            member::view_changed(self, out);
        }
    }

    fn operator(&mut self, event: event::OperatorEvent, out: &mut Effects) {
        use event::OperatorEvent;
        match event {
            OperatorEvent::Explain { command, id } => trace::explain(self, command, &id, out),
            OperatorEvent::Apply { command, edit } => config::apply(self, command, &edit, out),
        }
    }
}
