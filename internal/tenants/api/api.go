package api

import (
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/store"
)

const (
	bodyMost  = 64 << 10
	headMost  = 16 << 10
	pageUsual = 100
	pageMost  = 500
	readIn    = 5 * time.Second // a request whole; who sends a byte now and then is no administrator
	answerIn  = 5 * time.Second
	idleIn    = 30 * time.Second
	// CallersMost connections are open at once; their descriptors are set aside.
	CallersMost = 16
)

// Role is what an administrator may do.
type Role string

const (
	Read    Role = "read"
	Operate Role = "operate"
)

// Administrator is one who may call. The token is told in the configuration by its hash alone.
type Administrator struct {
	Name string
	Role Role
	Hash string // SHA-256 of the token
}

// Usage tells what a tenant uses at this scheduler; false: it is not known here yet.
type Usage func(name string) (tenants.Usage, bool)

// API answers administrators.
type API struct {
	registry       *Registry
	administrators []Administrator
	usage          Usage
	schedulers     int
	mux            *http.ServeMux
	routes         []string
}

// New makes the handlers. schedulers is how many share each limit.
func New(r *Registry, administrators []Administrator, usage Usage, schedulers int) *API {
	a := &API{registry: r, administrators: administrators, usage: usage, schedulers: max(1, schedulers), mux: http.NewServeMux()}
	for _, route := range []struct {
		pattern string
		role    Role
		do      func(call) answer
	}{
		{"GET /v1/revision", Read, a.revision},
		{"GET /v1/tenants", Read, a.list},
		{"GET /v1/tenants/{name}", Read, a.get},
		{"PUT /v1/tenants/{name}", Operate, a.put},
		{"DELETE /v1/tenants/{name}", Operate, a.remove},
		{"PUT /v1/tenants/{name}/state", Operate, a.stand},
		{"POST /v1/tenants/{name}/credentials", Operate, a.grant},
		{"DELETE /v1/tenants/{name}/credentials/{id}", Operate, a.revoke},
		{"GET /v1/tenants/{name}/usage", Read, a.used},
		{"GET /v1/audit", Read, a.audit},
	} {
		a.routes = append(a.routes, route.pattern)
		a.mux.HandleFunc(route.pattern, func(w http.ResponseWriter, r *http.Request) { a.serve(w, r, route.role, route.do) })
	}
	return a
}

// Routes lists what is served.
func (a *API) Routes() []string { return slices.Clone(a.routes) }

// Serve answers until the listener closes. So many callers at once and no more: descriptors are the clients'.
func (a *API) Serve(l net.Listener) error {
	s := &http.Server{Handler: a, ReadTimeout: readIn, ReadHeaderTimeout: readIn, WriteTimeout: readIn + answerIn, IdleTimeout: idleIn,
		MaxHeaderBytes: headMost}
	return s.Serve(&narrow{l, make(chan struct{}, CallersMost)})
}

// narrow accepts so many connections at once as there is room in the channel.
type narrow struct {
	net.Listener
	room chan struct{}
}

func (n *narrow) Accept() (net.Conn, error) {
	n.room <- struct{}{}
	c, err := n.Listener.Accept()
	if err != nil {
		<-n.room
		return nil, err
	}
	return &counted{Conn: c, room: n.room}, nil
}

type counted struct {
	net.Conn
	room chan struct{}
	once sync.Once
}

// Close makes room once; net/http may close a connection more than once.
func (c *counted) Close() error {
	c.once.Do(func() { <-c.room })
	return c.Conn.Close()
}

// ServeHTTP answers one call; what no route takes gets a problem like all other mistakes.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, pattern := a.mux.Handler(r); pattern == "" {
		var allowed []string
		for _, method := range []string{"GET", "PUT", "POST", "DELETE"} {
			probe := &http.Request{Method: method, URL: r.URL, Host: r.Host}
			if _, pattern := a.mux.Handler(probe); pattern != "" {
				allowed = append(allowed, method)
			}
		}
		if len(allowed) > 0 {
			w.Header().Set("Allow", strings.Join(allowed, ", "))
			write(w, problem(405, "it takes "+strings.Join(allowed, ", ")))
			return
		}
		write(w, problem(404, "there is nothing at this path"))
		return
	}
	a.mux.ServeHTTP(w, r)
}

// Problem is what went wrong, by RFC 9457.
type Problem struct {
	Type   string              `json:"type"`
	Title  string              `json:"title"`
	Status int                 `json:"status"`
	Detail string              `json:"detail,omitzero"`
	Errors tenants.FieldErrors `json:"errors,omitzero"`
}

type answer struct {
	status   int
	body     any
	revision uint64 // of a resource
	problem  *Problem
}

func problem(status int, detail string, faults ...tenants.FieldError) answer {
	return answer{status: status, problem: &Problem{"about:blank", http.StatusText(status), status, detail, faults}}
}

func write(w http.ResponseWriter, a answer) {
	var body any = a.body
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	if a.problem != nil {
		w.Header().Set("Content-Type", "application/problem+json")
		body = a.problem
	}
	if a.revision > 0 {
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(a.revision, 10)))
	}
	if a.status == 204 {
		w.Header().Del("Content-Type")
		w.WriteHeader(204)
		return
	}
	text, err := json.Marshal(body, jsontext.Multiline(true))
	if err != nil {
		text, a.status = []byte(`{"type":"about:blank","title":"Internal Server Error","status":500}`), 500
	}
	w.WriteHeader(a.status)
	w.Write(append(text, '\n'))
}

// call is one request of a known administrator.
type call struct {
	*http.Request
	by    string
	dry   bool
	match tenants.Match
	query url.Values
}

func (a *API) serve(w http.ResponseWriter, r *http.Request, role Role, do func(call) answer) {
	who, known := a.who(r.Header.Values("Authorization"))
	if !known {
		w.Header().Set("WWW-Authenticate", `Bearer realm="stoatweir administration"`)
		write(w, problem(401, "a known token is wanted in Authorization: Bearer"))
		return
	}
	if role == Operate && who.Role != Operate {
		write(w, problem(403, fmt.Sprintf("%s may only read", who.Name)))
		return
	}
	c := call{Request: r, by: who.Name}
	var err error
	if c.query, err = url.ParseQuery(r.URL.RawQuery); err != nil {
		write(w, problem(400, "the query can't be read"))
		return
	}
	if role == Operate {
		if bad := c.conditions(); bad != nil {
			write(w, *bad)
			return
		}
	}
	if r.Body != nil {
		r.Body = http.MaxBytesReader(w, r.Body, bodyMost)
	}
	write(w, do(c))
}

// who finds the administrator of a token, looking at all so that the time tells nothing.
func (a *API) who(values []string) (found Administrator, known bool) {
	if len(values) != 1 {
		return found, false
	}
	scheme, token, _ := strings.Cut(values[0], " ")
	hash := tenants.HashOf(token)
	for _, one := range a.administrators {
		if subtle.ConstantTimeCompare([]byte(one.Hash), []byte(hash)) == 1 {
			found, known = one, true
		}
	}
	return found, known && strings.EqualFold(scheme, "Bearer") && token != ""
}

// conditions reads what a change is bound to.
func (c *call) conditions() *answer {
	bad := func(field, reason string) *answer {
		a := problem(400, "a condition can't be read", tenants.FieldError{Field: field, Reason: reason})
		return &a
	}
	switch dry := c.query.Get("dry_run"); dry {
	case "", "false":
	case "true":
		c.dry = true
	default:
		return bad("dry_run", fmt.Sprintf("%.20q is neither true nor false", dry))
	}
	if values := c.Header.Values("If-Match"); len(values) > 0 {
		tag := strings.TrimSpace(values[0])
		revision, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
		switch {
		case tag == "*" && len(values) == 1:
			c.match.Exists = true
		case len(values) > 1 || err != nil || len(tag) < 3 || tag[0] != '"' || tag[len(tag)-1] != '"':
			return bad("If-Match", `is neither * nor one revision as in an ETag, such as "12"`)
		default:
			c.match.Revision = &revision
		}
	}
	if values := c.Header.Values("If-None-Match"); len(values) > 0 {
		if len(values) > 1 || strings.TrimSpace(values[0]) != "*" {
			return bad("If-None-Match", "is not *")
		}
		c.match.Absent = true
	}
	return nil
}

// only refuses query parameters that mean nothing: one that was misspelt must not be passed over.
func (c *call) only(names ...string) *answer {
	for name, values := range c.query {
		if !slices.Contains(names, name) {
			a := problem(400, "an unknown query parameter", tenants.FieldError{Field: name, Reason: "is not known here"})
			return &a
		}
		if len(values) > 1 {
			a := problem(400, "a query parameter stands there twice", tenants.FieldError{Field: name, Reason: "is there twice"})
			return &a
		}
	}
	return nil
}

// body reads what was sent, whole and without a key that is not known.
func (c *call) body(into any) *answer {
	text, err := io.ReadAll(c.Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		a := problem(413, fmt.Sprintf("a body has %d bytes at most", bodyMost))
		return &a
	case errors.Is(err, os.ErrDeadlineExceeded):
		a := problem(408, fmt.Sprintf("a request has to be whole within %v", readIn))
		return &a
	case err != nil:
		a := problem(400, "the body has no end")
		return &a
	}
	err = json.Unmarshal(text, into, json.RejectUnknownMembers(true))
	var meaning *json.SemanticError
	var form *jsontext.SyntacticError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &meaning):
		reason := fmt.Sprintf("a %v is wanted there", meaning.GoType)
		if meaning.JSONKind != 0 {
			reason += fmt.Sprintf(", not a %v", meaning.JSONKind)
		}
		if errors.Is(err, json.ErrUnknownName) {
			reason = "is not known here"
		}
		a := problem(400, "the body is not what is wanted here", tenants.FieldError{Field: string(meaning.JSONPointer), Reason: reason})
		return &a
	case errors.As(err, &form):
		a := problem(400, "the body is no JSON", tenants.FieldError{Field: string(form.JSONPointer), Reason: form.Err.Error()})
		return &a
	}
	a := problem(400, "the body can't be read")
	return &a
}

// failed turns why a change was not made into an answer.
func failed(err error) answer {
	var faults tenants.FieldErrors
	switch {
	case errors.As(err, &faults):
		return problem(422, "what was said makes no sense", faults...)
	case errors.Is(err, tenants.ErrUnknown):
		return problem(404, err.Error())
	case errors.Is(err, tenants.ErrRace), errors.Is(err, tenants.ErrExists):
		return problem(412, err.Error())
	case errors.Is(err, tenants.ErrFull):
		return problem(409, fmt.Sprintf("%v: %d tenants and %d operations of all of them are the most", err, tenants.TenantsMost,
			tenants.OperationsMost))
	case errors.Is(err, store.ErrFollows):
		return problem(503, "this scheduler only follows; changes are made at the one that has the store")
	default:
		return problem(507, "nothing is changed and serving goes on: "+err.Error())
	}
}

// View is a tenant as administrators see it.
type View struct {
	Name        string        `json:"name"`
	Handle      string        `json:"handle"`
	State       tenants.State `json:"state"`
	Revision    uint64        `json:"revision"`
	Created     time.Time     `json:"created"`
	Spec        tenants.Spec  `json:"spec"`
	Credentials []KeyView     `json:"credentials"`
	DryRun      bool          `json:"dry_run,omitzero"`
}

// KeyView is a credential without anything that opens.
type KeyView struct {
	ID      string    `json:"id"`
	Expires time.Time `json:"expires,omitzero"`
}

func view(t tenants.Tenant) View {
	v := View{Name: t.Name, Handle: t.Handle, State: t.State, Revision: t.Revision, Created: t.Created, Spec: t.Spec,
		Credentials: []KeyView{}}
	for _, k := range t.Credentials {
		v.Credentials = append(v.Credentials, KeyView{k.ID, k.Expires})
	}
	return v
}

func (a *API) revision(c call) answer {
	if bad := c.only(); bad != nil {
		return *bad
	}
	writes, why := a.registry.Writes()
	v := struct {
		Revision   uint64 `json:"revision"`
		Writes     bool   `json:"writes"`
		Why        string `json:"why,omitzero"`
		Schedulers int    `json:"schedulers"`
	}{Writes: writes && why == nil, Schedulers: a.schedulers}
	if why != nil {
		v.Why = why.Error()
	}
	a.registry.read(func(b *tenants.Directory) { v.Revision = b.Revision })
	return answer{status: 200, body: v}
}

func (a *API) list(c call) answer {
	if bad := c.only("limit", "page_token", "state", "prefix"); bad != nil {
		return *bad
	}
	limit, bad := c.number("limit", pageUsual, pageMost)
	if bad != nil {
		return *bad
	}
	state, prefix, after := tenants.State(c.query.Get("state")), c.query.Get("prefix"), c.query.Get("page_token")
	if state != "" && state != tenants.Active && state != tenants.Suspended {
		return problem(400, "a filter makes no sense", tenants.FieldError{Field: "state", Reason: "is neither active nor suspended"})
	}
	v := struct {
		Tenants  []View `json:"tenants"`
		Next     string `json:"next_page_token,omitzero"`
		Revision uint64 `json:"revision"`
	}{Tenants: []View{}}
	a.registry.read(func(b *tenants.Directory) {
		v.Revision = b.Revision
		for _, t := range b.All() {
			if t.Name <= after || !strings.HasPrefix(t.Name, prefix) || state != "" && t.State != state {
				continue
			}
			if len(v.Tenants) == limit { // names stay what they are, so a page goes on where the last one ended
				v.Next = v.Tenants[limit-1].Name
				break
			}
			v.Tenants = append(v.Tenants, view(t))
		}
	})
	return answer{status: 200, body: v}
}

func (c *call) number(name string, usual, most int) (int, *answer) {
	text := c.query.Get(name)
	if text == "" {
		return usual, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > most {
		a := problem(400, "a query parameter makes no sense", tenants.FieldError{Field: name, Reason: fmt.Sprintf("is no whole number from 1 to %d", most)})
		return 0, &a
	}
	return n, nil
}

func (a *API) get(c call) answer {
	if bad := c.only(); bad != nil {
		return *bad
	}
	var t tenants.Tenant
	known := false
	a.registry.read(func(b *tenants.Directory) { t, known = b.Get(c.PathValue("name")) })
	if !known {
		return failed(tenants.ErrUnknown)
	}
	return answer{status: 200, body: view(t), revision: t.Revision}
}

// changed answers with what a tenant is from now on, or would be.
func (a *API) changed(c call, status int, work func(*tenants.Directory, time.Time) (tenants.Change, error)) answer {
	change, err := a.registry.change(c.dry, work)
	if errors.Is(err, errNone) {
		return answer{status: 200, body: view(*change.Tenant), revision: change.Tenant.Revision}
	}
	if err != nil {
		return failed(err)
	}
	if change.Tenant == nil {
		return answer{status: 204}
	}
	v := view(*change.Tenant)
	if v.DryRun = c.dry; c.dry {
		return answer{status: 200, body: v}
	}
	if status == 0 && change.What == "created" {
		status = 201
	}
	return answer{status: max(200, status), body: v, revision: v.Revision}
}

// same is the answer to a change that changes nothing.
func same(b *tenants.Directory, name string) (tenants.Change, error) {
	t, _ := b.Get(name)
	return tenants.Change{Tenant: &t}, errNone
}

func (a *API) put(c call) answer {
	if bad := c.only("dry_run"); bad != nil {
		return *bad
	}
	var spec tenants.Spec
	if bad := c.body(&spec); bad != nil {
		return *bad
	}
	name := c.PathValue("name")
	return a.changed(c, 0, func(b *tenants.Directory, now time.Time) (tenants.Change, error) {
		change, none, err := b.Put(c.by, name, spec, c.match, now, "-"+strings.ToLower(rand.Text()[:16]))
		if none {
			return same(b, name)
		}
		return change, err
	})
}

func (a *API) stand(c call) answer {
	if bad := c.only("dry_run"); bad != nil {
		return *bad
	}
	var in struct {
		State tenants.State `json:"state"`
	}
	if bad := c.body(&in); bad != nil {
		return *bad
	}
	name := c.PathValue("name")
	return a.changed(c, 0, func(b *tenants.Directory, now time.Time) (tenants.Change, error) {
		change, none, err := b.SetState(c.by, name, in.State, c.match, now)
		if none {
			return same(b, name)
		}
		return change, err
	})
}

func (a *API) remove(c call) answer {
	if bad := c.only("dry_run"); bad != nil {
		return *bad
	}
	return a.changed(c, 0, func(b *tenants.Directory, now time.Time) (tenants.Change, error) {
		return b.Remove(c.by, c.PathValue("name"), c.match, now)
	})
}

func (a *API) grant(c call) answer {
	if bad := c.only("dry_run"); bad != nil {
		return *bad
	}
	var in struct {
		Expires time.Time `json:"expires,omitzero"`
	}
	if bad := c.body(&in); bad != nil {
		return *bad
	}
	key := tenants.Credential{ID: keyID(), Expires: in.Expires}
	opens := secret()
	key.Hash = tenants.HashOf(opens)
	done := a.changed(c, 201, func(b *tenants.Directory, now time.Time) (tenants.Change, error) {
		return b.Grant(c.by, c.PathValue("name"), key, now)
	})
	if done.problem == nil && !c.dry {
		done.body = struct {
			KeyView
			Credential string `json:"credential"` // shown this once
		}{KeyView{key.ID, key.Expires}, key.ID + "." + opens}
	}
	return done
}

func (a *API) revoke(c call) answer {
	if bad := c.only("dry_run"); bad != nil {
		return *bad
	}
	return a.changed(c, 0, func(b *tenants.Directory, now time.Time) (tenants.Change, error) {
		return b.Revoke(c.by, c.PathValue("name"), c.PathValue("id"), now)
	})
}

func (a *API) used(c call) answer {
	if bad := c.only(); bad != nil {
		return *bad
	}
	u, known := a.usage(c.PathValue("name"))
	if !known {
		return failed(tenants.ErrUnknown)
	}
	v := struct {
		Taken       int                           `json:"taken"`
		Retries     int                           `json:"retries"`
		Succeeded   int                           `json:"succeeded"`
		Declined    int                           `json:"declined"`
		Aborted     int                           `json:"aborted"`
		Abandoned   int                           `json:"abandoned"`
		HandedOver  int                           `json:"handed_over"`
		Throttled   map[tenants.RejectionKind]int `json:"throttled"`
		InHand      int                           `json:"in_hand"`
		HeldWorkS   float64                       `json:"held_work_s"`
		Bytes       int64                         `json:"bytes"`
		ShareInHand float64                       `json:"share_in_hand"`
		Rate        float64                       `json:"work_per_s"`
		Share       float64                       `json:"share_per_s"`
		Beyond      bool                          `json:"beyond_share"`
		Schedulers  int                           `json:"schedulers"` // that share each limit; all figures are this one's
	}{u.Admitted, u.Retries, u.Completed[tenants.Succeeded], u.Completed[tenants.Declined], u.Completed[tenants.Aborted], u.Completed[tenants.Abandoned],
		u.Completed[tenants.Migrated], u.Throttled, u.InFlight, u.HeldWorkS, u.Bytes, u.ShareInFlight, u.Rate, u.Share, u.OverShare, a.schedulers}
	return answer{status: 200, body: v}
}

func (a *API) audit(c call) answer {
	if bad := c.only("after", "limit"); bad != nil {
		return *bad
	}
	limit, bad := c.number("limit", pageUsual, pageMost)
	if bad != nil {
		return *bad
	}
	after := uint64(0)
	if text := c.query.Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return problem(400, "a query parameter makes no sense", tenants.FieldError{Field: "after", Reason: "is no revision"})
		}
	}
	type entry struct {
		Revision uint64    `json:"revision"`
		At       time.Time `json:"at"`
		By       string    `json:"by"`
		What     string    `json:"what"`
		Name     string    `json:"name"`
		Tenant   *View     `json:"tenant,omitzero"` // as it was from then on
	}
	v := struct {
		Changes []entry `json:"changes"`
	}{[]entry{}}
	a.registry.read(func(b *tenants.Directory) {
		for _, c := range b.Audit(after) {
			if len(v.Changes) == limit {
				break
			}
			e := entry{c.Revision, c.At, c.By, c.What, c.Name, nil}
			if c.Tenant != nil {
				t := view(*c.Tenant)
				e.Tenant = &t
			}
			v.Changes = append(v.Changes, e)
		}
	})
	return answer{status: 200, body: v}
}
