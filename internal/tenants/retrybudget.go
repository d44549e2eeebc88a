package tenants

const (
	// initialRetryBudget is how many retries a new tenant may make before first attempts have earned
	// any, so that a tenant with little traffic can retry at all.
	initialRetryBudget = 10
	// maxRetryBudget is how many unused retries a tenant can accumulate.
	maxRetryBudget = 100
)

// retryBudgetSpent reports whether the tenant's retries are limited and its budget does not allow one
// more.
func (a *Account) retryBudgetSpent() bool {
	return a.limits.RetryRatio != nil && a.retryBudget < 1
}

// chargeRetryBudget updates the budget for an admitted invocation: a retry takes 1 from it, and a
// first attempt adds the retry ratio to it.
func (a *Account) chargeRetryBudget(isRetry bool) {
	switch {
	case isRetry:
		a.retryBudget--
		a.usage.Retries++
	case a.limits.RetryRatio != nil:
		a.retryBudget = min(a.retryBudget+*a.limits.RetryRatio, maxRetryBudget)
	}
}
