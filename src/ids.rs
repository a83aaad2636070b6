//! Ids of the outside mapped to small indices at the door, and back on the way out.

use std::collections::BTreeMap;

/// Numbers things in the order in which they are first met.
///
/// ```
/// let mut servers = runloom::ids::Ids::default();
/// assert_eq!((servers.index(51530247), servers.index(7), servers.index(51530247)), (0, 1, 0));
/// assert_eq!(servers.outside(1), Some(&7));
/// assert_eq!(servers.known(&9), None);
/// ```
#[derive(Debug, Clone)]
pub struct Ids<T> {
    index: BTreeMap<T, usize>,
    outside: Vec<T>,
}

impl<T> Default for Ids<T> {
    fn default() -> Self {
        Ids { index: BTreeMap::new(), outside: Vec::new() }
    }
}

impl<T: Ord + Clone> Ids<T> {
    /// The index of an id, given out now if the id is new.
    pub fn index(&mut self, id: T) -> usize {
        if let Some(&index) = self.index.get(&id) {
            return index;
        }
        self.outside.push(id.clone());
        self.index.insert(id, self.outside.len() - 1);
        self.outside.len() - 1
    }

    /// The index of an id that was met before.
    pub fn known<Q: Ord + ?Sized>(&self, id: &Q) -> Option<usize>
    where
        T: std::borrow::Borrow<Q>,
    {
        self.index.get(id).copied()
    }

    /// The id behind an index.
    pub fn outside(&self, index: usize) -> Option<&T> {
        self.outside.get(index)
    }
}
