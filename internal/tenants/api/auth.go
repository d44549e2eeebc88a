package api

import (
	"crypto/subtle"
	"fmt"
	"net/http"
	"strings"

	"stoatweir/internal/tenants"
)

// Role determines which requests an administrator may send.
type Role string

// The roles of administrators.
const (
	RoleRead    Role = "read"    // may only read
	RoleOperate Role = "operate" // may read and make changes
)

// Administrator is a person or program that may use the API. Only the hash of its token is
// configured, never the token itself.
type Administrator struct {
	Name string
	Role Role
	Hash string // SHA-256 of the token, in hexadecimal digits
}

// authorize returns the administrator who sent a request if that administrator has the required role.
// The error is a Problem.
func (a *API) authorize(w http.ResponseWriter, r *http.Request, role Role) (Administrator, error) {
	administrator, known := a.authenticate(r.Header.Values("Authorization"))
	if !known {
		w.Header().Set("WWW-Authenticate", `Bearer realm="stoatweir administration"`)
		return Administrator{}, newProblem(http.StatusUnauthorized, "a known token is wanted in Authorization: Bearer")
	}
	if role == RoleOperate && administrator.Role != RoleOperate {
		return Administrator{}, newProblem(http.StatusForbidden, fmt.Sprintf("%s may only read", administrator.Name))
	}
	return administrator, nil
}

// authenticate returns the administrator to whom the token in the Authorization headers belongs. It
// compares the token with those of all administrators, so that its running time does not reveal
// whether or which one matched.
func (a *API) authenticate(headers []string) (administrator Administrator, known bool) {
	if len(headers) != 1 {
		return Administrator{}, false
	}
	scheme, token, _ := strings.Cut(headers[0], " ")
	hash := tenants.HashSecret(token)
	for _, candidate := range a.administrators {
		if subtle.ConstantTimeCompare([]byte(candidate.Hash), []byte(hash)) == 1 {
			administrator = candidate
			known = true
		}
	}
	isBearer := strings.EqualFold(scheme, "Bearer")
	return administrator, known && isBearer && token != ""
}
