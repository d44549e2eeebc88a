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
	// tokenVariable is the environment variable that holds the administrator's token.
	tokenVariable = "STOATWEIR_TOKEN"
	// tenantCallTimeout limits the duration of a call of the tenant API.
	tenantCallTimeout = 10 * time.Second
)

// errNoToken is returned if neither a flag nor the environment provides a token.
var errNoToken = errors.New("no token: name --token-file, or set STOATWEIR_TOKEN")

// tenantCall holds the flags for a call of the tenant API.
type tenantCall struct {
	// api is the API's address, with or without a scheme.
	api string
	// tokenFile is the path of a file with the administrator's token. If empty, the token is taken
	// from the environment.
	tokenFile string
	// ifMatch is the revision that the tenant must have for a change to be applied. If empty, any
	// revision will do.
	ifMatch string
	// createOnly lets a call create a tenant but not change an existing one.
	createOnly bool
	// dryRun lets the API validate a change without applying it.
	dryRun bool
}

// do makes the call and prints the answer. If the API rejects the call, it prints the error and
// returns errFindings, as that is not a usage error.
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
	if t.createOnly {
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

// token returns the administrator's token from the token file or the environment.
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

// target returns the URL for a path of the API.
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

// nonEmptyQuery builds a query from alternating keys and values. Pairs with an empty value are left
// out.
func nonEmptyQuery(pairs ...string) url.Values {
	query := url.Values{}
	for n := 0; n < len(pairs); n += 2 {
		if pairs[n+1] != "" {
			query.Set(pairs[n], pairs[n+1])
		}
	}
	return query
}
