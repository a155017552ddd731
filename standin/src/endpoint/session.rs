//! Session of one connection, with its transaction state.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::sync::{Mutex, OwnedMutexGuard};

use super::{
    LogEntry, Member, Role, Statement,
    engine::{self, Rows},
    functions,
};

const UNRESPONSIVE_POLL: Duration = Duration::from_millis(20);

/// An error with its SQLSTATE.
#[derive(Debug)]
pub struct SqlError {
    /// SQLSTATE.
    pub code: &'static str,
    /// Human-readable message.
    pub message: String,
}

impl SqlError {
    /// Creates an error.
    pub fn new(code: &'static str, message: impl Into<String>) -> SqlError {
        SqlError {
            code,
            message: message.into(),
        }
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> SqlError {
        let text = error.to_string();
        let code = match &error {
            rusqlite::Error::SqliteFailure(e, _)
                if e.code == rusqlite::ErrorCode::ConstraintViolation =>
            {
                "23505"
            }
            _ if text.contains("no such table") => "42P01",
            _ => "42601",
        };
        SqlError::new(code, text)
    }
}

/// Result of one statement.
#[derive(Debug)]
pub enum Answer {
    /// Rows.
    Rows(Rows),
    /// Command tag and, for tags that have one, a row count.
    Done(String, Option<usize>),
    /// A transaction began.
    Begin,
    /// A transaction ended, with its tag.
    End(String),
}

#[derive(Default)]
struct Transaction {
    is_open: bool,
    has_failed: bool,
    is_read_only: bool,
    write_guard: Option<OwnedMutexGuard<()>>,
    statements: Vec<Statement>,
}

/// State of one connection.
pub struct Session {
    /// Member that serves the connection.
    pub member: Arc<Member>,
    transaction: Mutex<Transaction>,
    connection_generation: u64,
    is_proxy_connection: AtomicBool,
}

impl Session {
    /// Creates the session of a new connection.
    pub fn new(member: Arc<Member>) -> Session {
        let generation = *member.connection_generation.borrow();
        Session {
            connection_generation: generation,
            member,
            transaction: Mutex::default(),
            is_proxy_connection: AtomicBool::new(false),
        }
    }

    /// Counts this connection among those from foxtailknot.
    pub fn count_proxy_connection(&self) {
        self.is_proxy_connection.store(true, Ordering::Relaxed);
        let open = self.member.open_connections.fetch_add(1, Ordering::Relaxed) + 1;
        self.member
            .peak_connections
            .fetch_max(open, Ordering::Relaxed);
    }

    /// Splits a simple query into statements.
    pub fn split_statements(&self, query: &str) -> Vec<String> {
        if !query.trim_end().trim_end_matches(';').contains(';') {
            return vec![query.trim().trim_end_matches(';').to_owned()];
        }
        sqlparser::parser::Parser::parse_sql(&sqlparser::dialect::PostgreSqlDialect {}, query)
            .map(|list| list.iter().map(ToString::to_string).collect())
            .unwrap_or_else(|_| vec![query.to_owned()])
    }

    /// Parameter count and columns of a statement.
    ///
    /// # Errors
    ///
    /// Returns SQLite's error for a statement that it can't prepare.
    pub fn describe(&self, sql: &str) -> Result<(usize, Vec<(String, bool)>), SqlError> {
        if let Some(columns) = functions::columns(sql) {
            return Ok((0, columns));
        }
        if control_keyword(sql).is_some() {
            return Ok((0, Vec::new()));
        }
        let state = self.member.state();
        let prepared = state.committed.prepare_cached(sql);
        match prepared {
            Ok(p) => Ok((p.parameter_count(), engine::columns(&p))),
            Err(_) => {
                let p = state.working.prepare_cached(sql)?;
                Ok((p.parameter_count(), engine::columns(&p)))
            }
        }
    }

    /// Runs one statement.
    ///
    /// # Errors
    ///
    /// Returns an error with its SQLSTATE.
    pub async fn run(&self, statement: Statement) -> Result<Answer, SqlError> {
        if let Some(answer) = functions::run(&self.member, &statement.sql).await {
            return answer;
        }
        while self.member.is_unresponsive.load(Ordering::Relaxed) {
            tokio::time::sleep(UNRESPONSIVE_POLL).await;
        }
        let mut transaction = self.transaction.lock().await;
        match control_keyword(&statement.sql) {
            Some("BEGIN" | "START") => return Ok(self.begin(&mut transaction, &statement.sql)),
            Some("COMMIT" | "END") => return self.commit(&mut transaction),
            Some("ROLLBACK" | "ABORT") => {
                self.roll_back(&mut transaction);
                return Ok(Answer::End("ROLLBACK".into()));
            }
            Some(word) => return Ok(Answer::Done(word.into(), None)),
            None => {}
        }
        if transaction.has_failed {
            return Err(SqlError::new("25P02", "current transaction is aborted"));
        }
        let answer = self.run_data_statement(&mut transaction, statement).await;
        transaction.has_failed = transaction.is_open && answer.is_err();
        answer
    }

    async fn run_data_statement(
        &self,
        transaction: &mut Transaction,
        statement: Statement,
    ) -> Result<Answer, SqlError> {
        if self.is_proxy_connection.load(Ordering::Relaxed) {
            self.member.statements.fetch_add(1, Ordering::Relaxed);
        }
        if self.is_read(&statement.sql, transaction.write_guard.is_some())? {
            let state = self.member.state();
            let db = match transaction.write_guard {
                Some(_) => &state.working,
                None => &state.committed,
            };
            return Ok(Answer::Rows(engine::query(db, &statement)?));
        }
        if transaction.is_read_only {
            return Err(SqlError::new("25006", "the transaction is read-only"));
        }
        self.check_primary()?;
        if transaction.write_guard.is_none() {
            transaction.write_guard = Some(self.member.write_lock.clone().lock_owned().await);
            self.check_primary()?;
            if transaction.is_open {
                self.member.state().working.execute_batch("BEGIN")?;
            }
        }
        let answer = self.write(&statement);
        if answer.is_ok() {
            transaction.statements.push(statement);
        }
        if !transaction.is_open {
            let committed = answer.is_ok();
            let statements = std::mem::take(&mut transaction.statements);
            if committed {
                self.append_to_log(statements)?;
            }
            transaction.write_guard = None;
        }
        answer
    }

    fn write(&self, statement: &Statement) -> Result<Answer, SqlError> {
        let state = self.member.state();
        let upper = statement.sql.trim_start().to_uppercase();
        if upper.contains(" RETURNING ") {
            return Ok(Answer::Rows(engine::query(&state.working, statement)?));
        }
        let count = engine::execute(&state.working, statement)?;
        let word = upper
            .split_whitespace()
            .next()
            .unwrap_or_default()
            .to_owned();
        Ok(match word.as_str() {
            "INSERT" => Answer::Done("INSERT 0".into(), Some(count)),
            "UPDATE" | "DELETE" => Answer::Done(word, Some(count)),
            _ => Answer::Done(word, None),
        })
    }

    fn append_to_log(&self, statements: Vec<Statement>) -> Result<(), SqlError> {
        let mut state = self.member.state();
        if state.role != Role::Primary
            || *self.member.connection_generation.borrow() != self.connection_generation
        {
            return Err(SqlError::new("57P01", "this member no longer leads"));
        }
        let term = state.term;
        self.member
            .commit(&mut state, LogEntry { term, statements });
        Ok(())
    }

    fn begin(&self, transaction: &mut Transaction, sql: &str) -> Answer {
        transaction.is_open = true;
        transaction.is_read_only = sql.to_uppercase().contains("READ ONLY");
        Answer::Begin
    }

    fn commit(&self, transaction: &mut Transaction) -> Result<Answer, SqlError> {
        if transaction.has_failed {
            self.roll_back(transaction);
            return Ok(Answer::End("ROLLBACK".into()));
        }
        let result = match transaction.write_guard {
            Some(_) => {
                let statements = std::mem::take(&mut transaction.statements);
                let _ = self.member.state().working.execute_batch("COMMIT");
                self.append_to_log(statements)
            }
            None => Ok(()),
        };
        *transaction = Transaction::default();
        result.map(|()| Answer::End("COMMIT".into()))
    }

    fn roll_back(&self, transaction: &mut Transaction) {
        let state = self.member.state();
        if transaction.write_guard.is_some() && !state.working.is_autocommit() {
            let _ = state.working.execute_batch("ROLLBACK");
        }
        *transaction = Transaction::default();
    }

    fn is_read(&self, sql: &str, in_write_transaction: bool) -> Result<bool, SqlError> {
        let state = self.member.state();
        let db = if in_write_transaction {
            &state.working
        } else {
            &state.committed
        };
        Ok(db.prepare_cached(sql)?.readonly())
    }

    fn check_primary(&self) -> Result<(), SqlError> {
        match self.member.state().role {
            Role::Primary => Ok(()),
            Role::Replica => Err(SqlError::new(
                "25006",
                "cannot execute a write in a read-only transaction",
            )),
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if let Ok(mut transaction) = self.transaction.try_lock() {
            self.roll_back(&mut transaction);
        }
        if self.is_proxy_connection.load(Ordering::Relaxed) {
            self.member.open_connections.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Keyword of a statement that is handled here and not run on SQLite.
fn control_keyword(sql: &str) -> Option<&'static str> {
    const WORDS: [&str; 10] = [
        "BEGIN",
        "START",
        "COMMIT",
        "END",
        "ROLLBACK",
        "ABORT",
        "SET",
        "RESET",
        "DISCARD",
        "DEALLOCATE",
    ];
    let first = sql.split_whitespace().next()?;
    let first = first.trim_end_matches(';');
    WORDS.into_iter().find(|w| w.eq_ignore_ascii_case(first))
}
