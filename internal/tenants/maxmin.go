package tenants

import (
	"cmp"
	"slices"
)

// Claim is one tenant's claim to a shared resource. Demand is in the unit of the shared amount.
type Claim struct {
	Weight float64
	Demand float64
}

// MaxMin divides an amount among claims by weighted max-min fairness and returns the share of each.
// No claim gets more than its demand, and what it does not demand goes to the others. So a share can
// only be increased by decreasing another one that is smaller in relation to its weight. What exceeds
// the sum of all demands is not given out.
func MaxMin(amount float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	order := make([]int, len(claims))
	weights := 0.0
	for i, claim := range claims {
		order[i] = i
		weights += claim.Weight
	}
	// Demands that are smallest in relation to their weight are met first; the claims whose demand
	// can't be met divide the rest.
	slices.SortFunc(order, func(a, b int) int {
		byDemand := cmp.Compare(claims[a].Demand/claims[a].Weight, claims[b].Demand/claims[b].Weight)
		return cmp.Or(byDemand, cmp.Compare(a, b))
	})
	for _, i := range order {
		claim := claims[i]
		shares[i] = min(claim.Demand, amount*claim.Weight/max(weights, claim.Weight))
		amount -= shares[i]
		weights -= claim.Weight
	}
	return shares
}
