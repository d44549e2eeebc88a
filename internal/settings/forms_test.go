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

// respell spells the keys of a JSON value otherwise; none of them is a map's.
func respell(v any, spell func(string) string) any {
	switch v := v.(type) {
	case map[string]any:
		all := map[string]any{}
		for key, inner := range v {
			all[spell(key)] = respell(inner, spell)
		}
		return all
	case []any:
		for i := range v {
			v[i] = respell(v[i], spell)
		}
	}
	return v
}

// spellings are a text as it is, and with its keys in lower and in upper case.
func spellings(t *testing.T, text []byte) (all [][]byte) {
	t.Helper()
	all = append(all, text)
	for _, spell := range []func(string) string{strings.ToLower, strings.ToUpper} {
		var v any
		if err := json.Unmarshal(text, &v); err != nil {
			t.Fatal(err)
		}
		other, err := json.Marshal(respell(v, spell))
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, other)
	}
	return all
}

func goldenKeys[T any](t *testing.T, name string) {
	t.Helper()
	wanted := golden.Filled[T](t)
	text, err := json.MarshalIndent(wanted, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	for _, spelt := range spellings(t, golden.Compare(t, name, text)) {
		var got T
		if err := decode(spelt, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(wanted, got); diff != "" {
			t.Error(diff)
		}
	}
}

// Each key of the settings and of the tenants' part is read, in any case, into the place that it is read into now.
func TestGoldenKeys(t *testing.T) {
	goldenKeys[site](t, "site.json")
	goldenKeys[tenancy](t, "tenancy.json")
}

// Each key of a scheduler's configuration is read, in any case, into the place that it is read into now.
func TestGoldenNode(t *testing.T) {
	text, err := os.ReadFile("testdata/node.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, spelt := range spellings(t, text) {
		n, err := ParseProcess(spelt, none)
		if err != nil {
			t.Fatal(err)
		}
		var known bytes.Buffer
		if err := json.Compact(&known, n.CachedEndpoints); err != nil {
			t.Fatal(err)
		}
		hash := strings.Repeat("5a", 32)
		wanted := Process{Name: "n1", Listen: "127.0.0.1:9000", Discovery: "127.0.0.1:8500", Admin: "127.0.0.1:9100", Seed: 0x1c1f30d27a5be964,
			MemoryMB: 300, Sockets: 4000, CachedEndpoints: known.Bytes(),
			Peers:   []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:7001"), netip.MustParseAddrPort("127.0.0.1:7002")},
			Tenants: Tenancy{Dir: "/var/tenants", API: "127.0.0.1:9200", MaxInFlight: 700, ExcessValue: 0.25, Administrators: []Administrator{{"ops", true, hash}}}}
		n.CachedEndpoints, wanted.Text, wanted.Deployment = known.Bytes(), spelt, n.Deployment
		if diff := cmp.Diff(wanted, n, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }), cmp.AllowUnexported(Deployment{})); diff != "" {
			t.Error(diff)
		}
		if strings.ToLower(known.String()) != `[{"endpoint":"127.0.0.1:1"}]` || n.Deployment.Operations[0] != "render" {
			t.Error(known.String(), n.Deployment.Operations)
		}
	}
}

// wrongly calls with the path of each value, having put one of another form in its place.
func wrongly(v any, path string, look func(path string)) {
	for i, entry := range asList(v) {
		wrongly(entry, fmt.Sprintf("%s[%d]", path, i), look)
	}
	object, _ := v.(map[string]any)
	for _, key := range slices.Sorted(maps.Keys(object)) {
		at, before := path+"/"+key, object[key]
		wrongly(before, at, look)
		if object[key] = any(map[string]any{}); isObject(before) {
			object[key] = 3
		}
		look(at)
		object[key] = before
	}
}

func asList(v any) []any { list, _ := v.([]any); return list }

func isObject(v any) bool { _, is := v.(map[string]any); return is }

// A value of the wrong form is told by the key and the form that it has now.
func TestGoldenWrong(t *testing.T) {
	var lines strings.Builder
	for _, file := range []string{"node.json", "site.json"} {
		text, err := os.ReadFile("testdata/" + file)
		if err != nil {
			t.Fatal(err)
		}
		var v any
		if err := json.Unmarshal(text, &v); err != nil {
			t.Fatal(err)
		}
		wrongly(v, "", func(path string) {
			changed, err := json.Marshal(v)
			if err != nil {
				t.Fatal(err)
			}
			if file == "node.json" {
				_, err = ParseProcess(changed, none)
			} else {
				_, err = ParseDeployment(changed)
			}
			fmt.Fprintf(&lines, "%s %s: %v\n", file, path, err)
		})
	}
	_, err := ParseProcess([]byte("3"), none)
	fmt.Fprintln(&lines, err)
	_, err = ParseDeployment([]byte("3"))
	fmt.Fprintln(&lines, err)
	golden.Compare(t, "wrong.txt", []byte(lines.String()))
}
