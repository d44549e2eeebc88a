package api

import (
	"net/http"
	"slices"
	"strings"

	"stoatweir/internal/tenants"
)

// UsageFunc returns what a tenant uses at this scheduler, and whether it is known there.
type UsageFunc func(name string) (usage tenants.Usage, known bool)

// API is an http.Handler that answers administrators.
type API struct {
	registry       *Registry
	administrators []Administrator
	usage          UsageFunc
	schedulers     int // that share each limit
	mux            *http.ServeMux
	routes         []string
}

// handler answers one authenticated request. An error is reported as a problem.
type handler func(*request) (response, error)

// New returns the API. schedulers is how many share each limit.
func New(r *Registry, administrators []Administrator, usage UsageFunc, schedulers int) *API {
	a := &API{
		registry:       r,
		administrators: administrators,
		usage:          usage,
		schedulers:     max(1, schedulers),
		mux:            http.NewServeMux(),
	}
	a.handle("GET /v1/revision", Read, a.getRevision)
	a.handle("GET /v1/tenants", Read, a.listTenants)
	a.handle("GET /v1/tenants/{name}", Read, a.getTenant)
	a.handle("PUT /v1/tenants/{name}", Operate, a.putTenant)
	a.handle("DELETE /v1/tenants/{name}", Operate, a.deleteTenant)
	a.handle("PUT /v1/tenants/{name}/state", Operate, a.setState)
	a.handle("POST /v1/tenants/{name}/credentials", Operate, a.grantCredential)
	a.handle("DELETE /v1/tenants/{name}/credentials/{id}", Operate, a.revokeCredential)
	a.handle("GET /v1/tenants/{name}/usage", Read, a.getUsage)
	a.handle("GET /v1/audit", Read, a.listAudit)
	return a
}

// handle registers the handler of a route, for administrators who have a role.
func (a *API) handle(pattern string, role Role, h handler) {
	a.routes = append(a.routes, pattern)
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, role, h) })
}

// Routes returns the patterns of all routes.
func (a *API) Routes() []string { return slices.Clone(a.routes) }

// ServeHTTP answers one request. Paths and methods without a route are answered with a problem too.
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

// allowedMethods returns the methods that the request's path has a route for.
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
