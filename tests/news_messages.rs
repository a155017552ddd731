//! News that another build of this program, or another program, sends.

use foxtailknot::news::TableNews;
use yare::parameterized;

fn news(rows: &str, packed_rows: &str) -> TableNews {
    let text = format!(
        "{{\"page\":{{\"after\":null,\"era\":0,\"version\":5,\"rows\":[{rows}]}},\"age_ms\":0{packed_rows}}}"
    );
    serde_json::from_str(&text).unwrap()
}

#[test]
fn rows_of_a_build_that_compresses_none_are_read() {
    let row = r#"{"key":"config","value":"eA==","version":5,"is_removed":false}"#;
    let page = news(row, "").into_page().unwrap();
    assert_eq!(page.rows.len(), 1);
}

/// A malformed message must not end the process, nor be taken for an empty table.
#[parameterized(
    no_base64 = { "!" },
    not_compressed = { "bm90IGNvbXByZXNzZWQ=" },
    no_rows = { "eJwDAAAAAAE=" },
    cut_off = { "eJyLjg==" },
)]
fn malformed_rows_are_refused(packed: &str) {
    let news = news("", &format!(",\"packed_rows\":\"{packed}\""));
    assert!(news.into_page().is_err());
}
