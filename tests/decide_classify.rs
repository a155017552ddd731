//! Tests of statement classification.

use foxtailknot::decide::classify::{Class, classify};
use yare::parameterized;

#[parameterized(
    empty = { " ; ", Class::Empty },
    select = { "SELECT name FROM shades WHERE id = 1", Class::Read },
    comment_first = { "/* SELECT */ DELETE FROM shades", Class::Write },
    cte = { "WITH a AS (SELECT 1) SELECT * FROM a", Class::Read },
    writing_cte = { "WITH a AS (DELETE FROM t RETURNING id) SELECT * FROM a", Class::Write },
    locking = { "SELECT * FROM t FOR UPDATE", Class::Write },
    locking_inside = { "SELECT * FROM (SELECT * FROM t FOR SHARE) a", Class::Write },
    into = { "SELECT 1 INTO t", Class::Write },
    known_function = { "SELECT count(*), max(id) FROM t", Class::Read },
    unknown_function = { "SELECT place_order(7)", Class::Write },
    unknown_function_inside = { "SELECT * FROM t WHERE id = (SELECT nextval('s'))", Class::Write },
    session_lock = { "SELECT pg_advisory_lock(1)", Class::Session },
    insert = { "INSERT INTO t VALUES (1)", Class::Write },
    several = { "SELECT 1; INSERT INTO t VALUES (1)", Class::Write },
    several_reads = { "SELECT 1; SELECT 2", Class::Read },
    begin = { "begin;", Class::Begin },
    begin_read_only = { "BEGIN READ ONLY", Class::BeginReadOnly },
    start_read_only = { "START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY", Class::BeginReadOnly },
    commit = { "COMMIT", Class::Commit },
    commit_in_a_batch = { "INSERT INTO t VALUES (1); COMMIT", Class::Commit },
    rollback = { "ROLLBACK", Class::RollBack },
    savepoint = { "ROLLBACK TO SAVEPOINT a", Class::Write },
    own = { "SET foxtailknot.max_age_ms = 5", Class::Own },
    show_own = { "SHOW foxtailknot.session_token", Class::Own },
    set = { "SET application_name = 'a'", Class::Session },
    set_local = { "SET LOCAL application_name = 'a'", Class::Write },
    temporary = { "CREATE TEMPORARY TABLE t (id INT)", Class::Session },
    copy = { "COPY t FROM STDIN", Class::Copy },
    explain = { "EXPLAIN DELETE FROM t", Class::Read },
    explain_analyze = { "EXPLAIN ANALYZE DELETE FROM t", Class::Write },
    not_sql = { "PLEASE give me shades", Class::Write },
)]
fn classes(sql: &str, expected: Class) {
    assert_eq!(classify(sql), expected);
}
