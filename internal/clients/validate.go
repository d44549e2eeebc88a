package clients

import (
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"stoatweir/dispatch"
	"stoatweir/internal/http1"
	"stoatweir/internal/settings"
)

const (
	// maxIDBytes bounds an identifier, before it is scoped to a tenant.
	maxIDBytes = 64
	// maxKeyBytes bounds an idempotency key, before it is scoped to a tenant.
	maxKeyBytes = 256
	// maxTargetBytes bounds a request's target, path and query.
	maxTargetBytes = 2 << 10
	// maxBudgetSeconds bounds a budget.
	maxBudgetSeconds = 1e6
	// decimalDigits are what a budget is written with, beside the decimal point.
	decimalDigits = "0123456789"
	// asciiDelete is the control character above the printable ones.
	asciiDelete = 0x7f
)

// singletonHeaders may stand in a request only once: of two, each reader could believe another.
var singletonHeaders = []string{headerCallID, headerOperation, headerBudget, headerIdempotencyKey, "Host", headerAttempt}

// valid reports whether a request for a known operation with the given effect is well formed.
func (r *invocationRequest) valid(effect dispatch.Effect) bool {
	for _, name := range singletonHeaders {
		if len(r.message.Header[name]) > 1 {
			return false
		}
	}
	return r.budgetValid && r.name == r.pathName && validID(r.id) && validTarget(r.message.Target, r.path) &&
		validIdempotencyKey(r.message.Header[headerIdempotencyKey], effect)
}

// parseBudget reads a budget: seconds, with decimals, and in no form that only some readers parse
// as a number.
func parseBudget(text string) (budget time.Duration, valid bool) {
	if strings.Trim(text, decimalDigits+".") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	return settings.Duration(seconds), err == nil && seconds > 0 && seconds < maxBudgetSeconds
}

func validID(id string) bool { return http1.Token(id) && len(id) <= maxIDBytes }

// validTarget reports whether a worker reads the same in a target, whose path is given too, as this
// process does.
func validTarget(target, path string) bool {
	unescaped, err := url.PathUnescape(path)
	if err != nil || len(target) > maxTargetBytes || strings.ContainsAny(target, "#\\\"<>") || !utf8.ValidString(unescaped) {
		return false
	}
	if !printableASCII(target) || strings.ContainsFunc(unescaped, isControl) {
		return false
	}
	for segment := range strings.SplitSeq(unescaped[1:], "/") {
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
	}
	return true
}

// validIdempotencyKey reports whether workers can recognize a repeat by its key, where the
// operation's effect needs one.
func validIdempotencyKey(values []string, effect dispatch.Effect) bool {
	if len(values) == 0 {
		return effect != dispatch.Deduplicated
	}
	key := values[0]
	return key != "" && len(key) <= maxKeyBytes && printableASCII(key)
}

// printableASCII reports whether a text consists of printable ASCII characters other than the
// space.
func printableASCII(text string) bool {
	for _, c := range text {
		if c <= ' ' || c >= asciiDelete {
			return false
		}
	}
	return true
}

func isControl(c rune) bool { return c < ' ' || c == asciiDelete }
