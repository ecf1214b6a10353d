//! The bench's text dialect, in and out. Nothing is decided here: lines become events of the decision
//! module, and its actions become lines.

use foldhash::quality::FixedState;
use madderloom_balancer::settings::{LoadReportLayout, Site};
use madderloom_balancer::{Action, Balancer, interface::*};
use std::collections::HashMap;
use std::io::Write;

/// Numbers under which the dialect keeps lists.
const TABLES: usize = 16;

/// One instance: its balancer and its own numbering of server names.
struct Instance {
    balancer: Balancer,
    layout: LoadReportLayout,
    ids: HashMap<Box<str>, ServerId, FixedState>,
    names: HashMap<ServerId, Box<str>, FixedState>,
}

impl Instance {
    /// A name's number is its hash, the same at every instance; a clash moves to the next free number.
    fn intern(&mut self, name: &str) -> ServerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = ServerId::from_name(name);
        while self.names.contains_key(&id) {
            id = ServerId(id.0.wrapping_add(1));
        }
        self.ids.insert(name.into(), id);
        self.names.insert(id, name.into());
        id
    }
}

struct Row {
    name: Box<str>,
    zone: u32,
    cell: u32,
    kind: u32,
    started: Option<Micros>,
    capacity: f64,
    state: ServerState,
}

/// Hosts the instances of one process and speaks the dialect for them.
#[derive(Default)]
pub struct Adapter {
    now: Micros,
    in_batch: bool,
    instances: HashMap<u32, Instance, FixedState>,
    tables: [Vec<Row>; TABLES],
    /// The list being read, and how many entries it still lacks.
    reading: (usize, usize),
    listed: Vec<ServerEntry>,
    actions: Vec<Action>,
}

/// The space-separated values of a line.
struct Fields<'a>(std::str::Split<'a, char>);

impl<'a> Fields<'a> {
    fn text(&mut self, name: &str) -> Result<&'a str, String> {
        self.0
            .next()
            .filter(|t| !t.is_empty())
            .ok_or_else(|| format!("{name} is missing"))
    }

    fn get<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, String> {
        let text = self.text(name)?;
        text.parse()
            .map_err(|_| format!("{name} makes no sense: {text}"))
    }

    fn optional<T: std::str::FromStr>(&mut self, name: &str) -> Result<Option<T>, String> {
        optional(self.text(name)?, name)
    }

    fn rest(&mut self) -> String {
        let parts: Vec<&str> = self.0.by_ref().collect();
        parts.join(" ")
    }
}

fn optional<T: std::str::FromStr>(text: &str, name: &str) -> Result<Option<T>, String> {
    if text == "-" {
        return Ok(None);
    }
    text.parse()
        .map(Some)
        .map_err(|_| format!("{name} makes no sense: {text}"))
}

fn outcome(name: &str) -> Result<Outcome, String> {
    Ok(match name {
        "ok" => Outcome::Ok,
        "error" => Outcome::Error,
        "full" => Outcome::Full,
        "timeout" => Outcome::Timeout,
        "connect_failed" => Outcome::ConnectFailed,
        "reset" => Outcome::Reset,
        "cancelled" => Outcome::Cancelled,
        "moot" => Outcome::Moot,
        _ => return Err(format!("code is unknown: {name}")),
    })
}

fn timer(handle: &str) -> Result<Timer, String> {
    match handle {
        "ask" => Ok(Timer::Discovery),
        _ => handle
            .parse()
            .map(Timer::Request)
            .map_err(|_| format!("handle is unknown: {handle}")),
    }
}

impl Adapter {
    /// Whether a batch has begun and not yet closed.
    pub fn in_batch(&self) -> bool {
        self.in_batch
    }

    /// Reads one line and appends what it calls for to the reply. True when the reply is complete.
    /// An error tells why the line was passed over.
    pub fn line(&mut self, line: &str, reply: &mut Vec<u8>) -> Result<bool, String> {
        let mut fields = Fields(line.split(' '));
        let tag = fields.text("message")?;
        match tag {
            "tick" => {
                self.now = fields.get("now")?;
                self.in_batch = true;
            }
            "eob" => {
                self.in_batch = false;
                reply.extend_from_slice(b"finished\n");
                return Ok(true);
            }
            "directory" => self.directory(&mut fields)?,
            "entry" => self.entry(&mut fields)?,
            "open_instance" => self.open(&mut fields, reply)?,
            "exit" => {
                self.instances.remove(&fields.get("sidecar_id")?);
            }
            "heard" => {}
            _ => self.event(tag, &mut fields, reply)?,
        }
        Ok(false)
    }

    fn open(&mut self, fields: &mut Fields<'_>, reply: &mut Vec<u8>) -> Result<(), String> {
        let id = fields.get("sidecar_id")?;
        let seed = fields.get("salt")?;
        let made = Site::from_json(&fields.rest()).and_then(|site| {
            let layout = site.layout;
            Balancer::new(site.settings, seed)
                .map(|made| (made, layout))
                .map_err(|e| e.to_string())
        });
        match made {
            Ok((balancer, layout)) => {
                let (ids, names) = Default::default();
                self.instances.insert(
                    id,
                    Instance {
                        balancer,
                        layout,
                        ids,
                        names,
                    },
                );
                Ok(())
            }
            Err(problem) => {
                let _ = writeln!(
                    reply,
                    "exception {id} {}",
                    problem.replace(['\n', '\r'], " ")
                );
                Err(problem)
            }
        }
    }

    fn directory(&mut self, fields: &mut Fields<'_>) -> Result<(), String> {
        let table: usize = fields.get("table")?;
        let rows: usize = fields.get("rows")?;
        let list = self
            .tables
            .get_mut(table)
            .ok_or_else(|| format!("table makes no sense: {table}"))?;
        list.clear();
        self.reading = (table, rows);
        Ok(())
    }

    fn entry(&mut self, fields: &mut Fields<'_>) -> Result<(), String> {
        let (table, left) = self.reading;
        self.reading.1 = left.checked_sub(1).ok_or("entry outside a directory")?;
        let zone = fields.get("failure_domain")?;
        let kind = fields.get("model")?;
        let name = fields.text("upstream")?.into();
        let started = fields.optional("came_up")?.filter(|t| *t > 0);
        let capacity: f64 = fields.get("capacity_hint")?;
        let state = match fields.text("availability")? {
            "SERVING" => ServerState::Ready,
            "DRAINING" => ServerState::Draining,
            "DELETED" => ServerState::Gone,
            other => return Err(format!("availability is unknown: {other}")),
        };
        let cell = fields.optional("cohort")?.unwrap_or(0);
        let capacity = if capacity.is_finite() && capacity > 0.0 {
            capacity
        } else {
            1.0
        };
        self.tables[table].push(Row {
            name,
            zone,
            cell,
            kind,
            started,
            capacity,
            state,
        });
        Ok(())
    }

    fn event(
        &mut self,
        tag: &str,
        fields: &mut Fields<'_>,
        reply: &mut Vec<u8>,
    ) -> Result<(), String> {
        let sidecar: u32 = fields.get("sidecar_id")?;
        let now = self.now;
        let Some(instance) = self.instances.get_mut(&sidecar) else {
            return Ok(());
        };
        let event = match tag {
            "call" => {
                let id = fields.get("call")?;
                let class = fields.get("service")?;
                let tenant = fields.optional("client_group")?.unwrap_or(0);
                let key = match fields.text("key")? {
                    "-" => None,
                    hex => Some(
                        u64::from_str_radix(hex, 16)
                            .map_err(|_| format!("key makes no sense: {hex}"))?,
                    ),
                };
                let time_left = fields.get("time_left")?;
                let cost: Option<Micros> = fields.optional("effort")?;
                let marks: u32 = fields.optional("marks")?.unwrap_or(0);
                let cost = cost.filter(|_| marks & 1 != 0);
                let repeat = marks & 2 != 0;
                Event::RequestReceived(NewRequest {
                    id,
                    class,
                    tenant,
                    key,
                    time_left,
                    cost_hint: cost,
                    client_retry: repeat,
                })
            }
            "closed_attempt" => {
                let request = fields.get("call")?;
                let attempt = fields.get("send_no")?;
                let server = instance.intern(fields.text("upstream")?);
                let outcome = outcome(fields.text("code")?)?;
                let elapsed = fields.get("time_taken")?;
                let ended = fields.get::<u8>("ended")? != 0;
                Event::AttemptEnded(AttemptResult {
                    request,
                    attempt,
                    server,
                    outcome,
                    elapsed,
                    request_ended: ended,
                })
            }
            "elapsed" => Event::TimerFired(timer(fields.text("handle")?)?),
            "begun" => Event::ResponseStreamStarted {
                request: fields.get("call")?,
                attempt: fields.get("send_no")?,
            },
            "timed_out_client" => Event::ClientDisconnected(fields.get("call")?),
            "probed" => {
                let server = instance.intern(fields.text("upstream")?);
                let code = fields.text("code")?;
                fields.text("time_taken")?;
                let row = fields.text("health_info")?;
                Event::ProbeCompleted(
                    server,
                    instance.layout.parse_report(row).filter(|_| code == "ok"),
                )
            }
            "backends_changed" => {
                let scope = fields.text("scope")?;
                if scope == "FAILED" {
                    Event::DiscoveryUpdated(DiscoveryUpdate::CallFailed {
                        list_known_at: now,
                        waited: Micros::MAX,
                        connection_broken: true,
                    })
                } else {
                    let table: usize = fields.get("table")?;
                    let rows = self
                        .tables
                        .get(table)
                        .ok_or_else(|| format!("table makes no sense: {table}"))?;
                    self.listed.clear();
                    for row in rows {
                        self.listed.push(ServerEntry {
                            server: instance.intern(&row.name),
                            zone: row.zone,
                            cell: row.cell,
                            kind: row.kind,
                            started_at: row.started,
                            capacity: row.capacity,
                            state: row.state,
                        });
                    }
                    Event::DiscoveryUpdated(match scope {
                        "SAVED" | "FULL" => DiscoveryUpdate::FullList(&self.listed),
                        "INCREMENTAL" => DiscoveryUpdate::ListChanges(&self.listed),
                        other => return Err(format!("scope is unknown: {other}")),
                    })
                }
            }
            other => return Err(format!("message is unknown: {other}")),
        };
        self.actions.clear();
        instance.balancer.handle(now, event, &mut self.actions);
        for action in &self.actions {
            // Writing to a vector cannot fail.
            let _ = write_action(reply, sidecar, action, &instance.names);
        }
        Ok(())
    }
}

type Names = HashMap<ServerId, Box<str>, FixedState>;

fn write_action(
    to: &mut Vec<u8>,
    sidecar: u32,
    action: &Action,
    names: &Names,
) -> std::io::Result<()> {
    let name = |server: &ServerId| names.get(server).map_or("-", |n| n);
    match action {
        Action::Send {
            request,
            server,
            timeout_at,
            ..
        } => {
            writeln!(to, "send {sidecar} {request} {} {timeout_at}", name(server))
        }
        // The simulator has no responses that begin before they end.
        Action::AwaitResponse { .. } => Ok(()),
        Action::Probe(server) => writeln!(to, "ask_load {sidecar} {}", name(server)),
        Action::Cancel { request, attempt } => {
            writeln!(to, "drop_attempt {sidecar} {request} {attempt}")
        }
        Action::Reject {
            request,
            retry_after: Some(wait),
        } => {
            writeln!(to, "shed {sidecar} {request} {wait}")
        }
        Action::Reject {
            request,
            retry_after: None,
        } => writeln!(to, "shed {sidecar} {request} -"),
        Action::Fail { request } => writeln!(to, "report_failure {sidecar} {request}"),
        Action::SetTimer { at, timer } => match timer {
            Timer::Discovery => writeln!(to, "sleep {sidecar} {at} ask"),
            Timer::Request(id) => writeln!(to, "sleep {sidecar} {at} {id}"),
        },
        Action::PollDiscovery => writeln!(to, "stream_changes {sidecar} 1"),
        Action::Log(note) => match note {
            LogEvent::ServerEjected(server, outcome) => {
                writeln!(to, "remark {sidecar} ejected {} {outcome:?}", name(server))
            }
            LogEvent::ServerRestored(server) => {
                writeln!(to, "remark {sidecar} restored {}", name(server))
            }
            LogEvent::ClassOverloaded(class) => writeln!(
                to,
                "remark {sidecar} overload: refusing class {class} early"
            ),
            LogEvent::DiscoveryFailed => writeln!(to, "remark {sidecar} server list out of reach"),
        },
    }
}
