package api

import (
	"net/http"
	"strconv"
	"time"

	"stoatweir/internal/tenants"
)

// revisionView is the state of the directory at this scheduler.
type revisionView struct {
	Revision   uint64 `json:"revision"`
	Writes     bool   `json:"writes"`       // this scheduler accepts changes
	WriteError string `json:"why,omitzero"` // why it accepts no changes at present
	Schedulers int    `json:"schedulers"`   // number of schedulers that each limit is divided among
}

func (a *API) getRevision(r *request) (response, error) {
	if err := r.allowQuery(); err != nil {
		return response{}, err
	}
	isWriter, err := a.registry.Writes()
	view := revisionView{Writes: isWriter && err == nil, Schedulers: a.schedulers}
	if err != nil {
		view.WriteError = err.Error()
	}
	a.registry.read(func(d *tenants.Directory) { view.Revision = d.Revision })
	return response{status: http.StatusOK, body: view}, nil
}

// changeView is one change as the audit shows it.
type changeView struct {
	Revision uint64      `json:"revision"`
	At       time.Time   `json:"at"`
	By       string      `json:"by"`
	Action   string      `json:"what"`
	Name     string      `json:"name"`
	Tenant   *TenantView `json:"tenant,omitzero"` // the tenant after the change; nil if it was removed
}

func newChangeView(change tenants.Change) changeView {
	view := changeView{
		Revision: change.Revision,
		At:       change.At,
		By:       change.By,
		Action:   change.Action,
		Name:     change.Name,
	}
	if change.Tenant != nil {
		tenant := newTenantView(*change.Tenant)
		view.Tenant = &tenant
	}
	return view
}

// changeList is one page of the audit.
type changeList struct {
	Changes []changeView `json:"changes"`
}

func (a *API) listAudit(r *request) (response, error) {
	if err := r.allowQuery("after", "limit"); err != nil {
		return response{}, err
	}
	size, err := r.pageSize()
	if err != nil {
		return response{}, err
	}
	after, err := r.afterRevision()
	if err != nil {
		return response{}, err
	}
	list := changeList{Changes: []changeView{}}
	a.registry.read(func(d *tenants.Directory) {
		changes := d.Audit(after)
		for _, change := range changes[:min(size, len(changes))] {
			list.Changes = append(list.Changes, newChangeView(change))
		}
	})
	return response{status: http.StatusOK, body: list}, nil
}

// afterRevision returns the query parameter "after", or 0 if it is not set. The error is a Problem.
func (r *request) afterRevision() (uint64, error) {
	text := r.query.Get("after")
	if text == "" {
		return 0, nil
	}
	revision, err := strconv.ParseUint(text, revisionRadix, revisionBitSize)
	if err != nil {
		return 0, parameterProblem("after", "is no revision")
	}
	return revision, nil
}
