// Package api is the administrators' door: tenants as versioned resources, on a listener of its own.
package api

import (
	"crypto/rand"
	"encoding/base64"
	"errors"
	"strings"
	"sync"
	"time"

	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/store"
)

// Registry owns the store and its book. Administrators' calls take turns; the schedulers' loop is told what holds from now on.
type Registry struct {
	mu        sync.Mutex
	store     *store.Store
	now       func() time.Time
	published func([]tenants.Tenant, uint64)
}

// NewRegistry publishes what the store has, and each change from then on, in order.
func NewRegistry(s *store.Store, now func() time.Time, published func(all []tenants.Tenant, revision uint64)) *Registry {
	r := &Registry{store: s, now: now, published: published}
	published(s.Book.All(), s.Book.Revision)
	return r
}

// Follow takes over what another process has written, and tells why it could not.
func (r *Registry) Follow() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	news, err := r.store.Follow()
	if news {
		r.published(r.store.Book.All(), r.store.Book.Revision)
	}
	return err
}

// Close lets the store go.
func (r *Registry) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Close()
}

// Writes tells whether changes are made here, and why they can't be just now.
func (r *Registry) Writes() (writes bool, why error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Writes(), r.store.Failed
}

// read looks at the book.
func (r *Registry) read(look func(*tenants.Directory)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	look(r.store.Book)
}

// errNone: there is nothing to change.
var errNone = errors.New("it is so already")

// change makes a change last before anybody hears of it. dry: it is only worked out.
func (r *Registry) change(dry bool, work func(*tenants.Directory, time.Time) (tenants.Change, error)) (c tenants.Change, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, err = work(r.store.Book, r.now()); err != nil || dry {
		return c, err
	}
	if err := r.store.Append(c); err != nil {
		return c, err
	}
	r.published(r.store.Book.All(), r.store.Book.Revision)
	return c, nil
}

// secret makes one: 256 bits, which nobody guesses.
func secret() string {
	var b [32]byte
	rand.Read(b[:])
	return base64.RawURLEncoding.EncodeToString(b[:])
}

// keyID names a credential. Among all tenants two are never the same. It has letters and digits alone: one that began with a dash
// was taken for a flag by the command line.
func keyID() string { return strings.ToLower(rand.Text()[:16]) }
