/*!
Commands that check or change the set in force: `check`, `publish`, `drain` and `undrain`.
*/

use {
    super::print_json,
    crate::{client::ServerClient, error::CommandError, folder, options::ClientOptions},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    hemlockspool_model::{
        api::{ConfigResponse, PublishChange, PublishOutcome, PublishRequest, StatusResponse},
        declaration,
        delta::SetDelta,
        names::{ConfigVersion, DrainName, RequestTag},
        objects::{DeclaredObject, DrainObject, DrainSubject, EntryObject, ObjectKey},
        set::ObjectSet,
        validation,
    },
    similar::TextDiff,
    std::{path::PathBuf, time::Duration},
    tokio::time::{Instant, sleep},
};

/// The time after which `--wait` makes no further check whether a version is in force at every
/// entry.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(7);
/// The interval between two checks of `--wait`, and the delay before a publication is resent.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// The maximum number of rounds over all servers in which a publication is sent until its outcome
/// is known.
const PUBLISH_ROUNDS_MAX: usize = 3;

/// A change of the declared drains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DrainChange {
    /// Declares a drain.
    Add,
    /// Removes all drains of a subject.
    Remove,
}

/// Returns the definitions of the commands.
pub(crate) fn subcommands() -> Vec<Command> {
    let folder = Arg::new("folder")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("The folder with the declarations");
    let diff = Arg::new("diff")
        .long("diff")
        .action(ArgAction::SetTrue)
        .help("Shows what publishing would change");
    let base = Arg::new("base")
        .long("base")
        .value_parser(value_parser!(u64))
        .help("The version that the folder is based on; by default the version in force");
    let subject = Arg::new("subject")
        .required(true)
        .value_parser(["target", "entry", "failure-domain", "region"])
        .help("The type of the object to drain");
    let name = Arg::new("name").required(true).help("The name of the object to drain");
    vec![
        Command::new("check")
            .about("Checks a folder of declarations without publishing it")
            .args([folder.clone(), diff]),
        Command::new("publish").about("Publishes a folder of declarations as one set").args([
            folder,
            base,
            request_argument(),
            wait_argument(),
        ]),
        Command::new("drain").about("Drains a target, entry, failure domain or region").args([
            subject.clone(),
            name.clone(),
            request_argument(),
            wait_argument(),
        ]),
        Command::new("undrain").about("Ends a drain").args([
            subject,
            name,
            request_argument(),
            wait_argument(),
        ]),
    ]
}

fn request_argument() -> Arg {
    Arg::new("request")
        .long("request")
        .value_name("TAG")
        .help("Identifies the request; a request resent with the same tag takes effect only once")
}

fn wait_argument() -> Arg {
    Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Waits until the version is in force at every entry")
}

/// Validates a folder of declarations. With `--diff`, also prints how it differs from the set in
/// force.
///
/// # Errors
///
/// Returns [`CommandError::Unreadable`], [`CommandError::InvalidDeclarations`] or
/// [`CommandError::InvalidSet`], and with `--diff` also the errors of [`ServerClient::new`] and
/// [`ServerClient::get`].
pub(crate) async fn check(
    options: &ClientOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let set = read_valid_set(arguments)?;
    if arguments.get_flag("diff") {
        let client = ServerClient::new(options)?;
        let current: ConfigResponse = client.get("/v1/config").await?;
        println!("against version {}:", current.version);
        print!("{}", text_diff(&current.objects, &set.objects()));
    }
    println!("{} objects are valid", set.len());
    Ok(())
}

/// Validates and publishes a folder of declarations.
///
/// # Errors
///
/// Returns the errors of [`check`] with `--diff`, [`CommandError::NoSuchObject`] if the set in
/// force declares an object twice, [`CommandError::Conflict`] or [`CommandError::Unauthorised`] if
/// the publication is refused, [`CommandError::NoResponse`] if its outcome is unknown, or, with
/// `--wait`, [`CommandError::NotInForce`].
pub(crate) async fn publish(
    options: &ClientOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let set = read_valid_set(arguments)?;
    let client = ServerClient::new(options)?;
    let current: ConfigResponse = client.get("/v1/config").await?;
    let given_base = arguments.get_one::<u64>("base").map(|base| ConfigVersion(*base));
    let base = given_base.unwrap_or(current.version);
    let change = if base == current.version {
        let collected = declaration::collect(current.objects);
        let in_force = collected.map_err(|_| CommandError::NoSuchObject)?;
        PublishChange::Delta(SetDelta::between(&in_force, &set))
    } else {
        PublishChange::Objects(set.objects())
    };
    publish_change(options, &client, arguments, base, change).await
}

/// Publishes the set in force with a drain added, or with all drains of a subject removed.
///
/// # Errors
///
/// Returns [`CommandError::NoSuchObject`] if there is no drain to remove, or the errors of
/// [`publish`] except those of reading a folder.
pub(crate) async fn drain(
    options: &ClientOptions,
    arguments: &ArgMatches,
    change: DrainChange,
) -> Result<(), CommandError> {
    let client = ServerClient::new(options)?;
    let current: ConfigResponse = client.get("/v1/config").await?;
    let text = |id: &str| arguments.get_one::<String>(id).map_or("", String::as_str);
    let (kind, subject_name) = (text("subject"), text("name"));
    let subject = match kind {
        "target" => DrainSubject::Target(subject_name.into()),
        "entry" => DrainSubject::Entry(subject_name.into()),
        "failure-domain" => DrainSubject::FailureDomain(subject_name.into()),
        _ => DrainSubject::Region(subject_name.into()),
    };
    let collected = declaration::collect(current.objects);
    let set = collected.map_err(|_| CommandError::NoSuchObject)?;
    let mut delta = SetDelta::default();
    match change {
        DrainChange::Add => {
            let name = DrainName::new(&format!("{kind}-{subject_name}"));
            delta.upserts.push(DeclaredObject::Drain(DrainObject { name, subject }));
        }
        DrainChange::Remove => {
            let matching = set.drains.values().filter(|drain| drain.subject == subject);
            let names: Vec<DrainName> = matching.map(|drain| drain.name.clone()).collect();
            if names.is_empty() {
                return Err(CommandError::NoSuchObject);
            }
            delta.removals.extend(names.into_iter().map(ObjectKey::Drain));
        }
    }
    publish_change(options, &client, arguments, current.version, PublishChange::Delta(delta)).await
}

fn read_valid_set(arguments: &ArgMatches) -> Result<ObjectSet, CommandError> {
    let folder: &PathBuf = arguments.get_one("folder").expect("the argument is required");
    let set = folder::read(folder)?;
    let errors = validation::validate(&set);
    if errors.is_empty() { Ok(set) } else { Err(CommandError::InvalidSet { errors }) }
}

async fn publish_change(
    options: &ClientOptions,
    client: &ServerClient<'_>,
    arguments: &ArgMatches,
    base: ConfigVersion,
    change: PublishChange,
) -> Result<(), CommandError> {
    let given_tag = arguments.get_one::<String>("request");
    let random_tag = || format!("{:016x}", rand::random::<u64>());
    let request = RequestTag::new(&given_tag.cloned().unwrap_or_else(random_tag));
    let body = PublishRequest { request, base, change };
    let version = match send_until_outcome_known(options, client, &body).await? {
        PublishOutcome::Accepted { version } => version,
        PublishOutcome::Faulty { faults } => {
            return Err(CommandError::InvalidSet { errors: faults });
        }
        PublishOutcome::Conflict { current, changed } => {
            return Err(CommandError::Conflict { current, changed });
        }
        PublishOutcome::Unauthorised => return Err(CommandError::Unauthorised),
        PublishOutcome::Behind { .. } | PublishOutcome::Unknown => {
            return Err(CommandError::NoResponse { last_error: None });
        }
    };
    if arguments.get_flag("wait") {
        wait_until_in_force(client, version).await?;
    }
    if options.json {
        print_json(&PublishOutcome::Accepted { version });
    } else {
        println!("version {version} is committed");
    }
    Ok(())
}

/// Sends a publication to one server after another until its outcome is known.
///
/// All attempts have the same request tag, so the publication takes effect at most once.
///
/// # Errors
///
/// Returns [`CommandError::NoResponse`] if the outcome isn't known after [`PUBLISH_ROUNDS_MAX`]
/// rounds.
async fn send_until_outcome_known(
    options: &ClientOptions,
    client: &ServerClient<'_>,
    body: &PublishRequest,
) -> Result<PublishOutcome, CommandError> {
    let mut last_error = None;
    for server in options.servers.iter().cycle().take(options.servers.len() * PUBLISH_ROUNDS_MAX) {
        match client.post_to(server, "/v1/publish", body).await {
            Ok(outcome) => match outcome {
                PublishOutcome::Behind { .. } | PublishOutcome::Unknown => {}
                known => return Ok(known),
            },
            Err(error) => last_error = Some(error),
        }
        sleep(RETRY_INTERVAL).await;
    }
    Err(CommandError::NoResponse { last_error })
}

async fn wait_until_in_force(
    client: &ServerClient<'_>,
    version: ConfigVersion,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + IN_FORCE_TIMEOUT;
    let mut entries = Vec::new();
    loop {
        let mut missing = Vec::new();
        if entries.is_empty() {
            entries = entries_at_version(client, version).await?;
        }
        for entry in &entries {
            let status: Result<StatusResponse, _> =
                client.get_from(&entry.http.to_string(), "/v1/status").await;
            let in_force = status.is_ok_and(|status| status.version >= Some(version));
            if !in_force {
                missing.push(entry.name.to_string());
            }
        }
        if missing.is_empty() && !entries.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::NotInForce { version, missing });
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Returns the entries declared at a version or a later one, or an empty list while the server that
/// responds has an earlier version in force.
async fn entries_at_version(
    client: &ServerClient<'_>,
    version: ConfigVersion,
) -> Result<Vec<EntryObject>, CommandError> {
    let config: ConfigResponse = client.get("/v1/config").await?;
    let as_entry = |object| match object {
        DeclaredObject::Entry(entry) => Some(entry),
        _ => None,
    };
    let entries = config.objects.into_iter().filter_map(as_entry);
    Ok(if config.version >= version { entries.collect() } else { Vec::new() })
}

fn text_diff(old: &[DeclaredObject], new: &[DeclaredObject]) -> String {
    let text = |objects: &[DeclaredObject]| {
        let lines = objects.iter().map(|object| serde_json::to_string(object).unwrap_or_default());
        lines.map(|line| line + "\n").collect::<String>()
    };
    let (old, new) = (text(old), text(new));
    TextDiff::from_lines(&old, &new).unified_diff().context_radius(0).to_string()
}
