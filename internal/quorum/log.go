package quorum

// log is the tail of entries after the latest snapshot, in memory.
type log struct {
	snapshot Snapshot
	entries  []Entry // entries[i].Index == snapshot.Index+1+i
}

func (l *log) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.snapshot.Term
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term at the index, and false when the index is not held.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.last():
		return 0, false
	default:
		return l.entries[index-l.snapshot.Index-1].Term, true
	}
}

func (l *log) at(index uint64) Entry { return l.entries[index-l.snapshot.Index-1] }

// from returns entries from the index on, up to the bytes but at least one.
func (l *log) from(index uint64, maxBytes int) []Entry {
	if index > l.last() {
		return nil
	}
	tail := l.entries[index-l.snapshot.Index-1:]
	size := 0
	for i, entry := range tail {
		size += entry.size()
		if i > 0 && size > maxBytes {
			return tail[:i:i]
		}
	}
	return tail[:len(tail):len(tail)]
}

// merge adds entries that follow index prev and returns those that are new;
// a conflicting tail is cut.
func (l *log) merge(entries []Entry) []Entry {
	for i, entry := range entries {
		if entry.Index <= l.snapshot.Index {
			continue
		}
		if term, held := l.term(entry.Index); held && term == entry.Term {
			continue
		}
		fresh := entries[i:]
		kept := l.entries[: entry.Index-l.snapshot.Index-1 : entry.Index-l.snapshot.Index-1]
		l.entries = append(kept, fresh...)
		return fresh
	}
	return nil
}

// compact drops the entries that the snapshot covers.
func (l *log) compact(snapshot Snapshot) {
	if snapshot.Index <= l.snapshot.Index {
		return
	}
	var kept []Entry
	if term, held := l.term(snapshot.Index); held && term == snapshot.Term {
		kept = append(kept, l.entries[snapshot.Index-l.snapshot.Index:]...)
	}
	l.snapshot = snapshot
	l.entries = kept
}

// config returns the newest replica set at or before the index.
func (l *log) config(index uint64) (Config, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		entry := l.entries[i]
		if entry.Kind == EntryConfig && entry.Index <= index {
			return entry.Config, entry.Index
		}
	}
	return l.snapshot.Config, l.snapshot.Index
}

// upToDate reports whether a candidate's log is at least as new as this one.
func (l *log) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
