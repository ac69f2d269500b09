/*!
Servers and the token: from arguments, the environment, or a profile file, in that order.
*/

use {
    crate::error::CommandError,
    clap::{Arg, ArgAction, ArgMatches, value_parser},
    serde::Deserialize,
    std::path::PathBuf,
};

/// What every command needs to know.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallOptions {
    /// HTTP addresses of entries, in the order in which to ask them.
    pub servers: Vec<String>,
    /// The operator's token.
    pub token: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ProfileFile {
    servers: Vec<String>,
    token: Option<String>,
}

/// Returns the arguments that every command takes.
pub(crate) fn arguments() -> Vec<Arg> {
    vec![
        Arg::new("server")
            .long("server")
            .global(true)
            .value_name("IP:PORT")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .env("HEMLOCKSPOOL_SERVERS")
            .help("Entries to ask, one after another"),
        Arg::new("token")
            .long("token")
            .global(true)
            .value_name("TOKEN")
            .env("HEMLOCKSPOOL_TOKEN")
            .hide_env_values(true)
            .help("The operator's token"),
        Arg::new("profile")
            .long("profile")
            .global(true)
            .value_name("FILE")
            .value_parser(value_parser!(PathBuf))
            .env("HEMLOCKSPOOL_PROFILE")
            .help("A JSON file with servers and token"),
        Arg::new("json").long("json").global(true).action(ArgAction::SetTrue).help("Prints JSON"),
    ]
}

impl CallOptions {
    /// Reads the options.
    ///
    /// # Errors
    ///
    /// [`CommandError`] when the profile can't be used.
    pub(crate) fn read(matches: &ArgMatches) -> Result<Self, CommandError> {
        let profile = match matches.get_one::<PathBuf>("profile") {
            Some(path) => read_profile(path)?,
            None => ProfileFile::default(),
        };
        let given = matches.get_many::<String>("server");
        let servers = given.map_or(profile.servers, |servers| servers.cloned().collect());
        let token = matches.get_one::<String>("token").cloned().or(profile.token);
        Ok(Self { servers, token, json: matches.get_flag("json") })
    }
}

fn read_profile(path: &PathBuf) -> Result<ProfileFile, CommandError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| CommandError::Profile { path: path.clone(), source })?;
    serde_json::from_str(&text)
        .map_err(|source| CommandError::ProfileForm { path: path.clone(), source })
}
