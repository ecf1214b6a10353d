//! madderloom's command line.

mod agent;
mod check;
mod fleet;
mod keys;
mod level;
mod logging;
mod output;
mod place;
mod relay;
mod route;
mod serve;
mod server;
mod status;
mod store;
mod stories;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::io::Write;
use std::process::ExitCode;

/// A client-side load balancer: a sidecar beside every copy of an application, and the tools around it.
#[derive(Parser)]
#[command(
    name = "madderloom",
    version,
    propagate_version = true,
    max_term_width = 100
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serves as a sidecar until it is told to stop
    Serve(serve::Serve),
    /// Says whether a configuration makes sense, and where it does not
    Check(check::Check),
    /// Says where requests go
    #[command(subcommand)]
    Route(route::Route),
    /// Shows what a running process knows: its listeners, pools and servers
    Status(status::Status),
    /// Lists a running process's servers, and what became of what each was sent lately
    Servers(stories::Servers),
    /// Shows the story of one server, as a table, a plot or a file
    Server(stories::Server),
    /// Tells what happened to servers, and with --follow what happens
    Events(stories::Events),
    /// Pins a pool's level of service, bars one, or takes that back
    #[command(subcommand)]
    Level(level::Level),
    /// Runs the agent, which instances register with and changes are pushed to
    Agent(agent::Agent),
    /// Runs a relay, which instances of a zone register with in place of the agent
    Relay(relay::Relay),
    /// Lists the instances of the fleet
    Instances(fleet::Instances),
    /// Shows one instance, with what the fleet has settled on for it
    Show(fleet::Show),
    /// Pushes a change to the fleet, and waits until each instance has it, refused it or failed
    Push(fleet::Push),
    /// Shows a rollout, stops it or takes it back
    Rollout(fleet::Rollout),
    /// Lists the changes of late
    History(fleet::History),
    /// Drains a server on all instances, or lifts that
    Drain(fleet::Drain),
    /// Watches the fleet in the terminal
    Top(fleet::Top),
    /// Founds an authority, and issues, renews, revokes and lists certificates
    Keys(keys::Keys),
    /// Looks at an embedded store, compacts it, or saves what can be read of a damaged one
    Store(store::Store),
    /// Prints completions for a shell, to be read by it
    Completions {
        /// Which
        shell: Shell,
    },
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Serve(serve) => serve.run(),
        Command::Check(check) => check.run(),
        Command::Route(route) => route.run(),
        Command::Status(status) => status.run(),
        Command::Servers(servers) => servers.run(),
        Command::Server(server) => server.run(),
        Command::Events(events) => events.run(),
        Command::Level(level) => level.run(),
        Command::Agent(agent) => agent.run(),
        Command::Relay(relay) => relay.run(),
        Command::Instances(instances) => instances.run(),
        Command::Show(show) => show.run(),
        Command::Push(push) => push.run(),
        Command::Rollout(rollout) => rollout.run(),
        Command::History(history) => history.run(),
        Command::Drain(drain) => drain.run(),
        Command::Top(top) => top.run(),
        Command::Keys(keys) => keys.run(),
        Command::Store(store) => store.run(),
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Arguments::command(), "madderloom", &mut script);
            let _ = std::io::stdout().lock().write_all(&script);
            Ok(ExitCode::SUCCESS)
        }
    };
    done.unwrap_or_else(|problem| {
        logging::last_words(format!("madderloom: {problem}\n"));
        ExitCode::FAILURE
    })
}
