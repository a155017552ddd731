//! Encodes and decodes single messages with the codecs of `pgwire`.

use bytes::{Buf, BufMut, BytesMut};
use pgwire::messages::{
    DecodeContext, Message,
    data::{DataRow, FieldDescription, NoData, ParameterDescription, RowDescription},
    extendedquery::{BindComplete, CloseComplete, Parse, ParseComplete},
    response::{CommandComplete, ErrorResponse, ReadyForQuery, TransactionStatus},
    simplequery::Query,
    startup::ParameterStatus,
};

use super::{
    error::{Refusal, Result},
    frame::Frame,
};
use crate::prelude::*;

/// Type id of `text`.
const TEXT_OID: u32 = 25;

/// Writes a message to a buffer.
pub fn put(buffer: &mut BytesMut, message: &impl Message) {
    // The proxy's own messages are within the protocol's limits.
    if let Err(error) = message.encode(buffer) {
        log::error!(target: "proxy", "message not encoded: {error}");
    }
}

/// Reads a message from a frame.
///
/// # Errors
///
/// Returns an error when the body violates the protocol.
pub fn read<M: Message>(frame: &Frame) -> Result<M> {
    let mut buffer = BytesMut::from(&frame.bytes[..]);
    let context = DecodeContext::default();
    let message = M::decode(&mut buffer, &context)?;
    message.ok_or_else(|| super::error::ProxyError::protocol("incomplete message"))
}

/// Writes a refusal as an `ErrorResponse`.
pub fn put_refusal(buffer: &mut BytesMut, severity: &str, refusal: &Refusal) {
    let code = refusal.code;
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', code.sqlstate().to_owned()),
        (b'M', refusal.to_string()),
        (b'D', format!("outcome: {}", code.outcome())),
    ];
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        fields.push((b'H', format!("retry after {retry_after_ms} ms")));
    }
    put(buffer, &ErrorResponse::new(fields));
}

/// Writes `ReadyForQuery` outside a transaction.
pub fn put_ready(buffer: &mut BytesMut) {
    put(buffer, &ReadyForQuery::new(TransactionStatus::Idle));
}

/// Writes a simple query.
pub fn put_query(buffer: &mut BytesMut, sql: &str) {
    put(buffer, &Query::new(sql.to_owned()));
}

/// Writes a `Parse`.
pub fn put_parse(buffer: &mut BytesMut, name: &str, sql: &str, type_oids: &[u32]) {
    let name = (!name.is_empty()).then(|| name.to_owned());
    put(
        buffer,
        &Parse::new(name, sql.to_owned(), type_oids.to_vec()),
    );
}

/// Writes a `ParameterStatus`.
pub fn put_parameter(buffer: &mut BytesMut, name: &str, value: &str) {
    put(
        buffer,
        &ParameterStatus::new(name.to_owned(), value.to_owned()),
    );
}

/// Writes a `CommandComplete`.
pub fn put_complete(buffer: &mut BytesMut, tag: &str) {
    put(buffer, &CommandComplete::new(tag.to_owned()));
}

/// Writes a `ParseComplete`.
pub fn put_parse_complete(buffer: &mut BytesMut) {
    put(buffer, &ParseComplete::new());
}

/// Writes a `BindComplete`.
pub fn put_bind_complete(buffer: &mut BytesMut) {
    put(buffer, &BindComplete::new());
}

/// Writes a `CloseComplete`.
pub fn put_close_complete(buffer: &mut BytesMut) {
    put(buffer, &CloseComplete::new());
}

/// Writes a `NoData`.
pub fn put_no_data(buffer: &mut BytesMut) {
    put(buffer, &NoData::new());
}

/// Writes a `ParameterDescription` without parameters.
pub fn put_no_parameters(buffer: &mut BytesMut) {
    put(buffer, &ParameterDescription::new(Vec::new()));
}

/// Writes a `RowDescription` of one text column.
pub fn put_text_column(buffer: &mut BytesMut, name: &str) {
    let field = FieldDescription::new(name.to_owned(), 0, 0, TEXT_OID, -1, -1, 0);
    put(buffer, &RowDescription::new(vec![field]));
}

/// Writes a `DataRow` of one text value.
pub fn put_text_row(buffer: &mut BytesMut, value: &str) {
    let mut data = BytesMut::new();
    data.put_i32(value.len() as i32);
    data.put_slice(value.as_bytes());
    put(buffer, &DataRow::new(data, 1));
}

/// SQLSTATE and message of an `ErrorResponse`.
pub fn error_fields(frame: &Frame) -> (String, String) {
    let mut state = String::new();
    let mut text = String::new();
    for field in frame.body().split(|byte| *byte == 0) {
        let Some((kind, value)) = field.split_first() else {
            continue;
        };
        let value = String::from_utf8_lossy(value).into_owned();
        match kind {
            b'C' => state = value,
            b'M' => text = value,
            _ => {}
        }
    }
    (state, text)
}

/// Values of a `DataRow` in text form.
pub fn row_values(frame: &Frame) -> Vec<Option<String>> {
    let mut body = frame.body();
    if body.len() < 2 {
        return Vec::new();
    }
    let count = body.get_u16();
    let mut values = Vec::new();
    for _ in 0..count {
        if body.len() < 4 {
            break;
        }
        let Ok(length) = usize::try_from(body.get_i32()) else {
            values.push(None);
            continue;
        };
        let length = length.min(body.len());
        values.push(Some(String::from_utf8_lossy(&body[..length]).into_owned()));
        body.advance(length);
    }
    values
}

/// Name and value of a `ParameterStatus`.
pub fn parameter(frame: &Frame) -> Option<(String, String)> {
    let status: ParameterStatus = read(frame).ok()?;
    Some((status.name, status.value))
}

/// Position in a `DataRow` of one column.
pub fn row_lsn(frame: &Frame) -> Option<Lsn> {
    let first = row_values(frame).into_iter().next()??;
    first.parse().ok()
}
