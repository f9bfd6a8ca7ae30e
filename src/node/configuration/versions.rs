//! Receives the content of versions from the store, a lead or a peer, and offers it to other nodes.

use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;

use super::version_metrics::{self, LearntVersion, VersionSource};
use super::{ConfigurationMsg, State};
use crate::core::configuration::Configuration;
use crate::core::version::Version;
use crate::distribution::{Content, Fetch, Offer, holder};
use crate::node::content;
use crate::node::membership::MembershipMsg;

impl State {
    /// Handles an answer of the configuration feed. A configuration that is not newer than the one held is ignored.
    pub(super) fn handle_store_read(
        &mut self,
        now_ms: u64,
        configuration: Option<Box<Configuration>>,
        last_read_age_ms: u64,
    ) {
        self.record_store_read(true);
        let Some(configuration) = configuration else {
            return;
        };
        let version = configuration.version;
        self.floor.record_head(version);
        self.fetcher.source_reported(now_ms, version);
        if version <= self.holder.held().version {
            return;
        }
        match self.holder.prepare_configuration(*configuration) {
            Ok(applied) => {
                self.record_learnt(
                    now_ms,
                    applied.stamp.version,
                    VersionSource::Store,
                    last_read_age_ms,
                );
                self.handle_announced(now_ms, applied.stamp, None);
                self.send_to_membership(MembershipMsg::SetHead(applied.stamp));
            }
            Err(error) => self.record_refused(version, &error),
        }
    }

    /// Handles the offer of a lead. It settles the floor only if the lead `is_current`.
    pub(super) fn handle_lead_offer(
        &mut self,
        now_ms: u64,
        offer: &Offer,
        base_version: Version,
        is_current: bool,
    ) {
        let stamp = offer.stamp;
        self.fetcher.source_reported(now_ms, stamp.version);
        if self.prepare(now_ms, offer, base_version, VersionSource::Lead) {
            match is_current {
                true => self.floor.record_head(stamp.version),
                false => self.floor.raise(stamp.version),
            }
            self.handle_announced(now_ms, stamp, None);
            self.send_to_membership(MembershipMsg::SetHead(stamp));
        }
    }

    pub(super) fn start_fetch(&mut self, myself: &ActorRef<ConfigurationMsg>, now_ms: u64) {
        let held = self.holder.held();
        if let Some(fetch) = self.fetcher.next_fetch(now_ms, held.version) {
            let node = Arc::clone(&self.node);
            let origin = self.origin.clone();
            let myself = myself.clone();
            tokio::spawn(async move {
                let offer = content::fetch(&node, &origin, held, &fetch).await;
                let base_version = held.version;
                let _ = myself.cast(ConfigurationMsg::Fetched {
                    fetch,
                    base_version,
                    offer,
                });
            });
            return;
        }
        let Some(wake_ms) = self.fetcher.next_fetch_at_ms(held.version) else {
            return;
        };
        if self
            .scheduled_fetch_ms
            .is_none_or(|scheduled_ms| wake_ms < scheduled_ms)
        {
            self.scheduled_fetch_ms = Some(wake_ms);
            let pause = Duration::from_millis(wake_ms.saturating_sub(now_ms).max(1));
            myself.send_after(pause, || ConfigurationMsg::FetchDue);
        }
    }

    pub(super) fn handle_fetched(
        &mut self,
        now_ms: u64,
        fetch: &Fetch,
        base_version: Version,
        offer: Option<Offer>,
    ) {
        let version_source = VersionSource::from(&fetch.source);
        let source = version_source.as_str();
        let prepared =
            offer.is_some_and(|offer| self.prepare(now_ms, &offer, base_version, version_source));
        let result = if prepared { "used" } else { "failed" };
        metrics::counter!("dragonflywall_fetches_total", "source" => source, "result" => result)
            .increment(1);
        self.fetcher.fetch_ended(now_ms, fetch, prepared);
    }

    /// Gives the offered content to the holder and returns whether the version is held now. `base_version` is the
    /// version that was held when the content was requested.
    pub(super) fn prepare(
        &mut self,
        now_ms: u64,
        offer: &Offer,
        base_version: Version,
        version_source: VersionSource,
    ) -> bool {
        let Offer {
            stamp,
            content,
            age_ms,
        } = offer;
        let bytes = content.len_bytes() as u64;
        metrics::counter!("dragonflywall_fetched_bytes_total", "source" => version_source.as_str())
            .increment(bytes);
        let held = self.holder.held().version;
        if stamp.version <= held {
            // It has arrived from another source in the meantime.
            return true;
        }
        if held != base_version && !matches!(content, Content::Snapshot(_)) {
            // The content is a difference to a version that is no longer held. The next request asks for the
            // difference to the one held now.
            log::debug!(version = stamp.version.0, base_version = base_version.0, held = held.0; "dropped a delta: its base version is no longer held");
            return false;
        }
        match self.holder.prepare(*stamp, content) {
            Ok(_) => self.record_learnt(now_ms, stamp.version, version_source, *age_ms),
            Err(error) => {
                self.record_refused(stamp.version, &error);
                return false;
            }
        }
        true
    }

    /// Notes that the content of a version is held now. It was accepted `age_ms` ago, or when it was first announced
    /// here, whichever is earlier.
    pub(super) fn record_learnt(
        &mut self,
        now_ms: u64,
        version: Version,
        version_source: VersionSource,
        age_ms: u64,
    ) {
        let heard_ms = self.fetcher.first_seen_ms(version).unwrap_or(now_ms);
        self.held_accepted_ms = heard_ms.min(now_ms.saturating_sub(age_ms));
        version_metrics::record_learnt(&LearntVersion {
            version,
            source: version_source,
            heard_ms: now_ms.saturating_sub(heard_ms),
            age_ms: self.held_age_ms(now_ms),
        });
    }

    pub(super) fn held_age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.held_accepted_ms)
    }

    /// Returns the content for a peer that holds `base_version`, nothing if that is not older than the version held.
    pub(super) fn offer_newer_than(&self, now_ms: u64, base_version: Version) -> Option<Offer> {
        let (stamp, content) = self.holder.content_for(base_version)?;
        let age_ms = self.held_age_ms(now_ms);
        Some(Offer {
            stamp,
            content,
            age_ms,
        })
    }

    pub(super) fn record_refused(&self, version: Version, error: &holder::Error) {
        log::warn!(version = version.0, error:? = error; "rejected an invalid configuration");
        metrics::counter!("dragonflywall_refused_content_total").increment(1);
    }
}
