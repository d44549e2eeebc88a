package api

import (
	"errors"
	"sync"
	"time"

	"stoatweir/internal/tenants"
	"stoatweir/internal/tenants/store"
)

// Registry owns the store of tenants and serializes access to its directory. It is safe for concurrent
// use.
type Registry struct {
	mu      sync.Mutex
	store   *store.Store
	now     func() time.Time
	publish func([]tenants.Tenant, uint64)
}

// NewRegistry returns a registry and publishes the directory of its store. Each later change is
// published in order, while the registry is locked: publish must not call the registry.
func NewRegistry(s *store.Store, now func() time.Time, publish func(all []tenants.Tenant, revision uint64)) *Registry {
	r := &Registry{store: s, now: now, publish: publish}
	r.publishDirectory()
	return r
}

func (r *Registry) publishDirectory() {
	directory := r.store.Directory
	r.publish(directory.All(), directory.Revision)
}

// Follow reads what another process has written to the store, and publishes the directory if it has
// changed. The error is that of store.Store.Follow.
func (r *Registry) Follow() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, err := r.store.Follow()
	if changed {
		r.publishDirectory()
	}
	return err
}

// Close closes the store.
func (r *Registry) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Close()
}

// Writes reports whether this process is the writer of the store. The error says why it can't make
// changes at present; it is nil if it can.
func (r *Registry) Writes() (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.Writes(), r.store.WriteError
}

// read calls a function with the directory while the registry is locked. The directory must not be
// used after the function has returned.
func (r *Registry) read(view func(*tenants.Directory)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	view(r.store.Directory)
}

// errUnchanged is returned by a changeFunc if there is nothing to change. The Change returned with it
// holds the present tenant.
var errUnchanged = errors.New("it is so already")

// changeFunc computes a change of the directory at the given time.
type changeFunc func(*tenants.Directory, time.Time) (tenants.Change, error)

// change computes a change, makes it durable and publishes the directory. A dry run only computes the
// change. The error is that of the changeFunc or of store.Store.Append.
func (r *Registry) change(isDryRun bool, compute changeFunc) (tenants.Change, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change, err := compute(r.store.Directory, r.now())
	if err != nil || isDryRun {
		return change, err
	}
	if err := r.store.Append(change); err != nil {
		return change, err
	}
	r.publishDirectory()
	return change, nil
}
