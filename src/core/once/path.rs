//! The one way to write a path, so that rules and services read the same.

/// Returns whether a method and a path are written in the one way that rules are matched against.
///
/// Rules decide by the path's bytes whether a call may repeat. A service may take
/// `/status/../extensions`, `/status//x` or `/%65xtensions` for another path than the rule did, and
/// a filing would be sent twice. Such paths are refused instead of being put right: the service
/// then sees exactly the bytes that the rule matched.
#[must_use]
pub fn is_canonical(method: &str, path: &str) -> bool {
    let method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    let mut segments = path.split('/');
    // A path starts with a slash and may end in one; nothing else between two slashes is empty.
    let rooted = segments.next().is_some_and(str::is_empty);
    let mut rest = segments.peekable();
    let mut plain = rest.peek().is_some();
    while let Some(segment) = rest.next() {
        let last = rest.peek().is_none();
        plain &= (last || !segment.is_empty()) && is_canonical_segment(segment);
    }
    method && rooted && plain
}

/// Returns whether a segment names something, and each of its letters is written in one way.
fn is_canonical_segment(segment: &str) -> bool {
    // Some services cut parameters off before they look for dots.
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

/// Returns whether an escape is needed, and written in capitals.
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
    let plain = byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    !plain && !matches!(byte, b'/' | b'\\' | b'%' | 0..=0x1f | 0x7f)
}
