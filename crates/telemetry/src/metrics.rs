//! Request metrics, with all series created when the process starts.
//!
//! Label cardinality is bounded: class, outcome and reason are closed sets, and no value from
//! callers or servers becomes a label. The request path indexes dense arrays of metric handles.

use nutmegdale_base::{class, outcome};
use prometheus::{Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec};
use prometheus::{Opts, Registry, TextEncoder};
use std::time;

/// Upper bounds of the duration buckets, in seconds.
const DURATION_BUCKETS_S: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0,
];

/// Number of classes, plus one for requests that were refused before their class was known.
const CLASSES_COUNT: usize = class::Class::ALL.len() + 1;
/// Label value for an unknown class.
const NO_CLASS: &str = "none";

/// Encodes the metrics of a registry in the Prometheus text format.
///
/// # Panics
///
/// Panics if a metric has no name; writing to memory does not fail otherwise.
pub fn encode(registry: &Registry) -> Vec<u8> {
    let mut buf = Vec::new();
    let encoded = TextEncoder::new().encode(&registry.gather(), &mut buf);
    encoded.expect("metrics can be encoded");
    buf
}

/// Metric handles for one class; `not_run` and `unknown` are indexed by reason.
#[derive(Debug)]
struct ClassSeries {
    answered: IntCounter,
    not_run: Vec<IntCounter>,
    unknown: Vec<IntCounter>,
    duration: Histogram,
}

/// Request metrics of one entry process.
#[derive(Debug)]
pub struct Requests {
    registry: Registry,
    classes: [ClassSeries; CLASSES_COUNT],
}

impl Requests {
    /// Creates all series with the value zero.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have the same name, which no input can cause.
    pub fn new() -> Requests {
        let valid = "names and labels are valid and registered once";
        let opts = Opts::new("nutmegdale_requests_total", "Requests by their outcome.");
        let total = IntCounterVec::new(opts, &["class", "outcome", "reason"]).expect(valid);
        let opts = HistogramOpts::new(
            "nutmegdale_request_duration_seconds",
            "Time from the head of a request to the head of its answer.",
        );
        let opts = opts.buckets(DURATION_BUCKETS_S.to_vec());
        let duration = HistogramVec::new(opts, &["class"]).expect(valid);
        let registry = Registry::new();
        registry.register(Box::new(total.clone())).expect(valid);
        registry.register(Box::new(duration.clone())).expect(valid);
        let classes = std::array::from_fn(|n| {
            let class = class::Class::ALL.get(n).map_or(NO_CLASS, |c| c.name());
            let series = |outcome: outcome::Outcome| {
                let reason = outcome.reason().map_or("", outcome::Reason::name);
                total.with_label_values(&[class, outcome.name(), reason])
            };
            let reasons = outcome::Reason::ALL.iter().copied();
            ClassSeries {
                answered: series(outcome::Outcome::Answered),
                not_run: reasons
                    .clone()
                    .map(|r| series(outcome::Outcome::NotRun(r)))
                    .collect(),
                unknown: reasons
                    .map(|r| series(outcome::Outcome::Unknown(r)))
                    .collect(),
                duration: duration.with_label_values(&[class]),
            }
        });
        Requests { registry, classes }
    }

    /// Records the outcome and the duration of a request.
    pub fn count(
        &self,
        class: Option<class::Class>,
        outcome: outcome::Outcome,
        took: time::Duration,
    ) {
        let index = class.map_or(CLASSES_COUNT - 1, class::Class::index);
        let series = &self.classes[index];
        match outcome {
            outcome::Outcome::Answered => series.answered.inc(),
            // Reasons are declared in the order of `Reason::ALL`.
            outcome::Outcome::NotRun(reason) => series.not_run[reason as usize].inc(),
            outcome::Outcome::Unknown(reason) => series.unknown[reason as usize].inc(),
        }
        series.duration.observe(took.as_secs_f64());
    }

    /// Returns the metrics in the Prometheus text format, followed by `samples`.
    pub fn text(&self, samples: &[Sample]) -> String {
        let mut text = String::from_utf8(encode(&self.registry)).expect("the text format is UTF-8");
        for sample in samples {
            sample.write(&mut text);
        }
        text
    }
}

impl Default for Requests {
    fn default() -> Requests {
        Requests::new()
    }
}

/// Metric type of a [`Sample`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Value that can go up and down.
    Gauge,
    /// Value that only increases while the process runs; its name ends in `_total`.
    Counter,
}

/// Metric value that is sampled when the metrics are scraped.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Metric name.
    pub name: &'static str,
    /// Help text.
    pub help: &'static str,
    /// Metric type.
    pub kind: Kind,
    /// Value at the time of the scrape.
    pub value: u64,
}

impl Sample {
    /// Returns the sample in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        self.write(&mut text);
        text
    }

    fn write(&self, text: &mut String) {
        use std::fmt::Write;
        let Sample {
            name, help, value, ..
        } = self;
        let kind = match self.kind {
            Kind::Gauge => "gauge",
            Kind::Counter => "counter",
        };
        writeln!(
            text,
            "# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {value}"
        )
        .expect("writing to a string cannot fail");
    }
}
