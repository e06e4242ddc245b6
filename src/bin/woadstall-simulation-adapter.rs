//! Hosts instances of the decision module for the simulator. Exchanges batches of events and actions over standard
//! input and output; all decisions are made by the module.

use std::collections::HashMap;
use std::error::Error;
use std::io::{self, BufReader, ErrorKind, Read, Write};
use std::process::ExitCode;
use woadstall::wire::{self, BATCH_HEADER_SIZE, BatchHeader, Record, Reply, TABLE_COUNT};
use woadstall_decisions::Balancer;
use woadstall_decisions::api::{Action, Event, ServerEntry, Time};

fn main() -> ExitCode {
    match serve(
        BufReader::with_capacity(1 << 16, io::stdin().lock()),
        io::stdout().lock(),
    ) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("woadstall-simulation-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), Box<dyn Error>> {
    let mut host = Host::default();
    let (mut body, mut frame) = (Vec::new(), Vec::new());
    while let Some(header) = read_header(&mut input)? {
        let header = BatchHeader::decode(&header)?;
        body.clear();
        let received = input
            .by_ref()
            .take(header.length as u64)
            .read_to_end(&mut body)?;
        if received < header.length {
            return Err(format!("batch {}: truncated frame", header.sequence).into());
        }
        for record in wire::records(header, &body) {
            let record = record.map_err(|error| format!("batch {}: {error}", header.sequence))?;
            host.apply(header.now, record);
        }
        frame.clear();
        host.reply.finish(header.sequence, &mut frame);
        output.write_all(&frame)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads the next header; `None` if the input ends between frames.
fn read_header(input: &mut impl Read) -> Result<Option<[u8; BATCH_HEADER_SIZE]>, Box<dyn Error>> {
    let mut header = [0; BATCH_HEADER_SIZE];
    let mut filled = 0;
    while filled < BATCH_HEADER_SIZE {
        match input.read(&mut header[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => return Err("truncated header".into()),
            Ok(count) => filled += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error.into()),
        }
    }
    Ok(Some(header))
}

/// The running instances by number, the stored server tables, and the reply to the current batch.
#[derive(Default)]
struct Host {
    instances: HashMap<u32, Balancer>,
    tables: [Vec<ServerEntry>; TABLE_COUNT],
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    fn apply(&mut self, now: Time, record: Record<'_>) {
        match record {
            Record::StartInstance {
                instance,
                seed,
                settings,
            } => {
                let settings =
                    woadstall_settings::parse_settings(settings).map_err(|error| error.to_string());
                let balancer = settings.and_then(|settings| {
                    Balancer::new(settings, seed, now).map_err(|error| format!("settings: {error}"))
                });
                match balancer {
                    Ok(balancer) => drop(self.instances.insert(instance, balancer)),
                    Err(error) => self.reply.push_fault(instance, &error),
                }
            }
            Record::RemoveInstance(instance) => drop(self.instances.remove(&instance)),
            Record::Table(number, entries) => self.tables[number] = entries,
            Record::Announce {
                instance,
                table,
                delta,
            } => {
                let entries = &self.tables[table];
                let event = if delta {
                    Event::ServerListChange(entries)
                } else {
                    Event::ServerList(entries)
                };
                if let Some(balancer) = self.instances.get_mut(&instance) {
                    balancer.handle(now, event, &mut self.actions);
                }
                self.push_actions(instance);
            }
            Record::Event(instance, event) => {
                if let Some(balancer) = self.instances.get_mut(&instance) {
                    balancer.handle(now, event, &mut self.actions);
                }
                self.push_actions(instance);
            }
            Record::Ignored => {}
        }
    }

    /// Moves the actions of an instance to the reply.
    fn push_actions(&mut self, instance: u32) {
        for action in self.actions.drain(..) {
            self.reply.push_action(instance, &action);
        }
    }
}
