package api

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"stoatweir/internal/tenants"
)

const (
	maxBodyBytes    = 64 << 10
	defaultPageSize = 100 // items in a list without the parameter limit
	maxPageSize     = 500 // items

	revisionBitSize = 64 // of the integers that revisions are parsed as
)

// request is one request of an authorized administrator.
type request struct {
	*http.Request
	administrator string // the administrator's name
	query         url.Values
	isDryRun      bool
	precondition  tenants.Precondition
}

// serve authorizes and parses a request, and answers it.
func (a *API) serve(w http.ResponseWriter, r *http.Request, role Role, h handler) {
	administrator, err := a.authorize(w, r, role)
	if err != nil {
		writeError(w, err)
		return
	}
	req, err := parseRequest(w, r, administrator, role)
	if err != nil {
		writeError(w, err)
		return
	}
	answer, err := h(req)
	if err != nil {
		writeError(w, err)
		return
	}
	writeResponse(w, answer)
}

// parseRequest parses the query and, for a request that needs RoleOperate, its dry-run flag and
// preconditions. It limits the size of the body. The error is a Problem.
func parseRequest(w http.ResponseWriter, r *http.Request, administrator Administrator, role Role) (*request, error) {
	query, err := url.ParseQuery(r.URL.RawQuery)
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, "the query can't be read")
	}
	req := &request{Request: r, administrator: administrator.Name, query: query}
	if role == RoleOperate {
		if err := req.parseChangeOptions(); err != nil {
			return nil, err
		}
	}
	if r.Body != nil {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	}
	return req, nil
}

// changeOptionProblem returns the problem of an invalid dry-run flag or precondition.
func changeOptionProblem(field, reason string) *Problem {
	return fieldProblem("a condition can't be read", field, reason)
}

// parseChangeOptions parses the dry-run flag and the preconditions of a change. The error is a Problem.
func (r *request) parseChangeOptions() error {
	switch dryRun := r.query.Get("dry_run"); dryRun {
	case "", "false":
	case "true":
		r.isDryRun = true
	default:
		return changeOptionProblem("dry_run", fmt.Sprintf("%.20q is neither true nor false", dryRun))
	}
	if values := r.Header.Values("If-Match"); len(values) > 0 {
		if err := r.parseIfMatch(values); err != nil {
			return err
		}
	}
	if values := r.Header.Values("If-None-Match"); len(values) > 0 {
		if len(values) > 1 || strings.TrimSpace(values[0]) != "*" {
			return changeOptionProblem("If-None-Match", "is not *")
		}
		r.precondition.Absent = true
	}
	return nil
}

// parseIfMatch parses the values of If-Match into the precondition. The error is a Problem.
func (r *request) parseIfMatch(values []string) error {
	tag := strings.TrimSpace(values[0])
	if tag == "*" && len(values) == 1 {
		r.precondition.Exists = true
		return nil
	}
	revision, err := strconv.ParseUint(strings.Trim(tag, `"`), revisionRadix, revisionBitSize)
	isQuoted := len(tag) > len(`""`) && tag[0] == '"' && tag[len(tag)-1] == '"'
	if len(values) > 1 || err != nil || !isQuoted {
		return changeOptionProblem("If-Match", `is neither * nor one revision as in an ETag, such as "12"`)
	}
	r.precondition.Revision = &revision
	return nil
}

// allowQuery rejects all query parameters except the named ones, so that a misspelt parameter is not
// silently ignored, and parameters that are given twice. The error is a Problem.
func (r *request) allowQuery(names ...string) error {
	for name, values := range r.query {
		if !slices.Contains(names, name) {
			return fieldProblem("an unknown query parameter", name, "is not known here")
		}
		if len(values) > 1 {
			return fieldProblem("a query parameter stands there twice", name, "is there twice")
		}
	}
	return nil
}

// parameterProblem returns the problem of an invalid value of a query parameter.
func parameterProblem(name, reason string) *Problem {
	return fieldProblem("a query parameter makes no sense", name, reason)
}

// pageSize returns the query parameter "limit", or defaultPageSize if it is not set. The error is a
// Problem.
func (r *request) pageSize() (int, error) {
	text := r.query.Get("limit")
	if text == "" {
		return defaultPageSize, nil
	}
	size, err := strconv.Atoi(text)
	if err != nil || size < 1 || size > maxPageSize {
		return 0, parameterProblem("limit", fmt.Sprintf("is no whole number from 1 to %d", maxPageSize))
	}
	return size, nil
}

// decodeBody decodes the body into target and rejects unknown keys. The error is a Problem.
func (r *request) decodeBody(target any) error {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return readProblem(err)
	}
	err = json.Unmarshal(text, target, json.RejectUnknownMembers(true))
	if err != nil {
		return decodeProblem(err)
	}
	return nil
}

// readProblem returns the problem of a body that can't be read completely.
func readProblem(err error) *Problem {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		detail := fmt.Sprintf("a body has %d bytes at most", maxBodyBytes)
		return newProblem(http.StatusRequestEntityTooLarge, detail)
	case errors.Is(err, os.ErrDeadlineExceeded):
		detail := fmt.Sprintf("a request has to be whole within %v", readTimeout)
		return newProblem(http.StatusRequestTimeout, detail)
	default:
		return newProblem(http.StatusBadRequest, "the body has no end")
	}
}

// decodeProblem returns the problem of a body that can't be decoded.
func decodeProblem(err error) *Problem {
	var semantic *json.SemanticError
	var syntactic *jsontext.SyntacticError
	switch {
	case errors.As(err, &semantic):
		reason := fmt.Sprintf("a %v is wanted there", semantic.GoType)
		if semantic.JSONKind != 0 {
			reason += fmt.Sprintf(", not a %v", semantic.JSONKind)
		}
		if errors.Is(err, json.ErrUnknownName) {
			reason = "is not known here"
		}
		return fieldProblem("the body is not what is wanted here", string(semantic.JSONPointer), reason)
	case errors.As(err, &syntactic):
		return fieldProblem("the body is no JSON", string(syntactic.JSONPointer), syntactic.Err.Error())
	default:
		return newProblem(http.StatusBadRequest, "the body can't be read")
	}
}
