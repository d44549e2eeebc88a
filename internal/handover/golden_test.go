package handover

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write the golden files anew, for a person to read and approve")

const messagesFile = "testdata/messages.golden"

// everyMessage has one message of each kind, with all fields that it can carry, and the bare forms that are sent too.
func everyMessage() []Message {
	invocation := json.RawMessage(`{"ID":"job-1","Method":"POST"}`)
	return []Message{
		{Kind: Hello, Version: 1, Listen: "127.0.0.1:8080", Name: "n0", Body: []byte{}},
		{Kind: Hello, Version: 1, Listen: "127.0.0.1:8080", Body: []byte{}},
		{Kind: Welcome, Version: 1, Sockets: 256, MemoryMB: 64, Body: []byte{}},
		{Kind: Refused, Version: 1, Why: "another <address>", Body: []byte{}},
		{Kind: Ready, Body: []byte{}},
		{Kind: Taken, IDs: []string{"job-1", "job-2"}, Body: []byte{}},
		{Kind: Freed, IDs: []string{"job-1"}, Body: []byte{}},
		{Kind: News, Number: 7, Body: []byte("{\"id\":\"job-1\",\n\"state\":\"done\"}")},
		{Kind: Heard, Number: 7, OK: true, Body: []byte{}},
		{Kind: Heard, Number: 8, Unsure: true, Body: []byte{}},
		{Kind: Pass, Number: 9, Pass: &Passed{Read: []byte("POST /a"), Invocation: invocation}, Body: []byte("first line\n\nthird line")},
		{Kind: Pass, Number: 10, Pass: &Passed{Read: []byte("G"), News: true}, Body: []byte{}},
		{Kind: Pass, Number: 11, Pass: &Passed{Fresh: true, Silent: 1500 * time.Millisecond}, Body: []byte{}},
		{Kind: Kept, Number: 9, OK: true, Body: []byte{}},
		{Kind: Kept, Number: 10, Body: []byte{}},
		{Kind: Learn, Body: []byte{}},
		{Kind: Lesson, Version: 2, Body: []byte(`{"Version":2}`)},
		{Kind: Taught, Body: []byte{}},
		{Kind: Pass, Version: 3, Listen: "127.0.0.1:1", Name: "every field", Sockets: 4, MemoryMB: 5, Why: "why", IDs: []string{"a", "b"},
			Number: 6, OK: true, Unsure: true, Pass: &Passed{Read: []byte("read"), News: true, Fresh: true, Silent: 7, Invocation: invocation},
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

// The two processes may be of different builds: each message's packet is the recorded one, and a recorded one is read as what it was.
func TestMessagesGolden(t *testing.T) {
	all := everyMessage()
	var got bytes.Buffer
	for _, m := range all {
		packet, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		got.WriteString(heading(m.Kind) + strings.TrimSuffix(string(packet), trailing(m)) + "\n")
	}
	if *update {
		if err := os.WriteFile(messagesFile, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(messagesFile)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(golden), "\n"), strings.Split(got.String(), "\n")); diff != "" {
		t.Errorf("packets are not as recorded (-recorded +encoded):\n%s", diff)
	}
	for n, packet := range goldenPackets(t, string(golden), all) {
		read, err := decode(packet)
		if diff := cmp.Diff(all[n], read); err != nil || diff != "" {
			t.Errorf("%s: read as another message: %v (-written +read)\n%s", all[n].Kind, err, diff)
		}
	}
}

// The last message of everyMessage leaves no field out that goes on the wire, also one that is added later, and all kinds are there.
func TestEveryMessageIsWhole(t *testing.T) {
	all := everyMessage()
	whole := all[len(all)-1]
	for _, v := range []reflect.Value{reflect.ValueOf(whole), reflect.ValueOf(*whole.Pass)} {
		for n := range v.NumField() {
			if f := v.Type().Field(n); f.Tag.Get("json") != "-" && v.Field(n).IsZero() {
				t.Errorf("%s.%s is not filled", v.Type(), f.Name)
			}
		}
	}
	missing := map[Kind]bool{Hello: true, Welcome: true, Refused: true, Ready: true, Taken: true, Freed: true, News: true, Heard: true,
		Pass: true, Kept: true, Learn: true, Lesson: true, Taught: true}
	for _, m := range all {
		delete(missing, m.Kind)
	}
	if len(missing) > 0 {
		t.Error("kinds without a message:", missing)
	}
}
