//! How many engines of a service should prefill for others.

/// Prefill engines that one host keeps busy at a time at most.
const ENGINES_PER_HOST: usize = 3;
/// Fraction of the prefill engines that are busy from which on more of them shorten the wait of prompts.
const BUSY_FRACTION: f64 = 0.5;
/// Fraction of the decode slots that are taken from which on more decode engines are needed all the same.
const FULL_FRACTION: f64 = 0.75;

/// Engines of a service, as far as the split between the stages depends on them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Split {
    /// All engines.
    pub engines: usize,
    /// Those that prefill for others.
    pub prefill: usize,
    /// Those of them that have unfinished requests.
    pub busy: usize,
    /// Fraction of the slots of the others that are taken.
    pub decode_load: f64,
    /// Hosts of the deployment.
    pub hosts: usize,
    /// Fraction of the engines that prefill where all are needed.
    pub fraction: f64,
}

/// Returns how many engines should prefill.
///
/// An order makes an engine unavailable for seconds, so idle fleets with enough prefill engines for their hosts keep
/// their roles, and so do busy prefill engines while the others have free slots.
#[must_use]
pub fn wanted_prefill(split: Split) -> usize {
    let Split {
        engines, prefill, ..
    } = split;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of the engines"
    )]
    let full = (engines as f64 * split.fraction).round() as usize;
    let full = full.clamp(usize::from(engines > 1), engines.saturating_sub(1));
    let is_busy = split.busy as f64 >= prefill as f64 * BUSY_FRACTION;
    if prefill > 0 && is_busy {
        if split.decode_load < FULL_FRACTION {
            full.max(prefill.min(engines.saturating_sub(1)))
        } else {
            full
        }
    } else {
        full.min(prefill.max(split.hosts * ENGINES_PER_HOST))
    }
}
