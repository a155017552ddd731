//! What the tests share.

/// Names each case of a check: `check: name(arguments), ...`.
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
