package tenants

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"
)

// Credential authenticates clients of a tenant. The secret itself is shown only once, when the
// credential is granted, and is never stored.
type Credential struct {
	ID string `json:"id"`
	// Hash is the SHA-256 of the secret, which has 256 random bits and so needs neither key stretching
	// nor a salt.
	Hash    string    `json:"hash"`
	Expires time.Time `json:"expires,omitzero"`
}

// HashSecret returns the hash that is stored in place of a secret: its SHA-256 in hexadecimal digits.
func HashSecret(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Verify reports whether the secret belongs to the credential and the credential has not expired. Its
// running time does not depend on the secret.
func (c Credential) Verify(secret string, now time.Time) bool {
	matches := subtle.ConstantTimeCompare([]byte(c.Hash), []byte(HashSecret(secret))) == 1
	return matches && (c.Expires.IsZero() || now.Before(c.Expires))
}
