package peerrpc

const (
	smallMessageBytes = 4 << 10  // messages from this size on are bulk
	maxBulkBytes      = 40 << 20 // queued and unacknowledged, to one peer
	maxSmallBytes     = 1 << 20  // queued and unacknowledged, to one peer
)

// backlog holds the estimated bytes that are queued and unacknowledged. Small messages
// have a bound of their own, so that heartbeats pass when bulk has filled its bound.
type backlog struct{ small, bulk int }

// add adds a message, and returns false if it does not fit. Bulk fits whatever its size
// when there is no other.
func (b *backlog) add(bytes int) bool {
	switch {
	case bytes < smallMessageBytes && b.small+bytes <= maxSmallBytes:
		b.small += bytes
	case bytes >= smallMessageBytes && (b.bulk == 0 || b.bulk+bytes <= maxBulkBytes):
		b.bulk += bytes
	default:
		return false
	}
	return true
}

func (b *backlog) remove(bytes int) {
	if bytes < smallMessageBytes {
		b.small -= bytes
		return
	}
	b.bulk -= bytes
}
