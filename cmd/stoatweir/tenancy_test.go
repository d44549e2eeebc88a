package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"stoatweir/internal/tenants"
)

const adminToken = "for tests alone"

// hosted is a rig whose program serves tenants.
type hosted struct {
	*rig
	api string
}

// newHosted has workers with so many slots each.
func newHosted(t *testing.T, workers, slots int, runs time.Duration, room int) *hosted {
	t.Helper()
	h := &hosted{rig: newRig(t, workers, runs), api: freeAddr(t)}
	for _, w := range h.workers {
		w.slots = make(chan struct{}, slots)
	}
	store := filepath.Join(h.dir, "tenants")
	os.Mkdir(store, 0o700)
	h.config["limits"] = map[string]any{"memory_mb": 64, "sockets": 1024}
	h.config["tenants"] = map[string]any{"dir": store, "api": h.api, "room": room, "administrators": []map[string]any{
		{"name": "ops", "role": "operate", "sha256": tenants.HashOf(adminToken)}, {"name": "eyes", "role": "read", "sha256": tenants.HashOf("eyes")}}}
	s := h.config["settings"].(map[string]any)
	s["FamilyInfo"] = map[string]any{"TellsStart": true, "ReportX0": "free slots"}
	s["Report"] = map[string]any{"How": "probe", "Names": []string{"x0"}}
	s["Limits"] = map[string]any{"MostForwards": 3, "Cancel": true, "RetryAfter": true, "MaxRetryAfter": 1, "Probes": true}
	h.writeConfig()
	return h
}

// call is an administrator's, and insists on a status.
func (h *hosted) call(status int, method, path, body string, headers ...string) map[string]any {
	h.t.Helper()
	in, err := http.NewRequest(method, "http://"+h.api+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	in.Header.Set("Authorization", "Bearer "+adminToken)
	for n := 0; n < len(headers); n += 2 {
		in.Header.Set(headers[n], headers[n+1])
	}
	var answer *http.Response
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if answer, err = http.DefaultClient.Do(in); err == nil || time.Now().After(end) {
			break
		}
		in.Body = io.NopCloser(strings.NewReader(body))
	}
	if err != nil {
		h.t.Fatal(err)
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	if answer.StatusCode != status {
		h.t.Fatalf("%s %s: %d in place of %d: %s", method, path, answer.StatusCode, status, text)
	}
	var v map[string]any
	json.Unmarshal(text, &v)
	return v
}

const renders = `{"name": "render", "effect": "idempotent", "latency_objective_s": 0.25, "client_timeout_s": 2, "billed_value": 1}`

// tenant makes one, with a credential.
func (h *hosted) tenant(name, limits string, operations ...string) (credential string) {
	h.t.Helper()
	if len(operations) == 0 {
		operations = []string{renders}
	}
	h.call(201, "PUT", "/v1/tenants/"+name, fmt.Sprintf(`{"weight": 1, "limits": {%s}, "operations": [%s]}`, limits, strings.Join(operations, ", ")))
	return h.call(201, "POST", "/v1/tenants/"+name+"/credentials", "{}")["credential"].(string)
}

// tally is what one tenant's clients saw.
type tally struct {
	mu            sync.Mutex
	asked, inTime int
	statuses      map[int]int
	troubles      []string
}

// load sends invocations at a rate whatever comes back, each with so many retries at once after a rejection, over reused connections.
func (h *hosted) load(credential, name, operation string, rate float64, lasts time.Duration, tries int) *tally {
	return h.hinted(credential, name, operation, rate, lasts, tries, 40*time.Millisecond)
}

// hinted sends them with a guess of their work.
func (h *hosted) hinted(credential, name, operation string, rate float64, lasts time.Duration, tries int, hint time.Duration) *tally {
	cost := fmt.Sprint("X-Call-Cost: ", hint.Microseconds(), "\r\n")
	t := &tally{statuses: map[int]int{}}
	idle := make(chan *reusedConn, 4096)
	var all sync.WaitGroup
	began := time.Now()
	for n := 0; ; n++ {
		at := time.Duration(float64(n) / rate * float64(time.Second))
		if at >= lasts {
			break
		}
		time.Sleep(time.Until(began.Add(at)))
		all.Add(1)
		go func() {
			defer all.Done()
			var kept *reusedConn
			select {
			case kept = <-idle:
			default:
				kept = &reusedConn{addr: h.listen}
			}
			first, served := time.Now(), false
			for try := 1; try <= tries && !served; try++ {
				id := fmt.Sprintf("%s-%d-%d", name, n, try)
				status, body := kept.request(post("/"+operation+"/k", "Authorization: Bearer "+credential+"\r\nX-Call-Id: "+id+"\r\nX-Call-Class: "+operation+
					"\r\nX-Budget: 2\r\n"+cost, id))
				t.mu.Lock()
				t.statuses[status]++
				if served = status == 200; served && !strings.HasSuffix(body, "~"+id) || status == -1 {
					t.troubles = append(t.troubles, fmt.Sprintf("%s: %d %.80s", id, status, body))
				}
				t.mu.Unlock()
			}
			t.mu.Lock()
			if t.asked++; served && time.Since(first) <= 330*time.Millisecond {
				t.inTime++
			}
			t.mu.Unlock()
			idle <- kept
		}()
	}
	all.Wait()
	for len(idle) > 0 {
		(<-idle).close()
	}
	return t
}

func (t *tally) service() float64 { return float64(t.inTime) / float64(max(1, t.asked)) }

// A tenant at ten times its quota, which retries each rejection twice at once and claims a million times the value and a fortieth of
// its cost: the other one is served as if it were alone.
func TestTenantFloodLeavesOthersServed(t *testing.T) {
	h := newHosted(t, 4, 2, 40*time.Millisecond, 64)
	small := strings.Replace(renders, `"billed_value": 1`, `"billed_value": 1000000`, 1)
	p := h.start()
	h.waitUntilReady(p)
	calm, flood := h.tenant("calm", ""), h.tenant("flood", "", small)
	solo := h.load(calm, "solo", "render", 60, 2*time.Second, 1)
	flooded := make(chan *tally)
	go func() { flooded <- h.hinted(flood, "flood", "render", 1000, 3*time.Second, 3, time.Millisecond) }()
	time.Sleep(500 * time.Millisecond)
	beside := h.load(calm, "beside", "render", 60, 2*time.Second, 1)
	storm := <-flooded
	t.Logf("alone %.3f of %d, beside the flood %.3f of %d; the flood %.3f of %d, answers %v", solo.service(), solo.asked, beside.service(), beside.asked,
		storm.service(), storm.asked, storm.statuses)
	if beside.service() < 0.85*solo.service() || solo.service() < 0.8 { // 1.00 alone on the machine, 0.45 without shares
		t.Errorf("%.3f beside the flood, %.3f alone; %v\n%s", beside.service(), solo.service(), beside.statuses, h.logs())
	}
	for _, trouble := range append(solo.troubles, beside.troubles...) {
		t.Error(trouble)
	}
	use := h.call(200, "GET", "/v1/tenants/flood/usage", "")
	if use["throttled"].(map[string]any)["share"].(float64) == 0 {
		t.Error("nothing of the flood was turned away for its share: ", use)
	}
	if use["in_hand"].(float64) != 0 {
		t.Error("in hand after all has ended: ", use)
	}
	h.check()
}

// A tenant is removed under load: new requests are rejected, admitted ones get one answer, and a tenant made anew under the name has
// none of its credentials, IDs or counters.
func TestRemovedTenantLeavesNothingBehind(t *testing.T) {
	h := newHosted(t, 2, 4, 150*time.Millisecond, 64)
	p := h.start()
	h.waitUntilReady(p)
	old := h.tenant("brief", "")
	done := make(chan *tally)
	go func() { done <- h.load(old, "gone", "render", 40, 2*time.Second, 1) }()
	time.Sleep(time.Second)
	h.call(204, "DELETE", "/v1/tenants/brief", "")
	fresh := h.tenant("brief", "")
	again := h.load(fresh, "gone", "render", 20, time.Second, 1) // ids that the one before had
	gone := <-done
	if gone.statuses[200] < 30 || gone.statuses[401] < 30 || gone.statuses[200]+gone.statuses[401] != gone.asked {
		t.Error("the removed one: ", gone.statuses)
	}
	if again.statuses[200] != again.asked {
		t.Error("made anew: ", again.statuses)
	}
	if use := h.call(200, "GET", "/v1/tenants/brief/usage", ""); use["taken"].(float64) != float64(again.asked) || use["in_hand"].(float64) != 0 {
		t.Error("usage: ", use)
	}
	for _, trouble := range append(gone.troubles, again.troubles...) {
		t.Error(trouble)
	}
	h.check()
}

// Limits go below the requests in flight, a class becomes stricter while attempts are in flight, and a tenant is suspended and resumed.
func TestTenantChangesUnderLoad(t *testing.T) {
	h := newHosted(t, 2, 8, 600*time.Millisecond, 64)
	p := h.start()
	h.waitUntilReady(p)
	key := h.tenant("change", `"concurrency": 12`)
	done := make(chan *tally)
	go func() { done <- h.load(key, "before", "render", 100, 100*time.Millisecond, 1) }()
	time.Sleep(200 * time.Millisecond)
	strict := strings.Replace(renders, "idempotent", "non_idempotent", 1)
	v := h.call(200, "PUT", "/v1/tenants/change", fmt.Sprintf(`{"weight": 1, "limits": {"concurrency": 2, "request_bytes": 40}, "operations": [%s]}`, strict))
	now := h.load(key, "lower", "render", 50, 100*time.Millisecond, 1)
	before := <-done
	if before.statuses[200] != 10 || now.statuses[429] != 5 {
		t.Error("before: ", before.statuses, " with the lower limit: ", now.statuses)
	}
	if status, body := (&reusedConn{addr: h.listen}).request(post("/render/k", "Authorization: Bearer "+key+"\r\nX-Call-Id: l\r\nX-Call-Class: render\r\nX-Budget: 2\r\n",
		strings.Repeat("x", 41))); status != 413 {
		t.Error("a large body: ", status, body)
	}
	// Two administrators change one tenant: the later one is rejected.
	h.call(200, "PUT", "/v1/tenants/change/state", `{"state": "suspended"}`, "If-Match", fmt.Sprintf("\"%v\"", v["revision"]))
	h.call(412, "PUT", "/v1/tenants/change/state", `{"state": "active"}`, "If-Match", fmt.Sprintf("\"%v\"", v["revision"]))
	if s := h.load(key, "suspended", "render", 50, 100*time.Millisecond, 1); s.statuses[403] != 5 {
		t.Error("suspended: ", s.statuses)
	}
	h.call(200, "PUT", "/v1/tenants/change/state", `{"state": "active"}`)
	if s := h.load(key, "resumed", "render", 2, 500*time.Millisecond, 1); s.statuses[200] != 1 {
		t.Error("resumed: ", s.statuses)
	}
	h.check()
}

// Who shows no credential, another's, or a header that a client may invent, is nobody; one tenant's ids mean nothing to another.
func TestTenantsAreIsolated(t *testing.T) {
	h := newHosted(t, 1, 8, 300*time.Millisecond, 64)
	p := h.start()
	h.waitUntilReady(p)
	one, two := h.tenant("one", ""), h.tenant("two", "")
	ask := func(credential, id string) int {
		status, _ := (&reusedConn{addr: h.listen}).request(post("/render/k", credential+"X-Call-Id: "+id+"\r\nX-Call-Class: render\r\nX-Budget: 2\r\n", id))
		return status
	}
	bearer := func(c string) string { return "Authorization: Bearer " + c + "\r\n" }
	id, _, _ := strings.Cut(one, ".")
	_, secret, _ := strings.Cut(two, ".")
	for what, credential := range map[string]string{"none": "", "a header of the client's": "X-Caller: one\r\n", "half of each": bearer(id + "." + secret),
		"only the id": bearer(id), "twice": bearer(one) + bearer(two), "another scheme": "Authorization: Basic " + one + "\r\n"} {
		if status := ask(credential, "a"); status != 401 {
			t.Error(what, status)
		}
	}
	var all sync.WaitGroup
	statuses := make([]int, 3)
	for n, c := range []string{one, two, one} {
		all.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			statuses[n] = ask(bearer(c), "same")
		})
	}
	all.Wait()
	if fmt.Sprint(statuses) != "[200 200 409]" {
		t.Error("the same id of two tenants, and of one twice: ", statuses)
	}
	for w := range h.workers[0].attempts {
		if handle, _, scoped := strings.Cut(w, "~"); !scoped || len(handle) < 16 {
			t.Error("an id at a worker without its tenant, or one that others can guess: ", w)
		}
	}
	if status, _ := (&reusedConn{addr: h.listen}).request("GET /-/counts HTTP/1.1\r\nHost: a\r\n\r\n"); status != 405 {
		t.Error("anybody may read all tenants' figures: ", status)
	}
	h.check()
}

// Killed under load and started again, it has all that it had said yes to; a second process that replaces the first goes on with
// its requests in flight, and becomes the one that writes.
func TestTenantsSurviveKillAndTakeover(t *testing.T) {
	h := newHosted(t, 2, 8, 100*time.Millisecond, 64)
	p := h.start()
	h.waitUntilReady(p)
	key := h.tenant("stays", "")
	done := make(chan *tally)
	go func() { done <- h.load(key, "killed", "render", 40, 300*time.Millisecond, 1) }()
	time.Sleep(150 * time.Millisecond)
	p.Process.Kill()
	<-done
	p = h.start()
	h.waitUntilReady(p)
	if s := h.load(key, "back", "render", 20, 200*time.Millisecond, 1); s.statuses[200] != s.asked {
		t.Error("after a kill: ", s.statuses, h.logs())
	}
	go func() { done <- h.load(key, "passed", "render", 40, 4*time.Second, 1) }()
	time.Sleep(300 * time.Millisecond)
	successor := h.start()
	h.waitUntilReady(successor)
	p.Process.Signal(os.Interrupt)
	h.waitForExit(p, 5*time.Second)
	s := <-done
	if s.statuses[200] != s.asked {
		t.Error("over the change of processes: ", s.statuses, s.troubles, h.logs())
	}
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if v := h.call(200, "GET", "/v1/revision", ""); v["writes"] == true {
			break
		}
		if time.Now().After(end) {
			t.Fatal("nobody writes\n", h.logs())
		}
	}
	h.call(201, "PUT", "/v1/tenants/later", `{"weight": 1, "limits": {}, "operations": [`+renders+`]}`)
	if text, err := os.ReadFile(filepath.Join(h.dir, "tenants", "tenants.log")); err != nil || bytes.Contains(text, []byte(strings.Split(key, ".")[1])) {
		t.Error("the secret stands in the store: ", err)
	}
	h.check()
}

// The command line does what the tenant API does, and its exit code tells a rejection from a usage error.
func TestTenantCommands(t *testing.T) {
	h := newHosted(t, 1, 8, 10*time.Millisecond, 64)
	p := h.start()
	h.waitUntilReady(p)
	h.call(200, "GET", "/v1/revision", "") // it is there
	token := filepath.Join(h.dir, "token")
	os.WriteFile(token, []byte(adminToken+"\n"), 0o600)
	run := func(code int, words, in string, args ...string) string {
		t.Helper()
		var out, faults bytes.Buffer
		c := exec.Command(h.program, append([]string{"tenant", "--api", h.api, "--token-file", token}, args...)...)
		c.Stdin, c.Stdout, c.Stderr = strings.NewReader(in), &out, &faults
		c.Run()
		if got := c.ProcessState.ExitCode(); got != code || !strings.Contains(out.String()+faults.String(), words) {
			t.Errorf("%v: %d in place of %d, wanted %q in %s%s", args, got, code, words, out.String(), faults.String())
		}
		return out.String()
	}
	spec := `{"weight": 1, "limits": {}, "operations": [` + renders + `]}`
	run(0, `"dry_run": true`, spec, "put", "acme", "--dry-run")
	run(0, `"revision": 1`, spec, "put", "acme", "--new")
	run(1, "412", spec, "put", "acme", "--new")
	run(1, "/weight", strings.Replace(spec, "1", "0", 1), "put", "acme")
	var granted struct{ Credential string }
	json.Unmarshal([]byte(run(0, "credential", "", "grant", "acme", "--for", "1h")), &granted)
	if s := h.load(granted.Credential, "cli", "render", 20, 100*time.Millisecond, 1); s.statuses[200] != 2 {
		t.Error(s.statuses)
	}
	run(0, `"taken": 2`, "", "usage", "acme")
	run(0, `"suspended"`, "", "suspend", "acme", "--if-match", "2")
	run(1, "412", "", "resume", "acme", "--if-match", "2")
	run(0, `"active"`, "", "resume", "acme")
	id, _, _ := strings.Cut(granted.Credential, ".")
	run(0, `"credentials": []`, "", "revoke", "acme", id)
	if s := h.load(granted.Credential, "revoked", "render", 20, 100*time.Millisecond, 1); s.statuses[401] != 2 {
		t.Error(s.statuses)
	}
	run(0, `"acme"`, "", "list", "--state", "active", "--prefix", "ac")
	run(0, "", "", "remove", "acme")
	run(1, "404", "", "get", "acme")
	run(0, `"removed"`, "", "audit", "--after", "5")
	run(0, `"writes": true`, "", "revision")
	run(2, "accepts 1 arg", "", "get")
}

// Two tenants that both want far more than there is have what their weights say, and together nearly all of it.
func TestTenantsGetTheirWeights(t *testing.T) {
	h := newHosted(t, 4, 2, 40*time.Millisecond, 32)
	p := h.start()
	h.waitUntilReady(p)
	one, three := h.tenant("one", ""), h.tenant("three", "")
	h.call(200, "PUT", "/v1/tenants/three", `{"weight": 3, "limits": {}, "operations": [`+renders+`]}`)
	other := make(chan *tally)
	go func() { other <- h.load(one, "one", "render", 400, 4*time.Second, 1) }()
	a := h.load(three, "three", "render", 400, 4*time.Second, 1)
	b := <-other
	served, ratio := a.statuses[200]+b.statuses[200], float64(a.statuses[200])/float64(max(1, b.statuses[200]))
	t.Logf("%d and %d served, %.2f to 1; %v %v", a.statuses[200], b.statuses[200], ratio, a.statuses, b.statuses)
	if ratio < 1.7 || ratio > 5 || served < 480 {
		t.Errorf("%.2f to 1, %d of 800 served\n%s", ratio, served, h.logs())
	}
	h.check()
}
