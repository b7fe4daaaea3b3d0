//! Small copyable keys into the core's arenas.

slotmap::new_key_type! {
    /// A request being served.
    pub struct RequestKey;
    /// One attempt to serve a request at one back end.
    pub struct AttemptKey;
    /// An engine or a service instance.
    pub struct BackendKey;
    /// A host of this deployment, as a peer.
    pub struct HostKey;
    /// A relayed request being served.
    pub struct CallKey;
}

/// An operator's question that waits for an answer; numbered by the adapter that put it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CommandKey(pub u64);

/// A shard of the records of calls that may not repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ShardKey(pub u16);

/// Position of a pool in the settings, in name order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PoolKey(pub u16);
