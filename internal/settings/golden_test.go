package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"stoatweir/internal/golden"
)

// mapKeys returns a JSON value with all its object keys replaced by mapKey. It modifies lists in place.
func mapKeys(value any, mapKey func(string) string) any {
	switch value := value.(type) {
	case map[string]any:
		mapped := map[string]any{}
		for key, member := range value {
			mapped[mapKey(key)] = mapKeys(member, mapKey)
		}
		return mapped
	case []any:
		for i := range value {
			value[i] = mapKeys(value[i], mapKey)
		}
	}
	return value
}

// keyCaseVariants returns a JSON text unchanged, with lower-case keys and with upper-case keys.
func keyCaseVariants(t *testing.T, text []byte) [][]byte {
	t.Helper()
	variants := [][]byte{text}
	for _, mapKey := range []func(string) string{strings.ToLower, strings.ToUpper} {
		var value any
		if err := json.Unmarshal(text, &value); err != nil {
			t.Fatal(err)
		}
		variant, err := json.Marshal(mapKeys(value, mapKey))
		if err != nil {
			t.Fatal(err)
		}
		variants = append(variants, variant)
	}
	return variants
}

// compareGoldenKeys compares the JSON text of a T with the golden text of the given name, and checks
// that each case variant of the golden text decodes into the same T.
func compareGoldenKeys[T any](t *testing.T, name string) {
	t.Helper()
	want := golden.Filled[T](t)
	text, err := json.MarshalIndent(want, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	for _, variant := range keyCaseVariants(t, golden.Compare(t, name, text)) {
		var got T
		if err := decode(variant, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("decoded value (-want +got):\n%s", diff)
		}
	}
}

// Each key of the settings and of the tenants section, in any letter case, is decoded into the field
// that the golden text records.
func TestGoldenKeys(t *testing.T) {
	compareGoldenKeys[deploymentFile](t, "site.json")
	compareGoldenKeys[tenancyFile](t, "tenancy.json")
}

// Each key of a process's configuration, in any letter case, is parsed into the expected field.
func TestGoldenProcess(t *testing.T) {
	text, err := os.ReadFile("testdata/node.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, variant := range keyCaseVariants(t, text) {
		got, err := ParseProcess(variant, emptyEnv)
		if err != nil {
			t.Fatal(err)
		}
		var endpoints bytes.Buffer
		if err := json.Compact(&endpoints, got.CachedEndpoints); err != nil {
			t.Fatal(err)
		}
		got.CachedEndpoints = endpoints.Bytes()
		want := Process{
			Name:            "n1",
			Listen:          "127.0.0.1:9000",
			Discovery:       "127.0.0.1:8500",
			Admin:           "127.0.0.1:9100",
			Seed:            0x1c1f30d27a5be964,
			MemoryMB:        300,
			Sockets:         4000,
			CachedEndpoints: endpoints.Bytes(),
			Peers: []netip.AddrPort{
				netip.MustParseAddrPort("127.0.0.1:7001"),
				netip.MustParseAddrPort("127.0.0.1:7002"),
			},
			Deployment: got.Deployment,
			Tenants: Tenancy{
				Dir:         "/var/tenants",
				API:         "127.0.0.1:9200",
				MaxInFlight: 700,
				ExcessValue: 0.25,
				Administrators: []Administrator{
					{Name: "ops", Operate: true, Hash: strings.Repeat("5a", 32)},
				},
			},
			Text: variant,
		}
		equalAddresses := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
		if diff := cmp.Diff(want, got, equalAddresses, cmp.AllowUnexported(Deployment{})); diff != "" {
			t.Errorf("process (-want +got):\n%s", diff)
		}
		endpointsMatch := strings.ToLower(endpoints.String()) == `[{"endpoint":"127.0.0.1:1"}]`
		if !endpointsMatch || got.Deployment.Operations[0] != "render" {
			t.Error("cached endpoints or operations:", endpoints.String(), got.Deployment.Operations)
		}
	}
}

// visitWrongTypes replaces each object member in turn by a value of another type, calls visit with
// the path of the member and then restores the member.
func visitWrongTypes(value any, path string, visit func(path string)) {
	list, _ := value.([]any)
	for i, entry := range list {
		visitWrongTypes(entry, fmt.Sprintf("%s[%d]", path, i), visit)
	}
	object, _ := value.(map[string]any)
	for _, key := range slices.Sorted(maps.Keys(object)) {
		memberPath := path + "/" + key
		member := object[key]
		visitWrongTypes(member, memberPath, visit)
		if _, isObject := member.(map[string]any); isObject {
			object[key] = 3
		} else {
			object[key] = map[string]any{}
		}
		visit(memberPath)
		object[key] = member
	}
}

// The error for a value of the wrong type names the key and the expected type, as in the golden text.
func TestGoldenWrongTypeErrors(t *testing.T) {
	parseProcess := func(text []byte) error {
		_, err := ParseProcess(text, emptyEnv)
		return err
	}
	parseDeployment := func(text []byte) error {
		_, err := ParseDeployment(text)
		return err
	}
	var lines strings.Builder
	for _, c := range []struct {
		file  string
		parse func([]byte) error
	}{
		{file: "node.json", parse: parseProcess},
		{file: "site.json", parse: parseDeployment},
	} {
		text, err := os.ReadFile("testdata/" + c.file)
		if err != nil {
			t.Fatal(err)
		}
		var value any
		if err := json.Unmarshal(text, &value); err != nil {
			t.Fatal(err)
		}
		visitWrongTypes(value, "", func(path string) {
			changed, err := json.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&lines, "%s %s: %v\n", c.file, path, c.parse(changed))
		})
	}
	fmt.Fprintln(&lines, parseProcess([]byte("3")))
	fmt.Fprintln(&lines, parseDeployment([]byte("3")))
	golden.Compare(t, "wrong.txt", []byte(lines.String()))
}
