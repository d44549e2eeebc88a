package golden

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

type inner struct {
	Flag   bool
	Ratio  float64
	hidden int
}

type outer struct {
	Text    string
	Count   uint8
	At      time.Time
	Raw     []byte
	Rows    []inner
	Pair    [2]int
	ByName  map[string]int
	Pointer *inner
	Address netip.AddrPort
}

// Golden texts contain these values, which must depend only on the order of the fields.
func TestFilledSetsEveryExportedField(t *testing.T) {
	want := outer{
		Text:    "text 2",
		Count:   3,
		At:      time.Date(2026, 1, 2, 3, 4, 4, 5, time.UTC),
		Raw:     []byte(`{"raw":5}`),
		Rows:    []inner{{Flag: true, Ratio: 9.5}, {Flag: true, Ratio: 12.5}},
		Pair:    [2]int{14, 15},
		ByName:  map[string]int{"text 17": 18},
		Pointer: &inner{Flag: true, Ratio: 22.5},
		Address: netip.MustParseAddrPort("10.0.0.1:23"),
	}
	got := Filled[outer](t)
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(inner{}), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("filled value (-want +got):\n%s", diff)
	}
	if got.Pointer.hidden != 0 {
		t.Error("an unexported field was set")
	}
}

func TestFilledByLeafCountsLeavesOnly(t *testing.T) {
	want := outer{
		Text:    "text 1",
		Count:   2,
		At:      time.Date(2026, 1, 2, 3, 4, 3, 5, time.UTC),
		Raw:     []byte(`{"raw":3}`),
		Rows:    []inner{{Flag: true, Ratio: 4.5}, {Flag: true, Ratio: 5.5}},
		Pair:    [2]int{6, 7},
		ByName:  map[string]int{"text 8": 9},
		Pointer: &inner{Flag: true, Ratio: 10.5},
		Address: netip.MustParseAddrPort("10.0.0.1:11"),
	}
	got := FilledByLeaf[outer](t)
	if diff := cmp.Diff(want, got, cmp.AllowUnexported(inner{}), cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Errorf("filled value (-want +got):\n%s", diff)
	}
}

func TestCompareReturnsTheGoldenText(t *testing.T) {
	if got := Compare(t, "same.txt", []byte("one\ntwo\n")); string(got) != "one\ntwo\n" {
		t.Errorf("got %q, want the golden text %q", got, "one\ntwo\n")
	}
}
