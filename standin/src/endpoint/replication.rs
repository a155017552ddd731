//! Replication: a replica pulls the primary's log, and a primary announces
//! itself to its peers.

use std::{net::SocketAddr, sync::Arc, time::Duration, time::Instant};

use futures::future::join_all;
use tokio_postgres::{Client, NoTls, SimpleQueryMessage, SimpleQueryRow};

use super::{LogEntry, Member, Role};

const RETRY_INTERVAL: Duration = Duration::from_millis(50);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(100);
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Pulls the primary's log while this member is a replica.
pub async fn pull_log(member: Arc<Member>) {
    loop {
        let source = {
            let state = member.state();
            let follows = state.role == Role::Replica && !state.is_partitioned;
            state.primary.filter(|_| follows).map(|p| (p, state.term))
        };
        if let Some((primary, term)) = source
            && let Some(client) = connect(primary).await
        {
            pull_log_from(&member, &client, primary, term).await;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn pull_log_from(member: &Member, client: &Client, primary: SocketAddr, term: u64) {
    let mut position = member.state().log.len();
    if member.state().synced_term != term {
        // A log that is only a prefix of the primary's may lack entries that
        // earlier primaries acknowledged. It counts as synchronized once it
        // holds all that this primary held when the pull began.
        let Some(end) = primary_log_end(client).await else {
            return;
        };
        member.state().sync_position = end;
    }
    loop {
        let (position_term, lag_ms) = {
            let state = member.state();
            if state.is_partitioned || state.term != term || state.primary != Some(primary) {
                return;
            }
            (state.term_at(position), state.ship_lag_ms)
        };
        let sql = format!("SELECT dbgroup_log({term},{position},{position_term},{lag_ms})");
        let Ok(Ok(answer)) = tokio::time::timeout(PEER_TIMEOUT, client.simple_query(&sql)).await
        else {
            return;
        };
        let Some(text) = first_value(&answer) else {
            return;
        };
        member.state().primary_seen = Instant::now();
        if text == "mismatch" {
            if position == 0 {
                return;
            }
            position -= 1;
            continue;
        }
        let Ok(entries) = serde_json::from_str::<Vec<LogEntry>>(&text) else {
            return;
        };
        if !append_received(member, primary, term, position, entries) {
            return;
        }
        position = member.state().log.len();
    }
}

async fn primary_log_end(client: &Client) -> Option<usize> {
    let asked = client.simple_query("SELECT pg_current_wal_lsn()");
    let answer = tokio::time::timeout(PEER_TIMEOUT, asked).await.ok()?.ok()?;
    let lsn: foxtailknot::lsn::Lsn = first_value(&answer)?.parse().ok()?;
    usize::try_from(lsn.0).ok()
}

fn append_received(
    member: &Member,
    primary: SocketAddr,
    term: u64,
    position: usize,
    entries: Vec<LogEntry>,
) -> bool {
    let mut state = member.state();
    if state.is_partitioned || state.term != term || state.primary != Some(primary) {
        return false;
    }
    if state.log.len() > position {
        state.truncate(position);
        member.drop_connections();
    }
    let now = Instant::now();
    state.log.extend(entries.into_iter().map(|e| (e, now)));
    if state.log.len() >= state.sync_position {
        state.synced_term = term;
    }
    true
}

/// Applies received entries on a replica once its replay delay has passed.
pub async fn replay(member: Arc<Member>) {
    loop {
        {
            let mut state = member.state();
            if state.role == Role::Replica {
                let lag = Duration::from_millis(state.replay_lag_ms);
                let due = state.log[state.replayed..]
                    .iter()
                    .take_while(|(_, at)| at.elapsed() >= lag)
                    .count();
                let position = state.replayed + due;
                state.replay_to(position);
            }
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Tells the peers to follow this member, repeatedly while it is the primary.
pub async fn announce_primary(member: Arc<Member>) {
    loop {
        let term = {
            let state = member.state();
            (state.role == Role::Primary && !state.is_partitioned).then_some(state.term)
        };
        if let Some(term) = term {
            // Concurrent, so that a peer that does not answer delays no other.
            let peers = member.settings.peer.iter();
            join_all(peers.map(|peer| announce_primary_to(&member, *peer, term))).await;
        }
        tokio::time::sleep(ANNOUNCE_INTERVAL).await;
    }
}

async fn announce_primary_to(member: &Member, peer: SocketAddr, term: u64) {
    let own = member.settings.listen;
    let sql = format!("SELECT dbgroup_follow({term},'{own}')");
    let ask = async {
        let client = connect(peer).await?;
        let answer = client.simple_query(&sql).await.ok()?;
        first_value(&answer)?.parse::<u64>().ok()
    };
    let Ok(Some(peer_term)) = tokio::time::timeout(PEER_TIMEOUT, ask).await else {
        return;
    };
    let mut state = member.state();
    if peer_term > state.term && !state.is_partitioned && state.role == Role::Primary {
        state.term = peer_term;
        state.role = Role::Replica;
        member.drop_connections();
    }
}

async fn connect(addr: SocketAddr) -> Option<Client> {
    let mut config = tokio_postgres::Config::new();
    config.host(addr.ip().to_string());
    config.port(addr.port());
    config.user("dbgroup");
    config.application_name("dbgroup");
    config.connect_timeout(PEER_TIMEOUT);
    // The driver's connect timeout covers only the TCP connection, not the
    // startup messages.
    let connecting = tokio::time::timeout(PEER_TIMEOUT, config.connect(NoTls));
    let (client, connection) = connecting.await.ok()?.ok()?;
    tokio::spawn(connection);
    Some(client)
}

fn first_value(answer: &[SimpleQueryMessage]) -> Option<String> {
    answer.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => value(row),
        _ => None,
    })
}

fn value(row: &SimpleQueryRow) -> Option<String> {
    row.get(0).map(str::to_owned)
}
