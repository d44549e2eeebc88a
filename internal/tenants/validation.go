package tenants

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

const (
	// MaxOperations is how many operations all tenants may have together. The dispatcher keeps
	// estimates for each of them.
	MaxOperations = 4096
	// MaxTenants is how many tenants there may be.
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

// FieldError describes one invalid field of a document. Field is its JSON pointer.
type FieldError struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

// Error returns the field and why it is invalid.
func (e FieldError) Error() string { return e.Field + ": " + e.Reason }

// FieldErrors lists all invalid fields of one document.
type FieldErrors []FieldError

// Error joins the texts of all errors.
func (e FieldErrors) Error() string {
	texts := make([]string, 0, len(e))
	for _, fieldError := range e {
		texts = append(texts, fieldError.Error())
	}
	return strings.Join(texts, "; ")
}

// ValidateName returns what is invalid about a tenant's or operation's name, as the error of the
// given field; nil if the name is valid. Only a few ASCII characters are valid, because names with
// other characters that look the same could be mistaken for each other.
func ValidateName(field, name string) FieldErrors {
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

// Validate returns all invalid fields of a spec; nil if it is valid.
func (s Spec) Validate() FieldErrors {
	var v validator
	v.positive("/weight", s.Weight, maxWeight)
	v.limits(s.Limits)
	v.operations(s.Operations)
	return v.errors
}

// validator collects the invalid fields of one document.
type validator struct {
	errors FieldErrors
}

func (v *validator) fail(field, format string, args ...any) {
	v.errors = append(v.errors, FieldError{Field: field, Reason: fmt.Sprintf(format, args...)})
}

// positive requires a value to be over 0 and at most maximum.
func (v *validator) positive(field string, value, maximum float64) {
	switch {
	case math.IsNaN(value) || value <= 0:
		v.fail(field, "%v is not over 0", value)
	case value > maximum:
		v.fail(field, "%v is over %v", value, maximum)
	}
}

// optionalPositive requires a value, if it is set, to be over 0 and at most maximum.
func (v *validator) optionalPositive(field string, value *float64, maximum float64) {
	if value != nil {
		v.positive(field, *value, maximum)
	}
}

// optionalPositiveCount requires a count, if it is set, to be over 0 and at most maxQuantity.
func (v *validator) optionalPositiveCount(field string, count *int) {
	if count != nil {
		v.positive(field, float64(*count), maxQuantity)
	}
}

func (v *validator) limits(l Limits) {
	v.optionalPositive("/limits/rate_per_s", l.RatePerSecond, maxQuantity)
	v.optionalPositive("/limits/burst", l.Burst, maxQuantity)
	v.optionalPositive("/limits/held_work_s", l.HeldWorkSeconds, maxQuantity)
	v.optionalPositive("/limits/retry_ratio", l.RetryRatio, maxRetryRatio)
	v.optionalPositiveCount("/limits/concurrency", l.Concurrency)
	v.optionalPositiveCount("/limits/request_bytes", l.RequestBytes)
	if l.Burst != nil && l.RatePerSecond == nil {
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
		v.errors = append(v.errors, ValidateName(prefix+"name", operation.Name)...)
		first, duplicate := indexByName[operation.Name]
		if duplicate && operation.Name != "" {
			v.fail(prefix+"name", "%q is the name of operation %d too", operation.Name, first)
		} else {
			indexByName[operation.Name] = i
		}
		v.operation(prefix, operation)
	}
}

// operation checks all fields of an operation except its name.
func (v *validator) operation(prefix string, o Operation) {
	if !slices.Contains(effects, o.Effect) {
		v.fail(prefix+"effect", "%q is none of %s", o.Effect, strings.Join(effects, ", "))
	}
	v.positive(prefix+"latency_objective_s", o.LatencyObjectiveSeconds, maxSeconds)
	v.positive(prefix+"client_timeout_s", o.ClientTimeoutSeconds, maxSeconds)
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
		v.positive(prefix+"dedup_window_s", o.DedupWindowSeconds, maxSeconds)
	} else if o.DedupWindowSeconds != 0 || o.DedupScope != "" {
		v.fail(prefix+"effect", "%q knows no repeats, and a window or scope is set", o.Effect)
	}
}

// isBetween reports whether minimum <= value <= maximum, which is false if value is NaN.
func isBetween(value, minimum, maximum float64) bool {
	return value >= minimum && value <= maximum
}
