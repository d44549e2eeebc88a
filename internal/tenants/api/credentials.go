package api

import (
	"crypto/rand"
	"encoding/base64"
	"time"

	"stoatweir/internal/tenants"
)

// secretBytes is the length of a secret: 256 random bits can't be guessed.
const secretBytes = 32

// newSecret returns a random secret in URL-safe base64.
func newSecret() string {
	var secret [secretBytes]byte
	rand.Read(secret[:])
	return base64.RawURLEncoding.EncodeToString(secret[:])
}

// CredentialView is a credential as administrators see it, without the hash of its secret.
type CredentialView struct {
	ID      string    `json:"id"`
	Expires time.Time `json:"expires,omitzero"`
}

func newCredentialView(credential tenants.Credential) CredentialView {
	return CredentialView{ID: credential.ID, Expires: credential.Expires}
}

// grantedCredential is a new credential with its secret. This answer is the only one that shows it.
type grantedCredential struct {
	CredentialView
	Credential string `json:"credential"` // "id.secret", which clients authenticate with
}

func (a *API) grantCredential(r *request) (response, error) {
	if err := r.allowQuery("dry_run"); err != nil {
		return response{}, err
	}
	// Problem texts contain the name of the type that was expected, so naming it would change them.
	var body struct {
		Expires time.Time `json:"expires,omitzero"`
	}
	if err := r.decodeBody(&body); err != nil {
		return response{}, err
	}
	secret := newSecret()
	credential := tenants.Credential{ID: randomID(), Hash: tenants.HashSecret(secret), Expires: body.Expires}
	answer, err := a.change(r, func(d *tenants.Directory, now time.Time) (tenants.Change, error) {
		return d.Grant(r.administrator, r.PathValue("name"), credential, now)
	})
	if err != nil || r.isDryRun {
		return answer, err
	}
	answer.body = grantedCredential{
		CredentialView: newCredentialView(credential),
		Credential:     credential.ID + "." + secret,
	}
	return answer, nil
}

func (a *API) revokeCredential(r *request) (response, error) {
	if err := r.allowQuery("dry_run"); err != nil {
		return response{}, err
	}
	return a.change(r, func(d *tenants.Directory, now time.Time) (tenants.Change, error) {
		return d.Revoke(r.administrator, r.PathValue("name"), r.PathValue("id"), now)
	})
}
