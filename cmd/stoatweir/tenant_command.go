package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// tenantCall is one call of the administrators' door, as the command line has it.
type tenantCall struct {
	api, token, match string
	absent, dry       bool
}

// tenantCommand manages tenants of a running scheduler.
func tenantCommand() *cobra.Command {
	var t tenantCall
	root := &cobra.Command{Use: "tenant", Short: "Manage the tenants of a running scheduler"}
	root.PersistentFlags().StringVar(&t.api, "api", "http://127.0.0.1:9400", "the administrators' `address`")
	root.PersistentFlags().StringVar(&t.token, "token-file", "", "a `file` with the token; else STOATWEIR_TOKEN")
	changes := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVar(&t.match, "if-match", "", "only from this `revision`")
		c.Flags().BoolVar(&t.dry, "dry-run", false, "work it out and change nothing")
		return c
	}
	simple := func(use, short string, args int, do func(c *cobra.Command, args []string) error) *cobra.Command {
		return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: do}
	}
	at := func(args []string, more string) string { return "/v1/tenants/" + url.PathEscape(args[0]) + more }

	var limit, state, prefix, page string
	list := simple("list", "List tenants by name", 0, func(c *cobra.Command, _ []string) error {
		return t.do(c, "GET", "/v1/tenants", query("limit", limit, "state", state, "prefix", prefix, "page_token", page), nil)
	})
	list.Flags().StringVar(&limit, "limit", "", "of one page")
	list.Flags().StringVar(&state, "state", "", "active or suspended")
	list.Flags().StringVar(&prefix, "prefix", "", "of the name")
	list.Flags().StringVar(&page, "page", "", "next_page_token of the page before")

	var file string
	put := changes(simple("put NAME", "Make a tenant, or make it what a file says", 1, func(c *cobra.Command, args []string) error {
		body, err := readInput(c, file)
		if err != nil {
			return err
		}
		return t.do(c, "PUT", at(args, ""), nil, body)
	}))
	put.Flags().StringVarP(&file, "file", "f", "-", "the `file`, - for standard input")
	put.Flags().BoolVar(&t.absent, "new", false, "only if there is none of that name")

	var expires time.Duration
	grant := simple("grant NAME", "Grant a credential; it is shown this once", 1, func(c *cobra.Command, args []string) error {
		body := "{}"
		if expires != 0 {
			body = fmt.Sprintf(`{"expires": %q}`, time.Now().Add(expires).UTC().Format(time.RFC3339))
		}
		return t.do(c, "POST", at(args, "/credentials"), nil, []byte(body))
	})
	grant.Flags().DurationVar(&expires, "for", 0, "it expires after so long, such as 720h")

	var auditAfter, auditLimit string
	audit := simple("audit", "Who changed what", 0, func(c *cobra.Command, _ []string) error {
		return t.do(c, "GET", "/v1/audit", query("after", auditAfter, "limit", auditLimit), nil)
	})
	audit.Flags().StringVar(&auditAfter, "after", "", "only later `revisions`")
	audit.Flags().StringVar(&auditLimit, "limit", "", "of one page")

	stand := func(use, short, state string) *cobra.Command {
		return changes(simple(use+" NAME", short, 1, func(c *cobra.Command, args []string) error {
			return t.do(c, "PUT", at(args, "/state"), nil, []byte(`{"state": "`+state+`"}`))
		}))
	}
	root.AddCommand(list, put, grant, audit,
		simple("get NAME", "Show a tenant", 1, func(c *cobra.Command, args []string) error { return t.do(c, "GET", at(args, ""), nil, nil) }),
		simple("usage NAME", "What a tenant has had at this scheduler", 1, func(c *cobra.Command, args []string) error {
			return t.do(c, "GET", at(args, "/usage"), nil, nil)
		}),
		simple("revision", "Which revision holds, and whether changes can be made here", 0, func(c *cobra.Command, _ []string) error {
			return t.do(c, "GET", "/v1/revision", nil, nil)
		}),
		stand("suspend", "Refuse a tenant's new work", "suspended"), stand("resume", "Take a tenant's work again", "active"),
		changes(simple("remove NAME", "Remove a tenant; what was taken is answered", 1, func(c *cobra.Command, args []string) error {
			return t.do(c, "DELETE", at(args, ""), nil, nil)
		})),
		changes(simple("revoke NAME ID", "End a credential", 2, func(c *cobra.Command, args []string) error {
			return t.do(c, "DELETE", at(args, "/credentials/"+url.PathEscape(args[1])), nil, nil)
		})))
	return root
}

func query(pairs ...string) url.Values {
	q := url.Values{}
	for n := 0; n < len(pairs); n += 2 {
		if pairs[n+1] != "" {
			q.Set(pairs[n], pairs[n+1])
		}
	}
	return q
}

func readInput(c *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(c.InOrStdin())
	}
	return os.ReadFile(file)
}

// do makes a call and shows the answer. A refusal is a finding, not a mistake in the command line.
func (t *tenantCall) do(c *cobra.Command, method, path string, q url.Values, body []byte) error {
	token := os.Getenv("STOATWEIR_TOKEN")
	if t.token != "" {
		text, err := os.ReadFile(t.token)
		if err != nil {
			return err
		}
		token = strings.TrimSpace(string(text))
	}
	if token == "" {
		return fmt.Errorf("no token: name --token-file, or set STOATWEIR_TOKEN")
	}
	if q == nil {
		q = url.Values{}
	}
	if t.dry {
		q.Set("dry_run", "true")
	}
	if !strings.Contains(t.api, "://") {
		t.api = "http://" + t.api
	}
	target := strings.TrimSuffix(t.api, "/") + path
	if len(q) > 0 {
		target += "?" + q.Encode()
	}
	in, err := http.NewRequestWithContext(c.Context(), method, target, bytes.NewReader(body))
	if err != nil {
		return err
	}
	in.Header.Set("Authorization", "Bearer "+token)
	if body != nil {
		in.Header.Set("Content-Type", "application/json")
	}
	if t.match != "" {
		in.Header.Set("If-Match", `"`+strings.Trim(t.match, `"`)+`"`)
	}
	if t.absent {
		in.Header.Set("If-None-Match", "*")
	}
	answer, err := (&http.Client{Timeout: 10 * time.Second}).Do(in)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode >= 300 {
		io.Copy(c.ErrOrStderr(), answer.Body)
		return errFindings
	}
	_, err = io.Copy(c.OutOrStdout(), answer.Body)
	return err
}
