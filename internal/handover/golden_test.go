package handover

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"stoatweir/internal/golden"
)

const messagesFile = "messages.golden"

// everyMessage has one message of each kind, with all fields that it can carry, and the bare forms that are sent too.
func everyMessage() []Message {
	invocation := json.RawMessage(`{"ID":"job-1","Method":"POST"}`)
	return []Message{
		{Kind: KindHello, Version: 1, ListenAddress: "127.0.0.1:8080", ProcessName: "n0", Body: []byte{}},
		{Kind: KindHello, Version: 1, ListenAddress: "127.0.0.1:8080", Body: []byte{}},
		{Kind: KindWelcome, Version: 1, Sockets: 256, MemoryMB: 64, Body: []byte{}},
		{Kind: KindRejected, Version: 1, Reason: "another <address>", Body: []byte{}},
		{Kind: KindReady, Body: []byte{}},
		{Kind: KindIDsAcquired, IDs: []string{"job-1", "job-2"}, Body: []byte{}},
		{Kind: KindIDsReleased, IDs: []string{"job-1"}, Body: []byte{}},
		{Kind: KindCallback, Sequence: 7, Body: []byte("{\"id\":\"job-1\",\n\"state\":\"done\"}")},
		{Kind: KindCallbackResult, Sequence: 7, Accepted: true, Body: []byte{}},
		{Kind: KindCallbackResult, Sequence: 8, OwnerUnknown: true, Body: []byte{}},
		{Kind: KindMigrate, Sequence: 9, Connection: &MigratedConnection{Buffered: []byte("POST /a"), Invocation: invocation}, Body: []byte("first line\n\nthird line")},
		{Kind: KindMigrate, Sequence: 10, Connection: &MigratedConnection{Buffered: []byte("G"), CarriesCallbacks: true}, Body: []byte{}},
		{Kind: KindMigrate, Sequence: 11, Connection: &MigratedConnection{Unused: true, SilentFor: 1500 * time.Millisecond}, Body: []byte{}},
		{Kind: KindMigrateResult, Sequence: 9, Accepted: true, Body: []byte{}},
		{Kind: KindMigrateResult, Sequence: 10, Body: []byte{}},
		{Kind: KindSnapshotRequest, Body: []byte{}},
		{Kind: KindSnapshotPart, Version: 2, Body: []byte(`{"Version":2}`)},
		{Kind: KindSnapshotEnd, Body: []byte{}},
		{Kind: KindMigrate, Version: 3, ListenAddress: "127.0.0.1:1", ProcessName: "every field", Sockets: 4, MemoryMB: 5, Reason: "why", IDs: []string{"a", "b"},
			Sequence: 6, Accepted: true, OwnerUnknown: true, Connection: &MigratedConnection{Buffered: []byte("read"), CarriesCallbacks: true, Unused: true, SilentFor: 7, Invocation: invocation},
			Body: []byte("body")},
	}
}

// heading goes before each packet in the golden file.
func heading(k Kind) string { return "-- " + string(k) + " --\n" }

// goldenPackets is the file's packets, each under its kind's heading.
func goldenPackets(t *testing.T, text string, of []Message) (packets [][]byte) {
	t.Helper()
	for n, m := range of {
		rest, found := strings.CutPrefix(text, heading(m.Kind))
		end := len(rest)
		if n+1 < len(of) {
			end = strings.Index(rest, "\n"+heading(of[n+1].Kind)) + 1
		}
		if !found || end <= 0 {
			t.Fatalf("message %d, %q, is not in %s", n, m.Kind, messagesFile)
		}
		packets = append(packets, []byte(strings.TrimSuffix(rest[:end], "\n")+trailing(m)))
		text = rest[end:]
	}
	return packets
}

// trailing is the end of the head where no body follows it: the file has one line end there, not two.
func trailing(m Message) string {
	if len(m.Body) == 0 {
		return "\n"
	}
	return ""
}

// The two processes may be of different builds: each message is encoded as recorded, and a recorded one decodes to the same message.
func TestPacketsAreAsRecorded(t *testing.T) {
	all := everyMessage()
	var got bytes.Buffer
	for _, m := range all {
		packet, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		got.WriteString(heading(m.Kind) + strings.TrimSuffix(string(packet), trailing(m)) + "\n")
	}
	recorded := string(golden.Compare(t, messagesFile, got.Bytes()))
	for n, packet := range goldenPackets(t, recorded, all) {
		read, err := decode(packet)
		if diff := cmp.Diff(all[n], read); err != nil || diff != "" {
			t.Errorf("%s: read as another message: %v (-written +read)\n%s", all[n].Kind, err, diff)
		}
	}
}

// The last message of everyMessage sets every field that is on the wire, also one that is added later, and every kind occurs.
func TestGoldenMessagesSetEveryField(t *testing.T) {
	all := everyMessage()
	whole := all[len(all)-1]
	for _, v := range []reflect.Value{reflect.ValueOf(whole), reflect.ValueOf(*whole.Connection)} {
		for n := range v.NumField() {
			if f := v.Type().Field(n); f.Tag.Get("json") != "-" && v.Field(n).IsZero() {
				t.Errorf("%s.%s is not filled", v.Type(), f.Name)
			}
		}
	}
	missing := map[Kind]bool{KindHello: true, KindWelcome: true, KindRejected: true, KindReady: true, KindIDsAcquired: true, KindIDsReleased: true, KindCallback: true, KindCallbackResult: true,
		KindMigrate: true, KindMigrateResult: true, KindSnapshotRequest: true, KindSnapshotPart: true, KindSnapshotEnd: true}
	for _, m := range all {
		delete(missing, m.Kind)
	}
	if len(missing) > 0 {
		t.Error("kinds without a message:", missing)
	}
}
