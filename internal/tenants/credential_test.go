package tenants

import (
	"testing"
	"time"
)

func TestSecretVerifiesItsOwnCredentialUntilItExpires(t *testing.T) {
	f := newFixture(10, 1)
	tenant := Tenant{Name: "a", Handle: "t1", State: Active, Spec: validSpec(), Credentials: []Credential{
		{ID: "k1", Hash: HashSecret("s1")},
		{ID: "k2", Hash: HashSecret("s2"), Expires: noon},
	}}
	f.Put(0, tenant)
	for _, c := range []struct {
		id, secret string
		at         time.Time
		identified bool
	}{
		{id: "k1", secret: "s1", at: noon, identified: true},
		{id: "k1", secret: "s2", at: noon},
		{id: "k1", secret: "", at: noon},
		{id: "k3", secret: "s1", at: noon},
		{id: "", secret: "", at: noon},
		{id: "k2", secret: "s2", at: noon.Add(-time.Second), identified: true},
		{id: "k2", secret: "s2", at: noon},
	} {
		if got := f.Identify(c.id, c.secret, c.at) != nil; got != c.identified {
			t.Errorf("credential %q with secret %q at %v: got identified %v, want %v", c.id, c.secret, c.at, got, c.identified)
		}
	}
	tenant.Credentials = tenant.Credentials[1:]
	f.Put(0, tenant)
	if f.Identify("k1", "s1", noon) != nil {
		t.Error("a revoked credential is still accepted")
	}
}
