//! Suggestions for misspelt names.

/// Names longer than this are not compared, which bounds the work on hostile texts.
const LONGEST: usize = 64;
/// Only the first names are compared, for the same reason.
const MOST: usize = 2048;

/// The known name that is most similar to `name`, if any is known.
pub(crate) fn nearest<'a>(name: &str, known: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    if name.len() > LONGEST {
        return None;
    }
    known
        .into_iter()
        .take(MOST)
        .min_by_key(|candidate| strsim::damerau_levenshtein(name, candidate))
}
