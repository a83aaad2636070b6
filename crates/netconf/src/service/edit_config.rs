//! `<edit-config>`, `<copy-config>` and `<validate>` (RFC 6241, sections 7.2, 7.3 and 8.6.4.1).

use super::datastore::{empty_datastore, read_datastore, Datastore};
use super::{ok, Change, EditLookup, Host, ReplyContent, Request, Service};
use crate::edit::{apply, EditOutcome, ErrorOption, Operation};
use crate::error::{RpcError, Tag};
use crate::tree::Element;
use std::sync::Arc;

/// `<test-option>`: whether the edit is applied. The value `set` has the same effect as `test-then-set`, because the
/// tests before an edit cannot be skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TestOption {
    TestThenSet,
    TestOnly,
}

/// The parameters of `<edit-config>` other than `<config>`.
struct EditOptions {
    target: Datastore,
    default_operation: Operation,
    test_option: TestOption,
    error_option: ErrorOption,
}

impl EditOptions {
    fn read(operation: &Element, target: Datastore) -> Result<EditOptions, Vec<RpcError>> {
        let default_operation = match operation.text_of("default-operation").unwrap_or("merge") {
            "merge" => Operation::Merge,
            "replace" => Operation::Replace,
            "none" => Operation::None,
            _ => return Err(unknown_value("default-operation")),
        };
        let test_option = match operation.text_of("test-option").unwrap_or("test-then-set") {
            "test-then-set" | "set" => TestOption::TestThenSet,
            "test-only" => TestOption::TestOnly,
            _ => return Err(unknown_value("test-option")),
        };
        // stop-on-error also rolls back: the edit is applied completely or not at all.
        let error_option = match operation.text_of("error-option").unwrap_or("stop-on-error") {
            "stop-on-error" | "rollback-on-error" => ErrorOption::StopOnError,
            "continue-on-error" => ErrorOption::ContinueOnError,
            _ => return Err(unknown_value("error-option")),
        };
        Ok(EditOptions { target, default_operation, test_option, error_option })
    }
}

fn unknown_value(parameter: &'static str) -> Vec<RpcError> {
    let error = RpcError::protocol(Tag::InvalidValue, format!("<{parameter}> has an unknown value"));
    vec![error.with_info("bad-element", parameter)]
}

/// Whether this edit was accepted before, by its edit-id. Fails if the id was used for another edit.
pub(super) fn is_repeated(request: &Request, content: &str, host: &dyn Host) -> Result<bool, Vec<RpcError>> {
    match request.edit_id.map(|id| host.lookup_edit(id, content)) {
        None | Some(EditLookup::New) => Ok(false),
        Some(EditLookup::Repeated) => Ok(true),
        Some(EditLookup::Conflicting) => {
            let error = RpcError::application(Tag::OperationFailed, "this edit-id stands for another edit");
            Err(vec![error.with_app_tag("edit-id-reused").with_info("bad-attribute", "edit-id")])
        }
    }
}

impl Service {
    pub(super) fn validate(&mut self, operation: &Element, host: &mut dyn Host) -> ReplyContent {
        let contents = self.source_contents(operation, host)?;
        host.validate_datastore(&contents)?;
        ok()
    }

    pub(super) fn edit_config(&mut self, request: &Request, host: &mut dyn Host) -> ReplyContent {
        self.take_edit_token(request)?;
        let operation = request.operation;
        let target = read_datastore(operation, "target")?;
        self.check_unlocked(target, request.session)?;
        let options = EditOptions::read(operation, target)?;
        let Some(config) = operation.child("config") else {
            let error = RpcError::protocol(Tag::MissingElement, "<config> is missing");
            return Err(vec![error.with_info("bad-element", "config")]);
        };
        let content = operation.to_text();
        if target == Datastore::Running && is_repeated(request, &content, host)? {
            return ok();
        }
        let EditOutcome { tree, errors } = self.apply_edit(&options, config, host);
        if !errors.is_empty() && options.error_option == ErrorOption::StopOnError {
            return Err(errors);
        }
        self.store_edit(request, &options, &content, tree, host)?;
        if errors.is_empty() {
            ok()
        } else {
            Err(errors)
        }
    }

    fn apply_edit(&self, options: &EditOptions, config: &Element, host: &dyn Host) -> EditOutcome {
        if options.default_operation == Operation::Replace {
            // RFC 6241, section 7.2: the default operation `replace` replaces the complete datastore.
            let base = empty_datastore();
            return apply(&self.schema, &base, config, Operation::Merge, options.error_option);
        }
        let base = self.contents(options.target, host);
        apply(&self.schema, &base, config, options.default_operation, options.error_option)
    }

    fn store_edit(
        &mut self,
        request: &Request,
        options: &EditOptions,
        content: &str,
        datastore: Arc<Element>,
        host: &mut dyn Host,
    ) -> Result<(), Vec<RpcError>> {
        if options.test_option == TestOption::TestOnly {
            return host.validate_datastore(&datastore);
        }
        match options.target {
            Datastore::Candidate => {
                self.candidate = Some(datastore);
                Ok(())
            }
            Datastore::Running => self.commit_running(request, content, &datastore, host),
        }
    }

    fn commit_running(
        &self,
        request: &Request,
        content: &str,
        datastore: &Arc<Element>,
        host: &mut dyn Host,
    ) -> Result<(), Vec<RpcError>> {
        self.check_no_confirmed_commit(request.session)?;
        let Request { client, edit_id, .. } = *request;
        host.commit(&Change { client, edit_id, content, datastore, rollback_to: None })
    }

    pub(super) fn copy_config(&mut self, request: &Request, host: &mut dyn Host) -> ReplyContent {
        self.take_edit_token(request)?;
        let operation = request.operation;
        let target = read_datastore(operation, "target")?;
        self.check_unlocked(target, request.session)?;
        let datastore = self.source_contents(operation, host)?;
        if target == Datastore::Candidate {
            self.candidate = Some(datastore);
            return ok();
        }
        let content = operation.to_text();
        if !is_repeated(request, &content, host)? {
            self.commit_running(request, &content, &datastore, host)?;
        }
        ok()
    }
}
