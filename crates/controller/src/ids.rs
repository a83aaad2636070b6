//! Ids of the outside mapped to small indices at the door, and back on the way out.

use std::collections::BTreeMap;

/// Numbers things in the order in which they are first met; numbers that were released are given out anew.
///
/// ```
/// let mut servers = runloom_controller::ids::Ids::default();
/// assert_eq!((servers.index(51530247), servers.index(7), servers.index(51530247)), (0, 1, 0));
/// assert_eq!(servers.outside(1), Some(&7));
/// assert_eq!(servers.known(&9), None);
/// servers.release(0);
/// assert_eq!((servers.known(&51530247), servers.outside(0)), (None, None));
/// assert_eq!(servers.index(8), 0);
/// ```
#[derive(Debug, Clone)]
pub struct Ids<T> {
    index: BTreeMap<T, usize>,
    outside: Vec<Option<T>>,
    free: Vec<usize>,
}

impl<T> Default for Ids<T> {
    fn default() -> Self {
        Ids { index: BTreeMap::new(), outside: Vec::new(), free: Vec::new() }
    }
}

impl<T: Ord + Clone> Ids<T> {
    /// The index of an id, given out now if the id is new.
    pub fn index(&mut self, id: T) -> usize {
        if let Some(&index) = self.index.get(&id) {
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.outside.push(None);
            self.outside.len() - 1
        });
        self.outside[index] = Some(id.clone());
        self.index.insert(id, index);
        index
    }

    /// Gives an index back, for another id to have: where ids are replaced all day, their sum stays bounded.
    pub fn release(&mut self, index: usize) {
        if let Some(id) = self.outside.get_mut(index).and_then(Option::take) {
            self.index.remove(&id);
            self.free.push(index);
        }
    }

    /// The ids met and not released, with their indices.
    pub fn iter(&self) -> impl Iterator<Item = (&T, usize)> {
        self.index.iter().map(|(id, index)| (id, *index))
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
        self.outside.get(index)?.as_ref()
    }
}

/// A line of the decisions' log with the server's name in place of its number, which people do not know and
/// which, once given back, may be another's.
///
/// ```
/// let name = |server: usize| (server == 4).then(|| "s-77".to_string());
/// assert_eq!(runloom_controller::ids::named("server 4 Withdrawn: all", name), "server s-77 Withdrawn: all");
/// assert_eq!(runloom_controller::ids::named("server 5 Withdrawn", name), "server 5 Withdrawn");
/// ```
pub fn named(text: &str, name: impl Fn(usize) -> Option<String>) -> String {
    let mut words = text.splitn(3, ' ');
    let told = match (words.next(), words.next().and_then(|n| n.parse().ok()), words.next()) {
        (Some("server"), Some(server), Some(rest)) => {
            name(server).map(|name| format!("server {name} {rest}"))
        }
        _ => None,
    };
    told.unwrap_or_else(|| text.to_string())
}
