//! Catches panics of the Parquet library; no other panic of a library is caught.
//!
//! The library asserts on damaged lengths and offsets (`ByteArray::decode`, `ColumnChunkMetaData::byte_range`)
//! instead of returning an error. A file without a checksum can't be verified before the library decodes it, and one
//! damaged byte must not end the program that reads it.

use std::any::Any;
use std::cell::Cell;
use std::panic::{self, AssertUnwindSafe};
use std::sync::Once;

thread_local! {
    /// Whether a panic of this thread would be caught, and so must not be reported by the panic hook.
    static IS_CONTAINING: Cell<bool> = const { Cell::new(false) };
}

static SILENCE_CONTAINED_PANICS: Once = Once::new();

/// Calls `decode` and returns its result, or the panic message as an error. On a panic, all state of `decode` is
/// dropped.
pub(super) fn contain_panic<T>(decode: impl FnOnce() -> T) -> Result<T, String> {
    SILENCE_CONTAINED_PANICS.call_once(silence_contained_panics);
    let was_containing = IS_CONTAINING.replace(true);
    let result = panic::catch_unwind(AssertUnwindSafe(decode));
    IS_CONTAINING.set(was_containing);
    result.map_err(|payload| panic_message(payload.as_ref()))
}

/// Installs a panic hook that ignores the caught panics and passes all others to the previous hook.
fn silence_contained_panics() {
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        if !IS_CONTAINING.get() {
            report(info);
        }
    }));
}

fn panic_message(payload: &(dyn Any + Send)) -> String {
    let text = payload.downcast_ref::<&str>().map(|text| text.to_string());
    let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
    text.unwrap_or_else(|| "panic without a message".into())
}
