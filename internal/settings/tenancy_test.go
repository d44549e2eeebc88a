package settings

import (
	"slices"
	"strings"
	"testing"
)

const tenancyProcess = `{"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {"sockets": 400},
	"settings": {"Discovery": "ask"},
	"tenants": {"dir": "/d", "api": "127.0.0.1:3", "room": 80, "administrators": [{"name": "ops", "role": "operate",
	"sha256": "0000000000000000000000000000000000000000000000000000000000000000"}]}}`

func TestTenancyIsParsed(t *testing.T) {
	p, err := ParseProcess([]byte(tenancyProcess), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	if !p.Tenants.Enabled() || p.Tenants.MaxInFlight != 80 || !p.Tenants.Administrators[0].Operate {
		t.Fatalf("got tenancy %+v, want it enabled with 80 invocations in flight and an operator", p.Tenants)
	}
}

func TestInvalidTenancyIsRejectedByKey(t *testing.T) {
	second := `0000"}, {"name": "ops", "role": "read", "sha256": "` + strings.Repeat("1", 64) + `"}]`
	for _, c := range []struct{ replaced, by, key string }{
		{replaced: `"dir": "/d", `, by: ``, key: "tenants.dir"},
		{replaced: `"room": 80`, by: `"room": 0`, key: "tenants.room"},
		{replaced: `"room": 80`, by: `"room": 101`, key: "tenants.room"},
		{replaced: `"room": 80`, by: `"room": "many"`, key: "tenants.room"},
		{replaced: `"room": 80`, by: `"excess_value": 2`, key: "tenants.excess_value"},
		{replaced: `127.0.0.1:3`, by: `here`, key: "tenants.api"},
		{replaced: `"role": "operate"`, by: `"role": "all"`, key: "tenants.administrators[0].role"},
		{replaced: `"name": "ops"`, by: `"name": "Ops"`, key: "tenants.administrators[0].name"},
		{replaced: `0000"}`, by: `000"}`, key: "tenants.administrators[0].sha256"},
		{replaced: `0000"}`, by: `000x"}`, key: "tenants.administrators[0].sha256"},
		{replaced: `0000"}]`, by: second, key: "tenants.administrators[1].name"},
		{
			replaced: `"Discovery": "ask"`,
			by:       `"Tenants": [{"Name": "a", "Fraction": 1, "QuotaPerS": 1}]`,
			key:      "tenants: settings.Tenants",
		},
	} {
		if !strings.Contains(tenancyProcess, c.replaced) {
			t.Fatalf("the base configuration does not contain %q", c.replaced)
		}
		text := strings.Replace(tenancyProcess, c.replaced, c.by, 1)
		_, err := ParseProcess([]byte(text), emptyEnv)
		if err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("error does not name %s: %v", c.key, err)
		}
	}
}

func TestTenancyIsAppliedAtAStart(t *testing.T) {
	running, err := ParseProcess([]byte(tenancyProcess), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	newer, err := ParseProcess([]byte(strings.Replace(tenancyProcess, "80", "90", 1)), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	if keys := running.StartOnlyChanges(newer); !slices.Equal(keys, []string{"tenants"}) {
		t.Errorf("got start-only changes %v, want [tenants]", keys)
	}
}
