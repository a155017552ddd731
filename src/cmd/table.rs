//! Tables on a terminal.

/// Prints rows under headings, each column as wide as its widest cell.
pub fn print(headings: &[&str], rows: &[Vec<String>]) {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(String::len).max().unwrap_or(0);
        widest.max(headings[column].len())
    };
    let widths: Vec<usize> = (0..headings.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let padded = cells.iter().zip(&widths);
        let padded: Vec<String> = padded.map(|(cell, w)| format!("{cell:<w$}")).collect();
        println!("{}", padded.join("  ").trim_end());
    };
    line(headings.to_vec());
    for row in rows {
        line(row.iter().map(String::as_str).collect());
    }
}
