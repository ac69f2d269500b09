/*!
Name types: one for each type of object that has a name, and one each for the names of routes, kinds
of request, callers and operators and for the tags of operators' requests.

Distinct types prevent a region's name from being passed where a failure domain's is expected. All
name types are serialized as plain text. Clones of a name share its text, because a set may have
hundreds of thousands of caller blocks that refer to a few thousand callers.
*/

use {
    serde::{Deserialize, Serialize},
    std::{fmt, sync::Arc},
};

macro_rules! name_type {
    ($type:ident, $what:literal) => {
        #[doc = concat!("The name of ", $what, ".")]
        #[derive(
            Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        pub struct $type(Arc<str>);

        impl $type {
            /// Creates a name from its text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }
    };
}

name_type!(RegionName, "a region");
name_type!(DomainName, "a failure domain");
name_type!(InstanceName, "an instance of this system");
name_type!(LinkName, "a link between two regions");
name_type!(ServiceName, "a service");
name_type!(RouteName, "a route");
name_type!(KindName, "a kind of request within a service");
name_type!(TargetName, "a target");
name_type!(LimitName, "a limit");
name_type!(DrainName, "a planned drain");
name_type!(CallerName, "a caller");
name_type!(OperatorName, "an operator");
name_type!(RequestTag, "one operator request, chosen by its sender and reused when it is resent");

/// The version of a published set: zero before the first publication, and one higher with each
/// publication. In audit records, also the version of a route table, which its operator chooses.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// Returns the next version.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
