//! Text format of a trace.
//!
//! One statement per line; `#` starts a comment. Times are in milliseconds from the start.
//!
//! ```text
//! entries 20
//! zones a:north b:north c:south
//! servers 18 slots=4 cold-slots=1 service-us=5000
//! load 0 10000 urgent 2400          # from, to, class, requests per second of all entries
//! arrive 12 3 urgent                # time, entry
//! at 2000 slow s3 10                # factor; also fail, ok, cold, restart, drain, lie, truth, lag
//! at 2000 zone-out a                # also zone-in
//! expect least-cost p99-ms <= 60    # plan, column, bound
//! ```

use displaydoc::Display;
use nutmegdale_base::class;

/// Error of parsing a trace.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// line {0}: {1:?} is not a valid statement
    Statement(usize, String),
    /// line {0}: {1:?} is missing or not a number
    Number(usize, &'static str),
    /// the trace has no statement of {0}
    Missing(&'static str),
}

impl std::error::Error for Error {}

/// Servers of a trace, distributed evenly over its zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Servers {
    /// Number of servers.
    pub count: usize,
    /// Concurrent requests that each server executes.
    pub slots: u32,
    /// Concurrent requests that each server can handle while it is cold.
    pub cold_slots: u32,
    /// Typical service time of a request, in microseconds.
    pub service_us: u64,
}

/// Stream of arrivals at a constant mean rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Start, in milliseconds from the start of the trace.
    pub from_ms: u64,
    /// End, in milliseconds from the start of the trace.
    pub to_ms: u64,
    /// Class of the requests.
    pub class: class::Class,
    /// Requests per second over all entry processes.
    pub per_sec: u64,
}

/// One recorded arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Arrival time, in milliseconds from the start of the trace.
    pub at_ms: u64,
    /// Index of the entry process.
    pub entry: usize,
    /// Class of the request.
    pub class: class::Class,
}

/// Fault or state change of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Requests take a multiple of the usual service time.
    Slow(u64),
    /// The server answers requests immediately with an error.
    Fail,
    /// The server is neither slow nor failing any more.
    Ok,
    /// The server turns cold without an announcement.
    Cold,
    /// The server restarts: it is cold, announces it, and has nothing in flight.
    Restart,
    /// The server drains and announces it.
    Drain,
    /// Load reports always show an idle server.
    Lie,
    /// Load reports are accurate and current again.
    Truth,
    /// Load reports may be stale by up to this many milliseconds.
    Lag(u64),
}

/// Event of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A fault or state change of the server with this index.
    Server(usize, Fault),
    /// Operators take the zone with this index out of service.
    ZoneOut(usize),
    /// Operators return the zone with this index to service; its servers have restarted.
    ZoneIn(usize),
}

/// Expected upper bound of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expect {
    /// Name of the plan.
    pub plan: String,
    /// Name of the column in the table of results.
    pub column: String,
    /// Highest allowed value, in milliseconds for latencies.
    pub most: u64,
}

/// Parsed trace.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// Number of entry processes, distributed evenly over the zones.
    pub entries_count: usize,
    /// Name and region of each zone.
    pub zones: Vec<(String, String)>,
    /// Servers; always set in a parsed trace.
    pub servers: Option<Servers>,
    /// Streams of arrivals.
    pub loads: Vec<Load>,
    /// Recorded arrivals.
    pub arrivals: Vec<Arrival>,
    /// Events with their times in milliseconds from the start of the trace.
    pub events: Vec<(u64, Event)>,
    /// Expected results.
    pub expects: Vec<Expect>,
}

struct Line<'a> {
    number: usize,
    words: Vec<&'a str>,
}

impl Line<'_> {
    fn statement_error(&self) -> Error {
        Error::Statement(self.number, self.words.join(" "))
    }

    fn number_at(&self, at: usize, what: &'static str) -> Result<u64, Error> {
        let word = self.words.get(at).and_then(|word| word.parse().ok());
        word.ok_or(Error::Number(self.number, what))
    }

    fn number_of_key(&self, key: &'static str) -> Result<u64, Error> {
        let pairs = self.words.iter().filter_map(|word| word.split_once('='));
        let mut values = pairs.filter(|(name, _)| *name == key);
        let value = values.next().and_then(|(_, value)| value.parse().ok());
        value.ok_or(Error::Number(self.number, key))
    }

    fn class(&self, at: usize) -> Result<class::Class, Error> {
        match self.words.get(at) {
            Some(&"urgent") => Ok(class::Class::UrgentLookup),
            Some(&"one-time") => Ok(class::Class::OneTimeFiling),
            Some(&"bulk") => Ok(class::Class::BulkExport),
            _ => Err(self.statement_error()),
        }
    }

    fn server(&self, at: usize) -> Result<usize, Error> {
        let name = self.words.get(at).and_then(|word| word.strip_prefix('s'));
        name.and_then(|n| n.parse().ok())
            .ok_or(self.statement_error())
    }
}

impl Trace {
    /// Parses a trace.
    ///
    /// # Errors
    ///
    /// Returns the first invalid line, or the statement that is missing.
    pub fn parse(text: &str) -> Result<Trace, Error> {
        let mut trace = Trace::default();
        for (number, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("");
            let words: Vec<&str> = line.split_whitespace().collect();
            if !words.is_empty() {
                let number = number + 1;
                trace.parse_statement(&Line { number, words })?;
            }
        }
        if trace.servers.is_none() {
            return Err(Error::Missing("servers"));
        }
        if trace.entries_count == 0 || trace.zones.is_empty() {
            return Err(Error::Missing("entries or zones"));
        }
        Ok(trace)
    }

    fn parse_statement(&mut self, line: &Line<'_>) -> Result<(), Error> {
        match line.words[0] {
            "entries" => self.entries_count = line.number_at(1, "count")? as usize,
            "zones" => {
                for word in &line.words[1..] {
                    let (zone, region) = word.split_once(':').ok_or(line.statement_error())?;
                    self.zones.push((zone.to_owned(), region.to_owned()));
                }
            }
            "servers" => {
                self.servers = Some(Servers {
                    count: line.number_at(1, "count")? as usize,
                    slots: line.number_of_key("slots")? as u32,
                    cold_slots: line.number_of_key("cold-slots")? as u32,
                    service_us: line.number_of_key("service-us")?,
                });
            }
            "load" => self.loads.push(Load {
                from_ms: line.number_at(1, "from")?,
                to_ms: line.number_at(2, "to")?,
                class: line.class(3)?,
                per_sec: line.number_at(4, "rate")?,
            }),
            "arrive" => self.arrivals.push(Arrival {
                at_ms: line.number_at(1, "time")?,
                entry: line.number_at(2, "entry")? as usize,
                class: line.class(3)?,
            }),
            "at" => {
                let event = self.parse_event(line)?;
                self.events.push((line.number_at(1, "time")?, event));
            }
            "expect" => {
                let (Some(plan), Some(column)) = (line.words.get(1), line.words.get(2)) else {
                    return Err(line.statement_error());
                };
                self.expects.push(Expect {
                    plan: (*plan).to_owned(),
                    column: (*column).to_owned(),
                    most: line.number_at(4, "bound")?,
                });
            }
            _ => return Err(line.statement_error()),
        }
        Ok(())
    }

    fn parse_event(&self, line: &Line<'_>) -> Result<Event, Error> {
        let zone = || {
            let name = line.words.get(3);
            let found = self
                .zones
                .iter()
                .position(|(zone, _)| Some(&zone.as_str()) == name);
            found.ok_or(line.statement_error())
        };
        let fault = match *line.words.get(2).ok_or(line.statement_error())? {
            "zone-out" => return Ok(Event::ZoneOut(zone()?)),
            "zone-in" => return Ok(Event::ZoneIn(zone()?)),
            "slow" => Fault::Slow(line.number_at(4, "factor")?),
            "fail" => Fault::Fail,
            "ok" => Fault::Ok,
            "cold" => Fault::Cold,
            "restart" => Fault::Restart,
            "drain" => Fault::Drain,
            "lie" => Fault::Lie,
            "truth" => Fault::Truth,
            "lag" => Fault::Lag(line.number_at(4, "lag")?),
            _ => return Err(line.statement_error()),
        };
        Ok(Event::Server(line.server(3)?, fault))
    }
}
