//! Keys of the core's arenas and of pending commands.

slotmap::new_key_type! {
    /// A request being served.
    pub struct RequestKey;
    /// One attempt to serve a request at one backend server.
    pub struct AttemptKey;
    /// An engine or a service instance.
    pub struct BackendKey;
    /// A host of this deployment, as a peer.
    pub struct HostKey;
    /// A relayed request being served.
    pub struct CallKey;
}

/// A pending command of an operator, numbered by the adapter that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CommandKey(pub u64);

/// A shard of the records of calls that must run at most once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardKey(pub u16);

/// Index of a pool in the settings, in the order of names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolKey(pub u16);
