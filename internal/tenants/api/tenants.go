package api

import (
	"crypto/rand"
	"errors"
	"net/http"
	"strings"
	"time"

	"stoatweir/internal/tenants"
)

// randomIDLength is the length of a random id in characters, each of which has 5 random bits.
const randomIDLength = 16

// randomID returns random lower-case letters and digits that can't be guessed. It never begins with a
// dash, because command lines would treat that as a flag.
func randomID() string { return strings.ToLower(rand.Text()[:randomIDLength]) }

// TenantView is a tenant as administrators see it.
type TenantView struct {
	Name        string           `json:"name"`
	Handle      string           `json:"handle"`
	State       tenants.State    `json:"state"`
	Revision    uint64           `json:"revision"`
	Created     time.Time        `json:"created"`
	Spec        tenants.Spec     `json:"spec"`
	Credentials []CredentialView `json:"credentials"`
	DryRun      bool             `json:"dry_run,omitzero"`
}

// newTenantView returns the view of a tenant, in which an empty list of credentials is not null.
func newTenantView(tenant tenants.Tenant) TenantView {
	view := TenantView{
		Name:        tenant.Name,
		Handle:      tenant.Handle,
		State:       tenant.State,
		Revision:    tenant.Revision,
		Created:     tenant.Created,
		Spec:        tenant.Spec,
		Credentials: []CredentialView{},
	}
	for _, credential := range tenant.Credentials {
		view.Credentials = append(view.Credentials, newCredentialView(credential))
	}
	return view
}

func tenantResponse(tenant tenants.Tenant) response {
	return response{status: http.StatusOK, body: newTenantView(tenant), revision: tenant.Revision}
}

// tenantList is one page of tenants.
type tenantList struct {
	Tenants       []TenantView `json:"tenants"`
	NextPageToken string       `json:"next_page_token,omitzero"`
	Revision      uint64       `json:"revision"`
}

func (a *API) listTenants(r *request) (response, error) {
	if err := r.allowQuery("limit", "page_token", "state", "prefix"); err != nil {
		return response{}, err
	}
	size, err := r.pageSize()
	if err != nil {
		return response{}, err
	}
	state := tenants.State(r.query.Get("state"))
	switch state {
	case "", tenants.Active, tenants.Suspended:
	default:
		return response{}, fieldProblem("a filter makes no sense", "state", "is neither active nor suspended")
	}
	prefix := r.query.Get("prefix")
	after := r.query.Get("page_token")
	isSelected := func(tenant tenants.Tenant) bool {
		return tenant.Name > after &&
			strings.HasPrefix(tenant.Name, prefix) &&
			(state == "" || tenant.State == state)
	}
	list := tenantList{Tenants: []TenantView{}}
	a.registry.read(func(d *tenants.Directory) {
		list.Revision = d.Revision
		for _, tenant := range d.All() {
			if !isSelected(tenant) {
				continue
			}
			if len(list.Tenants) == size {
				// Tenants are sorted by name and names never change, so the last name of this page
				// is a stable start for the next one.
				list.NextPageToken = list.Tenants[size-1].Name
				break
			}
			list.Tenants = append(list.Tenants, newTenantView(tenant))
		}
	})
	return response{status: http.StatusOK, body: list}, nil
}

func (a *API) getTenant(r *request) (response, error) {
	if err := r.allowQuery(); err != nil {
		return response{}, err
	}
	var tenant tenants.Tenant
	known := false
	a.registry.read(func(d *tenants.Directory) { tenant, known = d.Get(r.PathValue("name")) })
	if !known {
		return response{}, tenants.ErrNotFound
	}
	return tenantResponse(tenant), nil
}

// change makes a change and answers with the changed tenant. For a dry run it answers with the tenant
// as the change would make it.
func (a *API) change(r *request, compute changeFunc) (response, error) {
	change, err := a.registry.change(r.isDryRun, compute)
	if errors.Is(err, errUnchanged) {
		return tenantResponse(*change.Tenant), nil
	}
	if err != nil {
		return response{}, err
	}
	if change.Tenant == nil {
		return response{status: http.StatusNoContent}, nil
	}
	if r.isDryRun {
		view := newTenantView(*change.Tenant)
		view.DryRun = true
		return response{status: http.StatusOK, body: view}, nil
	}
	answer := tenantResponse(*change.Tenant)
	switch change.Action {
	case tenants.ChangeCreated, tenants.ChangeCredentialGranted:
		answer.status = http.StatusCreated
	}
	return answer, nil
}

// unchangedResult returns the result of a changeFunc that has nothing to change.
func unchangedResult(d *tenants.Directory, name string) (tenants.Change, error) {
	tenant, _ := d.Get(name)
	return tenants.Change{Tenant: &tenant}, errUnchanged
}

func (a *API) putTenant(r *request) (response, error) {
	if err := r.allowQuery("dry_run"); err != nil {
		return response{}, err
	}
	var spec tenants.Spec
	if err := r.decodeBody(&spec); err != nil {
		return response{}, err
	}
	name := r.PathValue("name")
	return a.change(r, func(d *tenants.Directory, now time.Time) (tenants.Change, error) {
		change, isSame, err := d.Put(r.administrator, name, spec, r.precondition, now, "-"+randomID())
		if isSame {
			return unchangedResult(d, name)
		}
		return change, err
	})
}

func (a *API) setState(r *request) (response, error) {
	if err := r.allowQuery("dry_run"); err != nil {
		return response{}, err
	}
	// Problem texts contain the name of the type that was expected, so naming it would change them.
	var body struct {
		State tenants.State `json:"state"`
	}
	if err := r.decodeBody(&body); err != nil {
		return response{}, err
	}
	name := r.PathValue("name")
	return a.change(r, func(d *tenants.Directory, now time.Time) (tenants.Change, error) {
		change, isSame, err := d.SetState(r.administrator, name, body.State, r.precondition, now)
		if isSame {
			return unchangedResult(d, name)
		}
		return change, err
	})
}

func (a *API) deleteTenant(r *request) (response, error) {
	if err := r.allowQuery("dry_run"); err != nil {
		return response{}, err
	}
	return a.change(r, func(d *tenants.Directory, now time.Time) (tenants.Change, error) {
		return d.Remove(r.administrator, r.PathValue("name"), r.precondition, now)
	})
}
