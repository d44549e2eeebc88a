package tenants

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"time"
)

// Credential authenticates a client of a tenant. The secret itself is shown once, when the
// credential is granted, and stored nowhere.
type Credential struct {
	ID      string    `json:"id"`
	Hash    string    `json:"hash"` // SHA-256 of the secret, which has 256 random bits: no need to stretch or salt
	Expires time.Time `json:"expires,omitzero"`
}

// HashOf returns the form in which a secret is stored: its SHA-256 in hexadecimal digits.
func HashOf(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// Verify reports whether the secret is the credential's and the credential has not expired. It
// takes the same time whatever the secret.
func (c Credential) Verify(secret string, now time.Time) bool {
	matches := subtle.ConstantTimeCompare([]byte(c.Hash), []byte(HashOf(secret))) == 1
	return matches && (c.Expires.IsZero() || now.Before(c.Expires))
}
