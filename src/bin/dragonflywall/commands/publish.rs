//! `publish`: publishes team files, or the records of an earlier version, as a new version.

use std::ffi::OsString;
use std::path::PathBuf;

use dragonflywall::core::difference::{self, TeamDifference};
use dragonflywall::core::names::{RegionName, TeamName, is_name};
use dragonflywall::core::version::{Stamp, Version};
use dragonflywall::ops::command::hint::{self, HintOptions};
use dragonflywall::ops::command::publish::{
    Error, PublishOptions, Published, abandon, is_publish_id, publish,
};
use dragonflywall::peer::client::DialOptions;
use dragonflywall::store::rows::PublicationKind;
use serde::Serialize;

use super::{Command, check, watch};
use crate::cli::{Failure, Result, block_on, error_with_causes, mesh_token};
use crate::options::{
    self, CommonOptions, JSON_HELP, LIMIT_HELP, NODES_HELP, OPERATOR_HELP, PLATFORM_HELP, now_ms,
    print_json_line,
};

pub(crate) const COMMAND: Command = Command {
    name: "publish",
    summary: "make team files part of the accepted configuration",
    help,
    run,
};

fn help() -> String {
    format!(
        "Publishes team files as one new version, all of them or none.\n\n\
         Usage: dragonflywall publish [OPTIONS] FILE...\n\
         \x20      dragonflywall publish [OPTIONS] --rollback-to N [--team TEAM]...\n\
         \x20      dragonflywall publish [OPTIONS] --resume ID\n\nOptions:\n\
         {PLATFORM_HELP}{OPERATOR_HELP}\
         \x20 --expect N           the version that you looked at: refuse if someone published the\n\
         \x20                      same team since (default: the version accepted right now)\n\
         \x20 --remove TEAM        delete a team's record\n\
         \x20 --rollback-to N      publish version N's records again, as a new version\n\
         \x20 --team TEAM          roll back this team's record only\n\
         \x20 --id ID              id of this publication (default: a random one)\n\
         \x20 --resume ID          settle a publication whose outcome was unknown. With its files\n\
         \x20                      and --expect: go on with it. Alone: find what it did, or make\n\
         \x20                      sure that it never takes effect\n\
         \x20 --region NAME        the region that you are in [DRAGONFLYWALL_REGION]: nodes there are\n\
         \x20                      told first (default: the region that answers first)\n\
         \x20 --wait               until every node enforces it; needs --node\n\
         {NODES_HELP}{LIMIT_HELP}{JSON_HELP}\n\
         Exit code 0 published, 1 refused and nothing changed, 2 usage, 3 outcome unknown (or, with\n\
         --wait: published, but not seen in force everywhere)."
    )
}

#[derive(Debug)]
struct Arguments {
    common: CommonOptions,
    region: Option<String>,
    id: Option<String>,
    resume: Option<String>,
    expected: Option<Version>,
    rollback_to: Option<Version>,
    rollback_teams: Vec<TeamName>,
    removals: Vec<TeamName>,
    paths: Vec<PathBuf>,
    wait: bool,
}

fn parse(arguments: Vec<OsString>) -> Result<Arguments> {
    let mut parsed = Arguments {
        common: CommonOptions::from_environment(),
        region: std::env::var("DRAGONFLYWALL_REGION").ok(),
        id: None,
        resume: None,
        expected: None,
        rollback_to: None,
        rollback_teams: Vec::new(),
        removals: Vec::new(),
        paths: Vec::new(),
        wait: false,
    };
    let mut parser = lexopt::Parser::from_args(arguments);
    while let Some(argument) = parser.next()? {
        let name = match argument {
            lexopt::Arg::Value(path) => {
                parsed.paths.push(path.into());
                continue;
            }
            lexopt::Arg::Long(name) => name.to_owned(),
            other => return Err(other.unexpected().into()),
        };
        let parser = &mut parser;
        match name.as_str() {
            "id" => parsed.id = Some(publish_id("id", parser)?),
            "resume" => parsed.resume = Some(publish_id("resume", parser)?),
            "expect" => parsed.expected = Some(options::version("expect", parser)?),
            "rollback-to" => parsed.rollback_to = Some(options::version("rollback-to", parser)?),
            "team" => parsed.rollback_teams.push(options::team("team", parser)?),
            "remove" => parsed.removals.push(options::team("remove", parser)?),
            "region" => parsed.region = Some(options::value("region", parser)?),
            "wait" => parsed.wait = true,
            _ => parsed.common.parse_flag(&name, parser)?,
        }
    }
    parsed.check()?;
    Ok(parsed)
}

fn publish_id(flag: &str, parser: &mut lexopt::Parser) -> Result<String> {
    let id: String = options::value(flag, parser)?;
    if is_publish_id(&id) {
        return Ok(id);
    }
    let text = format!("--{flag} `{id}`: use letters, digits, dashes and dots, 64 at most");
    Err(Failure::Usage(text))
}

impl Arguments {
    fn check(&self) -> Result {
        let usage = |text: &str| Err(Failure::Usage(text.to_owned()));
        let has_records = !self.paths.is_empty() || !self.removals.is_empty();
        let has_change = has_records || self.rollback_to.is_some();
        if has_records && self.rollback_to.is_some() {
            return usage("--rollback-to cannot be combined with team files or --remove");
        }
        if self.rollback_to.is_none() && !self.rollback_teams.is_empty() {
            return usage("--team needs --rollback-to");
        }
        if !has_change && self.resume.is_none() {
            return usage("no team file was given");
        }
        if self.id.is_some() && self.resume.is_some() {
            return usage("give either --id or --resume");
        }
        // Without --expect the change would be based on the accepted version, and changes that
        // others published since the first run would be overwritten without a conflict.
        if has_change && self.resume.is_some() && self.expected.is_none() {
            return usage("--resume with a change needs --expect; the first run printed its value");
        }
        if self.wait {
            self.common.nodes()?;
        }
        Ok(())
    }

    fn only_settles(&self) -> bool {
        let no_records = self.paths.is_empty() && self.removals.is_empty();
        no_records && self.rollback_to.is_none()
    }

    fn options(&self) -> Result<PublishOptions> {
        let kind = match self.rollback_to {
            Some(to) => PublicationKind::Rollback { to },
            None => PublicationKind::Publish,
        };
        let publish_id = self.resume.as_ref().or(self.id.as_ref()).cloned();
        let options = PublishOptions::builder()
            .publish_id(publish_id.unwrap_or_else(random_id))
            .operator(self.common.operator()?)
            .time_ms(now_ms())
            .records(check::records(&self.paths)?)
            .removals(self.removals.clone())
            .kind(kind)
            .rollback_teams(self.rollback_teams.clone())
            .maybe_expected(self.expected)
            .resumed(self.resume.is_some())
            .build();
        Ok(options)
    }
}

fn run(arguments: Vec<OsString>) -> Result {
    let arguments = parse(arguments)?;
    if let (Some(id), true) = (&arguments.resume, arguments.only_settles()) {
        return settle(id, &arguments.common);
    }
    let platform = arguments.common.platform()?;
    let options = arguments.options()?;
    let json = arguments.common.json;
    let dial = DialOptions {
        dial_from: None,
        token: mesh_token()?,
    };
    let region = arguments.region.as_deref().map(region_name).transpose()?;
    block_on(async {
        let published = publish(&platform, &options).await.map_err(failure)?;
        print(&options, &published, json);
        // The publication has taken effect, whether or not a node receives a hint.
        let hints = HintOptions {
            head: published.stamp,
            dial,
            region,
        };
        let hinted = hint::send_hints(&platform, &hints).await;
        if !json {
            println!("Notified {hinted} nodes");
        }
        if !arguments.wait {
            return Ok(());
        }
        let nodes = arguments.common.nodes()?;
        let timeout = arguments.common.wait_limit()?;
        watch::follow(&nodes, published.stamp.version, timeout, json).await
    })
}

fn region_name(text: &str) -> Result<RegionName> {
    if is_name(text) {
        return Ok(RegionName::new(text));
    }
    Err(Failure::Usage(format!(
        "--region `{text}` is not a valid name"
    )))
}

fn settle(id: &str, common: &CommonOptions) -> Result {
    let platform = common.platform()?;
    let settled = block_on(abandon(&platform, id, common.operator()?, now_ms()));
    match settled.map_err(failure)? {
        Some(version) if common.json => {
            print_json_line(&serde_json::json!({ "publication": id, "version": version }));
            Ok(())
        }
        Some(version) => {
            println!("Settled: publication {id} created version {version}");
            Ok(())
        }
        None => Err(Failure::Refused {
            text: format!("publication `{id}` did not take effect, and can't any more"),
            hint: "nothing was changed; publish with a new id if the change is still needed",
        }),
    }
}

/// Output of `publish --json`.
#[derive(Serialize)]
struct Output<'a> {
    #[serde(flatten)]
    stamp: Stamp,
    publication: &'a str,
    operator: &'a str,
    rebases: u32,
    already: bool,
    changes: &'a [TeamDifference],
}

fn print(options: &PublishOptions, published: &Published, json: bool) {
    if json {
        print_json_line(&Output {
            stamp: published.stamp,
            publication: &options.publish_id,
            operator: &options.operator,
            rebases: published.rebases,
            already: published.already_published,
            changes: &published.changes,
        });
        return;
    }
    let outcome = if published.already_published {
        "Already published"
    } else {
        "Published"
    };
    println!(
        "{outcome}: version {} by {} (publication {})",
        published.stamp, options.operator, options.publish_id
    );
    print!("{}", difference::to_text(&published.changes));
    if published.rebases > 0 {
        println!(
            "Rebased {} times on publications of other teams",
            published.rebases
        );
    }
}

fn failure(error: Error) -> Failure {
    let hint = match &error {
        Error::OutcomeUnknown {
            publish_id,
            expected,
            ..
        }
        | Error::Unsettled {
            publish_id,
            expected,
            ..
        } => {
            return Failure::Unknown {
                text: error_with_causes(&error),
                hint: resume_hint(publish_id, *expected),
            };
        }
        Error::Conflict { .. } => {
            "nothing was changed; merge the other change into your file, and publish with \
             --expect and the version shown"
        }
        Error::Read { .. } | Error::Store { .. } | Error::CommitRefused { .. } => {
            "nothing was changed; try again when the platform is available"
        }
        Error::NoSuchVersion { .. } => {
            "nothing was changed; `dragonflywall history` lists the versions"
        }
        Error::NoSuchTeam { .. } => "nothing was changed; correct the team's name",
        Error::Invalid { .. } => {
            "nothing was changed; `dragonflywall check --accepted` shows the lines"
        }
        Error::Unchanged { .. } => "nothing was changed, and no change is needed",
        Error::Contended => "nothing was changed; look for a process that publishes in a loop",
        Error::Abandoned { .. } | Error::IdReused { .. } => {
            "nothing was changed; publish with a new id"
        }
    };
    Failure::refused(&error, hint)
}

fn resume_hint(publish_id: &str, expected: Option<Version>) -> String {
    let Some(expected) = expected else {
        return format!("run `dragonflywall publish --resume {publish_id}` again");
    };
    format!(
        "do not publish again without this id; when the platform answers, run the same command \
         with --resume {publish_id} --expect {expected} to continue, or only \
         `dragonflywall publish --resume {publish_id}` to find out whether it took effect or to \
         abandon it"
    )
}

fn random_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}
