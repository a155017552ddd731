//! How this VM reaches each service, as the control task publishes it.

use std::net::SocketAddr;

use super::slot::SlotHandle;
use crate::{prelude::*, settings::ServiceSettings};

/// Another VM that holds a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Name of the VM.
    pub vm: Name,
    /// Address for forwarded callers.
    pub internal: SocketAddr,
    /// Whether it stands in the zone of this VM.
    pub is_near: bool,
}

/// How to reach one service.
#[derive(Clone, Debug)]
pub struct Route {
    /// Settings.
    pub settings: Arc<ServiceSettings>,
    /// Slot on this VM.
    pub slot: Option<SlotHandle>,
    /// Slots on other VMs, nearest first.
    pub holders: Vec<Holder>,
}

/// Routes by service.
pub type RouteTable = BTreeMap<Name, Route>;
