package api

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/getkin/kin-openapi/openapi3filter"
	"github.com/getkin/kin-openapi/routers/legacy"
	"github.com/go-json-experiment/json"

	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/store"
)

const body = `{"weight": 1, "limits": {"rate_per_s": 5}, "operations": [{"name": "render", "effect": "idempotent",
	"latency_objective_s": 1, "client_timeout_s": 2, "billed_value": 1}]}`

// full is a disk that has no room from some moment on.
type full struct {
	store.Files
	is *bool
}

type fullFile struct {
	store.File
	is *bool
}

func (f full) Open(name string, read bool) (store.File, error) {
	file, err := f.Files.Open(name, read)
	return fullFile{file, f.is}, err
}

func (f fullFile) Write(b []byte) (int, error) {
	if *f.is {
		return 0, errors.New("no space left")
	}
	return f.File.Write(b)
}

// desk is an API over a store of its own, with what it has published.
type desk struct {
	*API
	t         *testing.T
	dir       string
	full      bool
	mu        sync.Mutex
	published []uint64
	describes *openapi3.T
}

func newDesk(t *testing.T) *desk {
	t.Helper()
	d := &desk{t: t, dir: t.TempDir()}
	s, err := store.Open(full{&store.Disk{Dir: d.dir}, &d.full})
	if err != nil {
		t.Fatal(err)
	}
	r := NewRegistry(s, func() time.Time { return time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC) }, func(_ []tenants.Tenant, revision uint64) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.published = append(d.published, revision)
	})
	t.Cleanup(r.Close)
	use := func(name string) (tenants.Usage, bool) {
		known := false
		r.read(func(b *tenants.Directory) { _, known = b.Get(name) })
		return tenants.Usage{Admitted: 3, Throttled: map[tenants.RejectionKind]int{tenants.Rate: 2}}, known
	}
	d.API = New(r, []Administrator{{"ops", Operate, tenants.HashOf("o")}, {"eyes", Read, tenants.HashOf("e")}}, use, 2)
	if d.describes, err = openapi3.NewLoader().LoadFromFile("../../../docs/tenants-openapi.json"); err != nil {
		t.Fatal(err)
	}
	if err := d.describes.Validate(context.Background()); err != nil {
		t.Fatal(err)
	}
	return d
}

// ask calls, holds the answer against the description, and gives status, body and ETag.
func (d *desk) ask(token, method, path, body string, headers ...string) (status int, text, tag string) {
	d.t.Helper()
	in := httptest.NewRequest(method, path, strings.NewReader(body))
	in.Header.Set("Content-Type", "application/json")
	if token != "" {
		in.Header.Set("Authorization", "Bearer "+token)
	}
	for n := 0; n < len(headers); n += 2 {
		in.Header.Set(headers[n], headers[n+1])
	}
	out := httptest.NewRecorder()
	d.ServeHTTP(out, in)
	answer := out.Result()
	b, _ := io.ReadAll(answer.Body)
	router, err := legacy.NewRouter(d.describes)
	if err != nil {
		d.t.Fatal(err)
	}
	route, params, err := router.FindRoute(in)
	if err != nil {
		if answer.StatusCode != 404 && answer.StatusCode != 405 {
			d.t.Errorf("%s %s is not described and answers %d", method, path, answer.StatusCode)
		}
		return answer.StatusCode, string(b), ""
	}
	err = openapi3filter.ValidateResponse(context.Background(), &openapi3filter.ResponseValidationInput{
		RequestValidationInput: &openapi3filter.RequestValidationInput{Request: in, PathParams: params, Route: route},
		Status:                 answer.StatusCode, Header: answer.Header, Body: io.NopCloser(bytes.NewReader(b)),
		Options: &openapi3filter.Options{IncludeResponseStatus: true}})
	if err != nil {
		d.t.Errorf("%s %s: the answer is not as described: %v", method, path, err)
	}
	return answer.StatusCode, string(b), answer.Header.Get("ETag")
}

// want asks and insists on a status and words in the body.
func (d *desk) want(status int, words, token, method, path, body string, headers ...string) string {
	d.t.Helper()
	got, text, tag := d.ask(token, method, path, body, headers...)
	if got != status || !strings.Contains(text, words) {
		d.t.Errorf("%s %s %.60q: %d in place of %d, wanted %q in %s", method, path, body, got, status, words, text)
	}
	return tag
}

// What is served is what is described, route by route.
func TestDescription(t *testing.T) {
	d := newDesk(t)
	var described []string
	for path, item := range d.describes.Paths.Map() {
		for method := range item.Operations() {
			described = append(described, method+" "+path)
		}
	}
	served := d.Routes()
	slices.Sort(described)
	slices.Sort(served)
	if !slices.Equal(described, served) {
		t.Errorf("described %v\nserved    %v", described, served)
	}
}

// A tenant's life through the API: what has no effect is no change, a lost race is told, a dry run leaves all as it was.
func TestResources(t *testing.T) {
	d := newDesk(t)
	d.want(200, `"dry_run": true`, "o", "PUT", "/v1/tenants/acme?dry_run=true", body)
	d.want(404, "no such tenant", "o", "GET", "/v1/tenants/acme", "")
	first := d.want(201, `"state": "active"`, "o", "PUT", "/v1/tenants/acme", body, "If-None-Match", "*")
	d.want(412, "there is a tenant of that name", "o", "PUT", "/v1/tenants/acme", body, "If-None-Match", "*")
	if again := d.want(200, "", "o", "PUT", "/v1/tenants/acme", body); again != first {
		t.Error("the same once more is a new revision: ", first, again)
	}
	heavier := strings.Replace(body, `"weight": 1`, `"weight": 2.5`, 1)
	second := d.want(200, `"weight": 2.5`, "o", "PUT", "/v1/tenants/acme", heavier, "If-Match", first)
	d.want(412, "changed since", "o", "PUT", "/v1/tenants/acme", body, "If-Match", first)
	d.want(200, `"suspended"`, "o", "PUT", "/v1/tenants/acme/state", `{"state": "suspended"}`, "If-Match", second)
	d.want(201, `"credential"`, "o", "POST", "/v1/tenants/acme/credentials", `{"expires": "2027-01-01T00:00:00Z"}`)
	if _, text, _ := d.ask("o", "GET", "/v1/tenants/acme", ""); strings.Contains(text, "hash") {
		t.Error(text)
	}
	d.want(200, `"taken": 3`, "e", "GET", "/v1/tenants/acme/usage", "")
	d.want(200, `"what": "suspended"`, "e", "GET", "/v1/audit?after=2", "")
	d.want(412, "", "o", "DELETE", "/v1/tenants/acme", "", "If-Match", first)
	d.want(204, "", "o", "DELETE", "/v1/tenants/acme?dry_run=true", "")
	d.want(204, "", "o", "DELETE", "/v1/tenants/acme", "")
	d.want(404, "", "o", "DELETE", "/v1/tenants/acme", "")
	d.want(404, "", "e", "GET", "/v1/tenants/acme/usage", "")
	if !slices.Equal(d.published, []uint64{0, 1, 2, 3, 4, 5}) {
		t.Error(d.published)
	}
}

// Pages go on where the last ended, whatever comes and goes between.
func TestPages(t *testing.T) {
	d := newDesk(t)
	for n := range 7 {
		d.want(201, "", "o", "PUT", fmt.Sprintf("/v1/tenants/t%d", n), body)
	}
	d.want(200, "", "o", "PUT", "/v1/tenants/t3/state", `{"state": "suspended"}`)
	var got []string
	for token, page := "", 0; page < 9; page++ {
		_, text, _ := d.ask("e", "GET", "/v1/tenants?limit=3&state=active&prefix=t&page_token="+token, "")
		var in struct {
			Tenants []struct {
				Name string `json:"name"`
			} `json:"tenants"`
			Next string `json:"next_page_token"`
		}
		json.Unmarshal([]byte(text), &in)
		for _, one := range in.Tenants {
			got = append(got, one.Name)
		}
		if page == 0 {
			d.want(204, "", "o", "DELETE", "/v1/tenants/t2", "")
			d.want(201, "", "o", "PUT", "/v1/tenants/a-new-one", body)
		}
		if token = in.Next; token == "" {
			break
		}
	}
	if fmt.Sprint(got) != "[t0 t1 t2 t4 t5 t6]" {
		t.Error(got)
	}
}

// Whatever is wrong is said, by field, and nothing is taken of it.
func TestBadInput(t *testing.T) {
	d := newDesk(t)
	put := func(status int, words, body string) {
		t.Helper()
		d.want(status, words, "o", "PUT", "/v1/tenants/acme", body)
	}
	put(400, `"field": "/wieght"`, strings.Replace(body, "weight", "wieght", 1))
	put(400, `"field": "/Weight"`, strings.Replace(body, "weight", "Weight", 1))
	put(400, `"field": "/weight"`, strings.Replace(body, `"weight": 1`, `"weight": "1"`, 1))
	put(400, `duplicate`, strings.Replace(body, `{"weight": 1`, `{"weight": 1, "weight": 2`, 1))
	put(400, `no JSON`, body[:40])
	put(400, `no JSON`, body+"{}")
	put(400, "", "")
	put(400, `"field": "/limits/concurrency"`, strings.Replace(body, `"rate_per_s": 5`, `"concurrency": 1.5`, 1))
	put(400, `"field": "/operations/0/stretch"`, strings.Replace(body, `"billed_value": 1`, `"stretch": [1]`, 1))
	put(422, `"field": "/weight"`, strings.Replace(body, `"weight": 1`, `"weight": 0`, 1))
	put(422, `"field": "/limits/rate_per_s"`, strings.Replace(body, `"rate_per_s": 5`, `"rate_per_s": -5`, 1))
	put(422, `over 1e+09`, strings.Replace(body, `"rate_per_s": 5`, `"rate_per_s": 1e300`, 1))
	put(422, `"field": "/operations"`, `{"weight": 1, "limits": {}, "operations": []}`)
	put(413, "", `{"weight": `+strings.Repeat(" ", bodyMost)+`1}`)
	d.want(422, `"field": "/name"`, "o", "PUT", "/v1/tenants/%D0%B0cme", body) // a Cyrillic a
	d.want(422, `"field": "/name"`, "o", "PUT", "/v1/tenants/Acme", body)
	d.want(400, `"field": "If-Match"`, "o", "PUT", "/v1/tenants/acme", body, "If-Match", "12")
	d.want(400, `"field": "If-Match"`, "o", "PUT", "/v1/tenants/acme", body, "If-Match", `W/"12"`)
	d.want(400, `"field": "If-None-Match"`, "o", "PUT", "/v1/tenants/acme", body, "If-None-Match", `"1"`)
	d.want(400, `"field": "dry_run"`, "o", "PUT", "/v1/tenants/acme?dry_run=maybe", body)
	d.want(400, `"field": "dry-run"`, "o", "PUT", "/v1/tenants/acme?dry-run=true", body)
	d.want(400, `"field": "limit"`, "e", "GET", "/v1/tenants?limit=-1", "")
	d.want(400, `"field": "limit"`, "e", "GET", "/v1/tenants?limit=1&limit=2", "")
	d.want(400, `"field": "state"`, "e", "GET", "/v1/tenants?state=gone", "")
	d.want(400, `"field": "after"`, "e", "GET", "/v1/audit?after=x", "")
	d.want(401, "", "", "GET", "/v1/tenants", "")
	d.want(401, "", "wrong", "GET", "/v1/tenants", "")
	d.want(403, "eyes may only read", "e", "PUT", "/v1/tenants/acme", body)
	d.want(404, "", "o", "GET", "/v2/tenants", "")
	d.want(405, "it takes GET, PUT, DELETE", "o", "POST", "/v1/tenants/acme", "")
	d.want(404, "", "o", "PUT", "/v1/tenants/acme/state", `{"state": "active"}`)
	if len(d.published) != 1 {
		t.Error("something was changed: ", d.published)
	}
	d.want(201, "", "o", "PUT", "/v1/tenants/acme", body)
	d.want(422, `"field": "/state"`, "o", "PUT", "/v1/tenants/acme/state", `{"state": "gone"}`)
	d.want(422, `"field": "/expires"`, "o", "POST", "/v1/tenants/acme/credentials", `{"expires": "2020-01-01T00:00:00Z"}`)
	d.want(404, "", "o", "DELETE", "/v1/tenants/acme/credentials/none", "")
}

// Twenty administrators change one tenant from the same revision: one is told yes, all others that they have lost the race.
func TestRace(t *testing.T) {
	d := newDesk(t)
	tag := d.want(201, "", "o", "PUT", "/v1/tenants/acme", body)
	var all sync.WaitGroup
	statuses := make([]int, 20)
	for n := range statuses {
		all.Go(func() {
			in := httptest.NewRequest("PUT", "/v1/tenants/acme", strings.NewReader(strings.Replace(body, `"weight": 1`, fmt.Sprint(`"weight": `, n+2), 1)))
			in.Header.Set("Authorization", "Bearer o")
			in.Header.Set("If-Match", tag)
			out := httptest.NewRecorder()
			d.ServeHTTP(out, in)
			statuses[n] = out.Code
		})
	}
	all.Wait()
	count := map[int]int{}
	for _, s := range statuses {
		count[s]++
	}
	if count[200] != 1 || count[412] != 19 {
		t.Error(count)
	}
}

// A full disk refuses changes with its reason and goes on answering; a scheduler that only follows says so.
func TestCannotWrite(t *testing.T) {
	d := newDesk(t)
	d.want(201, "", "o", "PUT", "/v1/tenants/acme", body)
	d.full = true
	d.want(507, "no space left", "o", "PUT", "/v1/tenants/other", body)
	d.want(200, `"writes": false`, "e", "GET", "/v1/revision", "")
	d.want(200, "acme", "e", "GET", "/v1/tenants", "")
	d.full = false
	d.want(201, "", "o", "PUT", "/v1/tenants/other", body)
	s, err := store.Open(&store.Disk{Dir: d.dir})
	if err != nil {
		t.Fatal(err)
	}
	r := NewRegistry(s, time.Now, func([]tenants.Tenant, uint64) {})
	defer r.Close()
	follower := New(r, []Administrator{{"ops", Operate, tenants.HashOf("o")}}, nil, 1)
	in := httptest.NewRequest("PUT", "/v1/tenants/third", strings.NewReader(body))
	in.Header.Set("Authorization", "Bearer o")
	out := httptest.NewRecorder()
	follower.ServeHTTP(out, in)
	if out.Code != 503 || !strings.Contains(out.Body.String(), "only follows") {
		t.Error(out.Code, out.Body)
	}
}

// Over a socket: a caller that sends a byte now and then has an end, and callers that say nothing leave room for others.
func TestSlow(t *testing.T) {
	d := newDesk(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go d.Serve(l)
	t.Cleanup(func() { l.Close() })
	var silent []net.Conn
	for range CallersMost {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, c)
	}
	defer func() {
		for _, c := range silent {
			c.Close()
		}
	}()
	fmt.Fprintf(silent[0], "PUT /v1/tenants/acme HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer o\r\nContent-Length: 500\r\n\r\n{")
	began := time.Now()
	in, _ := http.NewRequest("GET", "http://"+l.Addr().String()+"/v1/revision", nil)
	in.Header.Set("Authorization", "Bearer o")
	answer, err := (&http.Client{Timeout: 2 * readIn}).Do(in)
	if err != nil || answer.StatusCode != 200 {
		t.Fatal(err, answer)
	}
	answer.Body.Close()
	if took := time.Since(began); took > readIn+2*time.Second {
		t.Error("others kept it for", took)
	}
	silent[0].SetReadDeadline(time.Now().Add(readIn))
	b, _ := io.ReadAll(silent[0])
	if !strings.HasPrefix(string(b), "HTTP/1.1 408") {
		t.Errorf("a body without an end: %.80q", b)
	}
}
