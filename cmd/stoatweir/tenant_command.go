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

// tenantCommand manages tenants of a running scheduler.
func tenantCommand() *cobra.Command {
	var call tenantCall
	root := &cobra.Command{Use: "tenant", Short: "Manage the tenants of a running scheduler"}
	root.PersistentFlags().StringVar(&call.api, "api", "http://127.0.0.1:9400", "the administrators' `address`")
	root.PersistentFlags().StringVar(&call.tokenFile, "token-file", "", "a `file` with the token; else STOATWEIR_TOKEN")
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

// tenantPath is the API's path of a tenant, or of something below it.
func tenantPath(name, below string) string { return "/v1/tenants/" + url.PathEscape(name) + below }

// tenantSubcommand is a command with so many arguments.
func tenantSubcommand(use, short string, args int, run func(c *cobra.Command, args []string) error) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(args), RunE: run}
}

// addChangeFlags adds the flags of commands that change a tenant.
func addChangeFlags(c *cobra.Command, call *tenantCall) {
	c.Flags().StringVar(&call.ifMatch, "if-match", "", "apply the change at this `revision` only")
	c.Flags().BoolVar(&call.dryRun, "dry-run", false, "report the change without making it")
}

func listTenantsCommand(call *tenantCall) *cobra.Command {
	var limit, state, prefix, page string
	c := tenantSubcommand("list", "List tenants by name", 0, func(c *cobra.Command, _ []string) error {
		query := queryOf("limit", limit, "state", state, "prefix", prefix, "page_token", page)
		return call.do(c, http.MethodGet, "/v1/tenants", query, nil)
	})
	c.Flags().StringVar(&limit, "limit", "", "most tenants or changes of one page")
	c.Flags().StringVar(&state, "state", "", "only tenants in this state: active or suspended")
	c.Flags().StringVar(&prefix, "prefix", "", "only tenants whose name begins with it")
	c.Flags().StringVar(&page, "page", "", "next_page_token of the previous page")
	return c
}

func putTenantCommand(call *tenantCall) *cobra.Command {
	var file string
	c := tenantSubcommand("put NAME", "Make a tenant, or make it what a file says", 1, func(c *cobra.Command, args []string) error {
		body, err := readInput(c, file)
		if err != nil {
			return err
		}
		return call.do(c, http.MethodPut, tenantPath(args[0], ""), nil, body)
	})
	addChangeFlags(c, call)
	c.Flags().StringVarP(&file, "file", "f", "-", "the `file`, - for standard input")
	c.Flags().BoolVar(&call.onlyNew, "new", false, "fail if a tenant of that name exists")
	return c
}

func grantCommand(call *tenantCall) *cobra.Command {
	var lifetime time.Duration
	c := tenantSubcommand("grant NAME", "Grant a credential; it is shown this once", 1, func(c *cobra.Command, args []string) error {
		body := "{}"
		if lifetime != 0 {
			body = fmt.Sprintf(`{"expires": %q}`, time.Now().Add(lifetime).UTC().Format(time.RFC3339))
		}
		return call.do(c, http.MethodPost, tenantPath(args[0], "/credentials"), nil, []byte(body))
	})
	c.Flags().DurationVar(&lifetime, "for", 0, "time after which the credential expires, such as 720h")
	return c
}

func auditCommand(call *tenantCall) *cobra.Command {
	var after, limit string
	c := tenantSubcommand("audit", "Who changed what", 0, func(c *cobra.Command, _ []string) error {
		return call.do(c, http.MethodGet, "/v1/audit", queryOf("after", after, "limit", limit), nil)
	})
	c.Flags().StringVar(&after, "after", "", "only changes after this `revision`")
	c.Flags().StringVar(&limit, "limit", "", "most tenants or changes of one page")
	return c
}

func tenantReadCommand(call *tenantCall, use, short, below string) *cobra.Command {
	return tenantSubcommand(use, short, 1, func(c *cobra.Command, args []string) error {
		return call.do(c, http.MethodGet, tenantPath(args[0], below), nil, nil)
	})
}

func revisionCommand(call *tenantCall) *cobra.Command {
	const short = "Which revision holds, and whether changes can be made here"
	return tenantSubcommand("revision", short, 0, func(c *cobra.Command, _ []string) error {
		return call.do(c, http.MethodGet, "/v1/revision", nil, nil)
	})
}

func tenantStateCommand(call *tenantCall, verb, short, state string) *cobra.Command {
	c := tenantSubcommand(verb+" NAME", short, 1, func(c *cobra.Command, args []string) error {
		return call.do(c, http.MethodPut, tenantPath(args[0], "/state"), nil, []byte(`{"state": "`+state+`"}`))
	})
	addChangeFlags(c, call)
	return c
}

func removeTenantCommand(call *tenantCall) *cobra.Command {
	c := tenantSubcommand("remove NAME", "Remove a tenant; what was taken is answered", 1, func(c *cobra.Command, args []string) error {
		return call.do(c, http.MethodDelete, tenantPath(args[0], ""), nil, nil)
	})
	addChangeFlags(c, call)
	return c
}

func revokeCommand(call *tenantCall) *cobra.Command {
	c := tenantSubcommand("revoke NAME ID", "End a credential", 2, func(c *cobra.Command, args []string) error {
		return call.do(c, http.MethodDelete, tenantPath(args[0], "/credentials/"+url.PathEscape(args[1])), nil, nil)
	})
	addChangeFlags(c, call)
	return c
}

// readInput reads a file; - is standard input.
func readInput(c *cobra.Command, file string) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(c.InOrStdin())
	}
	return os.ReadFile(file)
}
