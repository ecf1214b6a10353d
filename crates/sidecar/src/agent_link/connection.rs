//! The connection to the agent: opened once the key files can be read, and kept while the operator file names that agent.

use super::window::Window;
use crate::discovery_watch;
use crate::pool;
use crate::process::Sidecar;
use madderloom_agent::{ApplyFuture, Client, Link, LinkHandler};
use madderloom_control_plane::health_gate::RequestCounts;
use madderloom_control_plane::protocol::InstanceId;
use madderloom_control_plane::selector::Attributes;
use madderloom_control_plane::settings::Overlay;
use madderloom_control_plane::{Instance, PersistedInstance};
use madderloom_endpoint_sharing::{EndpointListReports, EndpointListUpdates, Offer};
use madderloom_pki::{KeyFiles, Keyring, Role};
use madderloom_quota_leases::{Grant, LeaseRequests};
use std::hash::{BuildHasher, RandomState};
use std::rc::Weak;
use std::sync::Arc;
use std::time::{Duration, SystemTime};
use tokio::sync::watch;
use tokio::time::Instant;

/// How often the files of the keys are checked for changes.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Loads the keys, and creates one client for reports and one for the watch.
fn clients(agent: &str, files: &KeyFiles) -> Result<(Arc<Keyring>, Client, Client), String> {
    let keyring = Keyring::load(files.clone())?;
    let client = || Client::with_keyring(agent, &keyring);
    let (report_client, watch_client) = (client()?, client()?);
    Ok((keyring, report_client, watch_client))
}

/// Keeps the link to one agent for as long as it is polled.
pub(super) async fn keep_link(
    sidecar: Weak<Sidecar>,
    control: madderloom_operator_config::Control,
    traits: watch::Receiver<Attributes>,
) {
    let files = KeyFiles {
        authority: control.authority.clone(),
        certificate: control.certificate.clone(),
        key: control.key.clone(),
        revoked: None,
    };
    let mut last_problem = None;
    let (keyring, report_client, watch_client) = loop {
        match clients(&control.agent, &files) {
            Ok(loaded) => break loaded,
            Err(problem) if last_problem.as_ref() == Some(&problem) => {}
            Err(problem) => {
                tracing::warn!(
                    "control: not connecting to the agent until its keys can be read and used: {problem}"
                );
                last_problem = Some(problem);
            }
        }
        tokio::time::sleep(KEY_CHECK_INTERVAL).await;
    };
    if keyring
        .own_identity()
        .is_none_or(|own| own.role != Role::Instance)
    {
        tracing::warn!(
            "control: {}: is not for an instance; the agent will turn it away",
            files.certificate.display()
        );
    }
    let Some(own) = sidecar.upgrade() else { return };
    let unix_time = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    let instance_id = InstanceId {
        name: control.name.clone(),
        start: RandomState::new().hash_one(&control.name),
        incarnation: u64::try_from(unix_time.as_micros()).unwrap_or(u64::MAX / 2),
    };
    let state = own.agent_link.persisted.borrow().clone();
    let instance = Instance::new(0, instance_id, traits.borrow().clone(), state.clone());
    // Persisted before use, so that no two starts have the same incarnation.
    own.agent_link.persist(&PersistedInstance {
        incarnation: instance.id().incarnation,
        ..state
    });
    tracing::info!(
        "control: {} registers with the agent at {}",
        control.name,
        control.agent
    );
    let seed = u128::from(RandomState::new().hash_one(0));
    let report_now = own.process.shared_lists.report_signal();
    drop(own);
    let host = LinkHost {
        sidecar,
        window: Window::default(),
    };
    let link = Link::new(instance, host, report_client, watch_client, seed)
        .with_traits(traits)
        .reporting_on(report_now);
    tokio::select! {
        () = link.run() => {}
        () = reload_keys_on_change(&keyring, &files) => {}
    }
}

/// Reloads the keys when a key file has changed.
async fn reload_keys_on_change(keyring: &Keyring, files: &KeyFiles) {
    let modification_times = || {
        let paths = [&files.authority, &files.certificate, &files.key];
        paths.map(|file| {
            std::fs::metadata(file)
                .and_then(|metadata| metadata.modified())
                .ok()
        })
    };
    let mut former = modification_times();
    loop {
        tokio::time::sleep(KEY_CHECK_INTERVAL).await;
        let present = modification_times();
        if present == former {
            continue;
        }
        match keyring.reload() {
            Ok(true) => tracing::info!("control: the keys were read again"),
            Ok(false) => {}
            Err(problem) => tracing::warn!("control: keeping the previous keys: {problem}"),
        }
        former = present;
    }
}

/// The link's interface to the sidecar.
struct LinkHost {
    sidecar: Weak<Sidecar>,
    window: Window,
}

impl LinkHandler for LinkHost {
    fn apply(&mut self, overlay: &Overlay) -> ApplyFuture {
        let (sidecar, overlay) = (self.sidecar.upgrade(), overlay.clone());
        Box::pin(async move {
            match sidecar {
                Some(sidecar) => sidecar.apply_overlay(overlay).await,
                None => std::future::pending().await,
            }
        })
    }

    fn request_counts(&mut self) -> RequestCounts {
        let Some(sidecar) = self.sidecar.upgrade() else {
            return RequestCounts::default();
        };
        self.window.sample(Instant::now(), &sidecar.process)
    }

    fn lease_requests(&mut self, term: u64) -> Option<LeaseRequests> {
        self.sidecar
            .upgrade()?
            .process
            .fleet_limits
            .lease_requests(term)
    }

    fn grant_received(&mut self, grant: &Grant) -> bool {
        self.sidecar
            .upgrade()
            .is_some_and(|sidecar| sidecar.process.fleet_limits.apply_grant(grant))
    }

    fn list_reports(&mut self) -> Option<EndpointListReports> {
        self.sidecar.upgrade()?.process.shared_lists.report()
    }

    fn lists_received(&mut self, lists: &EndpointListUpdates) -> bool {
        let Some(sidecar) = self.sidecar.upgrade() else {
            return false;
        };
        let process = &sidecar.process;
        let service = |pool: &str| {
            let services = process.services.borrow();
            services
                .iter()
                .find(|service| service.name == pool)
                .cloned()
        };
        let apply = |pool: &str, offer: &Offer, age| {
            let service = service(pool).ok_or("the pool no longer exists")?;
            pool::apply_shared_list(&service, offer.version.index, &offer.text, age)
        };
        let poll_for_fleet = |pool: &str| {
            service(pool)
                .iter()
                .for_each(discovery_watch::call_for_fleet)
        };
        let stop_watching = |pool: &str| {
            service(pool)
                .iter()
                .for_each(discovery_watch::stop_watching)
        };
        process
            .shared_lists
            .agent_updated(lists, apply, poll_for_fleet, stop_watching)
    }

    fn persist(&mut self, state: &PersistedInstance) {
        if let Some(sidecar) = self.sidecar.upgrade() {
            sidecar.agent_link.persist(state);
        }
    }
}
