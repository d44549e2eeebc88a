package tenants

import (
	"math"
	"math/rand/v2"
	"testing"
)

// Shares are checked against what defines them: no claim gets more than its demand, all that is
// demanded and available is given, and whoever gets less than its demand has as much for its
// weight as anybody.
func TestMaxMinSharesMeetTheirDefinition(t *testing.T) {
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
				t.Fatal("more than demanded: ", claims, shares)
			}
		}
		if math.Abs(given-min(amount, demanded)) > 1e-6 {
			t.Fatal(given, amount, demanded)
		}
		for i, share := range shares {
			if share < claims[i].Demand-1e-9 && share/claims[i].Weight < best-1e-6*best-1e-9 {
				t.Fatal("less than demanded, and less than another: ", claims, shares)
			}
		}
	}
}
