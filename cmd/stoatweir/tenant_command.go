package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/spf13/cobra"
)

// tenantCommand returns the group of commands that manage the tenants of a running scheduler.
func tenantCommand() *cobra.Command {
	var call tenantCall
	root := &cobra.Command{Use: "tenant", Short: "Manage the tenants of a running scheduler"}
	root.PersistentFlags().StringVar(&call.api, "api", "http://127.0.0.1:9400", "`address` of the tenant API")
	root.PersistentFlags().StringVar(&call.tokenFile, "token-file", "", "a `file` with the token; if left out, STOATWEIR_TOKEN is used")
	root.AddCommand(
		listTenantsCommand(&call),
		putTenantCommand(&call),
		grantCommand(&call),
		auditCommand(&call),
		tenantReadCommand(&call, "get NAME", "Show a tenant", ""),
		tenantReadCommand(&call, "usage NAME", "Show a tenant's usage at this scheduler", "/usage"),
		revisionCommand(&call),
		tenantStateCommand(&call, "suspend", "Reject a tenant's new requests", "suspended"),
		tenantStateCommand(&call, "resume", "Admit a tenant's requests again", "active"),
		removeTenantCommand(&call),
		revokeCommand(&call),
	)
	return root
}

// tenantPath returns the API path of a tenant. suffix is the path of a resource below the tenant,
// with a leading slash, or empty.
func tenantPath(name, suffix string) string { return "/v1/tenants/" + url.PathEscape(name) + suffix }

// tenantSubcommand returns a command that takes exactly args arguments.
func tenantSubcommand(use, short string, args int, run func(c *cobra.Command, args []string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: run}
}

// addChangeFlags adds the flags common to all commands that change a tenant.
func addChangeFlags(c *cobra.Command, call *tenantCall) {
	c.Flags().StringVar(&call.ifMatch, "if-match", "", "apply the change only if the tenant is at this `revision`")
	c.Flags().BoolVar(&call.dryRun, "dry-run", false, "report the change without making it")
}

// listTenantsCommand returns the command tenant list.
func listTenantsCommand(call *tenantCall) *cobra.Command {
	var limit, state, prefix, page string
	c := tenantSubcommand("list", "List tenants by name", 0, func(c *cobra.Command, _ []string) error {
		query := nonEmptyQuery("limit", limit, "state", state, "prefix", prefix, "page_token", page)
		return call.do(c, http.MethodGet, "/v1/tenants", query, nil)
	})
	c.Flags().StringVar(&limit, "limit", "", "maximum number of tenants per page")
	c.Flags().StringVar(&state, "state", "", "list only tenants in this state: active or suspended")
	c.Flags().StringVar(&prefix, "prefix", "", "list only tenants whose name begins with this prefix")
	c.Flags().StringVar(&page, "page", "", "next_page_token of the previous page")
	return c
}

// putTenantCommand returns the command tenant put.
func putTenantCommand(call *tenantCall) *cobra.Command {
	var file string
	c := tenantSubcommand("put NAME", "Create or replace a tenant from a file", 1, func(c *cobra.Command, args []string) error {
		body, err := readInput(c, file)
		if err != nil {
			return err
		}
		return call.do(c, http.MethodPut, tenantPath(args[0], ""), nil, body)
	})
	addChangeFlags(c, call)
	c.Flags().StringVarP(&file, "file", "f", "-", "the `file` that describes the tenant, - for standard input")
	c.Flags().BoolVar(&call.createOnly, "new", false, "fail if a tenant of that name exists")
	return c
}

// grantCommand returns the command tenant grant.
func grantCommand(call *tenantCall) *cobra.Command {
	var lifetime time.Duration
	c := tenantSubcommand("grant NAME", "Grant a credential, which is shown only once", 1, func(c *cobra.Command, args []string) error {
		body := "{}"
		if lifetime != 0 {
			body = fmt.Sprintf(`{"expires": %q}`, time.Now().Add(lifetime).UTC().Format(time.RFC3339))
		}
		return call.do(c, http.MethodPost, tenantPath(args[0], "/credentials"), nil, []byte(body))
	})
	c.Flags().DurationVar(&lifetime, "for", 0, "time after which the credential expires, such as 720h")
	return c
}

// auditCommand returns the command tenant audit.
func auditCommand(call *tenantCall) *cobra.Command {
	var after, limit string
	c := tenantSubcommand("audit", "Show who changed what", 0, func(c *cobra.Command, _ []string) error {
		return call.do(c, http.MethodGet, "/v1/audit", nonEmptyQuery("after", after, "limit", limit), nil)
	})
	c.Flags().StringVar(&after, "after", "", "only changes after this `revision`")
	c.Flags().StringVar(&limit, "limit", "", "maximum number of changes per page")
	return c
}

// tenantReadCommand returns a command that prints the resource at suffix below the path of a
// tenant.
func tenantReadCommand(call *tenantCall, use, short, suffix string) *cobra.Command {
	return tenantSubcommand(use, short, 1, func(c *cobra.Command, args []string) error {
		return call.do(c, http.MethodGet, tenantPath(args[0], suffix), nil, nil)
	})
}

// revisionCommand returns the command tenant revision.
func revisionCommand(call *tenantCall) *cobra.Command {
	const short = "Show the current revision and whether this scheduler can write changes"
	return tenantSubcommand("revision", short, 0, func(c *cobra.Command, _ []string) error {
		return call.do(c, http.MethodGet, "/v1/revision", nil, nil)
	})
}

// tenantStateCommand returns a command that sets the state of a tenant.
func tenantStateCommand(call *tenantCall, verb, short, state string) *cobra.Command {
	c := tenantSubcommand(verb+" NAME", short, 1, func(c *cobra.Command, args []string) error {
		return call.do(c, http.MethodPut, tenantPath(args[0], "/state"), nil, []byte(`{"state": "`+state+`"}`))
	})
	addChangeFlags(c, call)
	return c
}

// removeTenantCommand returns the command tenant remove.
func removeTenantCommand(call *tenantCall) *cobra.Command {
	c := tenantSubcommand("remove NAME", "Remove a tenant; accepted requests are answered", 1, func(c *cobra.Command, args []string) error {
		return call.do(c, http.MethodDelete, tenantPath(args[0], ""), nil, nil)
	})
	addChangeFlags(c, call)
	return c
}

// revokeCommand returns the command tenant revoke.
func revokeCommand(call *tenantCall) *cobra.Command {
	c := tenantSubcommand("revoke NAME ID", "Revoke a credential", 2, func(c *cobra.Command, args []string) error {
		return call.do(c, http.MethodDelete, tenantPath(args[0], "/credentials/"+url.PathEscape(args[1])), nil, nil)
	})
	addChangeFlags(c, call)
	return c
}

// readInput reads the named file, or standard input if the name is "-".
func readInput(c *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(c.InOrStdin())
	}
	return os.ReadFile(file)
}
