package api

import (
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

	"github.com/go-json-experiment/json"

	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/store"
)

// The OpenAPI description and the API must have the same routes.
func TestEveryRouteIsDescribed(t *testing.T) {
	f := newFixture(t)
	var described []string
	for path, item := range f.description.Paths.Map() {
		for method := range item.Operations() {
			described = append(described, method+" "+path)
		}
	}
	served := f.Routes()
	slices.Sort(described)
	slices.Sort(served)
	if !slices.Equal(described, served) {
		t.Errorf("described %v\nserved    %v", described, served)
	}
}

// A tenant is created, changed and removed. A request without effect makes no new revision, a change
// whose precondition does not hold is rejected, and a dry run changes nothing.
func TestTenantIsAVersionedResource(t *testing.T) {
	f := newFixture(t)
	f.expect(200, `"dry_run": true`, operator, "PUT", "/v1/tenants/acme?dry_run=true", specBody)
	f.expect(404, "no such tenant", operator, "GET", "/v1/tenants/acme", "")
	first := f.expect(201, `"state": "active"`, operator, "PUT", "/v1/tenants/acme", specBody, "If-None-Match", "*")
	f.expect(412, "there is a tenant of that name", operator, "PUT", "/v1/tenants/acme", specBody, "If-None-Match", "*")
	if again := f.expect(200, "", operator, "PUT", "/v1/tenants/acme", specBody); again != first {
		t.Error("a repeated PUT without a change made a new revision: ", first, again)
	}
	heavier := strings.Replace(specBody, `"weight": 1`, `"weight": 2.5`, 1)
	second := f.expect(200, `"weight": 2.5`, operator, "PUT", "/v1/tenants/acme", heavier, "If-Match", first)
	f.expect(412, "changed since", operator, "PUT", "/v1/tenants/acme", specBody, "If-Match", first)
	f.expect(200, `"suspended"`, operator, "PUT", "/v1/tenants/acme/state", `{"state": "suspended"}`, "If-Match", second)
	f.expect(201, `"credential"`, operator, "POST", "/v1/tenants/acme/credentials", `{"expires": "2027-01-01T00:00:00Z"}`)
	if _, text, _ := f.send(operator, "GET", "/v1/tenants/acme", ""); strings.Contains(text, "hash") {
		t.Errorf("got tenant %q, want no hash in it", text)
	}
	f.expect(200, `"taken": 3`, reader, "GET", "/v1/tenants/acme/usage", "")
	f.expect(200, `"what": "suspended"`, reader, "GET", "/v1/audit?after=2", "")
	f.expect(412, "", operator, "DELETE", "/v1/tenants/acme", "", "If-Match", first)
	f.expect(204, "", operator, "DELETE", "/v1/tenants/acme?dry_run=true", "")
	f.expect(204, "", operator, "DELETE", "/v1/tenants/acme", "")
	f.expect(404, "", operator, "DELETE", "/v1/tenants/acme", "")
	f.expect(404, "", reader, "GET", "/v1/tenants/acme/usage", "")
	if !slices.Equal(f.published, []uint64{0, 1, 2, 3, 4, 5}) {
		t.Errorf("got published revisions %v, want 0 to 5", f.published)
	}
}

// Each page must begin where the last one ended, even if tenants are created and removed in between.
func TestPagesAreStable(t *testing.T) {
	f := newFixture(t)
	for n := range 7 {
		f.expect(201, "", operator, "PUT", fmt.Sprintf("/v1/tenants/t%d", n), specBody)
	}
	f.expect(200, "", operator, "PUT", "/v1/tenants/t3/state", `{"state": "suspended"}`)
	var got []string
	token := ""
	for page := range 9 {
		_, text, _ := f.send(reader, "GET", "/v1/tenants?limit=3&state=active&prefix=t&page_token="+token, "")
		var list struct {
			Tenants []struct {
				Name string `json:"name"`
			} `json:"tenants"`
			NextPageToken string `json:"next_page_token"`
		}
		if err := json.Unmarshal([]byte(text), &list); err != nil {
			t.Fatal(err)
		}
		for _, tenant := range list.Tenants {
			got = append(got, tenant.Name)
		}
		if page == 0 {
			f.expect(204, "", operator, "DELETE", "/v1/tenants/t2", "")
			f.expect(201, "", operator, "PUT", "/v1/tenants/a-new-one", specBody)
		}
		token = list.NextPageToken
		if token == "" {
			break
		}
	}
	if fmt.Sprint(got) != "[t0 t1 t2 t4 t5 t6]" {
		t.Errorf("got tenants %v, want [t0 t1 t2 t4 t5 t6]", got)
	}
}

// Invalid input must be rejected with the name of the invalid field, and must change nothing.
func TestInvalidInputIsRejected(t *testing.T) {
	f := newFixture(t)
	put := func(wantStatus int, wantSubstring, body string) {
		t.Helper()
		f.expect(wantStatus, wantSubstring, operator, "PUT", "/v1/tenants/acme", body)
	}
	put(400, `"field": "/wieght"`, strings.Replace(specBody, "weight", "wieght", 1))
	put(400, `"field": "/Weight"`, strings.Replace(specBody, "weight", "Weight", 1))
	put(400, `"field": "/weight"`, strings.Replace(specBody, `"weight": 1`, `"weight": "1"`, 1))
	put(400, `duplicate`, strings.Replace(specBody, `{"weight": 1`, `{"weight": 1, "weight": 2`, 1))
	put(400, `no JSON`, specBody[:40])
	put(400, `no JSON`, specBody+"{}")
	put(400, "", "")
	put(400, `"field": "/limits/concurrency"`, strings.Replace(specBody, `"rate_per_s": 5`, `"concurrency": 1.5`, 1))
	put(400, `"field": "/operations/0/stretch"`, strings.Replace(specBody, `"billed_value": 1`, `"stretch": [1]`, 1))
	put(422, `"field": "/weight"`, strings.Replace(specBody, `"weight": 1`, `"weight": 0`, 1))
	put(422, `"field": "/limits/rate_per_s"`, strings.Replace(specBody, `"rate_per_s": 5`, `"rate_per_s": -5`, 1))
	put(422, `over 1e+09`, strings.Replace(specBody, `"rate_per_s": 5`, `"rate_per_s": 1e300`, 1))
	put(422, `"field": "/operations"`, `{"weight": 1, "limits": {}, "operations": []}`)
	put(413, "", `{"weight": `+strings.Repeat(" ", maxBodyBytes)+`1}`)
	f.expect(422, `"field": "/name"`, operator, "PUT", "/v1/tenants/%D0%B0cme", specBody) // a Cyrillic a
	f.expect(422, `"field": "/name"`, operator, "PUT", "/v1/tenants/Acme", specBody)
	f.expect(400, `"field": "If-Match"`, operator, "PUT", "/v1/tenants/acme", specBody, "If-Match", "12")
	f.expect(400, `"field": "If-Match"`, operator, "PUT", "/v1/tenants/acme", specBody, "If-Match", `W/"12"`)
	f.expect(400, `"field": "If-None-Match"`, operator, "PUT", "/v1/tenants/acme", specBody, "If-None-Match", `"1"`)
	f.expect(400, `"field": "dry_run"`, operator, "PUT", "/v1/tenants/acme?dry_run=maybe", specBody)
	f.expect(400, `"field": "dry-run"`, operator, "PUT", "/v1/tenants/acme?dry-run=true", specBody)
	f.expect(400, `"field": "limit"`, reader, "GET", "/v1/tenants?limit=-1", "")
	f.expect(400, `"field": "limit"`, reader, "GET", "/v1/tenants?limit=1&limit=2", "")
	f.expect(400, `"field": "state"`, reader, "GET", "/v1/tenants?state=gone", "")
	f.expect(400, `"field": "after"`, reader, "GET", "/v1/audit?after=x", "")
	f.expect(401, "", "", "GET", "/v1/tenants", "")
	f.expect(401, "", "wrong", "GET", "/v1/tenants", "")
	f.expect(403, "eyes may only read", reader, "PUT", "/v1/tenants/acme", specBody)
	f.expect(404, "", operator, "GET", "/v2/tenants", "")
	f.expect(405, "it takes GET, PUT, DELETE", operator, "POST", "/v1/tenants/acme", "")
	f.expect(404, "", operator, "PUT", "/v1/tenants/acme/state", `{"state": "active"}`)
	if len(f.published) != 1 {
		t.Error("an invalid request made a change; published revisions: ", f.published)
	}
	f.expect(201, "", operator, "PUT", "/v1/tenants/acme", specBody)
	f.expect(422, `"field": "/state"`, operator, "PUT", "/v1/tenants/acme/state", `{"state": "gone"}`)
	f.expect(422, `"field": "/expires"`, operator, "POST", "/v1/tenants/acme/credentials", `{"expires": "2020-01-01T00:00:00Z"}`)
	f.expect(404, "", operator, "DELETE", "/v1/tenants/acme/credentials/none", "")
}

// Twenty administrators change one tenant concurrently, starting from the same revision: one change
// must succeed, and all others must fail with 412 Precondition Failed.
func TestOneOfManyConcurrentChangesSucceeds(t *testing.T) {
	f := newFixture(t)
	tag := f.expect(201, "", operator, "PUT", "/v1/tenants/acme", specBody)
	var group sync.WaitGroup
	statuses := make([]int, 20)
	for n := range statuses {
		group.Go(func() {
			changed := strings.Replace(specBody, `"weight": 1`, fmt.Sprint(`"weight": `, n+2), 1)
			recorder := httptest.NewRecorder()
			f.ServeHTTP(recorder, newRequest(operator, "PUT", "/v1/tenants/acme", changed, "If-Match", tag))
			statuses[n] = recorder.Code
		})
	}
	group.Wait()
	count := map[int]int{}
	for _, status := range statuses {
		count[status]++
	}
	if count[200] != 1 || count[412] != 19 {
		t.Errorf("got numbers of answers by status %v, want one 200 and 19 times 412", count)
	}
}

// While the disk is full, changes are rejected with the reason and reads are still answered. A
// scheduler that is a follower rejects changes and says why.
func TestChangesAreRejectedWhereNothingCanBeWritten(t *testing.T) {
	f := newFixture(t)
	f.expect(201, "", operator, "PUT", "/v1/tenants/acme", specBody)
	f.isFull = true
	f.expect(507, "no space left", operator, "PUT", "/v1/tenants/other", specBody)
	f.expect(200, `"writes": false`, reader, "GET", "/v1/revision", "")
	f.expect(200, "acme", reader, "GET", "/v1/tenants", "")
	f.isFull = false
	f.expect(201, "", operator, "PUT", "/v1/tenants/other", specBody)
	s, err := store.Open(&store.Disk{Dir: f.dir})
	if err != nil {
		t.Fatal(err)
	}
	r := NewRegistry(s, time.Now, func([]tenants.Tenant, uint64) {})
	defer r.Close()
	follower := New(r, newAdministrators(), nil, 1)
	recorder := httptest.NewRecorder()
	follower.ServeHTTP(recorder, newRequest(operator, "PUT", "/v1/tenants/third", specBody))
	if recorder.Code != http.StatusServiceUnavailable || !strings.Contains(recorder.Body.String(), "only follows") {
		t.Errorf("got status %d and body %q, want 503 and a body with \"only follows\"", recorder.Code, recorder.Body)
	}
}

// Connections that send nothing or only a part of a request must not lock others out for longer than
// the read timeout, and an incomplete request must be answered with 408 Request Timeout.
func TestSlowConnectionsAreBounded(t *testing.T) {
	f := newFixture(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go f.Serve(l)
	t.Cleanup(func() { l.Close() })
	var silent []net.Conn
	for range MaxConnections {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		silent = append(silent, conn)
	}
	defer func() {
		for _, conn := range silent {
			conn.Close()
		}
	}()
	fmt.Fprintf(silent[0], "PUT /v1/tenants/acme HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\nContent-Length: 500\r\n\r\n{", operator)
	start := time.Now()
	r, err := http.NewRequest("GET", "http://"+l.Addr().String()+"/v1/revision", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+operator)
	client := &http.Client{Timeout: 2 * readTimeout}
	answer, err := client.Do(r)
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("got error %v and answer %+v, want no error and status 200", err, answer)
	}
	answer.Body.Close()
	if took := time.Since(start); took > readTimeout+2*time.Second {
		t.Error("a request beside silent connections took", took)
	}
	silent[0].SetReadDeadline(time.Now().Add(readTimeout))
	content, _ := io.ReadAll(silent[0]) // returns at the deadline if the connection is not closed
	if !strings.HasPrefix(string(content), "HTTP/1.1 408") {
		t.Errorf("an incomplete body is not answered with 408: %.80q", content)
	}
}
