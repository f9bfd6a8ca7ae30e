//! `publish`: makes team files part of the accepted configuration.

use std::ffi::OsString;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use dragonflywall::core::names::TeamName;
use dragonflywall::ops::command::hint;
use dragonflywall::ops::command::publish::{Error, PublishOptions, Published, publish};
use dragonflywall::peer::client::DialOptions;
use dragonflywall::platform::http::HttpPlatform;
use lexopt::ValueExt;

use super::{Command, check};
use crate::cli::{Failure, Result, block_on, mesh_token, with_causes};

pub(crate) const COMMAND: Command = Command {
    name: "publish",
    summary: "make team files part of the accepted configuration",
    help,
    run,
};

fn help() -> String {
    "Publishes team files as one new version, all of them or none.\n\n\
     Usage: dragonflywall publish [OPTIONS] FILE...\n\nOptions:\n\
     \x20 --platform URL    the platform [DRAGONFLYWALL_PLATFORM]\n\
     \x20 --operator NAME   who publishes, for the audit trail [DRAGONFLYWALL_OPERATOR, USER]\n\
     \x20 --remove TEAM     remove a team's record\n\
     \x20 --id ID           id of this publication (default: a random one)\n\
     \x20 --resume ID       go on with a publication whose outcome was unknown"
        .to_owned()
}

#[derive(Default)]
struct Arguments {
    platform_url: Option<String>,
    operator: Option<String>,
    id: Option<String>,
    removals: Vec<TeamName>,
    paths: Vec<PathBuf>,
}

fn parse(arguments: Vec<OsString>) -> Result<Arguments> {
    let mut parsed = Arguments {
        platform_url: std::env::var("DRAGONFLYWALL_PLATFORM").ok(),
        operator: std::env::var("DRAGONFLYWALL_OPERATOR")
            .or_else(|_| std::env::var("USER"))
            .ok(),
        ..Arguments::default()
    };
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        match argument {
            lexopt::Arg::Long("platform") => parsed.platform_url = Some(parser.value()?.string()?),
            lexopt::Arg::Long("operator") => parsed.operator = Some(parser.value()?.string()?),
            lexopt::Arg::Long("id" | "resume") => parsed.id = Some(parser.value()?.string()?),
            lexopt::Arg::Long("remove") => {
                let team = parser.value()?.string()?;
                parsed.removals.push(TeamName::new(team));
            }
            lexopt::Arg::Value(path) => parsed.paths.push(path.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(parsed)
}

fn run(arguments: Vec<OsString>) -> Result {
    let arguments = parse(arguments)?;
    let platform_url = arguments
        .platform_url
        .ok_or_else(|| Failure::Usage("--platform is required".to_owned()))?;
    let records = if arguments.paths.is_empty() && !arguments.removals.is_empty() {
        Vec::new()
    } else {
        check::checked(&arguments.paths)?
    };
    let options = PublishOptions::builder()
        .publish_id(arguments.id.unwrap_or_else(random_id))
        .operator(arguments.operator.unwrap_or_else(|| "unknown".to_owned()))
        .time_ms(now_ms())
        .records(records)
        .removals(arguments.removals)
        .build();
    let platform = HttpPlatform::new(&platform_url, None);
    let dial_options = DialOptions {
        dial_from: None,
        token: mesh_token()?,
    };
    block_on(async {
        let published = publish(&platform, &options).await.map_err(failure)?;
        print(&options, &published);
        // The commit stands whether or not a node hears of it now.
        let told = hint::send_hints(&platform, published.stamp, &dial_options).await;
        println!("Hinted {told} nodes");
        Ok(())
    })
}

fn print(options: &PublishOptions, published: &Published) {
    let done = if published.already {
        "Found already published"
    } else {
        "Published"
    };
    println!(
        "{done}: version {} by {} (publication {})",
        published.stamp, options.operator, options.publish_id
    );
}

fn failure(error: Error) -> Failure {
    match &error {
        Error::OutcomeUnknown { publish_id, .. } => Failure::Unknown {
            text: with_causes(&error),
            hint: format!("run the same command again with --resume {publish_id}"),
        },
        Error::Raced { .. } => Failure::refused(
            &error,
            "nothing was changed; look at the other change and publish again",
        ),
        Error::Read { .. } | Error::Store { .. } => Failure::refused(
            &error,
            "nothing was changed; try again when the platform is back",
        ),
        Error::Invalid { .. } | Error::Unchanged { .. } | Error::Contended => {
            Failure::refused(&error, "nothing was changed")
        }
    }
}

fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
