//! Frames of other instances, and membership.

use std::time::Duration;

use admit::Decision;
use member::OutgoingFrame;
use wire::Body;
use wire::Frame;
use wire::InstanceId;
use wire::gossip::Gossip;

use crate::instance::Instance;
use crate::message::Output;

impl Instance {
    /// Handles a frame of another instance.
    pub(crate) fn on_frame(&mut self, frame: Frame) {
        let age = self.skew.age(frame.from, frame.wall_ms, self.wall);
        self.list_state.record_frame(self.now);
        let from = frame.from;
        match frame.body {
            Body::Ping { probe, gossip } => {
                self.merge_gossip(from, &gossip);
                self.update_own_gossip();
                let sends = self.members.on_ping(self.now, from, probe, &gossip);
                self.send_all(sends);
            }
            Body::Ack { probe, gossip } => {
                self.merge_gossip(from, &gossip);
                let sends = self.members.on_ack(self.now, from, probe, &gossip);
                self.send_all(sends);
            }
            Body::PingRequest { probe, target } => {
                let sends = self.members.on_ping_request(self.now, from, probe, target);
                self.send_all(sends);
            }
            Body::SyncOffer { digest } => {
                let sends = self.members.on_sync_offer(from, digest);
                self.send_all(sends);
            }
            Body::SyncView { rumours, is_reply } => {
                let sends = self
                    .members
                    .on_sync_view(self.now, from, &rumours, is_reply);
                self.send_all(sends);
            }
            body => self.on_body(from, body, age),
        }
    }

    fn on_body(&mut self, from: InstanceId, body: Body, age: Duration) {
        match body {
            Body::Strikes { strikes } => self.merge_strikes(&strikes),
            Body::PartFindings { findings } => self.on_part_findings(&findings),
            Body::RequestFindings { findings } => self.on_request_findings(&findings),
            Body::RequestTrial { request } => self.on_request_trial(request),
            Body::Leaving { servers } => self.on_leaving_servers(&servers),
            Body::StreamBegun { stream, origin } => {
                self.on_origin_found(from, stream, Some(origin));
            }
            Body::FindOrigin { stream } => self.on_find_origin(from, stream),
            Body::OriginFound { stream, origin } => self.on_origin_found(from, stream, origin),
            Body::Strained {
                server,
                boot,
                backoff_ms,
            } => {
                let backoff = Duration::from_millis(u64::from(backoff_ms));
                self.leave_alone(&server, boot, backoff);
            }
            Body::ProbeServer { server } => self.on_probe_request(from, &server),
            Body::ServerProbed { server, load } => self.on_server_probed(from, &server, load),
            Body::Paths { statements } => self.on_path_statements(&statements),
            Body::Limits { limits } => self.on_limits(&limits),
            Body::RequestPermit(request) => self.on_permit_request(from, &request),
            Body::Permit(permit) => self.on_permit(permit),
            Body::BorrowRetry {
                request,
                pool,
                is_heavy,
            } => self.on_borrow_retry(from, request, &pool, is_heavy),
            Body::RetryLent { request, is_lent } => self.on_retry_lent(request, is_lent),
            Body::Reserve(reservation) => self.on_reservation(from, reservation),
            Body::Grant(grant) => {
                self.on_decision(from, grant.attempt, Decision::Grant(grant), age);
            }
            Body::Queued { attempt, wait_ms } => {
                let wait = Duration::from_millis(u64::from(wait_ms));
                self.on_decision(from, attempt, Decision::Queued { wait }, age);
            }
            Body::Deny {
                attempt,
                denial,
                retry_ms,
            } => {
                let retry = Duration::from_millis(u64::from(retry_ms));
                self.on_decision(from, attempt, Decision::Deny { denial, retry }, age);
            }
            Body::Redirect {
                attempt,
                coordinator,
            } => self.on_redirect(attempt, coordinator),
            Body::Withdraw { attempt } => self.on_withdraw(attempt),
            Body::Report(report) => self.on_report(from, &report),
            Body::Resync { pool } => {
                let found = self
                    .members
                    .entry(from)
                    .map(|entry| entry.data_centre.clone());
                if let Some(data_centre) = found {
                    self.report_in_full(&data_centre, &pool);
                }
            }
            Body::Claim(claim) => self.on_claim(from, claim),
            Body::Claimed { claim, status } => self.on_claimed(claim, status),
            Body::Settle(settle) => self.on_settle(from, settle),
            Body::Settled { claim } => self.on_settled(claim),
            Body::FetchConfig { after, digest } => self.on_fetch_config(from, after, digest),
            Body::FetchConfigPart { version, offset } => {
                self.on_fetch_config_part(from, version, offset);
            }
            Body::ConfigPart {
                version,
                offset,
                size,
                bytes,
            } => self.on_config_part(from, version, offset, size, &bytes),
            Body::ConfirmConfig { version, digest } => self.on_confirm_config(version, digest),
            Body::ConfigVersion { version, digest } => {
                self.on_config_version(from, version, digest);
            }
            Body::ConfigChanges { json } => self.on_config_changes(&json),
            Body::ConfigSnapshot { json } => self.on_config_snapshot(from, &json),
            Body::KeepCopy { attempt, endpoint } => self.on_keep_copy(attempt, endpoint),
            Body::CopyFailed { attempt, pool } => self.on_copy_failed(attempt, &pool),
            Body::FetchServerList => self.on_fetch_server_list(from),
            Body::ServerList(list) => self.on_server_list(from, list, age),
            Body::AwaitServerList { request } => self.on_await_server_list(from, request),
            Body::ServerListRead {
                request,
                era,
                revision,
            } => self.on_list_read_elsewhere(request, (era, revision)),
            Body::Ping { .. }
            | Body::Ack { .. }
            | Body::PingRequest { .. }
            | Body::SyncOffer { .. }
            | Body::SyncView { .. } => {}
        }
    }

    /// Merges the strikes, leaving servers and configuration version that a ping or its ack
    /// carries.
    fn merge_gossip(&mut self, from: InstanceId, gossip: &Gossip) {
        self.merge_strikes(&gossip.strikes);
        self.on_leaving_servers(&gossip.leaving);
        self.observe_version(from, gossip.config, gossip.config_digest);
    }

    /// Sends a frame to all running instances. It is not acknowledged, so it is sent twice in case one
    /// is lost.
    pub(crate) fn broadcast(&mut self, body: &Body) {
        let others: Vec<InstanceId> = self.members.running_others().collect();
        for to in others.iter().chain(&others) {
            self.send(*to, body.clone());
        }
    }

    /// Runs the membership protocol if that is due. After a pause of this process, the schedulers
    /// are reset because their state is out of date.
    pub(crate) fn tick_members(&mut self) {
        if self.now < self.next_membership_tick {
            return;
        }
        self.next_membership_tick = self.now + member::membership::PROBE_PERIOD;
        self.update_own_gossip();
        let tick = self.members.tick(self.now);
        if tick.was_paused {
            self.log(
                "member",
                true,
                "This process was paused; the schedulers of its pools are reset.".into(),
            );
            self.reset_schedulers();
        }
        self.send_all(tick.sends);
        self.gossip_findings();
        self.gossip_limits();
        self.gossip_paths();
    }

    /// Updates the leaving servers and configuration version that this instance gossips.
    fn update_own_gossip(&mut self) {
        let leaving = self.coordinator.leaving_servers(self.now);
        self.members.set_piggyback(Gossip {
            rumours: Vec::new(),
            config: self.config.follower.version(),
            config_digest: self.config.digest(),
            // Instances of earlier builds pass on the strikes that they get by broadcast.
            strikes: Vec::new(),
            leaving,
        });
    }

    pub(crate) fn send_all(&mut self, sends: Vec<OutgoingFrame>) {
        for OutgoingFrame { address, to, body } in sends {
            self.out.push(Output::Send { address, to, body });
        }
    }

    /// Returns the name of an instance for log lines, or its id if its name is not known.
    pub(crate) fn instance_name(&self, id: InstanceId) -> wire::Name {
        match self.members.entry(id) {
            Some(entry) => entry.name.clone(),
            None => id.to_string().into(),
        }
    }

    /// Sends a frame to an instance, if its address is known.
    pub(crate) fn send(&mut self, to: InstanceId, body: Body) {
        if let Some(entry) = self.members.entry(to) {
            let address = entry.peers;
            self.out.push(Output::Send { address, to, body });
        }
    }
}
