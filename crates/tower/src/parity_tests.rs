//! Checks that the plug-in's engine and the daemon's engine issue identical commands for identical inputs.

use crate::call_classes::CallClasses;
use woadstall_engine::{AttemptEnd, Call, Engine, Input, Outcome, RequestId, Time};
use woadstall_settings::Names;

const MS: u64 = 1_000_000;

/// Number of steps of a run.
const STEPS: usize = 4000;
/// Upper limit of the time between two steps, in nanoseconds.
const MAX_STEP: u64 = 8 * MS;
const UPSTREAMS: usize = 9;
const START: Time = 1_700_000_000_000 * MS;

/// A run of an engine under inputs drawn from a seed: endpoint lists, requests, ends of attempts, drained and
/// terminated upstreams, disconnecting callers and timers.
struct RandomRun<'a> {
    engine: Engine<u32, u32>,
    names: &'a Names,
    rng: fastrand::Rng,
    now: Time,
    next_request: u32,
    /// Request and number of each attempt that has not ended.
    in_flight: Vec<(RequestId, u32)>,
    /// All commands of the engine, each with its time.
    commands: Vec<String>,
}

impl<'a> RandomRun<'a> {
    /// Runs an engine and returns its commands.
    fn run_engine(engine: Engine<u32, u32>, names: &'a Names, seed: u64) -> Vec<String> {
        let mut run = Self {
            engine,
            names,
            rng: fastrand::Rng::with_seed(seed),
            now: START,
            next_request: 0,
            in_flight: Vec::new(),
            commands: Vec::new(),
        };
        let upstreams: Vec<_> = (0..UPSTREAMS)
            .map(|number| (number, "in_service", 0))
            .collect();
        run.apply_list(true, &upstreams);
        for _ in 0..STEPS {
            run.step();
        }
        run.commands
    }

    fn step(&mut self) {
        self.now += self.rng.u64(..MAX_STEP);
        while let Some(wake_at) = self.engine.wake_at().filter(|time| *time <= self.now) {
            self.engine.handle(wake_at, Input::Tick);
        }
        match self.rng.u32(..100) {
            0 => self.change_one_upstream(),
            1 => self.engine.handle(self.now, Input::DiscoveryFailed),
            2..=45 => self.request(),
            46..=48 => {
                let id = RequestId(self.rng.u32(..self.next_request.max(1)));
                self.engine.handle(self.now, Input::CallerDisconnected(id));
            }
            _ if !self.in_flight.is_empty() => self.end_one_attempt(),
            _ => {}
        }
        self.record_commands();
    }

    /// Applies an endpoint list of these upstreams, each given by its number, state and start time in Unix
    /// milliseconds.
    fn apply_list(&mut self, is_complete: bool, upstreams: &[(usize, &str, u64)]) {
        let zones = &self.names.zones;
        let target = |&(number, state, boot_ms): &(usize, &str, u64)| {
            serde_json::json!({"uid": format!("s-{number}"), "endpoint": format!("127.0.0.1:{}", 9000 + number),
                "az": zones[number % zones.len()], "state": state, "boot_ms": boot_ms})
        };
        let targets: Vec<_> = upstreams.iter().map(target).collect();
        let json = serde_json::json!({"rev": 1, "all": is_complete, "targets": targets});
        let list: woadstall_discovery::EndpointList = serde_json::from_value(json).unwrap();
        let input = Input::EndpointsListed {
            entries: &list.entries(self.names),
            is_complete,
        };
        self.engine.handle(self.now, input);
    }

    fn change_one_upstream(&mut self) {
        let state = ["in_service", "terminating", "terminated"][self.rng.usize(..3)];
        let boot_ms = if self.rng.bool() { self.now / MS } else { 0 };
        let upstream = self.rng.usize(..UPSTREAMS);
        self.apply_list(false, &[(upstream, state, boot_ms)]);
    }

    fn request(&mut self) {
        let class = self.rng.usize(..self.names.classes.len());
        let deadline = self.now + self.rng.u64(..2_000 * MS);
        let work = self.rng.bool().then(|| self.rng.u64(..90 * MS));
        let call = Call {
            id: RequestId(self.next_request),
            request: self.next_request,
            class,
            tenant: 0,
            work,
            deadline,
            max_attempts: u32::MAX,
        };
        self.next_request += 1;
        self.engine.handle(self.now, Input::Call(call));
    }

    fn end_one_attempt(&mut self) {
        let (id, attempt) = self
            .in_flight
            .swap_remove(self.rng.usize(..self.in_flight.len()));
        let failures = [
            Outcome::Error,
            Outcome::Full,
            Outcome::Reset,
            Outcome::ConnectFailed,
        ];
        let failed = self.rng.u32(..10) == 0;
        let outcome = if failed {
            failures[self.rng.usize(..4)]
        } else {
            Outcome::Ok
        };
        let end = AttemptEnd {
            outcome,
            response: (!failed).then_some(self.next_request),
            load: None,
        };
        self.engine
            .handle(self.now, Input::AttemptEnded { id, attempt, end });
    }

    fn record_commands(&mut self) {
        while let Some(command) = self.engine.next_command() {
            if let woadstall_engine::Command::SendAttempt(send) = &command {
                self.in_flight.push((send.id, send.attempt));
            }
            self.commands.push(format!("{} {command:?}", self.now));
        }
    }
}

#[test]
fn identical_inputs_give_identical_commands_in_daemon_and_plug_in() {
    // The number of classes differs between the daemon and the plug-in. It could affect load shedding, which only the
    // first tier performs.
    for tier in [0, 1] {
        for seed in 0..8 {
            let mut config = woadstall_mock_servers::http1::config(([127, 0, 0, 1], 1).into(), &[]);
            config["settings"]["Layer"] = tier.into();
            config["settings"]["Zones"] = serde_json::json!(["a", "b", "c"]);
            for class in config["settings"]["Classes"].as_array_mut().unwrap() {
                class["AimNs"] = 200_000_000_u64.into(); // causes late responses and load shedding
                class["WindowNs"] = 300_000_000_u64.into();
            }
            let text = config["settings"].to_string();
            let settings = woadstall_settings::parse_settings(text.as_bytes()).unwrap();
            let names = woadstall_settings::parse_names(text.as_bytes()).unwrap();
            let mut plugin_settings = settings.clone();
            CallClasses::new(
                &mut plugin_settings,
                names.clone(),
                &[("/p.P/Look".into(), "look".into())],
            )
            .unwrap();
            assert!(plugin_settings.classes.len() > settings.classes.len());
            let daemon =
                RandomRun::run_engine(Engine::new(settings, 5, START).unwrap(), &names, seed);
            let plugin = RandomRun::run_engine(
                Engine::new(plugin_settings, 5, START).unwrap(),
                &names,
                seed,
            );
            assert!(daemon.len() > 3000, "{} commands", daemon.len());
            let differs = daemon
                .iter()
                .zip(&plugin)
                .find(|(daemon, plugin)| daemon != plugin);
            assert_eq!(
                (differs, daemon.len()),
                (None, plugin.len()),
                "tier {tier}, seed {seed}"
            );
        }
    }
}
