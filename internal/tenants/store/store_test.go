package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"strings"
	"testing"
	"time"

	"github.com/go-json-experiment/json"

	"stoatweir/internal/tenants"
)

var errKilled = errors.New("killed")

// world is a file system in memory that tells what lasts from what would be lost, and ends its user at a chosen step.
type world struct {
	names  map[string]*node // as a process sees them
	kept   map[string]*node // after a loss of power
	locked bool
	steps  int
	killAt int // the step that is the last one; 0: none
	full   bool
	locks  bool // another process has the lock
}

type node struct{ now, lasts []byte }

func newWorld() *world { return &world{names: map[string]*node{}, kept: map[string]*node{}} }

// step counts what changes the disk.
func (w *world) step() error {
	if w.steps++; w.killAt > 0 && w.steps >= w.killAt {
		return errKilled
	}
	return nil
}

// cut is the world after the power was lost: of what was not synced part is there.
func (w *world) cut(part float64, names bool) *world {
	after := newWorld()
	from := w.kept
	if names {
		from = w.names
	}
	for name, n := range from {
		b := append([]byte(nil), n.lasts...)
		if len(n.now) >= len(n.lasts) {
			b = append(b, n.now[len(n.lasts):len(n.lasts)+int(part*float64(len(n.now)-len(n.lasts)))]...)
		}
		copied := &node{now: b, lasts: b}
		after.names[name], after.kept[name] = copied, copied
	}
	return after
}

type handle struct {
	*world
	*node
	read bool
}

func (w *world) Open(name string, read bool) (File, error) {
	n := w.names[name]
	if n == nil && read {
		return nil, fs.ErrNotExist
	}
	if n == nil {
		if err := w.step(); err != nil {
			return nil, err
		}
		n = &node{}
		w.names[name] = n
	}
	return &handle{w, n, read}, nil
}

func (w *world) Rename(from, to string) error {
	if err := w.step(); err != nil {
		return err
	}
	w.names[to] = w.names[from]
	delete(w.names, from)
	return nil
}

func (w *world) Remove(name string) error {
	if err := w.step(); err != nil {
		return err
	}
	delete(w.names, name)
	return nil
}

func (w *world) Lock(string) error {
	if w.locks || w.locked {
		return ErrFollows
	}
	w.locked = true
	return nil
}

func (w *world) Unlock(string) { w.locked = false }

func (w *world) Sync() error {
	if err := w.step(); err != nil {
		return err
	}
	w.kept = map[string]*node{}
	for name, n := range w.names {
		w.kept[name] = n
	}
	return nil
}

func (h *handle) Write(b []byte) (int, error) {
	if h.full {
		h.now = append(h.now, b[:len(b)/2]...)
		return len(b) / 2, errors.New("no space left")
	}
	if err := h.step(); err != nil {
		h.now = append(h.now, b...) // some of it may have come there
		return 0, err
	}
	h.now = append(h.now, b...)
	return len(b), nil
}

func (h *handle) Sync() error {
	if err := h.step(); err != nil {
		return err
	}
	h.lasts = append([]byte(nil), h.now...)
	return nil
}

func (h *handle) Truncate(size int64) error {
	if err := h.step(); err != nil {
		return err
	}
	h.now = h.now[:size]
	return nil
}

func (h *handle) ReadAt(b []byte, at int64) (int, error) {
	if n := copy(b, h.now[min(at, int64(len(h.now))):]); n < len(b) {
		return n, io.EOF
	}
	return len(b), nil
}

func (h *handle) Size() (int64, error) { return int64(len(h.now)), nil }
func (h *handle) Close() error         { return nil }
func (h *handle) Same(o File) bool     { return o.(*handle).node == h.node }

func spec(weight float64) tenants.Spec {
	return tenants.Spec{Weight: weight, Operations: []tenants.Operation{{Name: "render", Effect: tenants.Idempotent,
		LatencyObjectiveS: 1, ClientTimeoutS: 2, BilledValue: 1}}}
}

// text is a book as it can be compared.
func text(b *tenants.Directory) string {
	t, err := json.Marshal(b.All())
	if err != nil {
		panic(err)
	}
	return string(t)
}

var noon = time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC)

// put changes a tenant and tells whether that is done.
func put(s *Store, name string, weight float64) error {
	c, _, err := s.Book.Put("ops", name, spec(weight), tenants.Match{}, noon, "")
	if err != nil {
		return err
	}
	return s.Append(c)
}

// work makes some changes, one compaction among them, and gives how many were said to be done, with the book after each.
func work(w *world, books map[uint64]string) (done uint64) {
	s, err := Open(w)
	if err != nil {
		return 0
	}
	for n := range 9 {
		if n == 6 {
			c, _ := s.Book.Remove("ops", "t1", tenants.Match{}, noon)
			err = s.Append(c)
		} else {
			err = put(s, fmt.Sprint("t", n%3), float64(n+1))
		}
		if err != nil {
			return done
		}
		done = s.Book.Revision
		if books != nil {
			books[done] = text(s.Book)
		}
		if n == 4 && s.Compact() != nil {
			return done
		}
	}
	return done
}

// Killed at each step that changes the disk, with all, half or none of what was not synced there, and names as they were or
// are: what was said to be done is there, nothing is there by halves, and changes can be made again.
func TestKilledAtEachStep(t *testing.T) {
	books := map[uint64]string{0: text(tenants.NewDirectory())}
	whole := newWorld()
	if done := work(whole, books); done != 9 {
		t.Fatal(done)
	}
	worlds := 0
	for at := 1; at <= whole.steps; at++ {
		for _, part := range []float64{0, 0.5, 0.99, 1} {
			for _, names := range []bool{false, true} {
				w := newWorld()
				w.killAt = at
				done := work(w, nil)
				after := w.cut(part, names)
				s, err := Open(after)
				if err != nil {
					t.Fatalf("step %d, part %v, names %v: %v", at, part, names, err)
				}
				got := s.Book.Revision
				if got < done || got > done+1 || text(s.Book) != books[got] {
					t.Fatalf("step %d, part %v, names %v: revision %d after %d were done: %v", at, part, names, got, done, s.Book.All())
				}
				if err := put(s, "later", 3); err != nil {
					t.Fatalf("step %d, part %v: %v", at, part, err)
				}
				s.Close()
				if s, err = Open(after); err != nil || s.Book.Revision != got+1 {
					t.Fatal(at, part, err)
				}
				worlds++
			}
		}
	}
	t.Log(whole.steps, "steps,", worlds, "ends")
}

// A full disk: the change is refused with its reason, what was there holds, and once there is room changes go on.
func TestFull(t *testing.T) {
	w := newWorld()
	s, err := Open(w)
	if err != nil || put(s, "a", 1) != nil {
		t.Fatal(err)
	}
	w.full = true
	for range 2 {
		if err := put(s, "b", 1); !errors.Is(err, ErrReadOnly) || !strings.Contains(err.Error(), "no space left") {
			t.Error(err)
		}
	}
	if len(s.Book.All()) != 1 {
		t.Error(s.Book.All())
	}
	w.full = false
	if err := put(s, "b", 1); err != nil || s.Book.Revision != 2 {
		t.Error(err)
	}
	s.Close()
	if s, err = Open(w); err != nil || len(s.Book.All()) != 2 {
		t.Error(err)
	}
}

// Damage that is not the end of the last record is never passed over: behind it stands what was said to be done.
func TestDamage(t *testing.T) {
	fresh := func() (*world, *node) {
		w := newWorld()
		work(w, nil)
		return w, w.names[logName]
	}
	w, n := fresh()
	n.now[len(n.now)/2] ^= 1
	if _, err := Open(w); !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "at byte") {
		t.Error("a bit in the middle: ", err)
	}
	w, n = fresh()
	n.now = append(n.now, make([]byte, 512)...)
	if s, err := Open(w); err != nil || s.Book.Revision != 9 {
		t.Error("noughts behind the end, as a loss of power can leave: ", err)
	}
	w, n = fresh()
	n.now = append(n.now, n.now...)
	if s, err := Open(w); err != nil || s.Book.Revision != 9 {
		t.Error("the same once more begins with a snapshot: ", err)
	}
	w, n = fresh()
	at := strings.LastIndex(strings.TrimSpace(string(n.now)), "\n") + 1
	n.now = append(n.now, n.now[at:]...)
	if _, err := Open(w); !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "does not follow") {
		t.Error("a record twice: ", err)
	}
}

// A record of an earlier schema is taken over, one of a later schema is refused and not touched.
func TestSchemas(t *testing.T) {
	defer func(s int, m map[int]func([]byte) ([]byte, error)) { schema, migrations = s, m }(schema, migrations)
	w := newWorld()
	s, err := Open(w)
	if err != nil || put(s, "old", 1) != nil {
		t.Fatal(err)
	}
	s.Close()
	schema, migrations = 2, map[int]func([]byte) ([]byte, error){1: func(text []byte) ([]byte, error) {
		var r map[string]any
		if err := json.Unmarshal(text, &r); err != nil {
			return nil, err
		}
		if c, is := r["change"].(map[string]any); is {
			c["tenant"].(map[string]any)["spec"].(map[string]any)["weight"] = 7.0
		}
		return json.Marshal(r)
	}}
	if s, err = Open(w); err != nil || s.Book.All()[0].Spec.Weight != 7 || put(s, "new", 1) != nil {
		t.Fatal(err)
	}
	s.Close()
	schema = 1
	before := len(w.names[logName].now)
	if _, err := Open(w); !errors.Is(err, ErrNewer) || len(w.names[logName].now) != before {
		t.Error(err)
	}
	schema, migrations = 3, nil
	if _, err := Open(w); !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "no way from schema 1") {
		t.Error(err)
	}
}

// One follows what another writes, through a compaction and a record that is just being written, and goes on with what it had
// where that can't be read; when the writer has ended it becomes the one that writes.
func TestFollow(t *testing.T) {
	w := newWorld()
	writer, err := Open(w)
	if err != nil || put(writer, "a", 1) != nil {
		t.Fatal(err)
	}
	follower, err := Open(w)
	if err != nil || follower.Writes() || follower.Book.Revision != 1 || !errors.Is(put(follower, "b", 1), ErrFollows) {
		t.Fatal(err)
	}
	follow := func(news bool, revision uint64, why error) {
		t.Helper()
		if got, err := follower.Follow(); got != news || !errors.Is(err, why) || follower.Book.Revision != revision {
			t.Error(got, err, follower.Book.Revision)
		}
	}
	follow(false, 1, nil)
	put(writer, "b", 1)
	follow(true, 2, nil)
	writer.Compact()
	put(writer, "c", 1)
	follow(true, 3, nil)
	n := w.names[logName]
	whole := append([]byte(nil), n.now...)
	n.now = append(n.now, "0000"...)
	follow(false, 3, nil)
	n.now = append(append([]byte(nil), whole...), "nonsense that is longer than a head\n{}\n{}"...)
	follow(false, 3, ErrCorrupt)
	n.now = whole
	put(writer, "d", 1)
	follow(true, 4, nil)
	writer.Close()
	follow(false, 4, nil)
	if !follower.Writes() || put(follower, "e", 1) != nil {
		t.Error("nobody writes")
	}
}

// The real disk: two processes' worth of stores in one directory, and one that can't be written to.
func TestDisk(t *testing.T) {
	dir := t.TempDir()
	a, err := Open(&Disk{Dir: dir})
	if err != nil || put(a, "a", 1) != nil {
		t.Fatal(err)
	}
	b, err := Open(&Disk{Dir: dir})
	if err != nil || b.Writes() || len(b.Book.All()) != 1 {
		t.Fatal(err)
	}
	put(a, "b", 1)
	a.Compact()
	put(a, "c", 1)
	if news, err := b.Follow(); !news || err != nil || len(b.Book.All()) != 3 {
		t.Error(news, err)
	}
	a.Close()
	if _, err := b.Follow(); err != nil || !b.Writes() || put(b, "d", 1) != nil {
		t.Error(err)
	}
	b.Close()
	if s, err := Open(&Disk{Dir: dir + "/missing"}); err != nil || !errors.Is(s.Failed, ErrReadOnly) {
		t.Error("no such directory: ", err)
	}
}
