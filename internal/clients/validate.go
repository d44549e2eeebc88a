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
	// maxIDBytes is the maximum length of an identifier as sent by the client, without its tenant's
	// scope.
	maxIDBytes = 64
	// maxKeyBytes is the maximum length of an idempotency key as sent by the client, without its
	// tenant's scope.
	maxKeyBytes = 256
	// maxTargetBytes is the maximum length of a request's target (path and query).
	maxTargetBytes = 2 << 10
	// maxBudgetSeconds is the exclusive upper bound of a budget.
	maxBudgetSeconds = 1e6
	// decimalDigits are the characters allowed in a budget besides the decimal point.
	decimalDigits = "0123456789"
	// asciiDelete is the control character that follows the printable ASCII characters.
	asciiDelete = 0x7f
)

// singletonHeaders may occur only once in a request: given two, different readers could choose
// different ones.
var singletonHeaders = []string{headerCallID, headerOperation, headerBudget, headerIdempotencyKey, "Host", headerAttempt}

// valid reports whether a request for a known operation with the given effect is well formed.
func (r *invocationRequest) valid(effect dispatch.Effect) bool {
	for _, name := range singletonHeaders {
		if len(r.message.Header[name]) > 1 {
			return false
		}
	}
	return r.budgetValid && r.operationName == r.pathOperationName && validID(r.id) && validTarget(r.message.Target, r.path) &&
		validIdempotencyKey(r.message.Header[headerIdempotencyKey], effect)
}

// parseBudget parses a budget in seconds. It accepts only digits with an optional decimal point,
// and no notation that only some readers parse as a number.
func parseBudget(text string) (budget time.Duration, valid bool) {
	if strings.Trim(text, decimalDigits+".") != "" {
		return 0, false
	}
	seconds, err := strconv.ParseFloat(text, 64)
	return settings.Duration(seconds), err == nil && seconds > 0 && seconds < maxBudgetSeconds
}

func validID(id string) bool { return http1.IsToken(id) && len(id) <= maxIDBytes }

// validTarget reports whether a worker is certain to interpret a request's target as this process
// does. path is the target's path.
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

// validIdempotencyKey reports whether the idempotency key, by which workers recognize a repeat, is
// well formed or, if the operation's effect does not require one, missing.
func validIdempotencyKey(values []string, effect dispatch.Effect) bool {
	if len(values) == 0 {
		return effect != dispatch.Deduplicated
	}
	key := values[0]
	return key != "" && len(key) <= maxKeyBytes && printableASCII(key)
}

// printableASCII reports whether a text consists only of printable ASCII characters other than the
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
