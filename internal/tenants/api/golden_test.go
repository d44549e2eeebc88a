package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"stoatweir/internal/golden"
	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/store"
)

// goldenSpec is a request body for a tenant with every key set.
const goldenSpec = `{"weight": 2, "limits": {"rate_per_s": 3, "burst": 4, ` +
	`"concurrency": 5, "held_work_s": 6.5, "request_bytes": 7, "retry_ratio": 0.25},
 "operations": [{"name": "render", "effect": "deduplicated", "dedup_scope": "cell", "dedup_window_s": 8, ` +
	`"latency_objective_s": 9.5, "stretch": 10,
 "client_timeout_s": 11, "billed_value": 12, "late_billed_value": 0.5}]}`

// randomParts match the parts of answers that differ between runs: the random suffix of a handle, and
// the id and secret of a credential.
var randomParts = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{pattern: regexp.MustCompile(`"(t[0-9a-z]+)-[a-z0-9]{16}"`), replacement: `"$1-MARK"`},
	{pattern: regexp.MustCompile(`"[a-z0-9]{16}\.[A-Za-z0-9_-]{43}"`), replacement: `"ID.SECRET"`},
	{pattern: regexp.MustCompile(`"id": "[a-z0-9]{16}"`), replacement: `"id": "ID"`},
}

// transcript records requests and their answers as text.
type transcript struct {
	api  *API
	text strings.Builder
}

// send sends a request, records it and its answer, and returns the body of the answer unmasked.
func (s *transcript) send(token, method, path, body string, headers ...string) string {
	fmt.Fprintf(&s.text, "%s %s %s %v\n%s\n", token, method, path, headers, body)
	recorder := httptest.NewRecorder()
	s.api.ServeHTTP(recorder, newRequest(token, method, path, body, headers...))
	fmt.Fprintf(&s.text, "%d\n", recorder.Code)
	for _, name := range []string{"Content-Type", "Cache-Control", "ETag", "Allow", "WWW-Authenticate"} {
		if value := recorder.Header().Get(name); value != "" {
			fmt.Fprintf(&s.text, "%s: %s\n", name, value)
		}
	}
	content := recorder.Body.String()
	masked := content
	for _, part := range randomParts {
		masked = part.pattern.ReplaceAllString(masked, part.replacement)
	}
	s.text.WriteString(masked + "\n")
	return content
}

// newGoldenAPI returns an API that answers with the given usage for the tenant named one. Its disk is
// full while *isFull is set.
func newGoldenAPI(t *testing.T, usage tenants.Usage) (a *API, r *Registry, isFull *bool) {
	t.Helper()
	isFull = new(bool)
	s, err := store.Open(limitedFiles{Files: &store.Disk{Dir: t.TempDir()}, isFull: isFull})
	if err != nil {
		t.Fatal(err)
	}
	r = NewRegistry(s, noon, func([]tenants.Tenant, uint64) {})
	t.Cleanup(r.Close)
	usageOf := func(name string) (tenants.Usage, bool) { return usage, name == "one" }
	return New(r, newAdministrators(), usageOf, 2), r, isFull
}

// Each answer must be the recorded bytes except for random parts, and a spec with every key set must
// be stored completely.
func TestGoldenAnswers(t *testing.T) {
	a, r, isFull := newGoldenAPI(t, golden.Filled[tenants.Usage](t))
	s := &transcript{api: a}
	s.send(operator, "PUT", "/v1/tenants/one?dry_run=true", goldenSpec)
	s.send(operator, "PUT", "/v1/tenants/one", goldenSpec, "If-None-Match", "*")
	s.send(operator, "PUT", "/v1/tenants/one", goldenSpec)
	var granted struct {
		ID string `json:"id"`
	}
	answer := s.send(operator, "POST", "/v1/tenants/one/credentials", `{"expires": "2026-02-03T04:05:06Z"}`)
	if err := json.Unmarshal([]byte(answer), &granted); err != nil {
		t.Fatal(err)
	}
	s.send(reader, "GET", "/v1/tenants/one", "")
	s.send(operator, "PUT", "/v1/tenants/one/state", `{"state": "suspended"}`, "If-Match", `"2"`)
	s.send(operator, "PUT", "/v1/tenants/two", goldenSpec)
	s.send(reader, "GET", "/v1/tenants?limit=1&state=suspended&prefix=o", "")
	s.send(reader, "GET", "/v1/tenants?limit=1", "")
	s.send(reader, "GET", "/v1/tenants?page_token=one", "")
	s.send(reader, "GET", "/v1/tenants/one/usage", "")
	s.send(operator, "DELETE", "/v1/tenants/two", "")
	s.send(reader, "GET", "/v1/audit?after=1&limit=4", "")
	s.send(reader, "GET", "/v1/revision", "")
	s.sendInvalid()
	*isFull = true
	s.send(operator, "PUT", "/v1/tenants/full", goldenSpec)
	s.send(reader, "GET", "/v1/revision", "")
	*isFull = false
	var stored tenants.Tenant
	r.read(func(d *tenants.Directory) { stored, _ = d.Get("one") })
	var want tenants.Spec
	if err := json.Unmarshal([]byte(goldenSpec), &want); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, stored.Spec); diff != "" {
		t.Errorf("stored tenant (-want +got):\n%s", diff)
	}
	if len(granted.ID) != 16 {
		t.Errorf("got credential %+v, want an ID of 16 characters", granted)
	}
	golden.Compare(t, "answers.txt", []byte(s.text.String()))
}

// sendInvalid sends requests that are rejected, one for each reason except limits on sizes, counts
// and time.
func (s *transcript) sendInvalid() {
	s.send("", "GET", "/v1/tenants", "")
	s.send(reader, "DELETE", "/v1/tenants/one", "")
	s.send(reader, "GET", "/v1/nothing", "")
	s.send(reader, "PATCH", "/v1/tenants/one", "")
	s.send(reader, "GET", "/v1/tenants/none", "")
	s.send(reader, "GET", "/v1/tenants/none/usage", "")
	s.send(reader, "GET", "/v1/tenants?colour=red", "")
	s.send(reader, "GET", "/v1/tenants?limit=0", "")
	s.send(reader, "GET", "/v1/tenants?state=odd", "")
	s.send(operator, "PUT", "/v1/tenants/one", goldenSpec, "If-Match", `"77"`)
	s.send(operator, "PUT", "/v1/tenants/one", goldenSpec, "If-None-Match", "*")
	s.send(operator, "PUT", "/v1/tenants/one", goldenSpec, "If-Match", "x")
	s.send(operator, "PUT", "/v1/tenants/One", `{}`)
	s.send(operator, "PUT", "/v1/tenants/one", `{"Weight": 1}`)
	s.send(operator, "PUT", "/v1/tenants/one", `{"weight": "1"}`)
	s.send(operator, "PUT", "/v1/tenants/one", `{"weight"`)
	s.send(operator, "PUT", "/v1/tenants/one/state", `{"state": "odd"}`)
	s.send(operator, "DELETE", "/v1/tenants/one/credentials/none", "")
}

// The encodings of views and of a problem with every field set must be the recorded bytes, and the
// recorded bytes must decode to the same values.
func TestGoldenEncodings(t *testing.T) {
	tenant := golden.Filled[TenantView](t)
	checkGoldenJSON(t, "view.json", tenant, func(w http.ResponseWriter) {
		writeResponse(w, response{status: http.StatusOK, body: tenant})
	})
	problem := golden.Filled[Problem](t)
	checkGoldenJSON(t, "problem.json", problem, func(w http.ResponseWriter) {
		writeBody(w, contentTypeProblem, http.StatusBadRequest, &problem)
	})
	credential := golden.Filled[CredentialView](t)
	checkGoldenJSON(t, "key.json", credential, func(w http.ResponseWriter) {
		writeResponse(w, response{status: http.StatusOK, body: credential})
	})
}

// checkGoldenJSON compares the written JSON with the recorded text, and the value decoded from the
// recorded text with the wanted value.
func checkGoldenJSON[T any](t *testing.T, name string, want T, writeTo func(http.ResponseWriter)) {
	t.Helper()
	recorder := httptest.NewRecorder()
	writeTo(recorder)
	recorded := golden.Compare(t, name, recorder.Body.Bytes())
	var got T
	if err := json.Unmarshal(recorded, &got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decoded value (-want +got):\n%s", diff)
	}
}

// Every kind of rejection that usage counts must keep its name. The order of kinds in an answer is
// random, so each answer has only one.
func TestGoldenRejectionKinds(t *testing.T) {
	var text strings.Builder
	for n, kind := range tenants.RejectionKinds {
		a, _, _ := newGoldenAPI(t, tenants.Usage{Throttled: map[tenants.RejectionKind]int{kind: n + 1}})
		s := &transcript{api: a}
		s.send(reader, "GET", "/v1/tenants/one/usage", "")
		text.WriteString(s.text.String())
	}
	golden.Compare(t, "reasons.txt", []byte(text.String()))
}
