//! Stand-in for the platform: table service, object store and VM list as an
//! HTTP API with JSON bodies, and control calls that inject faults.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use axum::{
    Json, Router,
    body::Bytes,
    extract::{Path, Query, State},
    http::StatusCode,
    middleware::{self, Next},
    response::{IntoResponse, Response},
    routing::{get, post, put},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Injected faults of the platform.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every request fails, except control calls.
    pub down: bool,
    /// Delay of every response, in milliseconds.
    pub slow_ms: u64,
    /// Number of next writes that take effect but are answered with an error, as
    /// if the response were lost.
    pub lose_answers: u64,
    /// Delay before a change of the VM list becomes visible, in milliseconds.
    pub vm_list_lag_ms: u64,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// Address for connections that other VMs forward.
    pub internal: SocketAddr,
    /// Address for calls between VMs.
    pub peer: SocketAddr,
    /// Whether the VM is about to be removed.
    #[serde(default)]
    pub leaving: bool,
}

#[derive(Clone, Debug, Serialize)]
struct Row {
    version: u64,
    value: Value,
    change_id: String,
}

#[derive(Deserialize)]
struct WriteRequest {
    expect_version: u64,
    value: Value,
    change_id: String,
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Clone, Debug, Default, Serialize)]
struct Counters {
    reads: u64,
    writes: u64,
    conflicts: u64,
}

#[derive(Default)]
struct Store {
    rows: BTreeMap<String, Row>,
    objects: BTreeMap<String, Bytes>,
    vms: Vec<Vm>,
    visible_vms: Vec<Vm>,
    vms_changed_at: Option<Instant>,
    faults: Faults,
    counters: Counters,
}

/// Shared state of the platform stand-in.
#[derive(Clone, Default)]
pub struct Platform(Arc<Mutex<Store>>);

impl Platform {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.0.lock().expect("no thread panics under this lock")
    }
}

/// Serves the platform until the process ends.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn serve(listen: SocketAddr) -> std::io::Result<()> {
    let platform = Platform::default();
    let data = Router::new()
        .route("/table/{*key}", get(read_row).put(write_row))
        .route("/tables", get(list_rows))
        .route("/objects/{digest}", get(read_object).put(write_object))
        .route("/vms", get(list_vms))
        .layer(middleware::from_fn_with_state(
            platform.clone(),
            apply_faults,
        ));
    let control = Router::new()
        .route("/control/faults", post(set_faults))
        .route("/control/vms", put(set_vms))
        .route("/control/counters", get(counters));
    let app = data.merge(control).with_state(platform);
    let listener = tokio::net::TcpListener::bind(listen).await?;
    axum::serve(listener, app).await
}

async fn apply_faults(
    State(platform): State<Platform>,
    request: axum::extract::Request,
    next: Next,
) -> Response {
    let is_write = request.method() == axum::http::Method::PUT;
    let faults = platform.store().faults.clone();
    if faults.down {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    let answer = next.run(request).await;
    let mut store = platform.store();
    if is_write && store.faults.lose_answers > 0 {
        store.faults.lose_answers -= 1;
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    answer
}

async fn read_row(State(platform): State<Platform>, Path(key): Path<String>) -> Response {
    let mut store = platform.store();
    store.counters.reads += 1;
    match store.rows.get(&key) {
        Some(row) => Json(row.clone()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn list_rows(
    State(platform): State<Platform>,
    Query(query): Query<ListQuery>,
) -> Json<BTreeMap<String, Row>> {
    let mut store = platform.store();
    store.counters.reads += 1;
    let rows = store.rows.iter();
    let found = rows.filter(|(key, _)| key.starts_with(&query.prefix));
    Json(found.map(|(k, v)| (k.clone(), v.clone())).collect())
}

async fn write_row(
    State(platform): State<Platform>,
    Path(key): Path<String>,
    Json(write): Json<WriteRequest>,
) -> Response {
    let mut store = platform.store();
    store.counters.writes += 1;
    let version = store.rows.get(&key).map_or(0, |row| row.version);
    if version != write.expect_version {
        store.counters.conflicts += 1;
        let row = store.rows.get(&key).cloned();
        return (StatusCode::CONFLICT, Json(row)).into_response();
    }
    let row = Row {
        version: version + 1,
        value: write.value,
        change_id: write.change_id,
    };
    store.rows.insert(key, row.clone());
    Json(row).into_response()
}

async fn read_object(State(platform): State<Platform>, Path(digest): Path<String>) -> Response {
    let mut store = platform.store();
    store.counters.reads += 1;
    match store.objects.get(&digest) {
        Some(bytes) => bytes.clone().into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn write_object(
    State(platform): State<Platform>,
    Path(digest): Path<String>,
    body: Bytes,
) -> StatusCode {
    let mut store = platform.store();
    store.counters.writes += 1;
    store.objects.insert(digest, body);
    StatusCode::OK
}

async fn list_vms(State(platform): State<Platform>) -> Json<Vec<Vm>> {
    let mut store = platform.store();
    store.counters.reads += 1;
    let lag = Duration::from_millis(store.faults.vm_list_lag_ms);
    if store.vms_changed_at.is_some_and(|at| at.elapsed() >= lag) {
        store.visible_vms = store.vms.clone();
        store.vms_changed_at = None;
    }
    Json(store.visible_vms.clone())
}

async fn set_faults(State(platform): State<Platform>, Json(faults): Json<Faults>) -> StatusCode {
    platform.store().faults = faults;
    StatusCode::OK
}

async fn set_vms(State(platform): State<Platform>, Json(vms): Json<Vec<Vm>>) -> StatusCode {
    let mut store = platform.store();
    store.vms = vms;
    store.vms_changed_at = Some(Instant::now());
    StatusCode::OK
}

async fn counters(State(platform): State<Platform>) -> Json<Counters> {
    Json(platform.store().counters.clone())
}
