//! HTTP client for the platform's key-value store and its list of instances and servers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use compact_str::CompactString;
use hyper::Method;
use hyper::StatusCode;
use serde::Deserialize;
use store::Answer;
use store::Call;
use store::OutgoingCall;
use wigeon_core::Input;
use wigeon_core::ListEntry;
use wigeon_core::message::ListedServer;
use xtra::Actor;
use xtra::Address;
use xtra::Context;
use xtra::Handler;

use crate::connection;
use crate::connection::ConnectionError;
use crate::decider::Decider;
use crate::decider::HandleInput;
use crate::partition::Partition;

/// Time between two reads of the list.
const LIST_PERIOD: Duration = Duration::from_millis(500);
/// Longest wait for the list.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for a watch. The service ends a watch earlier by itself.
const WATCH_TIMEOUT: Duration = Duration::from_secs(12);
/// Maximum size of the body of a response, in bytes. A value has up to 1 MiB.
const RESPONSE_BYTES_MAX: usize = 4 * 1_024 * 1_024;

/// The actor that makes calls to the platform's store.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    partition: Arc<Partition>,
    decider: Address<Decider>,
}

impl Platform {
    /// Returns an actor that calls the store at an address and passes the answers to the decider.
    pub fn new(
        address: SocketAddr,
        partition: Arc<Partition>,
        decider: Address<Decider>,
    ) -> Platform {
        Platform {
            address,
            partition,
            decider,
        }
    }
}

impl Actor for Platform {
    type Stop = ();

    async fn stopped(self) {}
}

/// Makes a call to the store and passes its answer to the decider.
#[derive(Debug)]
pub struct SendCall(pub OutgoingCall);

impl Handler<SendCall> for Platform {
    type Return = ();

    async fn handle(&mut self, SendCall(sent): SendCall, _: &mut Context<Platform>) {
        let address = self.address;
        let decider = self.decider.clone();
        let partition = self.partition.clone();
        tokio::spawn(async move {
            let answer = if partition.cuts(address) {
                Answer::Unreachable
            } else {
                call(address, &sent).await
            };
            let _ = decider
                .send(HandleInput(Input::Store(sent.id, answer)))
                .detach()
                .await;
        });
    }
}

async fn call(address: SocketAddr, sent: &OutgoingCall) -> Answer {
    let timeout = match sent.call {
        Call::Watch { .. } => WATCH_TIMEOUT,
        _ => sent.timeout,
    };
    let Ok(body) = postcard::to_stdvec(&sent.call) else {
        return Answer::Unreachable;
    };
    let Ok(request) = connection::request(Method::POST, address, "/kv", body) else {
        return Answer::Unreachable;
    };
    let response = async {
        let fetched = connection::fetch(address, request, RESPONSE_BYTES_MAX).await;
        let response = fetched.map_err(|error| match error {
            ConnectionError::Unreachable | ConnectionError::Refused => Answer::Unreachable,
            ConnectionError::Lost | ConnectionError::OddStatus | ConnectionError::TooLong => {
                log::warn!("platform: No whole response of the store: {error}.");
                Answer::Unknown
            }
        })?;
        if response.status() != StatusCode::OK {
            return Err(Answer::Unreachable);
        }
        postcard::from_bytes(response.body()).map_err(|_| Answer::Unknown)
    };
    match tokio::time::timeout(timeout, response).await {
        Ok(Ok(answer)) | Ok(Err(answer)) => answer,
        Err(_) => Answer::Unknown,
    }
}

/// An entry of the list as the platform sends it.
#[derive(Deserialize)]
struct WireEntry {
    name: CompactString,
    kind: CompactString,
    data_centre: CompactString,
    #[serde(default)]
    label: CompactString,
    address: SocketAddr,
    #[serde(default)]
    leaving: bool,
    #[serde(default)]
    reclaimed: bool,
}

/// Reads the list periodically and passes it to the decider, until the task is stopped.
pub async fn read_list(address: SocketAddr, partition: Arc<Partition>, decider: Address<Decider>) {
    loop {
        if !partition.cuts(address)
            && let Some(list) = fetch_list(address).await
        {
            let _ = decider.send(HandleInput(Input::List(list))).detach().await;
        }
        tokio::time::sleep(LIST_PERIOD).await;
    }
}

async fn fetch_list(address: SocketAddr) -> Option<Vec<ListEntry>> {
    let request = connection::request(Method::GET, address, "/list", "").ok()?;
    let entries = async {
        let fetched = connection::fetch(address, request, RESPONSE_BYTES_MAX).await;
        let response = match fetched {
            Ok(response) => response,
            Err(error) => {
                log::debug!("platform: The list can't be read: {error}.");
                return None;
            }
        };
        if response.status() != StatusCode::OK {
            return None;
        }
        let entries: Vec<WireEntry> = serde_json::from_slice(response.body()).ok()?;
        Some(entries.into_iter().map(to_list_entry).collect())
    };
    tokio::time::timeout(LIST_TIMEOUT, entries).await.ok()?
}

fn to_list_entry(entry: WireEntry) -> ListEntry {
    if entry.kind == "instance" {
        ListEntry::Instance(member::ListedInstance {
            name: entry.name,
            data_centre: entry.data_centre,
            peers: entry.address,
            leaving: entry.leaving,
        })
    } else {
        ListEntry::Server(ListedServer {
            name: entry.name,
            data_centre: entry.data_centre,
            label: entry.label,
            address: entry.address,
            leaving: entry.leaving,
            reclaimed: entry.reclaimed,
            boot: 0,
            software: CompactString::default(),
            cold_left_ms: 0,
        })
    }
}
