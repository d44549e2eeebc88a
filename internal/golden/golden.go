// Package golden compares marshalled values with golden texts. It is test support: only _test.go files
// import it, which internal/structure checks.
//
// Golden texts are files in the testdata directory of the package under test. A difference means that
// an encoding has changed in an incompatible way: data of another build, or on disk, can no longer be
// read. Fix the code then, not the golden text. Record a golden text again, with the -update flag, only
// if the encoding was changed on purpose, and have a person review it before it is committed.
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

// directory contains the golden texts of a package. It is relative to the package's source directory, in
// which go test runs.
const directory = "testdata"

var update = flag.Bool("update", false, "record the golden texts again, for a person to review")

// Compare fails the test if got differs from the golden text in the named file of testdata. It returns
// the golden text, so that the caller can decode it. With the -update flag, it records got first.
func Compare(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	file := filepath.Join(directory, name)
	if *update {
		record(t, file, got)
	}
	golden, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(golden), string(got)); diff != "" {
		t.Errorf("%s (-golden +got):\n%s", file, diff)
	}
	return golden
}

// record writes a golden text.
func record(t *testing.T, file string, text []byte) {
	t.Helper()
	if err := os.MkdirAll(directory, 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, text, 0o644); err != nil {
		t.Fatal(err)
	}
}

// Filled returns a T in which every exported field, also of nested values, is set, to a distinct value
// where the type allows that. The values depend only on the order of the fields. It fails the test for
// a type that it has no value for.
func Filled[T any](t *testing.T) T {
	t.Helper()
	var value T
	f := filler{t: t}
	f.fill(reflect.ValueOf(&value).Elem())
	return value
}

// FilledByLeaf is like Filled, but derives values from the number of leaves, counted from 1: structs,
// lists, maps and booleans are not counted. The golden texts of the take-over and of the counts were
// recorded with these values and must not change only because this helper does.
func FilledByLeaf[T any](t *testing.T) T {
	t.Helper()
	var value T
	f := filler{t: t, byLeaf: true}
	f.fill(reflect.ValueOf(&value).Elem())
	return value
}

// filler sets values, each derived from the number of values visited so far.
type filler struct {
	t       *testing.T
	visited int  // number of values, or of leaves, visited so far
	byLeaf  bool // count only leaves
}

// countLeaf counts a leaf if only leaves are counted; otherwise fill has counted it already.
func (f *filler) countLeaf() {
	if f.byLeaf {
		f.visited++
	}
}

// fill sets v, including all exported fields and elements in it.
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

// fillMap sets a map with one entry.
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
		f.t.Fatal("golden.Filled has no value for type " + v.Type().String())
	}
}

// fillUint fails the test if the number overflows the type, because it would be truncated, possibly to
// zero.
func (f *filler) fillUint(v reflect.Value) {
	f.t.Helper()
	number := uint64(f.visited)
	if v.OverflowUint(number) {
		f.t.Fatal("golden.Filled has visited too many values for type " + v.Type().String())
	}
	v.SetUint(number)
}
