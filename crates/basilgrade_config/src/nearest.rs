//! Suggests corrections for misspelt names.

/// The longest name that is compared, in bytes; bounds the work on hostile texts.
const MAX_NAME_BYTES: usize = 64;
/// The largest number of known names that are compared; bounds the work on hostile texts.
const MAX_CANDIDATES: usize = 2048;

/// Returns the known name with the smallest Damerau-Levenshtein distance to `name`.
///
/// `None` if `known` is empty or `name` is longer than [`MAX_NAME_BYTES`].
pub(crate) fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    if name.len() > MAX_NAME_BYTES {
        return None;
    }
    known
        .into_iter()
        .take(MAX_CANDIDATES)
        .min_by_key(|candidate| strsim::damerau_levenshtein(name, candidate))
}
