//! The admin listener: metrics, health and readiness over HTTP.

use axum::{Router, extract::State, http::StatusCode, routing::get};
use compio::net::TcpListener;
use tokio::sync::watch;

use crate::metrics::Metrics;

/// State that the admin listener reports.
#[derive(Clone)]
pub struct AdminState {
    /// Metrics to export.
    pub metrics: Metrics,
    /// Set once a configuration is in force.
    pub ready: watch::Receiver<bool>,
    /// Set once the VM is draining.
    pub draining: watch::Receiver<bool>,
}

/// Serves the admin listener.
pub async fn serve(listener: TcpListener, state: AdminState) {
    let router = Router::new()
        .route("/metrics", get(metrics))
        .route("/health", get(health))
        .route("/ready", get(ready))
        .with_state(state);
    if let Err(error) = cyper_axum::serve(listener, router).await {
        log::error!(target: "admin", "admin listener ended: {error}");
    }
}

async fn metrics(State(state): State<AdminState>) -> String {
    state.metrics.text()
}

async fn health() -> &'static str {
    "ok\n"
}

async fn ready(State(state): State<AdminState>) -> (StatusCode, &'static str) {
    if *state.draining.borrow() {
        return (StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    match *state.ready.borrow() {
        true => (StatusCode::OK, "ready\n"),
        false => (StatusCode::SERVICE_UNAVAILABLE, "no configuration\n"),
    }
}
