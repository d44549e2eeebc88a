package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// printError parses a text and prints the errors found.
func printError(text string) {
	_, err := Parse("day.toml", []byte(text))
	fmt.Println(err)
}

// Errors name the key and the line, whether they concern syntax, unknown keys or values.
func Example() {
	printError("version = 1\nname = \"x\"\nlength = \"20s\"\n[[operations]]\nname = \"render\"\nwork = \"10ms\"\nobjective = \"100ms\"\n")
	printError("version = 1\nlength = 20\n")
	printError("version = 1\nlength = \"20\"\n")
	printError("version = 1\nlenght = \"20s\"\n[schedulers]\ncuont = 3\n")
	printError("version = \n")
	printError(`version = 2
length = "20s"
zones = ["a", "a"]

[[workers]]
count = 3

[[workers]]
count = -1
cancels = "some"

[[operations]]
name = "render"
work = "10ms"
objective = "100ms"
effect = "harmless"

[load]
rate = 10.0
of = 0.5

[[troubles]]
kind = "hung"
share = 1.5

[[troubles]]
kind = "zone-lost"
zone = "c"
`)
	// Output:
	// <nil>
	// day.toml:2: length: 20ns is not between 1s and 24h0m0s
	// day.toml: operations: there are none
	// day.toml:2: length: time: missing unit in duration "20"
	// day.toml:2: lenght: no such key
	// day.toml:4: schedulers.cuont: no such key
	// day.toml:1: unexpected character U+000A at start of value
	// day.toml:1: version: 2 is not the version that is read here, which is 1
	// day.toml:3: zones: "a" is empty or there twice
	// day.toml:9: workers[1].count: -1 is not between 0 and 20000
	// day.toml:10: workers[1].cancels: "some" is none of none, queued, all
	// day.toml:16: operations[0].effect: "harmless" is none of idempotent, deduplicated, non-idempotent
	// day.toml:20: load.of: load.rate is set too: one of the two
	// day.toml:24: troubles[0].share: 1.5 is not between 0 and 1
	// day.toml:28: troubles[1].zone: "c" is none of a, a
}

// TestShippedScenariosAreValid checks that the scenarios in deploy/lab can be read.
func TestShippedScenariosAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/lab/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("got scenario files %q and error %v, want at least one file and no error", files, err)
	}
	for _, file := range files {
		if text, _ := os.ReadFile(file); len(text) == 0 || strings.HasSuffix(file, "-mapping.toml") {
			continue
		}
		if _, err := Read(file); err != nil {
			t.Error(err)
		}
	}
}
