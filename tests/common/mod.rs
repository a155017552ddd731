//! Helpers shared by the integration tests.

/// Defines one test for each case of a check function: `check: name(arguments), ...`.
#[macro_export]
macro_rules! named_cases {
    ($check:ident: $($name:ident($($argument:expr),* $(,)?)),* $(,)?) => {
        $(
            #[test]
            fn $name() {
                $check($($argument),*);
            }
        )*
    };
}

pub use named_cases as cases;
