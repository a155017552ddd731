//! Classification of SQL statements by parsing.

use sqlparser::{
    ast::{
        self, Expr, Function, Query, SetExpr, Statement, TransactionAccessMode, TransactionMode,
        Visit, Visitor,
    },
    dialect::PostgreSqlDialect,
    parser::Parser,
};
use std::ops::ControlFlow;

/// Functions that only read and leave no state in the session.
const PURE_FUNCTIONS: &[&str] = &[
    "abs",
    "avg",
    "ceil",
    "coalesce",
    "concat",
    "count",
    "date_trunc",
    "extract",
    "floor",
    "greatest",
    "least",
    "left",
    "length",
    "lower",
    "max",
    "min",
    "now",
    "nullif",
    "position",
    "replace",
    "right",
    "round",
    "row_number",
    "rank",
    "string_agg",
    "array_agg",
    "json_agg",
    "jsonb_agg",
    "substr",
    "substring",
    "sum",
    "to_char",
    "to_date",
    "to_timestamp",
    "trim",
    "upper",
    "version",
    "current_database",
    "current_schema",
    "pg_sleep",
    "generate_series",
    "pg_is_in_recovery",
    "random",
];

/// Class of a statement, from the least to the most demanding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// An empty statement; needs no member.
    Empty,
    /// Only reads committed data.
    Read,
    /// Begins a read-only transaction.
    BeginReadOnly,
    /// Begins a transaction that may write.
    Begin,
    /// May write.
    Write,
    /// Ends a transaction by committing it.
    Commit,
    /// Ends a transaction by rolling it back.
    RollBack,
    /// Sets or shows one of foxtailknot's own parameters.
    Own,
    /// Changes session state that outlives a transaction.
    Session,
    /// Copies data in or out.
    Copy,
}

/// Classifies the text of a simple query or of a prepared statement.
///
/// A text that the parser rejects counts as a write, so that the primary
/// reports the error.
pub fn classify(sql: &str) -> Class {
    if let Some(class) = classify_simple(sql) {
        return class;
    }
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return Class::Write;
    };
    let classes = statements.iter().map(class_of);
    classes.max().unwrap_or(Class::Empty)
}

/// Recognizes short and frequent statements without the parser.
fn classify_simple(sql: &str) -> Option<Class> {
    let text = sql.trim().trim_end_matches(';');
    if text.is_empty() {
        return Some(Class::Empty);
    }
    let is = |word: &str| text.eq_ignore_ascii_case(word);
    if is("BEGIN") || is("START TRANSACTION") {
        return Some(Class::Begin);
    }
    if is("COMMIT") || is("END") {
        return Some(Class::Commit);
    }
    if is("ROLLBACK") || is("ABORT") {
        return Some(Class::RollBack);
    }
    let first = text.split_whitespace().next()?;
    let word = |w: &str| first.eq_ignore_ascii_case(w);
    if word("DISCARD") || word("LISTEN") || word("UNLISTEN") || word("RESET") {
        return Some(Class::Session);
    }
    if word("COPY") {
        return Some(Class::Copy);
    }
    if word("SHOW") || word("SET") {
        return Some(class_of_set(text));
    }
    None
}

fn class_of_set(text: &str) -> Class {
    let lower = text.to_lowercase();
    if lower.contains("foxtailknot.") {
        return Class::Own;
    }
    if lower.starts_with("show") {
        return Class::Read;
    }
    if lower.starts_with("set local") || lower.starts_with("set transaction") {
        return Class::Write;
    }
    Class::Session
}

fn class_of(statement: &Statement) -> Class {
    match statement {
        Statement::Query(query) => class_of_query(query),
        Statement::StartTransaction { modes, .. } => class_of_begin(modes),
        Statement::Commit { .. } => Class::Commit,
        Statement::Rollback {
            savepoint: None, ..
        } => Class::RollBack,
        Statement::Copy { .. } => Class::Copy,
        Statement::Set(_) | Statement::Discard { .. } => Class::Session,
        Statement::LISTEN { .. } | Statement::UNLISTEN { .. } => Class::Session,
        Statement::Prepare { .. } | Statement::Deallocate { .. } => Class::Session,
        Statement::Execute { .. } | Statement::Declare { .. } => Class::Session,
        Statement::CreateTable(table) if table.temporary => Class::Session,
        Statement::Explain {
            analyze: false,
            statement,
            ..
        } => class_of(statement).min(Class::Read),
        _ => Class::Write,
    }
}

fn class_of_begin(modes: &[TransactionMode]) -> Class {
    let read_only = TransactionMode::AccessMode(TransactionAccessMode::ReadOnly);
    match modes.contains(&read_only) {
        true => Class::BeginReadOnly,
        false => Class::Begin,
    }
}

fn class_of_query(query: &Query) -> Class {
    let mut finder = WriteFinder { takes_lock: false };
    match query.visit(&mut finder) {
        ControlFlow::Break(class) => class,
        ControlFlow::Continue(()) => Class::Read,
    }
}

struct WriteFinder {
    takes_lock: bool,
}

impl Visitor for WriteFinder {
    type Break = Class;

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<Class> {
        self.takes_lock |= !query.locks.is_empty();
        let writes = matches!(
            *query.body,
            SetExpr::Insert(_) | SetExpr::Update(_) | SetExpr::Delete(_) | SetExpr::Merge(_)
        );
        let selects_into = matches!(&*query.body, SetExpr::Select(select) if select.into.is_some());
        if writes || selects_into || self.takes_lock {
            return ControlFlow::Break(Class::Write);
        }
        ControlFlow::Continue(())
    }

    fn pre_visit_statement(&mut self, _statement: &Statement) -> ControlFlow<Class> {
        ControlFlow::Break(Class::Write)
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<Class> {
        match expr {
            Expr::Function(function) => class_of_function(function),
            _ => ControlFlow::Continue(()),
        }
    }
}

fn class_of_function(function: &Function) -> ControlFlow<Class> {
    let ast::ObjectName(parts) = &function.name;
    let name = parts.last().map(ToString::to_string).unwrap_or_default();
    let name = name.to_lowercase();
    if PURE_FUNCTIONS.contains(&name.as_str()) {
        return ControlFlow::Continue(());
    }
    if name.contains("advisory") && !name.contains("xact") {
        return ControlFlow::Break(Class::Session);
    }
    ControlFlow::Break(Class::Write)
}
