package settings

import "fmt"

// Numbers out of range and values of the wrong type are rejected, and no part of such settings is
// applied.
func Example_numericSettings() {
	for _, settings := range []string{
		`"PeersTotal":1000000000`, `"PeersTotal":-3`, `"MyNumber":70000`, `"PeersTotal":2.5`,
		`"ExcessBilledValue":-0.1`, `"ExcessBilledValue":2`, `"ResultMix":{"Whole":-1}`, `"ResultMix":{"WorstClass":1e300}`,
		`"Prices":{"Peer":-0.01}`, `"Prices":{"Peer":"dear"}`, `"Tenants":{"a":1}`, `"Limits":{"Peers":"yes"}`,
		`"Tenants":[{"Name":"a","Fraction":0.6},{"Name":"a","Fraction":0.4}]`,
		`"Tenants":[{"Name":"a","Fraction":0.6},{"Name":"b","Fraction":0.6}]`,
		`"Tenants":[{"Name":"a","Fraction":0.334},{"Name":"b","Fraction":0.334},{"Name":"c","Fraction":0.334}]`,
		`"Tenants":[{"Name":"a","Fraction":-0.6}]`, `"Tenants":[{"Name":"a","QuotaPerS":-5}]`,
		`"Tenants":[{"Name":"a","QuotaPerS":NaN}]`,
		`"Operations":[{"Name":"x","Effect":"read_like","LateBilledValue":1.5}]`,
		`"Operations":[{"Name":"x","Effect":"read_like","BilledValue":-1}]`,
	} {
		d, err := ParseDeployment([]byte(`{` + settings + `}`))
		fmt.Println(err, len(d.Operations)+len(d.Tenants))
	}
	// Output:
	// settings: PeersTotal: 1e+09 is over 65536 0
	// <nil> 0
	// settings: MyNumber: 70000 is over 65535 0
	// settings: PeersTotal: a int is wanted there, not a number 2.5 0
	// settings: ExcessBilledValue: -0.1 is below 0 0
	// settings: ExcessBilledValue: 2 is over 1 0
	// settings: ResultMix.Whole: -1 is below 0 0
	// settings: ResultMix.WorstClass: 1e+300 is over 1e+12 0
	// settings: Prices.Peer: -0.01 is below 0 0
	// settings: Prices.Peer: a float64 is wanted there, not a string 0
	// settings: Tenants: a []struct { Name string; QuotaPerS float64; Fraction float64 } is wanted there, not a object 0
	// settings: Limits.Peers: a bool is wanted there, not a string 0
	// settings: Tenants[1].Name: "a" is there twice 0
	// settings: Tenants: their Fractions add up to 1.2, more than the whole 0
	// <nil> 3
	// settings: Tenants[0].Fraction: -0.6 is below 0 0
	// settings: Tenants[0].QuotaPerS: -5 is below 0 0
	// settings: invalid character 'N' looking for beginning of value 0
	// settings: Operations[0].LateBilledValue: 1.5 is over 1 0
	// settings: Operations[0].BilledValue: -1 is below 0 0
}
