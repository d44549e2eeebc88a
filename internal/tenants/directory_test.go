package tenants

import (
	"errors"
	"fmt"
	"testing"
)

// A tenant is created, put again without effect, changed, suspended, removed, and created again under
// the same name with a new handle. Changes whose precondition does not hold are rejected.
func ExampleDirectory() {
	d := NewDirectory()
	apply := func(step string, c Change, unchanged bool, err error) {
		if err == nil && !unchanged {
			err = d.Apply(c)
		}
		tenant, _ := d.Get("acme")
		fmt.Println(step+":", d.Revision, tenant.Handle, tenant.State, unchanged, err)
	}
	put := func(step string, s Spec, m Precondition) {
		c, unchanged, err := d.Put("ops", "acme", s, m, noon, "")
		apply(step, c, unchanged, err)
	}
	put("created", validSpec(), Precondition{Absent: true})
	put("the same", validSpec(), Precondition{})
	put("created again", validSpec(), Precondition{Absent: true})
	heavier := validSpec()
	heavier.Weight = 2
	first := uint64(1)
	put("changed", heavier, Precondition{Revision: &first})
	put("raced for", validSpec(), Precondition{Revision: &first})
	c, unchanged, err := d.SetState("ops", "acme", Suspended, Precondition{}, noon)
	apply("suspended", c, unchanged, err)
	c, unchanged, err = d.SetState("ops", "acme", Suspended, Precondition{}, noon)
	apply("suspended again", c, unchanged, err)
	c, err = d.Remove("ops", "acme", Precondition{}, noon)
	apply("removed", c, false, err)
	c, err = d.Remove("ops", "acme", Precondition{}, noon)
	apply("removed again", c, false, err)
	put("created anew", validSpec(), Precondition{})
	for _, c := range d.Audit(3) {
		fmt.Println(c.Revision, c.By, c.Action, c.Name)
	}
	// Output:
	// created: 1 t1 active false <nil>
	// the same: 1 t1 active true <nil>
	// created again: 1 t1 active false there is a tenant of that name
	// changed: 2 t1 active false <nil>
	// raced for: 2 t1 active false it has been changed since
	// suspended: 3 t1 suspended false <nil>
	// suspended again: 3 t1 suspended true <nil>
	// removed: 4   false <nil>
	// removed again: 4   false there is no such tenant
	// created anew: 5 t5 active false <nil>
	// 4 ops removed acme
	// 5 ops created acme
}

func TestGrantRequiresATenantAndAFutureExpiry(t *testing.T) {
	d := NewDirectory()
	if _, err := d.Grant("ops", "a", Credential{ID: "k"}, noon); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
	c, _, _ := d.Put("ops", "a", validSpec(), Precondition{}, noon, "")
	if err := d.Apply(c); err != nil {
		t.Fatal(err)
	}
	_, err := d.Grant("ops", "a", Credential{ID: "k", Expires: noon}, noon)
	if err == nil || err.Error() != "/expires: is past" {
		t.Error(err)
	}
}

func TestApplyRejectsAGapBetweenRevisions(t *testing.T) {
	d := NewDirectory()
	c, _, _ := d.Put("ops", "a", validSpec(), Precondition{}, noon, "")
	if err := d.Apply(c); err != nil {
		t.Fatal(err)
	}
	if err := d.Apply(Change{Revision: 7}); err == nil {
		t.Error("a change was applied although the changes before it are missing")
	}
}

func TestNumberOfOperationsIsBounded(t *testing.T) {
	d := NewDirectory()
	largest := validSpec()
	for n := range maxOperationsPerTenant - 1 {
		operation := largest.Operations[0]
		operation.Name = fmt.Sprint("o", n)
		largest.Operations = append(largest.Operations, operation)
	}
	created := 0
	for ; ; created++ {
		c, _, err := d.Put("ops", fmt.Sprint("t", created), largest, Precondition{}, noon, "")
		if err != nil {
			if !errors.Is(err, ErrLimitReached) {
				t.Error(err)
			}
			break
		}
		if err := d.Apply(c); err != nil {
			t.Fatal(err)
		}
	}
	if created != MaxOperations/maxOperationsPerTenant {
		t.Errorf("got %d tenants before the limit of operations, want %d", created, MaxOperations/maxOperationsPerTenant)
	}
}
