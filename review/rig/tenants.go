package rig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// operatorToken is the token of the administrator that the stand-in installations have.
const operatorToken = "token-of-the-operators"

// Tenants is the administrators' side of an installation that hosts tenants.
type Tenants struct {
	run    *Run
	api    string
	client *http.Client
}

// HostTenants adds the key tenants to a configuration and returns the administrators' side of it.
func (r *Run) HostTenants(config map[string]any) *Tenants {
	t := &Tenants{
		run: r,
		api: r.FreeAddr(),
		client: &http.Client{
			Timeout:   30 * time.Second,
			Transport: &http.Transport{MaxIdleConnsPerHost: 16, MaxConnsPerHost: 16},
		},
	}
	dir := filepath.Join(r.Dir, "tenants")
	os.MkdirAll(dir, 0o700)
	sum := sha256.Sum256([]byte(operatorToken))
	config["tenants"] = map[string]any{"dir": dir, "api": t.api, "administrators": []any{
		map[string]any{"name": "ops", "role": "operate", "sha256": hex.EncodeToString(sum[:])},
	}}
	return t
}

// Call makes one call of the administrators' API.
func (t *Tenants) Call(method, path string, body any) (status int, text string) {
	encoded, _ := json.Marshal(body)
	request, err := http.NewRequest(method, "http://"+t.api+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, err.Error()
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := t.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	all, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(all)
}

// Spec returns the description of a tenant with a number of operations.
func Spec(weight float64, operations int, effect string, timeout time.Duration) map[string]any {
	var all []any
	for n := range operations {
		all = append(all, map[string]any{
			"name": fmt.Sprintf("op-%d", n), "effect": effect, "latency_objective_s": timeout.Seconds() / 2,
			"client_timeout_s": timeout.Seconds(), "billed_value": 1,
		})
	}
	return map[string]any{"weight": weight, "operations": all}
}

// Put creates or changes a tenant.
func (t *Tenants) Put(name string, spec map[string]any) error {
	status, text := t.Call(http.MethodPut, "/v1/tenants/"+name, spec)
	if status != http.StatusOK && status != http.StatusCreated {
		return fmt.Errorf("tenant %s: %d %s", name, status, text)
	}
	return nil
}

// Grant grants a tenant a credential and returns the header line with which its clients send it.
func (t *Tenants) Grant(name string) string {
	status, text := t.Call(http.MethodPost, "/v1/tenants/"+name+"/credentials", map[string]any{})
	var granted struct {
		Credential string `json:"credential"`
	}
	if json.Unmarshal([]byte(text), &granted) != nil || granted.Credential == "" {
		t.run.Abort(fmt.Sprintf("no credential for %s: %d %s", name, status, text))
	}
	return "Authorization: Bearer " + granted.Credential
}
