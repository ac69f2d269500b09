/*!
Options of all commands, read from arguments, the environment or a profile file, in that order of
precedence.
*/

use {
    crate::error::CommandError,
    clap::{Arg, ArgAction, ArgMatches, value_parser},
    serde::Deserialize,
    std::path::PathBuf,
};

/// The options that all commands share.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientOptions {
    /// The HTTP addresses of servers (entries or replicas), in the order in which to try them.
    pub servers: Vec<String>,
    /// The operator's token.
    pub token: Option<String>,
    /// Whether to print output as JSON.
    pub json: bool,
}

#[derive(Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct ProfileFile {
    servers: Vec<String>,
    token: Option<String>,
}

/// Returns the arguments that all commands accept.
pub(crate) fn arguments() -> Vec<Arg> {
    vec![
        Arg::new("server")
            .long("server")
            .global(true)
            .value_name("IP:PORT")
            .value_delimiter(',')
            .action(ArgAction::Append)
            .env("HEMLOCKSPOOL_SERVERS")
            .help("Servers to try, one after another"),
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
            .help("A JSON file with the servers and the token"),
        Arg::new("json")
            .long("json")
            .global(true)
            .action(ArgAction::SetTrue)
            .help("Prints output as JSON"),
    ]
}

impl ClientOptions {
    /// Reads the options from the parsed arguments and the profile file, if one is given.
    ///
    /// # Errors
    ///
    /// Returns [`CommandError::UnreadableProfile`] or [`CommandError::MalformedProfile`].
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
        .map_err(|source| CommandError::UnreadableProfile { path: path.clone(), source })?;
    serde_json::from_str(&text)
        .map_err(|source| CommandError::MalformedProfile { path: path.clone(), source })
}
