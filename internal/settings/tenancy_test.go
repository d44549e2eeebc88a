package settings

import (
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/tenants"
)

const tenantNode = `{"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {"sockets": 400}, "settings": {"Discovery": "ask"},
	"tenants": {"dir": "/d", "api": "127.0.0.1:3", "room": 80, "administrators": [{"name": "ops", "role": "operate",
	"sha256": "0000000000000000000000000000000000000000000000000000000000000000"}]}}`

// What can't hold is refused by its key; without the key nothing is hosted.
func TestTenancy(t *testing.T) {
	none := func(string) string { return "" }
	n, err := ParseProcess([]byte(tenantNode), none)
	if err != nil || !n.Tenants.Enabled() || n.Tenants.MaxInFlight != 80 || !n.Tenants.Administrators[0].Operate {
		t.Fatal(err, n.Tenants)
	}
	for _, c := range [][3]string{
		{`"dir": "/d", `, ``, "tenants.dir"},
		{`"room": 80`, `"room": 0`, "tenants.room"},
		{`"room": 80`, `"room": 101`, "tenants.room"},
		{`"room": 80`, `"room": "many"`, "tenants.room"},
		{`"room": 80`, `"excess_value": 2`, "tenants.excess_value"},
		{`127.0.0.1:3`, `here`, "tenants.api"},
		{`"role": "operate"`, `"role": "all"`, "tenants.administrators[0].role"},
		{`"name": "ops"`, `"name": "Ops"`, "tenants.administrators[0].name"},
		{`0000"}`, `000"}`, "tenants.administrators[0].sha256"},
		{`0000"}`, `000x"}`, "tenants.administrators[0].sha256"},
		{`0000"}]`, `0000"}, {"name": "ops", "role": "read", "sha256": "` + strings.Repeat("1", 64) + `"}]`, "tenants.administrators[1].name"},
		{`"Discovery": "ask"`, `"Tenants": [{"Name": "a", "Fraction": 1, "QuotaPerS": 1}]`, "tenants: settings.Tenants"},
	} {
		if !strings.Contains(tenantNode, c[0]) {
			t.Fatal(c[0])
		}
		if _, err := ParseProcess([]byte(strings.Replace(tenantNode, c[0], c[1], 1)), none); err == nil || !strings.Contains(err.Error(), c[2]) {
			t.Error(c[2], "not named: ", err)
		}
	}
	other, _ := ParseProcess([]byte(strings.Replace(tenantNode, "80", "90", 1)), none)
	if keys := n.StartOnlyChanges(other); len(keys) != 1 || keys[0] != "tenants" {
		t.Error(keys)
	}
}

// Tenants' operations stand beside the site's own under their handles, and what a tenant claims of value orders its own alone.
func TestHosting(t *testing.T) {
	site, err := ParseDeployment([]byte(`{"Operations": [{"Name": "own", "Effect": "read_like", "LatencyObjective": 1}]}`))
	if err != nil {
		t.Fatal(err)
	}
	op := func(name, effect string, value float64) tenants.Operation {
		return tenants.Operation{Name: name, Effect: effect, LatencyObjectiveS: 0.5, ClientTimeoutS: 3, BilledValue: value, DedupScope: "cell"}
	}
	all := []tenants.Tenant{{Handle: "t1", Spec: tenants.Spec{Operations: []tenants.Operation{op("a", "idempotent", 1e6), op("b", "non_idempotent", 5e5)}}},
		{Handle: "t9", Spec: tenants.Spec{Operations: []tenants.Operation{op("a", "deduplicated", 3)}}}}
	all[1].Spec.Operations[0].DedupWindowS = 2.5
	hosted := site.WithTenants(all, 0.5)
	if o := hosted.Dispatch.Operations[hosted.OperationIndex["t9/a"]]; o.DedupWindow != 1500*time.Millisecond {
		t.Error("the window of a tenant's repeats, less the time to connect:", o.DedupWindow)
	}
	at := hosted.OperationIndex["t9/a"]
	if d := hosted.Dispatch.Operations[at]; d.Effect != dispatch.Deduplicated || d.DedupScope != dispatch.ScopeCell || d.PriorityWeight != 1 ||
		hosted.Dispatch.Operations[hosted.OperationIndex["t1/b"]].PriorityWeight != 0.5 || hosted.ClientTimeouts[at] != Duration(3) {
		t.Error(hosted.Dispatch.Operations)
	}
	if len(site.Operations) != 1 || len(site.OperationIndex) != 1 || len(site.Dispatch.Operations) != 1 || site.Dispatch.ExcessValue != 1 {
		t.Error("the site has changed: ", site)
	}
	// One goes while work is under way, and comes back as another: that work keeps its index.
	merged, _ := hosted.Reconfigure(site.WithTenants(all[1:], 0.5), func(index int) bool { return index != hosted.OperationIndex["t1/a"] })
	if merged.OperationIndex["t9/a"] != at || merged.Operations[1] != "t1/a" {
		t.Error(merged.Operations, merged.OperationIndex)
	}
}
