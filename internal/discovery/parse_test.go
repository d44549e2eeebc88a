package discovery

import (
	"encoding/json"
	"testing"

	"stoatweir/dispatch"
)

// The keys of an endpoint list are matched case-insensitively: as discovery writes them, and in
// other spellings.
func TestParseMatchesKeysWithoutRegardToCase(t *testing.T) {
	for _, text := range []string{
		`{"rev":7,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","az":"site-b","model":"fast","state":"Ready",` +
			`"pod_group":3,"boot_ms":1700000000000}]}`,
		`{"Rev":7,"All":true,"Targets":[{"UID":"s-1","Endpoint":"127.0.0.1:1","AZ":"site-b","Model":"fast","State":"Ready",` +
			`"Pod_Group":3,"Boot_MS":1700000000000}]}`,
		`{"REV":7,"ALL":true,"TARGETS":[{"Uid":"s-1","ENDPOINT":"127.0.0.1:1","Az":"site-b","MODEL":"fast","STATE":"Ready",` +
			`"POD_GROUP":3,"BOOT_MS":1700000000000}]}`,
	} {
		_, w := newTestWatcher("")
		list, err := w.Parse([]byte(text))
		if err != nil {
			t.Fatalf("%s: not parsed: %v", text, err)
		}
		if list.Kind != dispatch.FullUpdate || len(list.Workers) != 1 {
			t.Fatalf("%s: got update %+v, want a whole list of one worker", text, list)
		}
		got := list.Workers[0]
		if got.UID != "s-1" || got.Address != "127.0.0.1:1" || got.Zone != 1 || got.Kind != 0 || got.Cell != 3 ||
			got.State != dispatch.Ready || !got.StartKnown || got.Incarnation != incarnation("s-1", 1700000000000) {
			t.Errorf("%s: got wrong worker %+v", text, got)
		}
	}
}

// A value of the wrong type makes the whole list invalid.
func TestParseRejectsWrongTypes(t *testing.T) {
	for _, text := range []string{`{"rev":"7"}`, `{"all":1}`, `{"targets":[{"uid":5}]}`, `{"targets":[{"boot_ms":"soon"}]}`} {
		_, w := newTestWatcher("")
		_, err := w.Parse([]byte(text))
		if _, wrong := err.(*json.UnmarshalTypeError); !wrong {
			t.Errorf("%s: want an UnmarshalTypeError, got %v", text, err)
		}
		t.Log(err)
	}
}
