package relay

// RetryBudget bounds further tries to a share of first tries.
type RetryBudget struct {
	Ratio float64 // further tries per first try; 0 means the usual share

	tokens float64
	begun  bool
}

const (
	budgetShare = 0.1 // further tries per first try
	budgetBurst = 10  // further tries saved up
	budgetStart = 3
)

// CountFirstTry counts a first try.
func (b *RetryBudget) CountFirstTry() {
	if !b.begun {
		b.begun = true
		b.tokens = budgetStart
	}
	share := b.Ratio
	if share == 0 {
		share = budgetShare
	}
	b.tokens = min(b.tokens+share, budgetBurst)
}

// TakeRetry takes one further try, or reports that none is left.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
