package main

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

const (
	// tokenVariable is the environment variable with the administrator's token.
	tokenVariable = "STOATWEIR_TOKEN"
	// tenantCallTimeout is how long a call of the tenant API may take.
	tenantCallTimeout = 10 * time.Second
)

// errNoToken is returned where neither a flag nor the environment has a token.
var errNoToken = errors.New("no token: name --token-file, or set STOATWEIR_TOKEN")

// tenantCall is one call of the tenant API, as the flags describe it.
type tenantCall struct {
	// api is the API's address, with or without a scheme.
	api string
	// tokenFile has the administrator's token; empty: the environment has it.
	tokenFile string
	// ifMatch is the revision that a change starts from; empty: any.
	ifMatch string
	// onlyNew lets a change make a tenant, not change one.
	onlyNew bool
	// dryRun has a change checked and not made.
	dryRun bool
}

// do makes the call and prints the answer. A rejection is a finding, not a mistake in the command line.
func (t *tenantCall) do(c *cobra.Command, method, path string, query url.Values, body []byte) error {
	token, err := t.token()
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(c.Context(), method, t.target(path, query), bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+token)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if t.ifMatch != "" {
		request.Header.Set("If-Match", `"`+strings.Trim(t.ifMatch, `"`)+`"`)
	}
	if t.onlyNew {
		request.Header.Set("If-None-Match", "*")
	}
	client := &http.Client{Timeout: tenantCallTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusMultipleChoices {
		io.Copy(c.ErrOrStderr(), response.Body)
		return errFindings
	}
	_, err = io.Copy(c.OutOrStdout(), response.Body)
	return err
}

func (t *tenantCall) token() (string, error) {
	token := os.Getenv(tokenVariable)
	if t.tokenFile != "" {
		text, err := os.ReadFile(t.tokenFile)
		if err != nil {
			return "", err
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return "", errNoToken
	}
	return token, nil
}

// target is the URL of a path of the API.
func (t *tenantCall) target(path string, query url.Values) string {
	api := t.api
	if !strings.Contains(api, "://") {
		api = "http://" + api
	}
	target := strings.TrimSuffix(api, "/") + path
	if t.dryRun {
		if query == nil {
			query = url.Values{}
		}
		query.Set("dry_run", "true")
	}
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	return target
}

// queryOf gives keys and values, one behind the other, without those whose value is empty.
func queryOf(pairs ...string) url.Values {
	query := url.Values{}
	for n := 0; n < len(pairs); n += 2 {
		if pairs[n+1] != "" {
			query.Set(pairs[n], pairs[n+1])
		}
	}
	return query
}
