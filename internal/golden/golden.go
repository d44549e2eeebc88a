// Package golden holds marshalled forms against recorded texts. It is test support: only _test.go files import it, which
// internal/structure checks.
//
// A recorded text stands in the testdata directory of the package that is tested. A text that differs is a broken form, for
// another build or a file on disk can no longer be read: the code is to be mended, not the record. Only a form that was changed on
// purpose is recorded anew, with the -update flag, and read by a person before it is committed.
package golden

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// directory is where a package keeps its recorded texts, below its own sources, in which go test runs.
const directory = "testdata"

var update = flag.Bool("update", false, "record the golden texts anew, for a person to read and approve")

// Compare fails the test when got is not the text that is recorded under name in testdata. It returns the recorded text, so that the
// caller can read it back.
func Compare(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	file := filepath.Join(directory, name)
	if *update {
		record(t, file, got)
	}
	recorded, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(recorded), string(got)); diff != "" {
		t.Errorf("%s (-recorded +written):\n%s", file, diff)
	}
	return recorded
}

func record(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.MkdirAll(directory, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Filled returns a T whose every exported field is set, also within fields, to a value of its own where the type allows that. The
// values depend on the order of the fields alone. A type that it has no value for fails the test.
func Filled[T any](t *testing.T) T {
	t.Helper()
	var value T
	f := filler{t: t}
	f.fill(reflect.ValueOf(&value).Elem())
	return value
}

// FilledByLeaf is Filled with the leaves numbered from 1: structs, lists, maps and flags are not counted. Records of the take-over
// and of the counts were written so, and a record is not renewed for its helper.
func FilledByLeaf[T any](t *testing.T) T {
	t.Helper()
	var value T
	f := filler{t: t, byLeaf: true}
	f.fill(reflect.ValueOf(&value).Elem())
	return value
}

// filler sets values, each drawn from the number of values that were visited.
type filler struct {
	t       *testing.T
	visited int
	byLeaf  bool // only leaves are counted
}

// countLeaf counts a leaf where values in general are not counted.
func (f *filler) countLeaf() {
	if f.byLeaf {
		f.visited++
	}
}

func (f *filler) fill(v reflect.Value) {
	f.t.Helper()
	if !f.byLeaf {
		f.visited++
	}
	switch v.Type() {
	case reflect.TypeFor[time.Time]():
		f.countLeaf()
		v.Set(reflect.ValueOf(time.Date(2026, 1, 2, 3, 4, f.visited, 5, time.UTC)))
		return
	case reflect.TypeFor[netip.AddrPort]():
		f.countLeaf()
		v.Set(reflect.ValueOf(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(f.visited))))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		f.fillStruct(v)
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Slice:
		f.fillSlice(v)
	case reflect.Map:
		f.fillMap(v)
	default:
		f.fillScalar(v)
	}
}

func (f *filler) fillStruct(v reflect.Value) {
	f.t.Helper()
	for i := range v.NumField() {
		if v.Type().Field(i).IsExported() {
			f.fill(v.Field(i))
		}
	}
}

func (f *filler) fillSlice(v reflect.Value) {
	f.t.Helper()
	if v.Type().Elem().Kind() == reflect.Uint8 { // raw JSON
		v.SetBytes(fmt.Appendf(nil, "{\"raw\":%d}", f.visited))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), 2, 2))
	for i := range v.Len() {
		f.fill(v.Index(i))
	}
}

// fillMap gives the map one entry.
func (f *filler) fillMap(v reflect.Value) {
	f.t.Helper()
	key := reflect.New(v.Type().Key()).Elem()
	f.fill(key)
	value := reflect.New(v.Type().Elem()).Elem()
	f.fill(value)
	v.Set(reflect.MakeMap(v.Type()))
	v.SetMapIndex(key, value)
}

func (f *filler) fillScalar(v reflect.Value) {
	f.t.Helper()
	if v.Kind() == reflect.Bool {
		v.SetBool(true)
		return
	}
	f.countLeaf()
	switch {
	case v.Kind() == reflect.String:
		v.SetString(fmt.Sprint("text ", f.visited))
	case v.CanInt():
		v.SetInt(int64(f.visited))
	case v.CanUint():
		f.fillUint(v)
	case v.CanFloat():
		v.SetFloat(float64(f.visited) + 0.5)
	default:
		f.t.Fatal("no value for a " + v.Type().String())
	}
}

// fillUint fails where the type has no room for the number: it would be cut off, to zero at worst.
func (f *filler) fillUint(v reflect.Value) {
	f.t.Helper()
	number := uint64(f.visited)
	if v.OverflowUint(number) {
		f.t.Fatal("too many values for a " + v.Type().String())
	}
	v.SetUint(number)
}
