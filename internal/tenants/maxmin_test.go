package tenants

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Shares are checked against the definition of max-min fairness: no claim gets more than its demand,
// everything that is both demanded and available is given out, and a claim that gets less than its
// demand has at least as much in relation to its weight as any other claim.
func TestSharesAreMaxMinFair(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 2000 {
		claims := make([]Claim, 1+random.IntN(12))
		amount := 100 * random.Float64()
		demanded := 0.0
		for i := range claims {
			claims[i] = Claim{
				Weight: math.Pow(10, 4*random.Float64()-2),
				Demand: 50 * random.Float64() * float64(random.IntN(2)),
			}
			demanded += claims[i].Demand
		}
		given := 0.0
		best := 0.0
		shares := MaxMin(amount, claims)
		for i, share := range shares {
			given += share
			best = max(best, share/claims[i].Weight)
			if share > claims[i].Demand+1e-9 {
				t.Fatal("a share exceeds its demand: ", claims, shares)
			}
		}
		if math.Abs(given-min(amount, demanded)) > 1e-6 {
			t.Fatalf("got shares of %v in all, want the lesser of the amount %v and the demand %v", given, amount, demanded)
		}
		for i, share := range shares {
			if share < claims[i].Demand-1e-9 && share/claims[i].Weight < best-1e-6*best-1e-9 {
				t.Fatal("a claim has less than its demand, and less for its weight than another claim: ", claims, shares)
			}
		}
	}
}
