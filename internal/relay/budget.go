package relay

// Budget bounds further tries to a share of first tries.
type Budget struct {
	tokens float64
	begun  bool
}

const (
	budgetShare = 0.1 // further tries per first try
	budgetBurst = 10  // further tries saved up
	budgetStart = 3
)

// First counts a first try.
func (b *Budget) First() {
	if !b.begun {
		b.begun = true
		b.tokens = budgetStart
	}
	b.tokens = min(b.tokens+budgetShare, budgetBurst)
}

// Retry takes one further try, or reports that none is left.
func (b *Budget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
