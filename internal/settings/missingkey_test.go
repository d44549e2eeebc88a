package settings

import "fmt"

// A newer configuration that lacks a key of the running one is rejected, because it was truncated or
// written by mistake. Keys that are read only at a start may be missing.
func ExampleProcess_MissingKey() {
	running := Process{Text: []byte(`{"name": "n", "known": {}, "seed": "1", "settings": {"Limits": {"MostForwards": 3},
		"Operations": [{"Name": "a", "ClientTimeout": 5, "More": 1}, {"Name": "b", "ClientTimeout": 5}], "Dcs": ["x"]}}`)}
	for _, text := range []string{
		`{"name": "m", "settings": {"Limits": {"MostForwards": 2, "New": 1}, "Operations": [{"Name": "c", "ClientTimeout": 1}], "Dcs": []}}`,
		`{"settings": {"Limits": {"MostForwards": 2}, "Operations": [], "Dcs": []}}`,
		`{"name": "m", "settings": {"Limits": {}, "Operations": [], "Dcs": []}}`,
		`{"name": "m", "settings": {"Limits": {"MostForwards": 2}, "Operations": [{"Name": "c", "ClientTimeout": 1}, {"Name": "d"}], "Dcs": []}}`,
		`{"name": "m", "settings": {"Limits": 3, "Operations": [], "Dcs": []}}`,
		`{"name": "m", "settings": {"Limits": {"MostForwards": 2}, "Operations": [], "Dcs": "x"}}`,
	} {
		fmt.Println(running.MissingKey(Process{Text: []byte(text)}))
	}
	// Output:
	// <nil>
	// name: is missing, and the running configuration has it
	// settings.Limits.MostForwards: is missing, and the running configuration has it
	// settings.Operations[1].ClientTimeout: is missing, and the running configuration has it
	// settings.Limits: is missing, and the running configuration has it
	// settings.Dcs: is missing, and the running configuration has it
}
