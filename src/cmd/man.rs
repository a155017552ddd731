//! `foxtailknot man`.

use bpaf::doc::Section;

use super::{error::Result, tool::tool_args};

/// Prints the manual page.
///
/// # Errors
///
/// Never fails.
pub fn run() -> Result<()> {
    let page = tool_args().render_manpage(
        "foxtailknot",
        Section::General,
        None,
        None,
        Some("foxtailknot manual"),
    );
    print!("{page}");
    Ok(())
}
