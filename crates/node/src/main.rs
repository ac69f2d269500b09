/*!
The hemlockspool daemon: the shell around the node reducer.

One daemon for all roles: an instance with a data folder also holds a replica of the log. The shell
turns the world into events, hands them to the reducer one at a time, and turns effects into deeds.

`hemlockspoold --settings FILE` runs an instance whose targets are declared; `hemlockspoold entry` and
`hemlockspoold replica` run instances whose targets are found at run time, which [`fleet`] has.

* [`settings`] reads and checks the settings file.
* [`shell`] holds the reducer's state and performs effects.
* [`disk`] stores the replicated log; [`peer_link`] carries messages between instances.
* [`http`] serves callers and operators; [`proxy`] makes attempts at targets.
* [`probes`] asks targets and the platform's list how things are.
* [`metrics`] and [`events`] tell operators what goes on.
*/

mod disk;
mod events;
mod fleet;
mod http;
mod link_stream;
mod metrics;
mod peer_link;
mod probes;
mod proxy;
mod run;
mod settings;
mod shell;
mod wall_clock;

use {
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    fleet::{FleetRole, FleetSettings, run_entry, run_replica},
    miette::{Diagnostic, IntoDiagnostic, Report},
    settings::DaemonSettings,
    std::{
        panic,
        path::PathBuf,
        process::{self, ExitCode},
    },
    tokio::runtime::Builder,
};

/// The exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;
/// The exit code for anything that fails later.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("entry", matches)) => run_fleet(matches, FleetRole::Entry),
        Some(("replica", matches)) => run_fleet(matches, FleetRole::Replica),
        _ => run_declared(&matches),
    }
}

fn run_declared(matches: &ArgMatches) -> ExitCode {
    let path = settings_path(matches);
    let settings = match DaemonSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => return fail(Report::new(error), EXIT_SETTINGS),
    };
    if matches.get_flag("check") {
        println!("{}: settings are good", path.display());
        return ExitCode::SUCCESS;
    }
    block_on(Builder::new_multi_thread(), run::run(settings))
}

/// Runs an instance of a fleet, on one thread: its machines have a part of a core each.
fn run_fleet(matches: &ArgMatches, role: FleetRole) -> ExitCode {
    let path = settings_path(matches);
    let settings = match FleetSettings::load(path, role) {
        Ok(settings) => settings,
        Err(error) => return fail(Report::new(error), EXIT_SETTINGS),
    };
    if matches.get_flag("check") {
        println!("{}: settings are good", path.display());
        return ExitCode::SUCCESS;
    }
    end_on_panic();
    match role {
        FleetRole::Entry => {
            block_on(Builder::new_current_thread(), run_entry(settings, path.clone()))
        }
        FleetRole::Replica => {
            block_on(Builder::new_current_thread(), run_replica(settings, path.clone()))
        }
    }
}

/// Ends the process when any of its tasks panics: one that goes on without, say, its inbox would
/// look alive and never serve again, while a new process starts afresh.
fn end_on_panic() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        report(info);
        process::abort();
    }));
}

fn block_on<E, F>(mut builder: Builder, run: F) -> ExitCode
where
    E: Diagnostic + Send + Sync + 'static,
    F: Future<Output = Result<(), E>>,
{
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            return fail(Err::<(), _>(error).into_diagnostic().unwrap_err(), EXIT_FAILED);
        }
    };
    match runtime.block_on(run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(Report::new(error), EXIT_FAILED),
    }
}

fn settings_path(matches: &ArgMatches) -> &PathBuf {
    matches.get_one("settings").expect("the argument is required")
}

fn command() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The settings, in JSON");
    let check =
        Arg::new("check").long("check").action(ArgAction::SetTrue).help("Only checks the settings");
    let args = [settings, check];
    let entry =
        Command::new("entry").about("Carries callers' requests to targets found at run time");
    let replica = Command::new("replica").about("Holds the log; serves operators and look-ups");
    Command::new("hemlockspoold")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Steers callers to targets across regions and failure domains")
        .args(args.clone())
        .subcommand_negates_reqs(true)
        .subcommands([entry.args(args.clone()), replica.args(args)])
}

fn fail(report: Report, code: u8) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(code)
}
