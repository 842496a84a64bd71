package ledger

// Fence is the place of a closure of a failure domain among all that were proposed in a
// term. A leader takes a closure only with the fence that it gave out last, so that a copy
// of an order that arrives late is told from the orders that followed. The zero value is of
// a leader or proposer of an older version, which uses none.
type Fence struct {
	Term   uint64
	Number uint64 // closures of failure domains that the leader has taken in the term
}
