package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"stoatweir/internal/golden"
	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/store"
)

// goldenSpec is the body of a tenant, every key set.
const goldenSpec = `{"weight": 2, "limits": {"rate_per_s": 3, "burst": 4, "concurrency": 5, "held_work_s": 6.5, "request_bytes": 7, "retry_ratio": 0.25},
 "operations": [{"name": "render", "effect": "deduplicated", "dedup_scope": "cell", "dedup_window_s": 8, "latency_objective_s": 9.5, "stretch": 10,
 "client_timeout_s": 11, "billed_value": 12, "late_billed_value": 0.5}]}`

// chance matches what differs from run to run: the mark of a handle, a credential's id and its secret.
var chance = []struct {
	found *regexp.Regexp
	put   string
}{
	{regexp.MustCompile(`"(t[0-9a-z]+)-[a-z0-9]{16}"`), `"$1-MARK"`},
	{regexp.MustCompile(`"[a-z0-9]{16}\.[A-Za-z0-9_-]{43}"`), `"ID.SECRET"`},
	{regexp.MustCompile(`"id": "[a-z0-9]{16}"`), `"id": "ID"`},
}

// transcript is calls with their answers, as text.
type transcript struct {
	api  *API
	text strings.Builder
}

// call gives the body of the answer as it came.
func (s *transcript) call(token, method, path, body string, headers ...string) string {
	in := httptest.NewRequest(method, path, strings.NewReader(body))
	if token != "" {
		in.Header.Set("Authorization", "Bearer "+token)
	}
	fmt.Fprintf(&s.text, "%s %s %s %v\n%s\n", token, method, path, headers, body)
	for n := 0; n < len(headers); n += 2 {
		in.Header.Set(headers[n], headers[n+1])
	}
	out := httptest.NewRecorder()
	s.api.ServeHTTP(out, in)
	b, _ := io.ReadAll(out.Body)
	fmt.Fprintf(&s.text, "%d\n", out.Code)
	for _, name := range []string{"Content-Type", "Cache-Control", "ETag", "Allow", "WWW-Authenticate"} {
		if value := out.Header().Get(name); value != "" {
			fmt.Fprintf(&s.text, "%s: %s\n", name, value)
		}
	}
	text := string(b)
	for _, c := range chance {
		text = c.found.ReplaceAllString(text, c.put)
	}
	s.text.WriteString(text + "\n")
	return string(b)
}

// goldenDesk is an API whose usage has every figure set.
func goldenDesk(t *testing.T, usage tenants.Usage) (a *API, r *Registry, isFull *bool) {
	t.Helper()
	isFull = new(bool)
	s, err := store.Open(full{&store.Disk{Dir: t.TempDir()}, isFull})
	if err != nil {
		t.Fatal(err)
	}
	now := time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)
	r = NewRegistry(s, func() time.Time { return now }, func([]tenants.Tenant, uint64) {})
	t.Cleanup(r.Close)
	use := func(name string) (tenants.Usage, bool) { return usage, name == "one" }
	return New(r, []Administrator{{"ops", Operate, tenants.HashOf("o")}, {"eyes", Read, tenants.HashOf("e")}}, use, 2), r, isFull
}

// Each call's answer, good and bad, is the same to the byte but for what chance gives, and a spec with every key is taken whole.
func TestGoldenAnswers(t *testing.T) {
	a, r, isFull := goldenDesk(t, golden.Filled[tenants.Usage](t))
	s := &transcript{api: a}
	s.call("o", "PUT", "/v1/tenants/one?dry_run=true", goldenSpec)
	s.call("o", "PUT", "/v1/tenants/one", goldenSpec, "If-None-Match", "*")
	s.call("o", "PUT", "/v1/tenants/one", goldenSpec)
	var granted struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal([]byte(s.call("o", "POST", "/v1/tenants/one/credentials", `{"expires": "2026-02-03T04:05:06Z"}`)), &granted); err != nil {
		t.Fatal(err)
	}
	s.call("e", "GET", "/v1/tenants/one", "")
	s.call("o", "PUT", "/v1/tenants/one/state", `{"state": "suspended"}`, "If-Match", `"2"`)
	s.call("o", "PUT", "/v1/tenants/two", goldenSpec)
	s.call("e", "GET", "/v1/tenants?limit=1&state=suspended&prefix=o", "")
	s.call("e", "GET", "/v1/tenants?limit=1", "")
	s.call("e", "GET", "/v1/tenants?page_token=one", "")
	s.call("e", "GET", "/v1/tenants/one/usage", "")
	s.call("o", "DELETE", "/v1/tenants/two", "")
	s.call("e", "GET", "/v1/audit?after=1&limit=4", "")
	s.call("e", "GET", "/v1/revision", "")
	s.bad()
	*isFull = true
	s.call("o", "PUT", "/v1/tenants/full", goldenSpec)
	s.call("e", "GET", "/v1/revision", "")
	*isFull = false
	var wanted, got tenants.Spec
	r.read(func(b *tenants.Directory) { one, _ := b.Get("one"); got = one.Spec })
	if err := json.Unmarshal([]byte(goldenSpec), &wanted); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(wanted, got); diff != "" {
		t.Error(diff)
	}
	if len(granted.ID) != 16 {
		t.Error(granted)
	}
	golden.Compare(t, "answers.txt", []byte(s.text.String()))
}

// bad has calls that are refused, for each reason that there is but limits of number and time.
func (s *transcript) bad() {
	s.call("", "GET", "/v1/tenants", "")
	s.call("e", "DELETE", "/v1/tenants/one", "")
	s.call("e", "GET", "/v1/nothing", "")
	s.call("e", "PATCH", "/v1/tenants/one", "")
	s.call("e", "GET", "/v1/tenants/none", "")
	s.call("e", "GET", "/v1/tenants/none/usage", "")
	s.call("e", "GET", "/v1/tenants?colour=red", "")
	s.call("e", "GET", "/v1/tenants?limit=0", "")
	s.call("e", "GET", "/v1/tenants?state=odd", "")
	s.call("o", "PUT", "/v1/tenants/one", goldenSpec, "If-Match", `"77"`)
	s.call("o", "PUT", "/v1/tenants/one", goldenSpec, "If-None-Match", "*")
	s.call("o", "PUT", "/v1/tenants/one", goldenSpec, "If-Match", "x")
	s.call("o", "PUT", "/v1/tenants/One", `{}`)
	s.call("o", "PUT", "/v1/tenants/one", `{"Weight": 1}`)
	s.call("o", "PUT", "/v1/tenants/one", `{"weight": "1"}`)
	s.call("o", "PUT", "/v1/tenants/one", `{"weight"`)
	s.call("o", "PUT", "/v1/tenants/one/state", `{"state": "odd"}`)
	s.call("o", "DELETE", "/v1/tenants/one/credentials/none", "")
}

// A view and a problem with every field set are the same to the byte, and the recorded ones are read back whole.
func TestGoldenForms(t *testing.T) {
	v, p, k := golden.Filled[View](t), golden.Filled[Problem](t), golden.Filled[KeyView](t)
	goldenForm(t, "view.json", answer{status: 200, body: v}, v)
	goldenForm(t, "problem.json", answer{status: 400, problem: &p}, p)
	goldenForm(t, "key.json", answer{status: 200, body: k}, k)
}

func goldenForm[T any](t *testing.T, name string, a answer, wanted T) {
	t.Helper()
	out := httptest.NewRecorder()
	write(out, a)
	var got T
	if err := json.NewDecoder(bytes.NewReader(golden.Compare(t, name, out.Body.Bytes()))).Decode(&got); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(wanted, got); diff != "" {
		t.Error(diff)
	}
}

// Every reason that usage counts keeps its name. Their order differs from answer to answer, so there is one in each.
func TestGoldenReasons(t *testing.T) {
	var text strings.Builder
	for n, kind := range tenants.RejectionKinds {
		a, _, _ := goldenDesk(t, tenants.Usage{Throttled: map[tenants.RejectionKind]int{kind: n + 1}})
		s := &transcript{api: a}
		s.call("e", "GET", "/v1/tenants/one/usage", "")
		text.WriteString(s.text.String())
	}
	golden.Compare(t, "reasons.txt", []byte(text.String()))
}
