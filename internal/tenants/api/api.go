package api

import (
	"net/http"
	"slices"
	"strings"

	"stoatweir/internal/tenants"
)

// UsageFunc returns the usage of the named tenant at this scheduler, and whether the scheduler knows
// the tenant.
type UsageFunc func(name string) (usage tenants.Usage, known bool)

// API is the http.Handler of the administrators' API.
type API struct {
	registry       *Registry
	administrators []Administrator
	usage          UsageFunc
	schedulers     int // number of schedulers that each limit is divided among
	mux            *http.ServeMux
	routes         []string
}

// handler answers one authorized request. An error is sent as a Problem.
type handler func(*request) (response, error)

// New returns an API over a registry. schedulers is the number of schedulers that each limit is
// divided among.
func New(r *Registry, administrators []Administrator, usage UsageFunc, schedulers int) *API {
	a := &API{
		registry:       r,
		administrators: administrators,
		usage:          usage,
		schedulers:     max(1, schedulers),
		mux:            http.NewServeMux(),
	}
	a.handle("GET /v1/revision", RoleRead, a.getRevision)
	a.handle("GET /v1/tenants", RoleRead, a.listTenants)
	a.handle("GET /v1/tenants/{name}", RoleRead, a.getTenant)
	a.handle("PUT /v1/tenants/{name}", RoleOperate, a.putTenant)
	a.handle("DELETE /v1/tenants/{name}", RoleOperate, a.deleteTenant)
	a.handle("PUT /v1/tenants/{name}/state", RoleOperate, a.setState)
	a.handle("POST /v1/tenants/{name}/credentials", RoleOperate, a.grantCredential)
	a.handle("DELETE /v1/tenants/{name}/credentials/{id}", RoleOperate, a.revokeCredential)
	a.handle("GET /v1/tenants/{name}/usage", RoleRead, a.getUsage)
	a.handle("GET /v1/audit", RoleRead, a.listAudit)
	return a
}

// handle registers the handler of a route, which requires a role.
func (a *API) handle(pattern string, role Role, h handler) {
	a.routes = append(a.routes, pattern)
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, role, h) })
}

// Routes returns the patterns of all routes, as http.ServeMux takes them.
func (a *API) Routes() []string { return slices.Clone(a.routes) }

// ServeHTTP answers one request. An unknown path or method is answered with a Problem, too.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, pattern := a.mux.Handler(r); pattern != "" {
		a.mux.ServeHTTP(w, r)
		return
	}
	allowed := strings.Join(a.allowedMethods(r), ", ")
	if allowed == "" {
		writeError(w, newProblem(http.StatusNotFound, "there is nothing at this path"))
		return
	}
	w.Header().Set("Allow", allowed)
	writeError(w, newProblem(http.StatusMethodNotAllowed, "it takes "+allowed))
}

// allowedMethods returns the methods for which the request's path has a route.
func (a *API) allowedMethods(r *http.Request) []string {
	var allowed []string
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost, http.MethodDelete} {
		candidate := &http.Request{Method: method, URL: r.URL, Host: r.Host}
		if _, pattern := a.mux.Handler(candidate); pattern != "" {
			allowed = append(allowed, method)
		}
	}
	return allowed
}
