package api

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"

	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/store"
)

const (
	contentTypeJSON    = "application/json"
	contentTypeProblem = "application/problem+json"

	// marshalFailure is the body that is sent if the intended one can't be marshalled.
	marshalFailure = `{"type":"about:blank","title":"Internal Server Error","status":500}`

	revisionRadix = 10 // base of the revision in an ETag
)

// response is a successful answer.
type response struct {
	status   int
	body     any    // is marshalled to JSON
	revision uint64 // revision of the resource, sent as the ETag; 0 for no ETag
}

// Problem is an error as it is sent to administrators: problem details by RFC 9457.
type Problem struct {
	Type   string              `json:"type"`
	Title  string              `json:"title"`
	Status int                 `json:"status"`
	Detail string              `json:"detail,omitzero"`
	Errors tenants.FieldErrors `json:"errors,omitzero"`
}

// Error returns the problem's detail.
func (p *Problem) Error() string { return p.Detail }

func newProblem(status int, detail string, fieldErrors ...tenants.FieldError) *Problem {
	return &Problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Errors: fieldErrors,
	}
}

// fieldProblem returns the problem of a bad request with one invalid field.
func fieldProblem(detail, field, reason string) *Problem {
	return newProblem(http.StatusBadRequest, detail, tenants.FieldError{Field: field, Reason: reason})
}

// problemOf returns the problem that is sent for an error. This is the error itself if it is a Problem,
// or the problem of a change that was not made.
func problemOf(err error) *Problem {
	var problem *Problem
	var fieldErrors tenants.FieldErrors
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &fieldErrors):
		return newProblem(http.StatusUnprocessableEntity, "what was said makes no sense", fieldErrors...)
	case errors.Is(err, tenants.ErrNotFound):
		return newProblem(http.StatusNotFound, err.Error())
	case errors.Is(err, tenants.ErrRevisionMismatch), errors.Is(err, tenants.ErrExists):
		return newProblem(http.StatusPreconditionFailed, err.Error())
	case errors.Is(err, tenants.ErrLimitReached):
		return newProblem(http.StatusConflict, fmt.Sprintf("%v: %d tenants and %d operations of all of them are the most",
			err, tenants.MaxTenants, tenants.MaxOperations))
	case errors.Is(err, store.ErrNotWriter):
		return newProblem(http.StatusServiceUnavailable,
			"this scheduler only follows; changes are made at the one that has the store")
	default:
		return newProblem(http.StatusInsufficientStorage, "nothing is changed and serving goes on: "+err.Error())
	}
}

// writeError answers a request with the problem of an error.
func writeError(w http.ResponseWriter, err error) {
	problem := problemOf(err)
	writeBody(w, contentTypeProblem, problem.Status, problem)
}

// writeResponse answers a request with a response.
func writeResponse(w http.ResponseWriter, r response) {
	if r.revision > 0 {
		w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(r.revision, revisionRadix)))
	}
	if r.status == http.StatusNoContent {
		setNoStore(w)
		w.WriteHeader(r.status)
		return
	}
	writeBody(w, contentTypeJSON, r.status, r.body)
}

func writeBody(w http.ResponseWriter, contentType string, status int, body any) {
	text, err := json.Marshal(body, jsontext.Multiline(true))
	if err != nil {
		text = []byte(marshalFailure)
		status = http.StatusInternalServerError
	}
	setNoStore(w)
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	w.Write(append(text, '\n'))
}

// setNoStore tells caches not to store an answer.
func setNoStore(w http.ResponseWriter) { w.Header().Set("Cache-Control", "no-store") }
