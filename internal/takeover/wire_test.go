package takeover

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

var update = flag.Bool("update", false, "write the golden files anew, for a person to read and approve")

// The files testdata/*.golden hold the texts that processes of other builds read and write. Go's names of fields must not move them.

// golden compares a text with the recorded one, and gives the latter. With -update it records it first.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", name+".golden")
	got = append(bytes.Clone(got), '\n')
	if *update {
		if err := os.WriteFile(file, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	recorded, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(recorded, got) {
		t.Errorf("%s is not as recorded:\n%s", file, cmp.Diff(strings.SplitAfter(string(recorded), ","), strings.SplitAfter(string(got), ",")))
	}
	return bytes.TrimSuffix(recorded, []byte("\n"))
}

// filler gives each field a value of its own that is not zero.
type filler struct{ last int64 }

func (f *filler) next() int64 {
	f.last++
	return f.last
}

// fill sets all exported fields below v; slices get two elements, maps one.
func (f *filler) fill(t *testing.T, v reflect.Value) {
	t.Helper()
	if to, is := v.Addr().Interface().(*netip.AddrPort); is {
		*to = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), uint16(f.next()))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(f.next())
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(f.next()))
		if v.Uint() == 0 {
			t.Fatal("too many values for ", v.Type())
		}
	case reflect.Float64:
		v.SetFloat(float64(f.next()) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprint("text ", f.next()))
	case reflect.Struct:
		for n := range v.NumField() {
			f.fill(t, v.Field(n))
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		f.fillElements(t, v)
	case reflect.Array:
		f.fillElements(t, v)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(t, key)
		f.fill(t, value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	default:
		t.Fatal("no value for ", v.Type())
	}
}

func (f *filler) fillElements(t *testing.T, v reflect.Value) {
	t.Helper()
	for n := range v.Len() {
		f.fill(t, v.Index(n))
	}
}

// filled is a T with all fields set, the same one at each call.
func filled[T any](t *testing.T) (value T) {
	t.Helper()
	new(filler).fill(t, reflect.ValueOf(&value).Elem())
	return value
}

// roundTrip holds a value's text to the recorded one, and reads the recorded one, as it comes from a process of another build.
func roundTrip[T any](t *testing.T, name string, written T) {
	t.Helper()
	text, err := json.Marshal(written)
	if err != nil {
		t.Fatal(err)
	}
	var read T
	if err := json.Unmarshal(golden(t, name, text), &read); err != nil {
		t.Fatal(err)
	}
	// A new field is unset in the recorded text and shows here, a lost one in the text.
	if diff := cmp.Diff(written, read, cmp.AllowUnexported(snapshotPart{}, migratedRequest{}), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("read as something else (-written +read):\n%s", diff)
	}
}

// What one process sends to the other, with all fields set and with none, as the later parts of a snapshot nearly are.
func TestEncodedFormsAreAsRecorded(t *testing.T) {
	roundTrip(t, "part", filled[snapshotPart](t))
	roundTrip(t, "part_empty", snapshotPart{})
	roundTrip(t, "legacy", filled[migratedRequest](t))
	roundTrip(t, "legacy_empty", migratedRequest{})
}
