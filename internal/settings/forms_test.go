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

// respell returns a JSON value with its keys spelt differently.
func respell(value any, spell func(string) string) any {
	switch value := value.(type) {
	case map[string]any:
		respelt := map[string]any{}
		for key, member := range value {
			respelt[spell(key)] = respell(member, spell)
		}
		return respelt
	case []any:
		for i := range value {
			value[i] = respell(value[i], spell)
		}
	}
	return value
}

// spellings returns a text as it is, and with its keys in lower and in upper case.
func spellings(t *testing.T, text []byte) [][]byte {
	t.Helper()
	all := [][]byte{text}
	for _, spell := range []func(string) string{strings.ToLower, strings.ToUpper} {
		var value any
		if err := json.Unmarshal(text, &value); err != nil {
			t.Fatal(err)
		}
		respelt, err := json.Marshal(respell(value, spell))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, respelt)
	}
	return all
}

func goldenKeys[T any](t *testing.T, name string) {
	t.Helper()
	want := golden.Filled[T](t)
	text, err := json.MarshalIndent(want, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	for _, spelling := range spellings(t, golden.Compare(t, name, text)) {
		var got T
		if err := decode(spelling, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
}

// Each key of the settings and of the tenants' part is decoded, in any case, into its recorded
// place.
func TestGoldenKeys(t *testing.T) {
	goldenKeys[deploymentFile](t, "site.json")
	goldenKeys[tenancyFile](t, "tenancy.json")
}

// Each key of a scheduler's configuration is parsed, in any case, into its recorded place.
func TestGoldenProcess(t *testing.T) {
	text, err := os.ReadFile("testdata/node.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, spelling := range spellings(t, text) {
		got, err := ParseProcess(spelling, emptyEnv)
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
			Text: spelling,
		}
		equalAddresses := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
		if diff := cmp.Diff(want, got, equalAddresses, cmp.AllowUnexported(Deployment{})); diff != "" {
			t.Error(diff)
		}
		isKnown := strings.ToLower(endpoints.String()) == `[{"endpoint":"127.0.0.1:1"}]`
		if !isKnown || got.Deployment.Operations[0] != "render" {
			t.Error(endpoints.String(), got.Deployment.Operations)
		}
	}
}

// visitWrongForms calls a function with the path of each value, while a value of another form is in
// its place.
func visitWrongForms(value any, path string, visit func(path string)) {
	list, _ := value.([]any)
	for i, entry := range list {
		visitWrongForms(entry, fmt.Sprintf("%s[%d]", path, i), visit)
	}
	object, _ := value.(map[string]any)
	for _, key := range slices.Sorted(maps.Keys(object)) {
		memberPath := path + "/" + key
		member := object[key]
		visitWrongForms(member, memberPath, visit)
		if _, isObject := member.(map[string]any); isObject {
			object[key] = 3
		} else {
			object[key] = map[string]any{}
		}
		visit(memberPath)
		object[key] = member
	}
}

// The error of a value of the wrong form names the key and the wanted form, as recorded.
func TestGoldenWrongForms(t *testing.T) {
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
		visitWrongForms(value, "", func(path string) {
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
