package tenants

import (
	"cmp"
	"slices"
)

// Claim is one tenant's claim to a shared resource. Demand is in the unit of the amount shared.
type Claim struct {
	Weight float64
	Demand float64
}

// MaxMin divides an amount by weighted max-min fairness: no claim gets more than its demand, and
// what one leaves goes to the others. So no share can grow but at the cost of one that is smaller
// for its weight. What nobody demands is not given out.
func MaxMin(amount float64, claims []Claim) []float64 {
	shares := make([]float64, len(claims))
	order := make([]int, len(claims))
	weights := 0.0
	for i, claim := range claims {
		order[i] = i
		weights += claim.Weight
	}
	// The smallest demands for their weight are met first; those that can't be met divide the rest.
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
