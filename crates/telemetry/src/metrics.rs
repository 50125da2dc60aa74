//! Metrics of the path of a request, with every series resolved when the process starts.
//!
//! Label sets are bounded: class, outcome and reason are closed sets, and nothing that callers or
//! servers name becomes a label. The path of a request indexes dense arrays of handles.

use nutmegdale_base::{class, outcome};
use prometheus::{Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec};
use prometheus::{Opts, Registry, TextEncoder};
use std::time;

/// Upper bounds of the duration buckets, in seconds.
const DURATION_BUCKETS_S: [f64; 12] = [
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0,
];

/// Classes, and one place more for requests that were refused before their class was known.
const CLASSES_COUNT: usize = class::Class::ALL.len() + 1;
/// Label of a class that is not known.
const NO_CLASS: &str = "none";

/// Series of one class.
#[derive(Debug)]
struct ClassSeries {
    answered: IntCounter,
    not_run: Vec<IntCounter>,
    unknown: Vec<IntCounter>,
    duration: Histogram,
}

/// Metrics of the requests of one entry process.
#[derive(Debug)]
pub struct Requests {
    registry: Registry,
    classes: [ClassSeries; CLASSES_COUNT],
}

impl Requests {
    /// Creates every series at zero.
    ///
    /// # Panics
    ///
    /// Panics if two metrics have one name, which no input can bring about.
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
            let with = |outcome: outcome::Outcome| {
                let reason = outcome.reason().map_or("", outcome::Reason::name);
                total.with_label_values(&[class, outcome.name(), reason])
            };
            let reasons = outcome::Reason::ALL.iter().copied();
            ClassSeries {
                answered: with(outcome::Outcome::Answered),
                not_run: reasons
                    .clone()
                    .map(|r| with(outcome::Outcome::NotRun(r)))
                    .collect(),
                unknown: reasons
                    .map(|r| with(outcome::Outcome::Unknown(r)))
                    .collect(),
                duration: duration.with_label_values(&[class]),
            }
        });
        Requests { registry, classes }
    }

    /// Counts a request.
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

    /// Returns the metrics in the text format, with `gauges` of the state at this moment.
    pub fn text(&self, samples: &[Sample]) -> String {
        let mut buf = Vec::new();
        let encoded = TextEncoder::new().encode(&self.registry.gather(), &mut buf);
        encoded.expect("metrics can be written to memory");
        let mut text = String::from_utf8(buf).expect("the text format is UTF-8");
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

/// Kind of a [`Sample`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Value that rises and falls.
    Gauge,
    /// Value that only grows while the process runs; its name ends in `_total`.
    Counter,
}

/// Value that is read when metrics are asked for.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Name.
    pub name: &'static str,
    /// Explanation.
    pub help: &'static str,
    /// Kind.
    pub kind: Kind,
    /// Value.
    pub value: u64,
}

impl Sample {
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
        .expect("string can be written");
    }
}
