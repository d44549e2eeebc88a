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

// messagesFile has the packets that processes of other builds send and expect.
const messagesFile = "messages.golden"

// messagesOfEveryKind returns messages of each kind: one with all fields that the kind can have, and the
// forms with fewer fields that are sent too. The last message has all fields.
func messagesOfEveryKind() []Message {
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
		{Kind: KindMigrate, Sequence: 9, Connection: &MigratedConnection{Buffered: []byte("POST /a"), Invocation: invocation},
			Body: []byte("first line\n\nthird line")},
		{Kind: KindMigrate, Sequence: 10, Connection: &MigratedConnection{Buffered: []byte("G"), CarriesCallbacks: true}, Body: []byte{}},
		{Kind: KindMigrate, Sequence: 11, Connection: &MigratedConnection{Unused: true, SilentFor: 1500 * time.Millisecond}, Body: []byte{}},
		{Kind: KindMigrateResult, Sequence: 9, Accepted: true, Body: []byte{}},
		{Kind: KindMigrateResult, Sequence: 10, Body: []byte{}},
		{Kind: KindSnapshotRequest, Body: []byte{}},
		{Kind: KindSnapshotPart, Version: 2, Body: []byte(`{"Version":2}`)},
		{Kind: KindSnapshotEnd, Body: []byte{}},
		{Kind: KindMigrate, Version: 3, ListenAddress: "127.0.0.1:1", ProcessName: "every field", Sockets: 4, MemoryMB: 5,
			Reason: "why", IDs: []string{"a", "b"}, Sequence: 6, Accepted: true, OwnerUnknown: true,
			Connection: &MigratedConnection{Buffered: []byte("read"), CarriesCallbacks: true, Unused: true, SilentFor: 7, Invocation: invocation},
			Body:       []byte("body")},
	}
}

// packetHeading returns the line that precedes a packet in the golden file.
func packetHeading(k Kind) string { return "-- " + string(k) + " --\n" }

// goldenPackets splits the text of the golden file into the packets of the given messages.
func goldenPackets(t *testing.T, text string, messages []Message) (packets [][]byte) {
	t.Helper()
	for n, m := range messages {
		rest, found := strings.CutPrefix(text, packetHeading(m.Kind))
		end := len(rest)
		if n+1 < len(messages) {
			end = strings.Index(rest, "\n"+packetHeading(messages[n+1].Kind)) + 1
		}
		if !found || end <= 0 {
			t.Fatalf("message %d of kind %q is missing from %s", n, m.Kind, messagesFile)
		}
		packets = append(packets, []byte(strings.TrimSuffix(rest[:end], "\n")+trailingNewline(m)))
		text = rest[end:]
	}
	return packets
}

// trailingNewline returns the newline that ends the header of a message without a body. The golden file
// omits it, so that one newline follows the header there, not two.
func trailingNewline(m Message) string {
	if len(m.Body) == 0 {
		return "\n"
	}
	return ""
}

// The two processes may be of different builds, so the encoding must not change: each message is encoded
// as in the golden file, and each golden packet decodes to the same message.
func TestPacketsMatchGolden(t *testing.T) {
	messages := messagesOfEveryKind()
	var encoded bytes.Buffer
	for _, m := range messages {
		packet, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		encoded.WriteString(packetHeading(m.Kind) + strings.TrimSuffix(string(packet), trailingNewline(m)) + "\n")
	}
	goldenText := string(golden.Compare(t, messagesFile, encoded.Bytes()))
	for n, packet := range goldenPackets(t, goldenText, messages) {
		decoded, err := decode(packet)
		if diff := cmp.Diff(messages[n], decoded); err != nil || diff != "" {
			t.Errorf("golden packet of kind %s decodes to another message: %v (-written +read)\n%s", messages[n].Kind, err, diff)
		}
	}
}

// The golden file covers the whole protocol: the last message of messagesOfEveryKind sets every encoded
// field, so that a field added later is not forgotten, and every kind of message occurs.
func TestGoldenMessagesSetEveryField(t *testing.T) {
	messages := messagesOfEveryKind()
	fullMessage := messages[len(messages)-1]
	for _, v := range []reflect.Value{reflect.ValueOf(fullMessage), reflect.ValueOf(*fullMessage.Connection)} {
		for n := range v.NumField() {
			if f := v.Type().Field(n); f.Tag.Get("json") != "-" && v.Field(n).IsZero() {
				t.Errorf("%s.%s is not set in the last message", v.Type(), f.Name)
			}
		}
	}
	missing := map[Kind]bool{KindHello: true, KindWelcome: true, KindRejected: true, KindReady: true,
		KindIDsAcquired: true, KindIDsReleased: true, KindCallback: true, KindCallbackResult: true,
		KindMigrate: true, KindMigrateResult: true, KindSnapshotRequest: true, KindSnapshotPart: true, KindSnapshotEnd: true}
	for _, m := range messages {
		delete(missing, m.Kind)
	}
	if len(missing) > 0 {
		t.Error("kinds of which messagesOfEveryKind has no message:", missing)
	}
}
