//! A two-way map between external names and small indices.

use std::collections::BTreeMap;

/// Assigns indices to names in the order in which they are first seen; released indices are assigned again.
///
/// ```
/// let mut servers = runloom_controller::IdMap::default();
/// assert_eq!((servers.index(51530247), servers.index(7), servers.index(51530247)), (0, 1, 0));
/// assert_eq!(servers.name(1), Some(&7));
/// assert_eq!(servers.get(&9), None);
/// servers.release(0);
/// assert_eq!((servers.get(&51530247), servers.name(0)), (None, None));
/// assert_eq!(servers.index(8), 0);
/// ```
#[derive(Debug, Clone)]
pub struct IdMap<T> {
    index: BTreeMap<T, usize>,
    names: Vec<Option<T>>,
    free: Vec<usize>,
}

impl<T> Default for IdMap<T> {
    fn default() -> Self {
        IdMap { index: BTreeMap::new(), names: Vec::new(), free: Vec::new() }
    }
}

impl<T: Ord + Clone> IdMap<T> {
    /// The index of a name, assigned now if the name is new.
    pub fn index(&mut self, name: T) -> usize {
        if let Some(&index) = self.index.get(&name) {
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.names.push(None);
            self.names.len() - 1
        });
        self.names[index] = Some(name.clone());
        self.index.insert(name, index);
        index
    }

    /// Releases an index for reuse by another name, so that the map stays bounded however often names are
    /// replaced. An index without a name is ignored.
    pub fn release(&mut self, index: usize) {
        if let Some(name) = self.names.get_mut(index).and_then(Option::take) {
            self.index.remove(&name);
            self.free.push(index);
        }
    }

    /// All assigned names with their indices, in the order of the names.
    pub fn iter(&self) -> impl Iterator<Item = (&T, usize)> {
        self.index.iter().map(|(name, index)| (name, *index))
    }

    /// The index of a name; `None` if it has none.
    pub fn get<Q: Ord + ?Sized>(&self, name: &Q) -> Option<usize>
    where
        T: std::borrow::Borrow<Q>,
    {
        self.index.get(name).copied()
    }

    /// The name of an index; `None` if the index is not assigned.
    pub fn name(&self, index: usize) -> Option<&T> {
        self.names.get(index)?.as_ref()
    }
}
