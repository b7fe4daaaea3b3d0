//! The complete list of errors that end a request early, and the response for each.

use std::time::Duration;

use serde_json::{Value, json};

/// HTTP statuses that callers read as "did not run".
pub const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// HTTP status of a request that may have run.
const BAD_GATEWAY: u16 = 502;

/// Whether a backend server ran the request, as far as this program can prove.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Ran {
    /// No byte of the request was written to a socket of a backend server, or the server reported
    /// that it did not run the request.
    No,
    /// A backend server ran it, at least in part.
    Yes,
    /// A backend server may have run it.
    Unknown,
}

impl Ran {
    /// Returns the value with this name, as given by [`Ran::name`].
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        [Self::No, Self::Yes, Self::Unknown]
            .into_iter()
            .find(|ran| ran.name() == name)
    }

    /// Returns the name used in responses and trace records.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

/// Kind of error that ends a request without a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// The body or one of its fields cannot be parsed.
    Malformed,
    /// The body exceeds the size limit of the host.
    TooLarge,
    /// The caller sent its request too slowly.
    TooSlow,
    /// The caller's key is missing or unknown.
    BadKey,
    /// No such path, model or service.
    NotFound,
    /// The plan may not use this model or service.
    NotAllowed,
    /// The plan has used up its share for now.
    ShareSpent,
    /// The service is short, and the customer has used up its share of it.
    OverShare,
    /// The queue is too long to serve the request in time.
    Overloaded,
    /// No engine of the model accepts requests.
    NoEngine,
    /// No server has the version at which the stream began, or that version is not known.
    NoVersion,
    /// The host cannot confirm that its view of the fleet is current.
    CutOff,
    /// The host is shutting down.
    Stopping,
    /// The call needs the key-value service, which does not respond.
    StoreDown,
    /// The call is not retryable and carries no idempotency key.
    KeyMissing,
    /// The idempotency key was used with another body.
    KeyReused,
    /// A call with this idempotency key is still running.
    StillRunning,
    /// A call with this idempotency key may have run and will not be run again.
    MayHaveRun,
    /// The record shard for this key is full.
    RecordsFull,
    /// This request was running on two engines when they crashed.
    EngineKiller,
    /// The engine failed and no other could continue the stream.
    EngineFailed,
    /// The engine or service stopped sending and timed out.
    Silent,
    /// The service could not be reached.
    ServiceDown,
    /// The service aborted its response.
    ServiceFailed,
    /// The caller closed its connection.
    CallerLeft,
    /// A defect of this program.
    Internal,
}

/// Response to a caller for one [`Kind`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Stable machine-readable code.
    pub code: &'static str,
    /// One sentence on what the caller can do.
    pub title: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// Default time after which to retry; `None` if a retry is useless.
    pub retry_after: Option<Duration>,
}

/// A kind and its response.
type Row = (Kind, Answer);

const fn row(
    kind: Kind,
    status: u16,
    code: &'static str,
    ran: Ran,
    secs: u64,
    title: &'static str,
) -> Row {
    let retry_after = match secs {
        0 => None,
        secs => Some(Duration::from_secs(secs)),
    };
    let answer = Answer {
        status,
        code,
        title,
        ran,
        retry_after,
    };
    (kind, answer)
}

/// One row per kind, in the order of [`Kind`]; 0 s stands for a useless retry.
const ANSWERS: [Row; Kind::ALL.len()] = [
    row(
        Kind::Malformed,
        400,
        "malformed",
        Ran::No,
        0,
        "Correct the request and send it again.",
    ),
    row(
        Kind::TooLarge,
        413,
        "too-large",
        Ran::No,
        0,
        "Send a smaller body.",
    ),
    row(
        Kind::TooSlow,
        408,
        "too-slow",
        Ran::No,
        1,
        "Send the whole request without pauses.",
    ),
    row(
        Kind::BadKey,
        401,
        "bad-key",
        Ran::No,
        0,
        "Send a valid key.",
    ),
    row(
        Kind::NotFound,
        404,
        "not-found",
        Ran::No,
        0,
        "Check the path, the model or the service name.",
    ),
    row(
        Kind::NotAllowed,
        403,
        "not-allowed",
        Ran::No,
        0,
        "Ask for this model or service to be added to your plan.",
    ),
    row(
        Kind::ShareSpent,
        429,
        "share-spent",
        Ran::No,
        1,
        "Your plan's share is used up for now; come back after the given time.",
    ),
    row(
        Kind::OverShare,
        429,
        "over-share",
        Ran::No,
        2,
        "The engines are busy, and other customers go first; come back after the given time.",
    ),
    row(
        Kind::Overloaded,
        503,
        "overloaded",
        Ran::No,
        2,
        "The engines are busy; come back after the given time.",
    ),
    row(
        Kind::NoEngine,
        503,
        "no-engine",
        Ran::No,
        5,
        "No engine takes work for this model now; come back after the given time.",
    ),
    row(
        Kind::NoVersion,
        503,
        "no-version",
        Ran::No,
        0,
        "The stream cannot go on; send the request again from its beginning.",
    ),
    row(
        Kind::CutOff,
        503,
        "cut-off",
        Ran::No,
        2,
        "This host is cut off; come back after the given time.",
    ),
    row(
        Kind::Stopping,
        503,
        "stopping",
        Ran::No,
        1,
        "This host is shutting down; send the request again.",
    ),
    row(
        Kind::StoreDown,
        503,
        "store-down",
        Ran::No,
        5,
        "Calls that may not repeat are paused; come back after the given time.",
    ),
    row(
        Kind::KeyMissing,
        400,
        "key-missing",
        Ran::No,
        0,
        "Send an Idempotency-Key with a call that may not repeat.",
    ),
    row(
        Kind::KeyReused,
        422,
        "key-reused",
        Ran::No,
        0,
        "Use a new Idempotency-Key for a different request.",
    ),
    row(
        Kind::StillRunning,
        409,
        "still-running",
        Ran::Yes,
        1,
        "The call with this key is running; come back with the same key.",
    ),
    row(
        Kind::MayHaveRun,
        409,
        "may-have-run",
        Ran::Unknown,
        0,
        "The call may have run and will not be run again; check its effect.",
    ),
    row(
        Kind::RecordsFull,
        503,
        "records-full",
        Ran::No,
        60,
        "No record can be kept for this call now; come back after the given time.",
    ),
    row(
        Kind::EngineKiller,
        422,
        "engine-killer",
        Ran::Yes,
        600,
        "Engines died while running this request; change it before you send it again.",
    ),
    row(
        Kind::EngineFailed,
        502,
        "engine-failed",
        Ran::Yes,
        1,
        "The engine failed and the answer is not whole; send the request again.",
    ),
    row(
        Kind::Silent,
        504,
        "silent",
        Ran::Yes,
        1,
        "The back end fell silent and the answer is not whole; send the request again.",
    ),
    row(
        Kind::ServiceDown,
        502,
        "service-down",
        Ran::No,
        2,
        "The service cannot be reached; come back after the given time.",
    ),
    row(
        Kind::ServiceFailed,
        502,
        "service-failed",
        Ran::Unknown,
        0,
        "The service broke off; the call may have run.",
    ),
    row(
        Kind::CallerLeft,
        499,
        "caller-left",
        Ran::Unknown,
        0,
        "The caller closed its connection.",
    ),
    row(
        Kind::Internal,
        500,
        "internal",
        Ran::Unknown,
        0,
        "Report this request id to the operators.",
    ),
];

impl Kind {
    /// Every kind, in the order of the table.
    pub const ALL: [Self; 26] = [
        Self::Malformed,
        Self::TooLarge,
        Self::TooSlow,
        Self::BadKey,
        Self::NotFound,
        Self::NotAllowed,
        Self::ShareSpent,
        Self::OverShare,
        Self::Overloaded,
        Self::NoEngine,
        Self::NoVersion,
        Self::CutOff,
        Self::Stopping,
        Self::StoreDown,
        Self::KeyMissing,
        Self::KeyReused,
        Self::StillRunning,
        Self::MayHaveRun,
        Self::RecordsFull,
        Self::EngineKiller,
        Self::EngineFailed,
        Self::Silent,
        Self::ServiceDown,
        Self::ServiceFailed,
        Self::CallerLeft,
        Self::Internal,
    ];

    /// Returns the response for this kind.
    #[must_use]
    pub const fn answer(self) -> Answer {
        ANSWERS[self as usize].1
    }

    /// Returns the HTTP status of a refusal; a request that may have run gets none that callers read as "did not run".
    #[must_use]
    pub fn status(self, ran: Ran) -> u16 {
        let own = self.answer().status;
        if ran != Ran::No && NOT_RUN_STATUSES.contains(&own) {
            BAD_GATEWAY
        } else {
            own
        }
    }

    /// Returns the kind with this code.
    #[must_use]
    pub fn from_code(code: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.answer().code == code)
    }
}

/// Builds the problem document (RFC 9457) for a failed request.
///
/// `retry_after` is rounded up to whole seconds, as in the `Retry-After` header.
#[must_use]
pub fn problem(
    kind: Kind,
    ran: Ran,
    detail: &str,
    id: &str,
    retry_after: Option<Duration>,
) -> Value {
    let answer = kind.answer();
    let mut body = json!({
        "type": format!("urn:chiveway:{}", answer.code),
        "title": answer.title,
        "status": kind.status(ran),
        "detail": detail,
        "ran": ran.name(),
        "request_id": id,
    });
    if let Some(retry_after) = retry_after {
        body["retry_after"] = json!(ceil_secs(retry_after));
    }
    body
}

/// Rounds up to whole seconds, at least one.
#[must_use]
pub fn ceil_secs(time: Duration) -> u64 {
    let secs = time.as_secs() + u64::from(time.subsec_nanos() > 0);
    secs.max(1)
}
