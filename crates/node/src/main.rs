/*!
The hemlockspool daemon: the shell around the node reducer.

The shell turns requests, messages, timers and disk completions into events, passes them to the
reducer one at a time, and performs the effects that the reducer returns.

`hemlockspoold --settings FILE` runs an instance whose targets are declared. It serves callers and
operators, and also holds a replica of the log if it has a data folder. `hemlockspoold entry` and
`hemlockspoold replica` run instances of a [`fleet`], whose targets are discovered at run time.

* [`settings`] reads and checks the settings file.
* [`shell`] holds the reducer's state and performs effects.
* [`disk`] stores the replicated log; [`peer_link`] carries messages between instances.
* [`http`] serves callers and operators; [`proxy`] forwards requests to targets.
* [`run`] starts and stops an instance whose targets are declared.
* [`link_stream`] limits the rate of request bodies and streamed response bodies on links between
  regions.
* [`probes`] probes targets and polls the platform's list of instances.
* [`metrics`] and [`event_log`] report to operators.
* [`wall_clock`] reads the wall clock.
* [`watched_stream`] ends connections whose peers no longer acknowledge what they are sent.
*/

mod boot_clock;
mod bridge;
mod disk;
mod event_log;
mod fleet;
mod http;
mod inbound_sockets;
mod limited_body;
mod link_stream;
mod metrics;
mod peer_link;
mod probes;
mod proxy;
mod run;
mod settings;
mod shell;
mod wall_clock;
mod watched_stream;

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

/// The exit code for settings that can't be read or are invalid. clap exits with it for invalid
/// arguments, too.
const EXIT_SETTINGS: u8 = 2;
/// The exit code for all other errors.
const EXIT_FAILURE: u8 = 1;

fn main() -> ExitCode {
    let matches = command().get_matches();
    match matches.subcommand() {
        Some(("entry", matches)) => run_fleet(matches, FleetRole::Entry),
        Some(("replica", matches)) => run_fleet(matches, FleetRole::Replica),
        _ => run_declared(&matches),
    }
}

/// Runs an instance whose targets are declared.
fn run_declared(matches: &ArgMatches) -> ExitCode {
    let path = settings_path(matches);
    let settings = match DaemonSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => return exit_with(Report::new(error), EXIT_SETTINGS),
    };
    if matches.get_flag("check") {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    block_on(Builder::new_multi_thread(), run::run(settings))
}

/// Runs an instance of a fleet. Its tasks share one thread, since each of a fleet's machines has
/// only a fraction of a core.
fn run_fleet(matches: &ArgMatches, role: FleetRole) -> ExitCode {
    let path = settings_path(matches);
    let settings = match FleetSettings::load(path, role) {
        Ok(settings) => settings,
        Err(error) => return exit_with(Report::new(error), EXIT_SETTINGS),
    };
    if matches.get_flag("check") {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    abort_on_panic();
    match role {
        FleetRole::Entry => {
            block_on(Builder::new_current_thread(), run_entry(settings, path.clone()))
        }
        FleetRole::Replica => {
            block_on(Builder::new_current_thread(), run_replica(settings, path.clone()))
        }
    }
}

/// Aborts the process when any task or thread panics. A process that continued without its inbox
/// task, for example, would look healthy but never serve again, whereas a restarted process
/// recovers.
fn abort_on_panic() {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        default_hook(info);
        process::abort();
    }));
}

/// Runs a future to its end on a new runtime and returns the exit code.
fn block_on<E, F>(mut builder: Builder, future: F) -> ExitCode
where
    E: Diagnostic + Send + Sync + 'static,
    F: Future<Output = Result<(), E>>,
{
    let runtime = match builder.enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            return exit_with(Err::<(), _>(error).into_diagnostic().unwrap_err(), EXIT_FAILURE);
        }
    };
    match runtime.block_on(future) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => exit_with(Report::new(error), EXIT_FAILURE),
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
        .help("The settings file, in JSON");
    let check = Arg::new("check")
        .long("check")
        .action(ArgAction::SetTrue)
        .help("Check the settings and exit");
    let args = [settings, check];
    let entry =
        Command::new("entry").about("Forwards callers' requests to targets discovered at run time");
    let replica =
        Command::new("replica").about("Stores the replicated log; serves operators and lookups");
    Command::new("hemlockspoold")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Routes callers' requests to targets across regions and failure domains")
        .args(args.clone())
        .subcommand_negates_reqs(true)
        .subcommands([entry.args(args.clone()), replica.args(args)])
}

/// Prints an error and returns an exit code.
fn exit_with(report: Report, code: u8) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(code)
}
