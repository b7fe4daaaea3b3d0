//! Time between two events of a stream, by the requests that its engine runs and their context
//! tokens.
//!
//! By the mean gap alone, an engine with few short requests and one with many long ones would look
//! the same, or the second would look like a slow engine. The estimate is a linear regression with
//! weights that decay with each sample.

/// Load of an engine on which the gaps of its streams depend.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GapLoad {
    /// Requests that the engine runs.
    pub requests: u32,
    /// Context tokens of these requests.
    pub context: u64,
}

/// Fraction of their weight that older gaps keep with each new one: about a thousand count.
const RETAINED_FRACTION: f64 = 0.999;
/// Gaps from which the estimate is used: fewer cover only a part of the loads that occur.
const MIN_SAMPLES: u32 = 100;
/// Requests and context tokens that count as 1 in the regression: those of an engine under load.
const UNIT: (f64, f64) = (10.0, 100_000.0);
/// Weight of the prior that a gap does not depend on the load, in gaps at loads that differ by
/// [`UNIT`].
const PRIOR_WEIGHT: f64 = 1.0;
/// Ratio of a gap to the expected one above which it is cut: prefills lengthen single gaps.
const MAX_RATIO: f64 = 3.0;
/// Lowest expected gap, as a fraction of the mean: a line through few loads may reach zero at an idle engine.
const MIN_FRACTION: f64 = 0.3;

/// Weighted sums over gaps for the regression, at an engine of average speed.
#[derive(Debug, Clone, Default)]
pub struct GapModel {
    samples: u32,
    weight: f64,
    requests: f64,
    context: f64,
    gap: f64,
    requests_squared: f64,
    context_squared: f64,
    requests_context: f64,
    requests_gap: f64,
    context_gap: f64,
}

/// The estimated gap as a linear function.
struct Line {
    mean: f64,
    /// Gap of an engine without load.
    idle: f64,
    per_request: f64,
    per_context: f64,
}

impl GapModel {
    /// Records a gap at an engine with this load; `mean` is the mean of all gaps.
    pub fn learn(&mut self, millis: f64, load: GapLoad, mean: f64) {
        let expected = self.expected_ms(load).unwrap_or(mean);
        let gap = millis.min(expected * MAX_RATIO);
        let (requests, context) = units(load);
        let add = |sum: &mut f64, value: f64| *sum = *sum * RETAINED_FRACTION + value;
        add(&mut self.weight, 1.0);
        add(&mut self.requests, requests);
        add(&mut self.context, context);
        add(&mut self.gap, gap);
        add(&mut self.requests_squared, requests * requests);
        add(&mut self.context_squared, context * context);
        add(&mut self.requests_context, requests * context);
        add(&mut self.requests_gap, requests * gap);
        add(&mut self.context_gap, context * gap);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the expected gap at an engine of average speed with this load; `None` before enough
    /// were measured.
    #[must_use]
    pub fn expected_ms(&self, load: GapLoad) -> Option<f64> {
        if self.samples < MIN_SAMPLES {
            return None;
        }
        let line = self.line();
        let (requests, context) = units(load);
        let gap = line.idle + line.per_request * requests + line.per_context * context;
        Some(gap.max(line.mean * MIN_FRACTION))
    }

    /// Returns the line with the least squared error; a gap does not get shorter with more load.
    fn line(&self) -> Line {
        let (requests, context) = (self.requests / self.weight, self.context / self.weight);
        let mean = self.gap / self.weight;
        let own = self.requests_squared - self.requests * requests + PRIOR_WEIGHT;
        let other = self.context_squared - self.context * context + PRIOR_WEIGHT;
        let both = self.requests_context - self.requests * context;
        let by_requests = self.requests_gap - self.requests * mean;
        let by_context = self.context_gap - self.context * mean;
        // Above zero: the prior keeps the two from being fully correlated.
        let determinant = own * other - both * both;
        let per_request = (by_requests * other - by_context * both) / determinant;
        let per_context = (by_context * own - by_requests * both) / determinant;
        let (per_request, per_context) = if per_request < 0.0 {
            (0.0, (by_context / other).max(0.0))
        } else if per_context < 0.0 {
            ((by_requests / own).max(0.0), 0.0)
        } else {
            (per_request, per_context)
        };
        Line {
            mean,
            idle: mean - per_request * requests - per_context * context,
            per_request,
            per_context,
        }
    }
}

/// Returns the requests and the context tokens of a load, each in its [`UNIT`].
fn units(load: GapLoad) -> (f64, f64) {
    (
        f64::from(load.requests) / UNIT.0,
        load.context as f64 / UNIT.1,
    )
}
