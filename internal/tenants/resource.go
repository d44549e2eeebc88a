// Package tenants decides what each tenant of one installation may use. It has neither clock nor I/O: the book takes changes
// and says what is wrong with them, the gate takes events with their time and says who may come in.
package tenants

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Spec is what an administrator says of a tenant. What is left out is not limited.
type Spec struct {
	Weight     float64     `json:"weight"`
	Limits     Limits      `json:"limits"`
	Operations []Operation `json:"operations"`
}

// Limits bound what a tenant may use, at all schedulers together. Pointers, as nought is refused and not the same as none.
type Limits struct {
	RatePerS     *float64 `json:"rate_per_s,omitzero"`    // invocations taken
	Burst        *float64 `json:"burst,omitzero"`         // that may come at once; one second's worth if left out
	Concurrency  *int     `json:"concurrency,omitzero"`   // invocations in hand
	HeldWorkS    *float64 `json:"held_work_s,omitzero"`   // their hinted cost, in seconds on a standard core
	RequestBytes *int     `json:"request_bytes,omitzero"` // of a body
	RetryRatio   *float64 `json:"retry_ratio,omitzero"`   // retries for each first try
}

// Operation is one kind of invocation of a tenant.
type Operation struct {
	Name              string  `json:"name"`
	Effect            string  `json:"effect"` // idempotent, deduplicated, non_idempotent
	DedupScope        string  `json:"dedup_scope,omitzero"`
	DedupWindowS      float64 `json:"dedup_window_s,omitzero"`
	LatencyObjectiveS float64 `json:"latency_objective_s"`
	Stretch           float64 `json:"stretch,omitzero"`
	ClientTimeoutS    float64 `json:"client_timeout_s"`
	BilledValue       float64 `json:"billed_value"`
	LateBilledValue   float64 `json:"late_billed_value,omitzero"`
}

// Effects and scopes, by the names that administrators use.
const (
	Idempotent    = "idempotent"
	Deduplicated  = "deduplicated"
	NonIdempotent = "non_idempotent"
)

var effects, scopes = []string{Idempotent, Deduplicated, NonIdempotent}, []string{"", "all", "zone", "cell"}

// State is where a tenant stands in its life.
type State string

const (
	Active    State = "active"
	Suspended State = "suspended"
)

// Tenant is one as the book has it. Handle names this tenant and no later one of its name: ids, keys and counters go by it.
type Tenant struct {
	Name        string       `json:"name"`
	Handle      string       `json:"handle"`
	State       State        `json:"state"`
	Revision    uint64       `json:"revision"` // of the book, when it was last changed
	Created     time.Time    `json:"created"`
	Spec        Spec         `json:"spec"`
	Credentials []Credential `json:"credentials"`
}

// Credential is what a client shows. The secret itself is told once and kept nowhere.
type Credential struct {
	ID      string    `json:"id"`
	Hash    string    `json:"hash"` // SHA-256 of the secret, which has 256 bits of chance: nothing to stretch or salt
	Expires time.Time `json:"expires,omitzero"`
}

// HashOf is how a secret is kept.
func HashOf(secret string) string {
	h := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(h[:])
}

// Opens tells whether a secret is the credential's, in the same time whatever the secret.
func (c Credential) Verify(secret string, now time.Time) bool {
	same := subtle.ConstantTimeCompare([]byte(c.Hash), []byte(HashOf(secret))) == 1
	return same && (c.Expires.IsZero() || now.Before(c.Expires))
}

// Fault is one thing wrong with what was said, by field.
type FieldError struct {
	Field  string `json:"field"`
	Reason string `json:"reason"`
}

func (f FieldError) Error() string { return f.Field + ": " + f.Reason }

// Faults are all that is wrong.
type FieldErrors []FieldError

func (f FieldErrors) Error() string {
	var all []string
	for _, one := range f {
		all = append(all, one.Error())
	}
	return strings.Join(all, "; ")
}

const (
	nameMost       = 40
	operationsMost = 32
	// OperationsMost is how many operations all tenants have together: the decisions keep a book for each.
	OperationsMost = 4096
	// TenantsMost is how many tenants there can be.
	TenantsMost     = 4096
	credentialsMost = 8
	figureMost      = 1e9
	spanMost        = 86400.0
)

// Name tells what is wrong with a name. Only a few ASCII characters may stand in one: of those that merely look alike two
// tenants could be taken for one another.
func Name(field, name string) FieldErrors {
	switch {
	case name == "":
		return FieldErrors{{field, "is not set"}}
	case len(name) > nameMost:
		return FieldErrors{{field, fmt.Sprintf("is over %d characters", nameMost)}}
	case strings.Trim(name, "abcdefghijklmnopqrstuvwxyz0123456789-") != "":
		return FieldErrors{{field, "has characters other than a to z, 0 to 9 and -"}}
	case strings.HasPrefix(name, "-") || strings.HasSuffix(name, "-"):
		return FieldErrors{{field, "begins or ends with -"}}
	}
	return nil
}

// Check tells all that is wrong with a spec.
func (s Spec) Check() (all FieldErrors) {
	above := func(field string, v, most float64) {
		switch {
		case math.IsNaN(v) || v <= 0:
			all = append(all, FieldError{field, fmt.Sprintf("%v is not over 0", v)})
		case v > most:
			all = append(all, FieldError{field, fmt.Sprintf("%v is over %v", v, most)})
		}
	}
	some := func(field string, v *float64, most float64) {
		if v != nil {
			above(field, *v, most)
		}
	}
	whole := func(field string, v *int) {
		if v != nil {
			above(field, float64(*v), figureMost)
		}
	}
	above("/weight", s.Weight, 1e6)
	l := s.Limits
	some("/limits/rate_per_s", l.RatePerS, figureMost)
	some("/limits/burst", l.Burst, figureMost)
	some("/limits/held_work_s", l.HeldWorkS, figureMost)
	some("/limits/retry_ratio", l.RetryRatio, 10)
	whole("/limits/concurrency", l.Concurrency)
	whole("/limits/request_bytes", l.RequestBytes)
	if l.Burst != nil && l.RatePerS == nil {
		all = append(all, FieldError{"/limits/burst", "is set, and rate_per_s is not"})
	}
	if n := len(s.Operations); n == 0 {
		all = append(all, FieldError{"/operations", "there are none"})
	} else if n > operationsMost {
		all = append(all, FieldError{"/operations", fmt.Sprintf("%d are over %d", n, operationsMost)})
	}
	names := map[string]int{}
	for i, o := range s.Operations {
		at := fmt.Sprintf("/operations/%d/", i)
		all = append(all, Name(at+"name", o.Name)...)
		if first, twice := names[o.Name]; twice && o.Name != "" {
			all = append(all, FieldError{at + "name", fmt.Sprintf("%q is the name of operation %d too", o.Name, first)})
		} else {
			names[o.Name] = i
		}
		if !slices.Contains(effects, o.Effect) {
			all = append(all, FieldError{at + "effect", fmt.Sprintf("%q is none of %s", o.Effect, strings.Join(effects, ", "))})
		}
		above(at+"latency_objective_s", o.LatencyObjectiveS, spanMost)
		above(at+"client_timeout_s", o.ClientTimeoutS, spanMost)
		above(at+"billed_value", o.BilledValue, figureMost)
		if !(o.Stretch >= 0 && o.Stretch <= 1000) {
			all = append(all, FieldError{at + "stretch", fmt.Sprintf("%v is not between 0 and 1000", o.Stretch)})
		}
		if !(o.LateBilledValue >= 0 && o.LateBilledValue <= 1) {
			all = append(all, FieldError{at + "late_billed_value", fmt.Sprintf("%v is not between 0 and 1", o.LateBilledValue)})
		}
		if !slices.Contains(scopes, o.DedupScope) {
			all = append(all, FieldError{at + "dedup_scope", fmt.Sprintf("%q is none of all, zone, cell", o.DedupScope)})
		}
		switch dedup := o.Effect == Deduplicated; {
		case dedup:
			above(at+"dedup_window_s", o.DedupWindowS, spanMost)
		case o.DedupWindowS != 0 || o.DedupScope != "":
			all = append(all, FieldError{at + "effect", fmt.Sprintf("%q knows no repeats, and a window or scope is set", o.Effect)})
		}
	}
	return all
}
