package api

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers/legacy"

	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/store"
)

// specBody is a valid body for PUT /v1/tenants/{name}.
const specBody = `{"weight": 1, "limits": {"rate_per_s": 5}, "operations": [{"name": "render", "effect": "idempotent",
	"latency_objective_s": 1, "client_timeout_s": 2, "billed_value": 1}]}`

// Tokens of the administrators in tests.
const (
	operator = "o"
	reader   = "e"
)

func newAdministrators() []Administrator {
	return []Administrator{
		{Name: "ops", Role: RoleOperate, Hash: tenants.HashSecret(operator)},
		{Name: "eyes", Role: RoleRead, Hash: tenants.HashSecret(reader)},
	}
}

func noon() time.Time { return time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC) }

// limitedFiles is a disk that is full, so that writes fail, while *isFull is set.
type limitedFiles struct {
	store.Files
	isFull *bool
}

// limitedFile is an open file of limitedFiles.
type limitedFile struct {
	store.File
	isFull *bool
}

func (f limitedFiles) Open(name string, readOnly bool) (store.File, error) {
	file, err := f.Files.Open(name, readOnly)
	return limitedFile{File: file, isFull: f.isFull}, err
}

func (f limitedFile) Write(b []byte) (int, error) {
	if *f.isFull {
		return 0, errors.New("no space left")
	}
	return f.File.Write(b)
}

// fixture is an API over a new store, with the revisions that its registry has published.
type fixture struct {
	*API
	t           *testing.T
	dir         string
	isFull      bool
	mu          sync.Mutex
	published   []uint64
	description *openapi3.T
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, dir: t.TempDir()}
	s, err := store.Open(limitedFiles{Files: &store.Disk{Dir: f.dir}, isFull: &f.isFull})
	if err != nil {
		t.Fatal(err)
	}
	r := NewRegistry(s, noon, func(_ []tenants.Tenant, revision uint64) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.published = append(f.published, revision)
	})
	t.Cleanup(r.Close)
	usage := func(name string) (tenants.Usage, bool) {
		known := false
		r.read(func(d *tenants.Directory) { _, known = d.Get(name) })
		return tenants.Usage{Admitted: 3, Throttled: map[tenants.RejectionKind]int{tenants.RejectedByRate: 2}}, known
	}
	f.API = New(r, newAdministrators(), usage, 2)
	f.description, err = openapi3.NewLoader().LoadFromFile("../../../docs/tenants-openapi.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := f.description.Validate(context.Background()); err != nil {
		t.Fatal(err)
	}
	return f
}

// newRequest returns a request. headers are alternating header names and values.
func newRequest(token, method, path, body string, headers ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// send sends a request, checks the answer against the OpenAPI description, and returns its status,
// body and ETag.
func (f *fixture) send(token, method, path, body string, headers ...string) (status int, text, etag string) {
	f.t.Helper()
	r := newRequest(token, method, path, body, headers...)
	r.Header.Set("Content-Type", "application/json")
	recorder := httptest.NewRecorder()
	f.ServeHTTP(recorder, r)
	answer := recorder.Result()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	f.checkDescription(r, answer, content)
	return answer.StatusCode, string(content), answer.Header.Get("ETag")
}

// checkDescription checks an answer against the OpenAPI description of its route.
func (f *fixture) checkDescription(r *http.Request, answer *http.Response, content []byte) {
	f.t.Helper()
	router, err := legacy.NewRouter(f.description)
	if err != nil {
		f.t.Fatal(err)
	}
	route, parameters, err := router.FindRoute(r)
	if err != nil {
		if answer.StatusCode != http.StatusNotFound && answer.StatusCode != http.StatusMethodNotAllowed {
			f.t.Errorf("%s %s is not in the description, but is answered with %d", r.Method, r.URL, answer.StatusCode)
		}
		return
	}
	err = openapi3filter.ValidateResponse(context.Background(), &openapi3filter.ResponseValidationInput{
		RequestValidationInput: &openapi3filter.RequestValidationInput{Request: r, PathParams: parameters, Route: route},
		Status:                 answer.StatusCode,
		Header:                 answer.Header,
		Body:                   io.NopCloser(bytes.NewReader(content)),
		Options:                &openapi3filter.Options{IncludeResponseStatus: true},
	})
	if err != nil {
		f.t.Errorf("%s %s: the answer does not match the description: %v", r.Method, r.URL, err)
	}
}

// expect sends a request and requires that the answer has a status and that its body contains a
// substring. It returns the ETag.
func (f *fixture) expect(wantStatus int, wantSubstring, token, method, path, body string, headers ...string) string {
	f.t.Helper()
	got, text, tag := f.send(token, method, path, body, headers...)
	if got != wantStatus || !strings.Contains(text, wantSubstring) {
		f.t.Errorf("%s %s %.60q: got status %d, want %d; want substring %q in body %s", method, path, body, got, wantStatus, wantSubstring, text)
	}
	return tag
}
