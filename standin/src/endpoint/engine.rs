//! Runs statements on the embedded SQLite database.

use rusqlite::{Connection, types::ValueRef};

use super::Statement;

/// Result rows in text format.
#[derive(Debug, Default)]
pub struct Rows {
    /// Column names with a flag for integer columns.
    pub columns: Vec<(String, bool)>,
    /// Values, row by row.
    pub rows: Vec<Vec<Option<String>>>,
}

/// Runs a statement that returns no rows.
///
/// # Errors
///
/// Returns SQLite's error.
pub fn execute(db: &Connection, statement: &Statement) -> rusqlite::Result<usize> {
    let mut prepared = db.prepare_cached(&statement.sql)?;
    bind(&mut prepared, &statement.params)?;
    prepared.raw_execute()
}

/// Runs a statement and collects its rows.
///
/// # Errors
///
/// Returns SQLite's error.
pub fn query(db: &Connection, statement: &Statement) -> rusqlite::Result<Rows> {
    let mut prepared = db.prepare_cached(&statement.sql)?;
    let columns = columns(&prepared);
    bind(&mut prepared, &statement.params)?;
    let width = columns.len();
    let mut answer = Rows {
        columns,
        rows: Vec::new(),
    };
    let mut rows = prepared.raw_query();
    while let Some(row) = rows.next()? {
        let values = (0..width).map(|i| row.get_ref(i).map(text));
        answer.rows.push(values.collect::<Result<_, _>>()?);
    }
    Ok(answer)
}

/// Columns of a prepared statement, with a flag for integer columns.
pub fn columns(prepared: &rusqlite::Statement<'_>) -> Vec<(String, bool)> {
    let is_integer = |decl: Option<&str>| decl.is_some_and(|t| t.to_uppercase().contains("INT"));
    let columns = prepared.columns();
    columns
        .iter()
        .map(|c| (c.name().to_owned(), is_integer(c.decl_type())))
        .collect()
}

fn bind(prepared: &mut rusqlite::Statement<'_>, params: &[Option<String>]) -> rusqlite::Result<()> {
    for (i, value) in params.iter().enumerate() {
        if let Some(index) = prepared.parameter_index(&format!("${}", i + 1))? {
            prepared.raw_bind_parameter(index, value)?;
        }
    }
    Ok(())
}

fn text(value: ValueRef<'_>) -> Option<String> {
    match value {
        ValueRef::Null => None,
        ValueRef::Integer(i) => Some(i.to_string()),
        ValueRef::Real(f) => Some(f.to_string()),
        ValueRef::Text(t) => Some(String::from_utf8_lossy(t).into_owned()),
        ValueRef::Blob(b) => Some(String::from_utf8_lossy(b).into_owned()),
    }
}
