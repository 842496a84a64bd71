package quorum

// log holds the latest snapshot and the entries after it, in memory.
type log struct {
	snapshot Snapshot
	entries  []Entry // entries[i].Index == snapshot.Index+1+i
}

func (l *log) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.snapshot.Term
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term at the index; false when the index is compacted or
// beyond the end of the log.
func (l *log) term(index uint64) (uint64, bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.lastIndex():
		return 0, false
	default:
		return l.entries[index-l.snapshot.Index-1].Term, true
	}
}

func (l *log) entry(index uint64) Entry { return l.entries[index-l.snapshot.Index-1] }

// entriesFrom returns the entries from the index on, up to maxBytes but at least
// one; none when the index is beyond the end of the log.
func (l *log) entriesFrom(index uint64, maxBytes int) []Entry {
	if index > l.lastIndex() {
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

func sizeOf(entries []Entry) int {
	size := 0
	for _, entry := range entries {
		size += entry.size()
	}
	return size
}

// sizeFrom returns the bytes of the entries from the index on; those that are compacted
// count as none.
func (l *log) sizeFrom(index uint64) int {
	first := max(index, l.snapshot.Index+1)
	return sizeOf(l.entries[min(first-l.snapshot.Index-1, uint64(len(l.entries))):])
}

// merge adds the entries and returns those that are new. Entries that conflict
// with a new one, and all after them, are removed.
func (l *log) merge(entries []Entry) []Entry {
	for i, entry := range entries {
		if entry.Index <= l.snapshot.Index {
			continue
		}
		if term, found := l.term(entry.Index); found && term == entry.Term {
			continue
		}
		added := entries[i:]
		prefix := l.entries[: entry.Index-l.snapshot.Index-1 : entry.Index-l.snapshot.Index-1]
		l.entries = append(prefix, added...)
		return added
	}
	return nil
}

// compact drops the entries that the snapshot covers; when the log disagrees
// with the snapshot, it drops all.
func (l *log) compact(snapshot Snapshot) {
	if snapshot.Index <= l.snapshot.Index {
		return
	}
	var kept []Entry
	if term, found := l.term(snapshot.Index); found && term == snapshot.Term {
		kept = append(kept, l.entries[snapshot.Index-l.snapshot.Index:]...)
	}
	l.snapshot = snapshot
	l.entries = kept
}

// configAt returns the newest replica set at or before the index, and the index
// of its entry or snapshot.
func (l *log) configAt(index uint64) (Config, uint64) {
	for i := len(l.entries) - 1; i >= 0; i-- {
		entry := l.entries[i]
		if entry.Kind == EntryConfig && entry.Index <= index {
			return entry.Config, entry.Index
		}
	}
	return l.snapshot.Config, l.snapshot.Index
}

// upToDate reports whether a candidate's log, given by its last index and term,
// is at least as new as this one.
func (l *log) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
