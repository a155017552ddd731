//! State shared by the tasks of all callers.

use std::rc::Rc;

use futures::channel::oneshot;
use tokio::sync::watch;

use super::{
    cancel::CancelRegistry,
    error::Refusal,
    peer_pool::PeerPool,
    route_table::{Route, RouteTable},
};
use crate::{metrics::Metrics, prelude::*, settings::VmSettings};

/// A request to look up a service's route again.
pub struct RouteRequest {
    /// Name of the service.
    pub service: Name,
    /// Whether the known route has just failed.
    pub is_stale: bool,
    /// Answered once the table is up to date.
    pub reply: oneshot::Sender<()>,
}

/// State shared by the tasks of all callers.
#[derive(Clone)]
pub struct Context {
    /// Settings of this VM.
    pub settings: Arc<VmSettings>,
    /// Metrics.
    pub metrics: Metrics,
    /// Routes as last published.
    pub routes: watch::Receiver<Rc<RouteTable>>,
    /// Requests to the control task.
    pub route_requests: flume::Sender<RouteRequest>,
    /// Connections to VMs that hold slots.
    pub peer_pool: PeerPool,
    /// Set once the VM is stopping.
    pub draining: watch::Receiver<bool>,
    /// Requests that can be cancelled.
    pub cancels: CancelRegistry,
}

impl Context {
    /// Route to a service.
    pub fn route(&self, service: &str) -> Option<Route> {
        self.routes.borrow().get(service).cloned()
    }

    /// Route to a service, looked up again first if it is stale or leads to no
    /// slot.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the service is not configured.
    pub async fn find_route(&self, service: &Name, is_stale: bool) -> Result<Route, Refusal> {
        let is_reachable = |r: &Route| r.slot.is_some() || !r.holders.is_empty();
        if let Some(route) = self.route(service).filter(|r| is_reachable(r) && !is_stale) {
            return Ok(route);
        }
        let (reply, answer) = oneshot::channel();
        let request = RouteRequest {
            service: service.clone(),
            is_stale,
            reply,
        };
        // Without an answer the last published route is used.
        let _ = self.route_requests.send(request);
        let _ = answer.await;
        self.route(service).ok_or_else(|| {
            let text = format!("service {service:?} is not configured");
            Refusal::new(Code::UnknownService, text)
        })
    }

    /// Whether the VM is stopping.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }
}
