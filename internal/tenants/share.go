package tenants

import (
	"cmp"
	"slices"
)

// Want is one tenant's claim to something that is shared.
type Claim struct{ Weight, Demand float64 }

// MaxMin shares an amount out by weight: nobody gets more than it wants, and what one leaves the others have. So no share can
// grow but at the cost of one that is smaller for its weight. What nobody wants stays.
func MaxMin(amount float64, wants []Claim) []float64 {
	shares, order, weights := make([]float64, len(wants)), make([]int, len(wants)), 0.0
	for i, w := range wants {
		order[i] = i
		weights += w.Weight
	}
	// Those that want least for their weight are satisfied first; whoever can't be has the even rest.
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(wants[a].Demand/wants[a].Weight, wants[b].Demand/wants[b].Weight), cmp.Compare(a, b))
	})
	for _, i := range order {
		w := wants[i]
		shares[i] = min(w.Demand, amount*w.Weight/max(weights, w.Weight))
		amount, weights = amount-shares[i], weights-w.Weight
	}
	return shares
}
