//! Finds the parts that two sequences share in the same order.

use std::collections::HashMap;
use std::collections::VecDeque;

/// For each item of `new`, the position of the equal item of `old` that it is kept from.
///
/// Equal items are paired in order, then the longest rising run of positions is kept. This takes
/// n log n steps for n items, where a general comparison takes n² in the worst case.
pub(super) fn shared(old: &[&str], new: &[&str]) -> Vec<Option<usize>> {
    let mut places: HashMap<&str, VecDeque<usize>> = HashMap::new();
    for (index, item) in old.iter().enumerate() {
        places.entry(item).or_default().push_back(index);
    }
    let mut paired: Vec<Option<usize>> = new
        .iter()
        .map(|item| places.get_mut(item).and_then(VecDeque::pop_front))
        .collect();
    let kept = rising(&paired);
    for (index, place) in paired.iter_mut().enumerate() {
        if !kept[index] {
            *place = None;
        }
    }
    paired
}

/// Marks a longest subsequence of rising numbers.
fn rising(numbers: &[Option<usize>]) -> Vec<bool> {
    // `ends[n]` is the index of the least number that ends a rising subsequence of n + 1 numbers.
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
