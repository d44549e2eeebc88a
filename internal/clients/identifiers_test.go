package clients

import (
	"fmt"
	"testing"
	"time"

	"stoatweir/internal/workers"
)

// An identifier that was sent to a worker stays in use for some time after its release, because
// callbacks for it may still arrive.
func TestReleaseID(t *testing.T) {
	loop, server, _, closeListener := newTestServer(10)
	defer closeListener()
	var released []string
	server.OnIDUseChanged = func(id string, inUse bool) {
		if !inUse {
			released = append(released, id)
		}
	}
	for _, id := range []string{"b", "a"} {
		client, accepted := tcpPipe(t)
		defer client.Close()
		_, ok := server.AcceptMigrated(accepted, MigratingConnection{}, &workers.Invocation{ID: id, Deadline: time.Minute}, 0, 0)
		if !ok {
			t.Fatal("the migrated connection was not accepted")
		}
	}
	if got := fmt.Sprint(server.IDs()); got != "[a b]" {
		t.Errorf("identifiers in use: %v, want [a b]", got)
	}
	server.ReleaseID("a", false)
	server.ReleaseID("b", true)
	if got := fmt.Sprint(server.IDs(), released); got != "[b] [a]" {
		t.Errorf("identifiers in use and released: %v, want [b] [a]", got)
	}
	began := time.Now()
	runUntil(loop, "the release", func() bool { return len(released) == 2 })
	took := time.Since(began)
	if took < 1900*time.Millisecond || took > 3*time.Second || len(server.IDs()) > 0 {
		t.Errorf("identifiers released after %v, still in use: %v, want 1.9s to 3s and none", took, server.IDs())
	}
}

// TenantHandle returns the tenant's handle in an identifier, or nothing if there is none.
func TestTenantHandle(t *testing.T) {
	for id, want := range map[string]string{"h-a~9b1f": "h-a", "9b1f": "", "~9b1f": "", "h-a~x~y": "h-a"} {
		if got := TenantHandle(id); got != want {
			t.Errorf("TenantHandle(%q) = %q, want %q", id, got, want)
		}
	}
}
