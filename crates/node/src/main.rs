/*!
The hemlockspool daemon: the shell around the node reducer.

One daemon for all roles: an instance with a data folder also holds a replica of the log. The shell
turns the world into events, hands them to the reducer one at a time, and turns effects into deeds.

* [`settings`] reads and checks the settings file.
* [`shell`] holds the reducer's state and performs effects.
* [`disk`] stores the replicated log; [`peer_net`] carries messages between instances.
* [`http`] serves callers and operators; [`carriage`] makes attempts at targets.
* [`probes`] asks targets and the platform's list how things are.
* [`metrics`] and [`events`] tell operators what goes on.
*/

mod carriage;
mod disk;
mod events;
mod http;
mod link_stream;
mod metrics;
mod peer_net;
mod probes;
mod run;
mod settings;
mod shell;
mod wall_clock;

use {
    clap::{Arg, ArgAction, Command, value_parser},
    miette::{IntoDiagnostic, Report},
    settings::DaemonSettings,
    std::{path::PathBuf, process::ExitCode},
};

/// The exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;
/// The exit code for anything that fails later.
const EXIT_FAILED: u8 = 1;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path: &PathBuf = matches.get_one("settings").expect("the argument is required");
    let settings = match DaemonSettings::load(path) {
        Ok(settings) => settings,
        Err(error) => return fail(Report::new(error), EXIT_SETTINGS),
    };
    if matches.get_flag("check") {
        println!("{}: settings are good", path.display());
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            return fail(Err::<(), _>(error).into_diagnostic().unwrap_err(), EXIT_FAILED);
        }
    };
    match runtime.block_on(run::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(Report::new(error), EXIT_FAILED),
    }
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
    Command::new("hemlockspoold")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Steers callers to targets across regions and failure domains")
        .args([settings, check])
}

fn fail(report: Report, code: u8) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(code)
}
