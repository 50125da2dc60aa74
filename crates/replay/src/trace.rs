//! Text format of a trace.
//!
//! One statement a line; `#` starts a comment. Times are in milliseconds from the start.
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

/// Line that does not follow the format.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// line {0}: {1:?} is no statement of a trace
    Statement(usize, String),
    /// line {0}: {1:?} is missing or no number
    Number(usize, &'static str),
    /// the trace has no {0}
    Missing(&'static str),
}

impl std::error::Error for Error {}

/// Servers of a trace, spread evenly over its zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Servers {
    /// Number of servers.
    pub count: usize,
    /// Slots of each.
    pub slots: u32,
    /// Requests that each bears while cold.
    pub cold_slots: u32,
    /// Usual time of a request in a slot.
    pub service_us: u64,
}

/// Stream of arrivals.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Start.
    pub from_ms: u64,
    /// End.
    pub to_ms: u64,
    /// Class of the requests.
    pub class: class::Class,
    /// Requests per second over all entry processes.
    pub per_sec: u64,
}

/// One recorded arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Time.
    pub at_ms: u64,
    /// Number of the entry process.
    pub entry: usize,
    /// Class of the request.
    pub class: class::Class,
}

/// What happens to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Requests take a multiple of the usual time.
    Slow(u64),
    /// Requests are answered at once with an error.
    Fail,
    /// The server behaves as usual again.
    Ok,
    /// The server turns cold without an announcement.
    Cold,
    /// The server starts anew: cold, announced as such, with nothing in flight.
    Restart,
    /// The server drains and announces it.
    Drain,
    /// Reports always show an idle server.
    Lie,
    /// Reports show the truth.
    Truth,
    /// Reports show what was true so many milliseconds ago.
    Lag(u64),
}

/// Event of a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Something happens to a server.
    Server(usize, Fault),
    /// Operators take a zone out of service.
    ZoneOut(usize),
    /// Operators take a zone back; its servers have started anew.
    ZoneIn(usize),
}

/// Stated outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Expect {
    /// Name of the plan.
    pub plan: String,
    /// Column of the table.
    pub column: String,
    /// Greatest value.
    pub most: u64,
}

/// Trace.
#[derive(Debug, Clone, Default)]
pub struct Trace {
    /// Number of entry processes, spread evenly over the zones.
    pub entries_count: usize,
    /// Name and region of each zone.
    pub zones: Vec<(String, String)>,
    /// Servers.
    pub servers: Option<Servers>,
    /// Streams of arrivals.
    pub loads: Vec<Load>,
    /// Recorded arrivals.
    pub arrivals: Vec<Arrival>,
    /// Events with their times.
    pub events: Vec<(u64, Event)>,
    /// Stated outcomes.
    pub expects: Vec<Expect>,
}

struct Line<'a> {
    number: usize,
    words: Vec<&'a str>,
}

impl Line<'_> {
    fn fault(&self) -> Error {
        Error::Statement(self.number, self.words.join(" "))
    }

    fn num(&self, at: usize, what: &'static str) -> Result<u64, Error> {
        let word = self.words.get(at).and_then(|word| word.parse().ok());
        word.ok_or(Error::Number(self.number, what))
    }

    fn keyed(&self, key: &'static str) -> Result<u64, Error> {
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
            _ => Err(self.fault()),
        }
    }

    fn server(&self, at: usize) -> Result<usize, Error> {
        let name = self.words.get(at).and_then(|word| word.strip_prefix('s'));
        name.and_then(|n| n.parse().ok()).ok_or(self.fault())
    }
}

impl Trace {
    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// Names the first line that does not follow the format, or what is missing.
    pub fn parse(text: &str) -> Result<Trace, Error> {
        let mut trace = Trace::default();
        for (number, line) in text.lines().enumerate() {
            let line = line.split('#').next().unwrap_or("");
            let words: Vec<&str> = line.split_whitespace().collect();
            if !words.is_empty() {
                let number = number + 1;
                trace.statement(&Line { number, words })?;
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

    fn statement(&mut self, line: &Line<'_>) -> Result<(), Error> {
        match line.words[0] {
            "entries" => self.entries_count = line.num(1, "count")? as usize,
            "zones" => {
                for word in &line.words[1..] {
                    let (zone, region) = word.split_once(':').ok_or(line.fault())?;
                    self.zones.push((zone.to_owned(), region.to_owned()));
                }
            }
            "servers" => {
                self.servers = Some(Servers {
                    count: line.num(1, "count")? as usize,
                    slots: line.keyed("slots")? as u32,
                    cold_slots: line.keyed("cold-slots")? as u32,
                    service_us: line.keyed("service-us")?,
                });
            }
            "load" => self.loads.push(Load {
                from_ms: line.num(1, "from")?,
                to_ms: line.num(2, "to")?,
                class: line.class(3)?,
                per_sec: line.num(4, "rate")?,
            }),
            "arrive" => self.arrivals.push(Arrival {
                at_ms: line.num(1, "time")?,
                entry: line.num(2, "entry")? as usize,
                class: line.class(3)?,
            }),
            "at" => {
                let event = self.event(line)?;
                self.events.push((line.num(1, "time")?, event));
            }
            "expect" => {
                let (Some(plan), Some(column)) = (line.words.get(1), line.words.get(2)) else {
                    return Err(line.fault());
                };
                self.expects.push(Expect {
                    plan: (*plan).to_owned(),
                    column: (*column).to_owned(),
                    most: line.num(4, "bound")?,
                });
            }
            _ => return Err(line.fault()),
        }
        Ok(())
    }

    fn event(&self, line: &Line<'_>) -> Result<Event, Error> {
        let zone = || {
            let name = line.words.get(3);
            let found = self
                .zones
                .iter()
                .position(|(zone, _)| Some(&zone.as_str()) == name);
            found.ok_or(line.fault())
        };
        let fault = match *line.words.get(2).ok_or(line.fault())? {
            "zone-out" => return Ok(Event::ZoneOut(zone()?)),
            "zone-in" => return Ok(Event::ZoneIn(zone()?)),
            "slow" => Fault::Slow(line.num(4, "factor")?),
            "fail" => Fault::Fail,
            "ok" => Fault::Ok,
            "cold" => Fault::Cold,
            "restart" => Fault::Restart,
            "drain" => Fault::Drain,
            "lie" => Fault::Lie,
            "truth" => Fault::Truth,
            "lag" => Fault::Lag(line.num(4, "lag")?),
            _ => return Err(line.fault()),
        };
        Ok(Event::Server(line.server(3)?, fault))
    }
}
