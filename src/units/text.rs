//! Names in documents: teams, endpoints, hosts, domains, pools, kinds and templates.

use std::borrow::Cow;
use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use schemars::Schema;
use schemars::SchemaGenerator;
use schemars::json_schema;
use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Pattern of a name in the JSON schemas.
pub const NAME_PATTERN: &str = "^[A-Za-z0-9._-]{1,64}$";

/// Error for a text that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NameError {
    text: SmolStr,
}

impl fmt::Display for NameError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "\"{}\" is not a name: use 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, '-', '_' and '.'",
            self.text
        )
    }
}

impl std::error::Error for NameError {}

fn checked_name(text: &str) -> Result<SmolStr, NameError> {
    let fits = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'));
    if fits && plain {
        Ok(SmolStr::new(text))
    } else {
        let shown: String = text.chars().take(MAX_NAME_BYTES).collect();
        Err(NameError {
            text: SmolStr::new(shown),
        })
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(SmolStr);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl JsonSchema for $name {
            fn inline_schema() -> bool {
                true
            }

            fn schema_name() -> Cow<'static, str> {
                stringify!($name).into()
            }

            fn json_schema(_: &mut SchemaGenerator) -> Schema {
                json_schema!({ "type": "string", "pattern": NAME_PATTERN })
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                checked_name(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.into()
            }
        }
    };
}

name_type!(
    /// Name of a team, to which requests are charged.
    TeamName
);
name_type!(
    /// Name of an endpoint: a model engine or an instance of a plain service.
    EndpointName
);
name_type!(
    /// Name of a host that runs one router.
    HostName
);
name_type!(
    /// Name of a failure domain.
    DomainName
);
name_type!(
    /// Name of a pool: endpoints that can all run the same requests.
    PoolName
);
name_type!(
    /// Name of a kind of request, such as `review` or `tag`.
    KindName
);
name_type!(
    /// Name of a team template.
    TemplateName
);

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_are_checked() {
        assert!("nadi-clinic".parse::<TeamName>().is_ok());
        assert!("".parse::<TeamName>().is_err());
        assert!("a b".parse::<TeamName>().is_err());
        assert!("x".repeat(MAX_NAME_BYTES + 1).parse::<TeamName>().is_err());
    }
}
