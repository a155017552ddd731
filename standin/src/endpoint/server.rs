//! PostgreSQL protocol server of the stand-in.

use std::{
    fmt::Debug,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_trait::async_trait;
use futures::{Sink, stream};
use pgwire::{
    api::{
        ClientInfo, ClientPortalStore, PgWireServerHandlers, Type,
        auth::{StartupHandler, noop::NoopStartupHandler},
        portal::{Format, Portal},
        query::{ExtendedQueryHandler, SimpleQueryHandler},
        results::{
            DataRowEncoder, DescribePortalResponse, DescribeStatementResponse, FieldFormat,
            FieldInfo, QueryResponse, Response, Tag,
        },
        stmt::{NoopQueryParser, StoredStatement},
    },
    error::{ErrorInfo, PgWireError, PgWireResult},
    messages::{PgWireBackendMessage, PgWireFrontendMessage},
};
use tokio::net::{TcpListener, TcpStream};

use super::{
    Member, Statement, replication,
    session::{Answer, Session, SqlError},
};
use crate::endpoint::engine::Rows;

const PROXY_APPLICATION_NAME: &str = "foxtailknot";

/// Serves a member until the process ends.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn serve(member: Arc<Member>) -> std::io::Result<()> {
    let listener = TcpListener::bind(member.settings.listen).await?;
    tokio::spawn(replication::pull_log(member.clone()));
    tokio::spawn(replication::replay(member.clone()));
    tokio::spawn(replication::announce_primary(member.clone()));
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        tokio::spawn(serve_connection(member.clone(), stream));
    }
}

async fn serve_connection(member: Arc<Member>, stream: TcpStream) {
    tokio::time::sleep(Duration::from_millis(member.settings.connect_ms)).await;
    let mut generation = member.connection_generation.subscribe();
    let handler = Arc::new(Handler {
        session: Session::new(member),
        parser: Arc::new(NoopQueryParser::new()),
    });
    let handlers = Handlers(handler);
    tokio::select! {
        _ = pgwire::tokio::process_socket(stream, None, handlers) => {}
        _ = generation.changed() => {}
    }
}

struct Handlers(Arc<Handler>);

impl PgWireServerHandlers for Handlers {
    fn simple_query_handler(&self) -> Arc<impl SimpleQueryHandler> {
        self.0.clone()
    }

    fn extended_query_handler(&self) -> Arc<impl ExtendedQueryHandler> {
        self.0.clone()
    }

    fn startup_handler(&self) -> Arc<impl StartupHandler> {
        self.0.clone()
    }
}

struct Handler {
    session: Session,
    parser: Arc<NoopQueryParser>,
}

#[async_trait]
impl NoopStartupHandler for Handler {
    async fn post_startup<C>(
        &self,
        client: &mut C,
        _message: PgWireFrontendMessage,
    ) -> PgWireResult<()>
    where
        C: ClientInfo + Sink<PgWireBackendMessage> + Unpin + Send,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let name = client.metadata().get("application_name");
        if name.is_some_and(|name| name == PROXY_APPLICATION_NAME) {
            let member = &self.session.member;
            let limit = member.settings.max_connections;
            if member.open_connections.load(Ordering::Relaxed) >= limit {
                return Err(SqlError::new("53300", "too many connections").into());
            }
            self.session.count_proxy_connection();
        }
        Ok(())
    }
}

#[async_trait]
impl SimpleQueryHandler for Handler {
    async fn do_query<C>(&self, _client: &mut C, query: &str) -> PgWireResult<Vec<Response>>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let mut responses = Vec::new();
        for sql in self.session.split_statements(query) {
            let statement = Statement {
                sql,
                params: Vec::new(),
            };
            match self.session.run(statement).await {
                Ok(answer) => responses.push(response(answer, &Format::UnifiedText)?),
                Err(error) => {
                    responses.push(Response::Error(Box::new(error.info())));
                    break;
                }
            }
        }
        Ok(responses)
    }
}

#[async_trait]
impl ExtendedQueryHandler for Handler {
    type Statement = String;
    type QueryParser = NoopQueryParser;

    fn query_parser(&self) -> Arc<Self::QueryParser> {
        self.parser.clone()
    }

    async fn do_query<C>(
        &self,
        _client: &mut C,
        portal: &Portal<Self::Statement>,
        _max_rows: usize,
    ) -> PgWireResult<Response>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let params = (0..portal.parameter_len()).map(|i| param(portal, i));
        let statement = Statement {
            sql: portal.statement.statement.clone(),
            params: params.collect::<PgWireResult<_>>()?,
        };
        match self.session.run(statement).await {
            Ok(answer) => response(answer, &portal.result_column_format),
            Err(error) => Ok(Response::Error(Box::new(error.info()))),
        }
    }

    async fn do_describe_statement<C>(
        &self,
        _client: &mut C,
        target: &StoredStatement<Self::Statement>,
    ) -> PgWireResult<DescribeStatementResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let (count, columns) = self.session.describe(&target.statement)?;
        let types = (0..count).map(|i| {
            let given = target.parameter_types.get(i).cloned().flatten();
            given.unwrap_or(Type::TEXT)
        });
        let fields = fields(&columns, &Format::UnifiedText);
        Ok(DescribeStatementResponse::new(types.collect(), fields))
    }

    async fn do_describe_portal<C>(
        &self,
        _client: &mut C,
        portal: &Portal<Self::Statement>,
    ) -> PgWireResult<DescribePortalResponse>
    where
        C: ClientInfo + ClientPortalStore + Sink<PgWireBackendMessage> + Unpin + Send + Sync,
        C::Error: Debug,
        PgWireError: From<<C as Sink<PgWireBackendMessage>>::Error>,
    {
        let (_, columns) = self.session.describe(&portal.statement.statement)?;
        let fields = fields(&columns, &portal.result_column_format);
        Ok(DescribePortalResponse::new(fields))
    }
}

fn param(portal: &Portal<String>, i: usize) -> PgWireResult<Option<String>> {
    let given = portal.statement.parameter_types.get(i).cloned().flatten();
    let value = match given.unwrap_or(Type::TEXT) {
        Type::INT2 => portal
            .parameter::<i16>(i, &Type::INT2)?
            .map(|v| v.to_string()),
        Type::INT4 => portal
            .parameter::<i32>(i, &Type::INT4)?
            .map(|v| v.to_string()),
        Type::INT8 => portal
            .parameter::<i64>(i, &Type::INT8)?
            .map(|v| v.to_string()),
        _ => portal.parameter::<String>(i, &Type::TEXT)?,
    };
    Ok(value)
}

fn fields(columns: &[(String, bool)], format: &Format) -> Vec<FieldInfo> {
    let field = |(i, (name, is_integer)): (usize, &(String, bool))| {
        let kind = if *is_integer { Type::INT8 } else { Type::TEXT };
        FieldInfo::new(name.clone(), None, None, kind, format.format_for(i))
    };
    columns.iter().enumerate().map(field).collect()
}

fn response(answer: Answer, format: &Format) -> PgWireResult<Response> {
    Ok(match answer {
        Answer::Rows(rows) => Response::Query(query_response(rows, format)?),
        Answer::Done(tag, None) => Response::Execution(Tag::new(&tag)),
        Answer::Done(tag, Some(count)) => Response::Execution(Tag::new(&tag).with_rows(count)),
        Answer::Begin => Response::TransactionStart(Tag::new("BEGIN")),
        Answer::End(tag) => Response::TransactionEnd(Tag::new(&tag)),
    })
}

fn query_response(rows: Rows, format: &Format) -> PgWireResult<QueryResponse> {
    let header = Arc::new(fields(&rows.columns, format));
    let mut encoder = DataRowEncoder::new(header.clone());
    let mut encoded = Vec::with_capacity(rows.rows.len());
    for row in rows.rows {
        for (field, value) in header.iter().zip(row) {
            let is_binary = field.format() == FieldFormat::Binary;
            if is_binary && field.datatype() == &Type::INT8 {
                let number = value.and_then(|v| v.parse::<i64>().ok());
                encoder.encode_field(&number)?;
            } else {
                encoder.encode_field_with_type_and_format(
                    &value,
                    &Type::TEXT,
                    FieldFormat::Text,
                    field.format_options(),
                )?;
            }
        }
        encoded.push(Ok(encoder.take_row()));
    }
    Ok(QueryResponse::new(header, stream::iter(encoded)))
}

impl From<SqlError> for PgWireError {
    fn from(error: SqlError) -> PgWireError {
        PgWireError::UserError(Box::new(error.info()))
    }
}

impl SqlError {
    fn info(&self) -> ErrorInfo {
        ErrorInfo::new("ERROR".into(), self.code.into(), self.message.clone())
    }
}
