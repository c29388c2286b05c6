//! Finds a common subsequence of two section lists.

use std::collections::HashMap;
use std::collections::VecDeque;

/// Returns, for each item of `new`, the position of the matching item of `old`, if there is one.
///
/// The n-th occurrence of an item in `new` is paired with its n-th occurrence in `old`; then only
/// a longest increasing subsequence of the positions is kept. This takes O(n log n) time, whereas
/// the longest common subsequence takes O(n²) in the worst case.
pub(super) fn match_positions(old: &[&str], new: &[&str]) -> Vec<Option<usize>> {
    let mut places: HashMap<&str, VecDeque<usize>> = HashMap::new();
    for (index, item) in old.iter().enumerate() {
        places.entry(item).or_default().push_back(index);
    }
    let mut positions_in_old: Vec<Option<usize>> = new
        .iter()
        .map(|item| places.get_mut(item).and_then(VecDeque::pop_front))
        .collect();
    let kept = longest_increasing(&positions_in_old);
    for (index, position) in positions_in_old.iter_mut().enumerate() {
        if !kept[index] {
            *position = None;
        }
    }
    positions_in_old
}

/// Marks the members of a longest strictly increasing subsequence of `numbers`; `None` is skipped.
fn longest_increasing(numbers: &[Option<usize>]) -> Vec<bool> {
    // `ends[n]` is the index of the smallest number that ends an increasing subsequence of
    // n + 1 numbers.
    let mut ends: Vec<usize> = Vec::new();
    let mut before: Vec<Option<usize>> = vec![None; numbers.len()];
    for (index, number) in numbers.iter().enumerate() {
        if number.is_none() {
            continue;
        }
        let place = ends.partition_point(|end| numbers[*end] < *number);
        before[index] = place.checked_sub(1).map(|last| ends[last]);
        if place == ends.len() {
            ends.push(index);
        } else {
            ends[place] = index;
        }
    }
    let mut kept = vec![false; numbers.len()];
    let mut next = ends.last().copied();
    while let Some(index) = next {
        kept[index] = true;
        next = before[index];
    }
    kept
}
