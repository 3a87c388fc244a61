package limiter

const budgetBurst = 10

// Budget lets a share of calls be followed by extra work. Each call earns a
// share of a token, each piece of extra work spends a whole one, and at most
// ten tokens are saved up. Its zero value allows nothing.
type Budget struct {
	// tokens is at most budgetBurst and never negative.
	tokens float64
	spent  int64
	denied int64
}

// Earn adds the share that one call is worth.
func (b *Budget) Earn(share float64) { b.tokens = min(budgetBurst, b.tokens+share) }

// Spend takes a token for one piece of extra work, if there is one.
func (b *Budget) Spend() bool {
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.spent++
	return true
}

// Ready reports whether Spend would succeed.
func (b *Budget) Ready() bool { return b.tokens >= 1 }

// Refund gives back a token whose work was not done after all.
func (b *Budget) Refund() {
	b.tokens = min(budgetBurst, b.tokens+1)
	b.spent--
}

// Spent returns how many tokens were spent and how many were denied.
func (b *Budget) Spent() (spent, denied int64) { return b.spent, b.denied }
