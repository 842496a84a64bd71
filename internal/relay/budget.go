package relay

// RetryBudget is a token bucket that limits retries to a share of first tries.
type RetryBudget struct {
	Ratio float64 // retries per first try; 0 means defaultRetryRatio
	Saved float64 // retries that unused tokens can pay for; 0 means MaxRetryTokens

	tokens  float64
	started bool
}

const (
	defaultRetryRatio  = 0.1 // retries per first try
	initialRetryTokens = 3
)

// MaxRetryTokens is the number of retries that unused tokens can pay for.
const MaxRetryTokens = 10

// CountFirstTry counts a first try, which earns a share of a retry.
func (b *RetryBudget) CountFirstTry() {
	saved := b.Saved
	if saved == 0 {
		saved = MaxRetryTokens
	}
	if !b.started {
		b.started = true
		b.tokens = initialRetryTokens
	}
	ratio := b.Ratio
	if ratio == 0 {
		ratio = defaultRetryRatio
	}
	b.tokens = min(b.tokens+ratio, saved)
}

// TakeRetry spends one token on a retry; it returns false when none is left.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
