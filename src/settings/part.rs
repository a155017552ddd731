//! Parts: the settings in one file, where every key is optional.

/// Declares a struct of optional keys that a later file can overlay.
macro_rules! part {
    (
        $(#[$meta:meta])*
        $name:ident { $( $(#[$field_meta:meta])* $field:ident : $type:ty ),* $(,)? }
    ) => {
        $(#[$meta])*
        #[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize, garde::Validate)]
        #[serde(deny_unknown_fields, default)]
        pub struct $name {
            $(
                $(#[$field_meta])*
                #[serde(skip_serializing_if = "Option::is_none")]
                pub $field: Option<$type>,
            )*
        }

        impl $name {
            /// Replaces each key that `over` sets.
            pub fn overlay(&mut self, over: $name) {
                $(
                    if over.$field.is_some() {
                        self.$field = over.$field;
                    }
                )*
            }
        }
    };
}

pub(crate) use part;
