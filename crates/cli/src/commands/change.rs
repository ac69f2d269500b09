/*!
Commands that change what is in force: `check`, `publish`, `drain` and `undrain`.
*/

use {
    super::print_json,
    crate::{client::EntryClient, error::CommandError, folder, options::CallOptions},
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

/// How long `--wait` waits for a version to be in force everywhere.
const WAIT_MAX: Duration = Duration::from_secs(7);
/// How often it looks.
const WAIT_CHECK: Duration = Duration::from_millis(100);
/// How often a publication without a certain answer is sent again.
const PUBLISH_ROUNDS: usize = 3;

/// Whether a drain comes or goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DrainChange {
    /// It comes.
    Add,
    /// It goes.
    Remove,
}

/// Returns the commands.
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
        .help("The version that the folder was made from; the one in force without it");
    let subject = Arg::new("subject")
        .required(true)
        .value_parser(["target", "entry", "failure-domain", "region"])
        .help("What kind of thing");
    let name = Arg::new("name").required(true).help("Its name");
    vec![
        Command::new("check")
            .about("Checks a folder of declarations without publishing it")
            .args([folder.clone(), diff]),
        Command::new("publish").about("Publishes a folder of declarations as one set").args([
            folder,
            base,
            request(),
            wait(),
        ]),
        Command::new("drain").about("Drains a target, entry, failure domain or region").args([
            subject.clone(),
            name.clone(),
            request(),
            wait(),
        ]),
        Command::new("undrain").about("Ends a drain").args([subject, name, request(), wait()]),
    ]
}

fn request() -> Arg {
    Arg::new("request")
        .long("request")
        .value_name("TAG")
        .help("Names this request; repeating one under the same tag changes nothing twice")
}

fn wait() -> Arg {
    Arg::new("wait")
        .long("wait")
        .action(ArgAction::SetTrue)
        .help("Waits until the version is in force at every entry")
}

/// Checks a folder.
///
/// # Errors
///
/// [`CommandError::Declarations`] or [`CommandError::Faulty`].
pub(crate) async fn check(
    options: &CallOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let set = read_checked(arguments)?;
    if arguments.get_flag("diff") {
        let client = EntryClient::new(options)?;
        let current: ConfigResponse = client.get("/v1/config").await?;
        println!("against version {}:", current.version);
        print!("{}", text_diff(&current.objects, &set.objects()));
    }
    println!("{} objects are good", set.len());
    Ok(())
}

/// Publishes a folder.
///
/// # Errors
///
/// See [`CommandError`].
pub(crate) async fn publish(
    options: &CallOptions,
    arguments: &ArgMatches,
) -> Result<(), CommandError> {
    let set = read_checked(arguments)?;
    let client = EntryClient::new(options)?;
    let current: ConfigResponse = client.get("/v1/config").await?;
    let given = arguments.get_one::<u64>("base").map(|base| ConfigVersion(*base));
    let base = given.unwrap_or(current.version);
    let change = if base == current.version {
        let collected = declaration::collect(current.objects);
        let in_force = collected.map_err(|_| CommandError::NoSuchObject)?;
        PublishChange::Delta(SetDelta::between(&in_force, &set))
    } else {
        PublishChange::Objects(set.objects())
    };
    send(options, &client, arguments, base, change).await
}

/// Adds or removes a drain in the set that is in force.
///
/// # Errors
///
/// See [`CommandError`].
pub(crate) async fn drain(
    options: &CallOptions,
    arguments: &ArgMatches,
    change: DrainChange,
) -> Result<(), CommandError> {
    let client = EntryClient::new(options)?;
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
    send(options, &client, arguments, current.version, PublishChange::Delta(delta)).await
}

fn read_checked(arguments: &ArgMatches) -> Result<ObjectSet, CommandError> {
    let folder: &PathBuf = arguments.get_one("folder").expect("the argument is required");
    let set = folder::read(folder)?;
    let faults = validation::validate(&set);
    if faults.is_empty() { Ok(set) } else { Err(CommandError::Faulty { faults }) }
}

async fn send(
    options: &CallOptions,
    client: &EntryClient<'_>,
    arguments: &ArgMatches,
    base: ConfigVersion,
    change: PublishChange,
) -> Result<(), CommandError> {
    let given = arguments.get_one::<String>("request");
    let fresh = || format!("{:016x}", rand::random::<u64>());
    let request = RequestTag::new(&given.cloned().unwrap_or_else(fresh));
    let body = PublishRequest { request, base, change };
    let version = match send_until_certain(options, client, &body).await? {
        PublishOutcome::Accepted { version } => version,
        PublishOutcome::Faulty { faults } => return Err(CommandError::Faulty { faults }),
        PublishOutcome::Conflict { current, changed } => {
            return Err(CommandError::Conflict { current, changed });
        }
        PublishOutcome::Unauthorised => return Err(CommandError::Unauthorised),
        PublishOutcome::Behind { .. } | PublishOutcome::Unknown => {
            return Err(CommandError::Unanswered { last: None });
        }
    };
    if arguments.get_flag("wait") {
        wait_in_force(client, version).await?;
    }
    if options.json {
        print_json(&PublishOutcome::Accepted { version });
    } else {
        println!("version {version} is committed");
    }
    Ok(())
}

/// Sends a publication, under one request tag, to one entry after another until its fate is known.
async fn send_until_certain(
    options: &CallOptions,
    client: &EntryClient<'_>,
    body: &PublishRequest,
) -> Result<PublishOutcome, CommandError> {
    let mut last = None;
    for server in options.servers.iter().cycle().take(options.servers.len() * PUBLISH_ROUNDS) {
        match client.post_to(server, "/v1/publish", body).await {
            Ok(answer) => match answer {
                PublishOutcome::Behind { .. } | PublishOutcome::Unknown => {}
                certain => return Ok(certain),
            },
            Err(error) => last = Some(error),
        }
        sleep(WAIT_CHECK).await;
    }
    Err(CommandError::Unanswered { last })
}

async fn wait_in_force(
    client: &EntryClient<'_>,
    version: ConfigVersion,
) -> Result<(), CommandError> {
    let deadline = Instant::now() + WAIT_MAX;
    let mut entries = Vec::new();
    loop {
        let mut missing = Vec::new();
        if entries.is_empty() {
            entries = entries_in_force(client, version).await?;
        }
        for entry in &entries {
            let status: Result<StatusResponse, _> =
                client.get_from(&entry.http.to_string(), "/v1/status").await;
            let there = status.is_ok_and(|status| status.version >= Some(version));
            if !there {
                missing.push(entry.name.to_string());
            }
        }
        if missing.is_empty() && !entries.is_empty() {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::NotInForce { version, missing });
        }
        sleep(WAIT_CHECK).await;
    }
}

/// Returns the entries declared at a version, or none before the entry that is asked has it.
async fn entries_in_force(
    client: &EntryClient<'_>,
    version: ConfigVersion,
) -> Result<Vec<EntryObject>, CommandError> {
    let config: ConfigResponse = client.get("/v1/config").await?;
    let entry = |object| match object {
        DeclaredObject::Entry(entry) => Some(entry),
        _ => None,
    };
    let entries = config.objects.into_iter().filter_map(entry);
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
