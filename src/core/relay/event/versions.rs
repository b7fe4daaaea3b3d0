//! Messages about the versions of streams, as data.

use crate::core::relay::versions::{InUse, StreamKey, Version};

/// The version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamRecord {
    /// The stream.
    pub stream: StreamKey,
    /// Short hash of the service that it began at.
    pub service: u32,
    /// Version of the server that sent its first event.
    pub version: Version,
}

/// A query for the version of a stream, and for the versions of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamQuery {
    /// The stream; zero for none.
    pub stream: StreamKey,
    /// Short hash of the service.
    pub service: u32,
}

/// The answer to a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamReply {
    /// The query.
    pub query: StreamQuery,
    /// The record of the stream.
    pub record: Option<StreamRecord>,
    /// The versions that the service has had lately.
    pub in_use: InUse,
}

/// A message about streams.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StreamMessage {
    /// Records to keep.
    pub records: Vec<StreamRecord>,
    /// Queries to answer.
    pub queries: Vec<StreamQuery>,
    /// Answers to queries of the receiver.
    pub replies: Vec<StreamReply>,
}
