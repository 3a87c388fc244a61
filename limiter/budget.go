package limiter

const budgetBurst = 10

// TokenBudget is a token bucket that limits additional work to a ratio of calls.
// Each call adds a fraction of a token, each unit of additional work takes one
// token, and at most 10 tokens accumulate. Its zero value allows nothing.
type TokenBudget struct {
	// tokens is at most budgetBurst and never negative.
	tokens float64
	spent  int64
	denied int64
}

// Earn adds ratio, the fraction of a token for one call.
func (b *TokenBudget) Earn(ratio float64) { b.tokens = min(budgetBurst, b.tokens+ratio) }

// Spend takes a token for one unit of additional work and reports whether one was
// available.
func (b *TokenBudget) Spend() bool {
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.spent++
	return true
}

// Ready reports whether Spend would succeed.
func (b *TokenBudget) Ready() bool { return b.tokens >= 1 }

// Refund puts back a spent token because its work was not done.
func (b *TokenBudget) Refund() {
	b.tokens = min(budgetBurst, b.tokens+1)
	b.spent--
}

// Spent returns the number of tokens spent and the number of calls of Spend that
// were denied.
func (b *TokenBudget) Spent() (spent, denied int64) { return b.spent, b.denied }
