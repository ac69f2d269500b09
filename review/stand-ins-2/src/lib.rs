//! Shared parts of the second review's checks: the project's own stand-ins and the record.

#[path = "../../../platform/tests/common/mod.rs"]
pub mod common;
pub mod record;
pub mod silent_proxy;
