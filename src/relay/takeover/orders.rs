//! Orders to members, on connections of their own.

use std::cell::RefCell;

use super::super::{
    MemberRequest, RelayError, Result, StatusReport,
    connection::Connection,
    exchange,
    open::{Target, open},
    service::ServiceContext,
};
use crate::{prelude::*, proxy::connection::Permit};

/// Longest time of one order to a member: a round trip to another region, a new
/// connection, and a full queue there.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Connections of one attempt to members. An order that was given up must not be carried
/// out later, so they are reset and not closed.
pub struct Orders {
    context: ServiceContext,
    idle: RefCell<BTreeMap<Name, Connection>>,
}

impl Orders {
    /// Creates an attempt's orders, without connections.
    pub fn new(context: ServiceContext) -> Orders {
        Orders {
            context,
            idle: RefCell::default(),
        }
    }

    /// Sends an order to a member on the open connection, or on a new one.
    ///
    /// # Errors
    ///
    /// Returns an error when the member refuses or gives no report in time.
    pub async fn send(&self, target: &Target, order: &MemberRequest<'_>) -> Result<StatusReport> {
        let idle = self.idle.borrow_mut().remove(&target.member);
        let call = async {
            let Some(connection) = idle else {
                return self.send_on_new(target, order).await;
            };
            match self.send_on(connection, target, order).await {
                Err(RelayError::Closed | RelayError::Io(_)) => {
                    self.send_on_new(target, order).await
                }
                answered => answered,
            }
        };
        let answered = compio::time::timeout(ORDER_TIMEOUT, call).await;
        answered.unwrap_or(Err(RelayError::Timeout))
    }

    async fn send_on_new(
        &self,
        target: &Target,
        order: &MemberRequest<'_>,
    ) -> Result<StatusReport> {
        // These connections are few and short-lived, so they are not counted.
        let connection = open(target.clone(), &self.context.options, Permit::new(|| {})).await?;
        connection.socket.reset_when_closed()?;
        self.send_on(connection, target, order).await
    }

    async fn send_on(
        &self,
        mut connection: Connection,
        target: &Target,
        order: &MemberRequest<'_>,
    ) -> Result<StatusReport> {
        let codec = self.context.options.codecs.member;
        let report = exchange::request_report(&mut connection, &codec, order).await?;
        let report = report.map_err(|class| RelayError::Refused { class })?;
        let mut idle = self.idle.borrow_mut();
        idle.insert(target.member.clone(), connection);
        Ok(report)
    }
}
