//! Canonical form of paths, so that rules and services interpret them alike.

/// Returns whether a method and a path are in the canonical form that rules are matched against.
///
/// Rules decide by the bytes of the path whether a call is retryable. A service may resolve
/// `/status/../extensions`, `/status//x` or `/%65xtensions` to another path than the rule did, and
/// a filing would be sent twice. Such paths are refused instead of normalized, so that the service
/// sees exactly the bytes that the rule matched.
#[must_use]
pub fn is_canonical(method: &str, path: &str) -> bool {
    let method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    let mut segments = path.split('/');
    // A path starts with a slash and may end in one; no other segment may be empty.
    let rooted = segments.next().is_some_and(str::is_empty);
    let mut rest = segments.peekable();
    let mut valid = rest.peek().is_some();
    while let Some(segment) = rest.next() {
        let last = rest.peek().is_none();
        valid &= (last || !segment.is_empty()) && is_canonical_segment(segment);
    }
    method && rooted && valid
}

/// Returns whether a segment is not a dot segment and has no backslash and only canonical escapes.
fn is_canonical_segment(segment: &str) -> bool {
    // Some services remove `;` parameters before they resolve dot segments.
    let name = segment.split(';').next().unwrap_or_default();
    if name == "." || name == ".." || segment.contains('\\') {
        return false;
    }
    let mut bytes = segment.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' && !is_canonical_escape(bytes.next(), bytes.next()) {
            return false;
        }
    }
    true
}

/// Returns whether a percent escape is in upper case and encodes a byte that needs it.
///
/// Escaped separators, percent signs and control characters are not accepted.
fn is_canonical_escape(high: Option<u8>, low: Option<u8>) -> bool {
    let digit = |byte: Option<u8>| match byte? {
        byte @ b'0'..=b'9' => Some(byte - b'0'),
        byte @ b'A'..=b'F' => Some(byte - b'A' + 10),
        _ => None,
    };
    let (Some(high), Some(low)) = (digit(high), digit(low)) else {
        return false;
    };
    let byte = high * 16 + low;
    let unreserved = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    !unreserved && !matches!(byte, b'/' | b'\\' | b'%' | 0..=0x1f | 0x7f)
}
