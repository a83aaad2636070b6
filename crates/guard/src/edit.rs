//! Edits of operators, judged before they are accepted. What the feed tells is no wish but what is, and is not
//! refused; what follows from it is judged order by order.

/// A server as an edit would have it.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    pub name: String,
    pub draining: bool,
    pub warm: bool,
    pub weight: f64,
}

/// Why an edit is refused: the servers that it takes out, of which some has to stay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EmptiedPool {
    pub takes: Vec<String>,
}

/// Judges an edit by the servers before and after it: an open server that is warm has to be left wherever there
/// was one, else any open one. One under a millionth of the greatest weight is as good as none.
pub fn judge(before: &[Seen], after: &[Seen]) -> Result<(), EmptiedPool> {
    let open = |seen: &[Seen], warm: bool| -> Vec<String> {
        let most = seen.iter().map(|s| s.weight).fold(0.0, f64::max);
        let fit = |s: &&Seen| {
            !s.draining && (s.warm || !warm) && s.weight > 0.0 && s.weight >= most * crate::LEAST_PART
        };
        seen.iter().filter(fit).map(|s| s.name.clone()).collect()
    };
    for warm in [true, false] {
        let was = open(before, warm);
        if !was.is_empty() && open(after, warm).is_empty() {
            return Err(EmptiedPool { takes: was });
        }
    }
    Ok(())
}
