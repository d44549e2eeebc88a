package tenants

const (
	// initialRetryBudget is how many retries a tenant has beside its ratio, so that one with
	// little traffic can retry at all.
	initialRetryBudget = 10
	// maxRetryBudget is how many retries a tenant can save up.
	maxRetryBudget = 100
)

// retryBudgetSpent reports whether the tenant's limits leave no room for one more retry.
func (a *Account) retryBudgetSpent() bool {
	return a.limits.RetryRatio != nil && a.retryBudget < 1
}

// chargeRetryBudget counts an admitted invocation: a retry spends of the budget, a first attempt
// earns the ratio.
func (a *Account) chargeRetryBudget(isRetry bool) {
	switch {
	case isRetry:
		a.retryBudget--
		a.usage.Retries++
	case a.limits.RetryRatio != nil:
		a.retryBudget = min(a.retryBudget+*a.limits.RetryRatio, maxRetryBudget)
	}
}
