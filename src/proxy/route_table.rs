//! Routes from this VM to each service, as the control task publishes them.

use std::net::SocketAddr;

use super::slot::SlotHandle;
use crate::{prelude::*, settings::ServiceSettings};

/// Another VM that holds a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of the VM.
    pub vm: Name,
    /// Address of its listener for forwarded requests.
    pub internal: SocketAddr,
    /// Whether it is in the zone of this VM.
    pub is_near: bool,
}

/// Route to one service.
#[derive(Clone, Debug)]
pub struct Route {
    /// Settings of the service.
    pub settings: Arc<ServiceSettings>,
    /// Slot on this VM, if it holds one.
    pub slot: Option<SlotHandle>,
    /// Other VMs that hold slots, nearest first.
    pub holders: Vec<Holder>,
}

/// Routes by service.
pub type RouteTable = BTreeMap<Name, Route>;
