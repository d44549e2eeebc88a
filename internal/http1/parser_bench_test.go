package http1

import (
	"fmt"
	"strings"
	"testing"
)

// This benchmark produces the figures for messages in docs/CAPACITY.md: the length of each message,
// head included, and the cost of parsing it.

// messages returns the messages of an invocation, a callback and a health check, as a scheduler
// sends and receives them.
func messages() []struct {
	name       string
	isResponse bool
	bytes      []byte
} {
	const host = "10.14.200.31:7000"
	const id = "job-0000018842-task-0117"
	format := func(s string, args ...any) []byte {
		return fmt.Appendf(nil, strings.ReplaceAll(s, "\n", "\r\n"), args...)
	}
	callback := func(state string) []byte {
		body := fmt.Sprintf(`{"id":%q,"from":"worker-003121","state":%q,"share":0.42}`, id, state)
		return format("POST /_jobs/news HTTP/1.1\nHost: 10.0.0.2:8080\nContent-Type: application/json\n"+
			"Content-Length: %d\n\n%s", len(body), body)
	}
	return []struct {
		name       string
		isResponse bool
		bytes      []byte
	}{
		{"invocation", false, format("POST /train/step HTTP/1.1\nHost: 10.0.0.2:8080\nX-Call-Id: %s\n"+
			"X-Call-Class: train\nX-Budget: 600\nX-Cost-Hint: 122\nIdempotency-Key: 8c1f0a77\n"+
			"Content-Type: application/json\nContent-Length: 512\n\n%s", id, strings.Repeat("x", 512))},
		{"accepted", true, EncodeResponse(202, nil)},
		{"news", false, callback("running")},
		{"heard", true, EncodeResponse(204, nil)},
		{"probe", false, EncodeRequest("GET", "/-/load", host, nil)},
		{"report", true, EncodeResponse(200, nil, Field{Name: "Content-Type", Value: "text/plain"},
			Field{Name: "X-Load-Report", Value: "TEXT x0=3, waiting=0, rps=0.04, x1=0.5"})},
		{"result", true, EncodeResponse(200, []byte(strings.Repeat("y", 256)))},
	}
}

// BenchmarkMessage parses each of the messages and reports its length in bytes.
func BenchmarkMessage(b *testing.B) {
	for _, m := range messages() {
		b.Run(m.name, func(b *testing.B) {
			p := Parser{ReadsResponses: m.isResponse}
			for b.Loop() {
				if used, step, err := p.Feed(m.bytes); err != nil || step != StepComplete || used != len(m.bytes) {
					b.Fatalf("got %d bytes used, step %v and error %v, want the whole message, StepComplete and no error", used, step, err)
				}
			}
			b.ReportMetric(float64(len(m.bytes)), "bytes")
		})
	}
}
