package tenants

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// MaxOperations is how many operations all tenants have together: the dispatcher keeps
	// estimates for each.
	MaxOperations = 4096
	// MaxTenants is how many tenants there can be.
	MaxTenants = 4096

	maxNameLength          = 40      // bytes
	maxOperationsPerTenant = 32      // operations in one Spec
	maxCredentials         = 8       // credentials of one tenant
	maxWeight              = 1e6     // of a tenant
	maxQuantity            = 1e9     // of limits and billed values
	maxRetryRatio          = 10.0    // retries for each first attempt
	maxSeconds             = 86400.0 // of objectives, timeouts and windows
	maxStretch             = 1000    // of an operation
)

const nameCharacters = "abcdefghijklmnopqrstuvwxyz0123456789-"

var (
	effects     = []string{Idempotent, Deduplicated, NonIdempotent}
	dedupScopes = []string{"", "all", "zone", "cell"}
)

// FieldError is one invalid field. Field is its JSON pointer.
type FieldError struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Error returns the field and the reason.
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// FieldErrors are all invalid fields of one document.
type FieldErrors []FieldError

// Error joins the texts of all errors.
func (e FieldErrors) Error() string {
	texts := make([]string, 0, len(e))
	for _, fieldError := range e {
		texts = append(texts, fieldError.Error())
	}
	return strings.Join(texts, "; ")
}

// Name returns what is invalid about a name, under the given field. Only a few ASCII characters
// are valid: with characters that merely look alike one tenant could be mistaken for another.
func Name(field, name string) FieldErrors {
	reason := ""
	switch {
	case name == "":
		reason = "is not set"
	case len(name) > maxNameLength:
		reason = fmt.Sprintf("is over %d characters", maxNameLength)
	case strings.Trim(name, nameCharacters) != "":
		reason = "has characters other than a to z, 0 to 9 and -"
	case strings.HasPrefix(name, "-") || strings.HasSuffix(name, "-"):
		reason = "begins or ends with -"
	default:
		return nil
	}
	return FieldErrors{{Field: field, Reason: reason}}
}

// Validate returns everything that is invalid about a spec; nil if it is valid.
func (s Spec) Validate() FieldErrors {
	var v validator
	v.positive("/weight", s.Weight, maxWeight)
	v.limits(s.Limits)
	v.operations(s.Operations)
	return v.errors
}

// validator collects the errors of one document.
type validator struct {
	errors FieldErrors
}

func (v *validator) fail(field, format string, args ...any) {
	v.errors = append(v.errors, FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// positive requires a value over 0 and at most a maximum.
func (v *validator) positive(field string, value, maximum float64) {
	switch {
	case math.IsNaN(value) || value <= 0:
		v.fail(field, "%v is not over 0", value)
	case value > maximum:
		v.fail(field, "%v is over %v", value, maximum)
	}
}

// optional requires a value that is set to be positive.
func (v *validator) optional(field string, value *float64, maximum float64) {
	if value != nil {
		v.positive(field, *value, maximum)
	}
}

// optionalCount requires a count that is set to be positive.
func (v *validator) optionalCount(field string, count *int) {
	if count != nil {
		v.positive(field, float64(*count), maxQuantity)
	}
}

func (v *validator) limits(l Limits) {
	v.optional("/limits/rate_per_s", l.RatePerS, maxQuantity)
	v.optional("/limits/burst", l.Burst, maxQuantity)
	v.optional("/limits/held_work_s", l.HeldWorkS, maxQuantity)
	v.optional("/limits/retry_ratio", l.RetryRatio, maxRetryRatio)
	v.optionalCount("/limits/concurrency", l.Concurrency)
	v.optionalCount("/limits/request_bytes", l.RequestBytes)
	if l.Burst != nil && l.RatePerS == nil {
		v.fail("/limits/burst", "is set, and rate_per_s is not")
	}
}

func (v *validator) operations(operations []Operation) {
	switch count := len(operations); {
	case count == 0:
		v.fail("/operations", "there are none")
	case count > maxOperationsPerTenant:
		v.fail("/operations", "%d are over %d", count, maxOperationsPerTenant)
	}
	indexByName := map[string]int{}
	for i, operation := range operations {
		prefix := fmt.Sprintf("/operations/%d/", i)
		v.errors = append(v.errors, Name(prefix+"name", operation.Name)...)
		first, duplicate := indexByName[operation.Name]
		if duplicate && operation.Name != "" {
			v.fail(prefix+"name", "%q is the name of operation %d too", operation.Name, first)
		} else {
			indexByName[operation.Name] = i
		}
		v.operation(prefix, operation)
	}
}

// operation checks all fields of an operation but its name.
func (v *validator) operation(prefix string, o Operation) {
	if !slices.Contains(effects, o.Effect) {
		v.fail(prefix+"effect", "%q is none of %s", o.Effect, strings.Join(effects, ", "))
	}
	v.positive(prefix+"latency_objective_s", o.LatencyObjectiveS, maxSeconds)
	v.positive(prefix+"client_timeout_s", o.ClientTimeoutS, maxSeconds)
	v.positive(prefix+"billed_value", o.BilledValue, maxQuantity)
	if !isBetween(o.Stretch, 0, maxStretch) {
		v.fail(prefix+"stretch", "%v is not between 0 and %d", o.Stretch, maxStretch)
	}
	if !isBetween(o.LateBilledValue, 0, 1) {
		v.fail(prefix+"late_billed_value", "%v is not between 0 and 1", o.LateBilledValue)
	}
	if !slices.Contains(dedupScopes, o.DedupScope) {
		v.fail(prefix+"dedup_scope", "%q is none of all, zone, cell", o.DedupScope)
	}
	if o.Effect == Deduplicated {
		v.positive(prefix+"dedup_window_s", o.DedupWindowS, maxSeconds)
	} else if o.DedupWindowS != 0 || o.DedupScope != "" {
		v.fail(prefix+"effect", "%q knows no repeats, and a window or scope is set", o.Effect)
	}
}

// isBetween reports whether least <= value <= most; it does not hold for NaN.
func isBetween(value, least, most float64) bool {
	return value >= least && value <= most
}
