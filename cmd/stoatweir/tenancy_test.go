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
type tenantRig struct {
	*testRig
	apiAddr string
}

// newHosted has workers with so many slots each.
func newTenantRig(t *testing.T, workers, slotsPerWorker int, jobDuration time.Duration, maxInFlight int) *tenantRig {
	t.Helper()
	h := &tenantRig{testRig: newTestRig(t, workers, jobDuration), apiAddr: unusedAddr(t)}
	for _, worker := range h.workers {
		worker.slots = make(chan struct{}, slotsPerWorker)
	}
	store := filepath.Join(h.dir, "tenants")
	os.Mkdir(store, 0o700)
	h.config["limits"] = map[string]any{"memory_mb": 64, "sockets": 1024}
	h.config["tenants"] = map[string]any{"dir": store, "api": h.apiAddr, "room": maxInFlight, "administrators": []map[string]any{
		{"name": "ops", "role": "operate", "sha256": tenants.HashSecret(adminToken)}, {"name": "eyes", "role": "read",
			"sha256": tenants.HashSecret("eyes")}}}
	deploymentSettings := h.config["settings"].(map[string]any)
	deploymentSettings["FamilyInfo"] = map[string]any{"TellsStart": true, "ReportX0": "free slots"}
	deploymentSettings["Report"] = map[string]any{"How": "probe", "Names": []string{"x0"}}
	deploymentSettings["Limits"] = map[string]any{"MostForwards": 3, "Cancel": true, "RetryAfter": true, "MaxRetryAfter": 1, "Probes": true}
	h.writeConfig()
	return h
}

// call is an administrator's, and insists on a status.
func (h *tenantRig) callAPI(status int, method, path, body string, headers ...string) map[string]any {
	h.t.Helper()
	request, err := http.NewRequest(method, "http://"+h.apiAddr+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+adminToken)
	for n := 0; n < len(headers); n += 2 {
		request.Header.Set(headers[n], headers[n+1])
	}
	var answer *http.Response
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if answer, err = http.DefaultClient.Do(request); err == nil || time.Now().After(deadline) {
			break
		}
		request.Body = io.NopCloser(strings.NewReader(body))
	}
	if err != nil {
		h.t.Fatal(err)
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	if answer.StatusCode != status {
		h.t.Fatalf("%s %s: %d in place of %d: %s", method, path, answer.StatusCode, status, text)
	}
	var decoded map[string]any
	json.Unmarshal(text, &decoded)
	return decoded
}

const renderOperation = `{"name": "render", "effect": "idempotent", "latency_objective_s": 0.25, "client_timeout_s": 2, "billed_value": 1}`

// tenant makes one, with a credential.
func (h *tenantRig) createTenant(name, limits string, operations ...string) (credential string) {
	h.t.Helper()
	if len(operations) == 0 {
		operations = []string{renderOperation}
	}
	h.callAPI(201, "PUT", "/v1/tenants/"+name, fmt.Sprintf(`{"weight": 1, "limits": {%s}, "operations": [%s]}`, limits,
		strings.Join(operations, ", ")))
	return h.callAPI(201, "POST", "/v1/tenants/"+name+"/credentials", "{}")["credential"].(string)
}

// tally is what one tenant's clients saw.
type loadResult struct {
	mu               sync.Mutex
	requests, inTime int
	statuses         map[int]int
	failures         []string
}

// load sends invocations at a rate whatever comes back, each with so many retries at once after a rejection, over reused connections.
func (h *tenantRig) load(credential, idPrefix, operation string, rate float64, duration time.Duration, attempts int) *loadResult {
	return h.loadWithCost(credential, idPrefix, operation, rate, duration, attempts, 40*time.Millisecond)
}

// hinted sends them with a guess of their work.
func (h *tenantRig) loadWithCost(credential, idPrefix, operation string, rate float64, duration time.Duration, attempts int,
	declaredCost time.Duration) *loadResult {
	cost := fmt.Sprint("X-Call-Cost: ", declaredCost.Microseconds(), "\r\n")
	result := &loadResult{statuses: map[int]int{}}
	idleConns := make(chan *reusedConn, 4096)
	var pending sync.WaitGroup
	start := time.Now()
	for seq := 0; ; seq++ {
		at := time.Duration(float64(seq) / rate * float64(time.Second))
		if at >= duration {
			break
		}
		time.Sleep(time.Until(start.Add(at)))
		pending.Add(1)
		go func() {
			defer pending.Done()
			var conn *reusedConn
			select {
			case conn = <-idleConns:
			default:
				conn = &reusedConn{addr: h.listenAddr}
			}
			firstAttempt, served := time.Now(), false
			for attempt := 1; attempt <= attempts && !served; attempt++ {
				id := fmt.Sprintf("%s-%d-%d", idPrefix, seq, attempt)
				status, body := conn.request(postRequest("/"+operation+"/k",
					"Authorization: Bearer "+credential+"\r\nX-Call-Id: "+id+"\r\nX-Call-Class: "+operation+
						"\r\nX-Budget: 2\r\n"+cost, id))
				result.mu.Lock()
				result.statuses[status]++
				if served = status == 200; served && !strings.HasSuffix(body, "~"+id) || status == -1 {
					result.failures = append(result.failures, fmt.Sprintf("%s: %d %.80s", id, status, body))
				}
				result.mu.Unlock()
			}
			result.mu.Lock()
			if result.requests++; served && time.Since(firstAttempt) <= 330*time.Millisecond {
				result.inTime++
			}
			result.mu.Unlock()
			idleConns <- conn
		}()
	}
	pending.Wait()
	for len(idleConns) > 0 {
		(<-idleConns).close()
	}
	return result
}

func (t *loadResult) inTimeShare() float64 { return float64(t.inTime) / float64(max(1, t.requests)) }

// A tenant at ten times its quota, which retries each rejection twice at once and claims a million times the value and a fortieth of
// its cost: the other one is served as if it were alone.
func TestTenantFloodLeavesOthersServed(t *testing.T) {
	h := newTenantRig(t, 4, 2, 40*time.Millisecond, 64)
	misdeclaredOperation := strings.Replace(renderOperation, `"billed_value": 1`, `"billed_value": 1000000`, 1)
	p := h.startProcess()
	h.waitUntilReady(p)
	calmKey, floodKey := h.createTenant("calm", ""), h.createTenant("flood", "", misdeclaredOperation)
	alone := h.load(calmKey, "solo", "render", 60, 2*time.Second, 1)
	done := make(chan *loadResult)
	go func() { done <- h.loadWithCost(floodKey, "flood", "render", 1000, 3*time.Second, 3, time.Millisecond) }()
	time.Sleep(500 * time.Millisecond)
	beside := h.load(calmKey, "beside", "render", 60, 2*time.Second, 1)
	floodResult := <-done
	t.Logf("alone %.3f of %d, beside the flood %.3f of %d; the flood %.3f of %d, answers %v", alone.inTimeShare(), alone.requests,
		beside.inTimeShare(), beside.requests,
		floodResult.inTimeShare(), floodResult.requests, floodResult.statuses)
	if beside.inTimeShare() < 0.85*alone.inTimeShare() || alone.inTimeShare() < 0.8 { // 1.00 alone on the machine, 0.45 without shares
		t.Errorf("%.3f beside the flood, %.3f alone; %v\n%s", beside.inTimeShare(), alone.inTimeShare(), beside.statuses, h.allLogs())
	}
	for _, failure := range append(alone.failures, beside.failures...) {
		t.Error(failure)
	}
	usage := h.callAPI(200, "GET", "/v1/tenants/flood/usage", "")
	if usage["throttled"].(map[string]any)["share"].(float64) == 0 {
		t.Error("nothing of the flood was turned away for its share: ", usage)
	}
	if usage["in_hand"].(float64) != 0 {
		t.Error("in hand after all has ended: ", usage)
	}
	h.checkPeers()
}

// A tenant is removed under load: new requests are rejected, admitted ones get one answer, and a tenant made anew under the name has
// none of its credentials, IDs or counters.
func TestRemovedTenantLeavesNothingBehind(t *testing.T) {
	h := newTenantRig(t, 2, 4, 150*time.Millisecond, 64)
	p := h.startProcess()
	h.waitUntilReady(p)
	oldCredential := h.createTenant("brief", "")
	done := make(chan *loadResult)
	go func() { done <- h.load(oldCredential, "gone", "render", 40, 2*time.Second, 1) }()
	time.Sleep(time.Second)
	h.callAPI(204, "DELETE", "/v1/tenants/brief", "")
	newCredential := h.createTenant("brief", "")
	newResult := h.load(newCredential, "gone", "render", 20, time.Second, 1) // ids that the one before had
	oldResult := <-done
	if oldResult.statuses[200] < 30 || oldResult.statuses[401] < 30 || oldResult.statuses[200]+oldResult.statuses[401] != oldResult.requests {
		t.Error("the removed one: ", oldResult.statuses)
	}
	if newResult.statuses[200] != newResult.requests {
		t.Error("made anew: ", newResult.statuses)
	}
	if usage := h.callAPI(200, "GET", "/v1/tenants/brief/usage", ""); usage["taken"].(float64) != float64(newResult.requests) ||
		usage["in_hand"].(float64) != 0 {
		t.Error("usage: ", usage)
	}
	for _, failure := range append(oldResult.failures, newResult.failures...) {
		t.Error(failure)
	}
	h.checkPeers()
}

// Limits go below the requests in flight, a class becomes stricter while attempts are in flight, and a tenant is suspended and resumed.
func TestTenantChangesUnderLoad(t *testing.T) {
	h := newTenantRig(t, 2, 8, 600*time.Millisecond, 64)
	p := h.startProcess()
	h.waitUntilReady(p)
	credential := h.createTenant("change", `"concurrency": 12`)
	done := make(chan *loadResult)
	go func() { done <- h.load(credential, "before", "render", 100, 100*time.Millisecond, 1) }()
	time.Sleep(200 * time.Millisecond)
	stricterOperation := strings.Replace(renderOperation, "idempotent", "non_idempotent", 1)
	changed := h.callAPI(200, "PUT", "/v1/tenants/change", fmt.Sprintf(`{"weight": 1, "limits": {"concurrency": 2, "request_bytes": 40}, "operations": [%s]}`,
		stricterOperation))
	afterChange := h.load(credential, "lower", "render", 50, 100*time.Millisecond, 1)
	beforeChange := <-done
	if beforeChange.statuses[200] != 10 || afterChange.statuses[429] != 5 {
		t.Error("before: ", beforeChange.statuses, " with the lower limit: ", afterChange.statuses)
	}
	if status, body := (&reusedConn{addr: h.listenAddr}).request(postRequest("/render/k",
		"Authorization: Bearer "+credential+"\r\nX-Call-Id: l\r\nX-Call-Class: render\r\nX-Budget: 2\r\n",
		strings.Repeat("x", 41))); status != 413 {
		t.Error("a large body: ", status, body)
	}
	// Two administrators change one tenant: the later one is rejected.
	h.callAPI(200, "PUT", "/v1/tenants/change/state", `{"state": "suspended"}`, "If-Match", fmt.Sprintf("\"%v\"", changed["revision"]))
	h.callAPI(412, "PUT", "/v1/tenants/change/state", `{"state": "active"}`, "If-Match", fmt.Sprintf("\"%v\"", changed["revision"]))
	if result := h.load(credential, "suspended", "render", 50, 100*time.Millisecond, 1); result.statuses[403] != 5 {
		t.Error("suspended: ", result.statuses)
	}
	h.callAPI(200, "PUT", "/v1/tenants/change/state", `{"state": "active"}`)
	if result := h.load(credential, "resumed", "render", 2, 500*time.Millisecond, 1); result.statuses[200] != 1 {
		t.Error("resumed: ", result.statuses)
	}
	h.checkPeers()
}

// Who shows no credential, another's, or a header that a client may invent, is nobody; one tenant's ids mean nothing to another.
func TestTenantsAreIsolated(t *testing.T) {
	h := newTenantRig(t, 1, 8, 300*time.Millisecond, 64)
	p := h.startProcess()
	h.waitUntilReady(p)
	firstCredential, secondCredential := h.createTenant("one", ""), h.createTenant("two", "")
	requestStatus := func(credential, id string) int {
		status, _ := (&reusedConn{addr: h.listenAddr}).request(postRequest("/render/k",
			credential+"X-Call-Id: "+id+"\r\nX-Call-Class: render\r\nX-Budget: 2\r\n", id))
		return status
	}
	bearer := func(c string) string { return "Authorization: Bearer " + c + "\r\n" }
	id, _, _ := strings.Cut(firstCredential, ".")
	_, secret, _ := strings.Cut(secondCredential, ".")
	for name, credential := range map[string]string{"none": "", "a header of the client's": "X-Caller: one\r\n",
		"half of each": bearer(id + "." + secret),
		"only the id":  bearer(id), "twice": bearer(firstCredential) + bearer(secondCredential),
		"another scheme": "Authorization: Basic " + firstCredential + "\r\n"} {
		if status := requestStatus(credential, "a"); status != 401 {
			t.Error(name, status)
		}
	}
	var pending sync.WaitGroup
	statuses := make([]int, 3)
	for n, c := range []string{firstCredential, secondCredential, firstCredential} {
		pending.Go(func() {
			time.Sleep(time.Duration(n) * 50 * time.Millisecond)
			statuses[n] = requestStatus(bearer(c), "same")
		})
	}
	pending.Wait()
	if fmt.Sprint(statuses) != "[200 200 409]" {
		t.Error("the same id of two tenants, and of one twice: ", statuses)
	}
	for id := range h.workers[0].attemptsByID {
		if handle, _, scoped := strings.Cut(id, "~"); !scoped || len(handle) < 16 {
			t.Error("an id at a worker without its tenant, or one that others can guess: ", id)
		}
	}
	if status, _ := (&reusedConn{addr: h.listenAddr}).request("GET /-/counts HTTP/1.1\r\nHost: a\r\n\r\n"); status != 405 {
		t.Error("anybody may read all tenants' figures: ", status)
	}
	h.checkPeers()
}

// Killed under load and started again, it has all that it had said yes to; a second process that replaces the first goes on with
// its requests in flight, and becomes the one that writes.
func TestTenantsSurviveKillAndTakeover(t *testing.T) {
	h := newTenantRig(t, 2, 8, 100*time.Millisecond, 64)
	p := h.startProcess()
	h.waitUntilReady(p)
	credential := h.createTenant("stays", "")
	done := make(chan *loadResult)
	go func() { done <- h.load(credential, "killed", "render", 40, 300*time.Millisecond, 1) }()
	time.Sleep(150 * time.Millisecond)
	p.Process.Kill()
	<-done
	p = h.startProcess()
	h.waitUntilReady(p)
	if result := h.load(credential, "back", "render", 20, 200*time.Millisecond, 1); result.statuses[200] != result.requests {
		t.Error("after a kill: ", result.statuses, h.allLogs())
	}
	go func() { done <- h.load(credential, "passed", "render", 40, 4*time.Second, 1) }()
	time.Sleep(300 * time.Millisecond)
	successor := h.startProcess()
	h.waitUntilReady(successor)
	p.Process.Signal(os.Interrupt)
	h.waitForExit(p, 5*time.Second)
	result := <-done
	if result.statuses[200] != result.requests {
		t.Error("over the change of processes: ", result.statuses, result.failures, h.allLogs())
	}
	for deadline := time.Now().Add(3 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if revision := h.callAPI(200, "GET", "/v1/revision", ""); revision["writes"] == true {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("nobody writes\n", h.allLogs())
		}
	}
	h.callAPI(201, "PUT", "/v1/tenants/later", `{"weight": 1, "limits": {}, "operations": [`+renderOperation+`]}`)
	if text, err := os.ReadFile(filepath.Join(h.dir, "tenants", "tenants.log")); err != nil ||
		bytes.Contains(text, []byte(strings.Split(credential, ".")[1])) {
		t.Error("the secret stands in the store: ", err)
	}
	h.checkPeers()
}

// The command line does what the tenant API does, and its exit code tells a rejection from a usage error.
func TestTenantCommands(t *testing.T) {
	h := newTenantRig(t, 1, 8, 10*time.Millisecond, 64)
	p := h.startProcess()
	h.waitUntilReady(p)
	h.callAPI(200, "GET", "/v1/revision", "") // it is there
	token := filepath.Join(h.dir, "token")
	os.WriteFile(token, []byte(adminToken+"\n"), 0o600)
	run := func(wantCode int, wantText, stdin string, args ...string) string {
		t.Helper()
		var stdout, stderr bytes.Buffer
		cmd := exec.Command(h.programPath, append([]string{"tenant", "--api", h.apiAddr, "--token-file", token}, args...)...)
		cmd.Stdin, cmd.Stdout, cmd.Stderr = strings.NewReader(stdin), &stdout, &stderr
		cmd.Run()
		if got := cmd.ProcessState.ExitCode(); got != wantCode || !strings.Contains(stdout.String()+stderr.String(), wantText) {
			t.Errorf("%v: %d in place of %d, wanted %q in %s%s", args, got, wantCode, wantText, stdout.String(), stderr.String())
		}
		return stdout.String()
	}
	spec := `{"weight": 1, "limits": {}, "operations": [` + renderOperation + `]}`
	run(0, `"dry_run": true`, spec, "put", "acme", "--dry-run")
	run(0, `"revision": 1`, spec, "put", "acme", "--new")
	run(1, "412", spec, "put", "acme", "--new")
	run(1, "/weight", strings.Replace(spec, "1", "0", 1), "put", "acme")
	var granted struct{ Credential string }
	json.Unmarshal([]byte(run(0, "credential", "", "grant", "acme", "--for", "1h")), &granted)
	if result := h.load(granted.Credential, "cli", "render", 20, 100*time.Millisecond, 1); result.statuses[200] != 2 {
		t.Error(result.statuses)
	}
	run(0, `"taken": 2`, "", "usage", "acme")
	run(0, `"suspended"`, "", "suspend", "acme", "--if-match", "2")
	run(1, "412", "", "resume", "acme", "--if-match", "2")
	run(0, `"active"`, "", "resume", "acme")
	id, _, _ := strings.Cut(granted.Credential, ".")
	run(0, `"credentials": []`, "", "revoke", "acme", id)
	if result := h.load(granted.Credential, "revoked", "render", 20, 100*time.Millisecond, 1); result.statuses[401] != 2 {
		t.Error(result.statuses)
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
	h := newTenantRig(t, 4, 2, 40*time.Millisecond, 32)
	p := h.startProcess()
	h.waitUntilReady(p)
	firstCredential, secondCredential := h.createTenant("one", ""), h.createTenant("three", "")
	h.callAPI(200, "PUT", "/v1/tenants/three", `{"weight": 3, "limits": {}, "operations": [`+renderOperation+`]}`)
	firstDone := make(chan *loadResult)
	go func() { firstDone <- h.load(firstCredential, "one", "render", 400, 4*time.Second, 1) }()
	secondResult := h.load(secondCredential, "three", "render", 400, 4*time.Second, 1)
	firstResult := <-firstDone
	served, ratio := secondResult.statuses[200]+firstResult.statuses[200], float64(secondResult.statuses[200])/float64(max(1,
		firstResult.statuses[200]))
	t.Logf("%d and %d served, %.2f to 1; %v %v", secondResult.statuses[200], firstResult.statuses[200], ratio, secondResult.statuses,
		firstResult.statuses)
	if ratio < 1.7 || ratio > 5 || served < 480 {
		t.Errorf("%.2f to 1, %d of 800 served\n%s", ratio, served, h.allLogs())
	}
	h.checkPeers()
}
