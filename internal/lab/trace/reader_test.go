package trace

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/scenario"
)

// testScenario returns a scenario with two operations and two tenants.
func testScenario() scenario.Scenario {
	s, err := scenario.Parse("day.toml", []byte(`
version = 1
length = "1h"
[[workers]]
count = 1
[[operations]]
name = "small"
work = "50ms"
objective = "200ms"
[[operations]]
name = "batch"
work = "1s"
objective = "5s"
[[tenants]]
name = "u1"
[[tenants]]
name = "u2"
`))
	if err != nil {
		panic(err)
	}
	return s
}

// testMapping maps the columns of anomalousTrace.
const testMapping = `
version = 1
header = true
unit = "ms"
work_by = "ms"
gap_most = "10s"
row_most = 60
[columns]
time = "t"
work = "run"
operation = "kind"
tenant = "who"
slots = "cpu"
[operations]
a = "small"
b = "batch"
[slots]
scale = 4.0
most = 8
`

// printTrace prints the requests of a trace and its counts as JSON, or the error.
func printTrace(text, mapping string) {
	s := testScenario()
	m, err := ParseMapping("map.toml", []byte(mapping), s)
	if err != nil {
		fmt.Println(err)
		return
	}
	r, err := Open(strings.NewReader(text), m, s, model.New(s).Clients)
	if err != nil {
		fmt.Println(err)
		return
	}
	for {
		request, more := r.Next()
		if !more {
			break
		}
		fmt.Printf("%v %s of %s: %.3f s, %d slots\n", request.At, s.Operations[request.Operation].Name,
			s.Tenants[request.Tenant].Name, request.Cost, request.Slots)
	}
	counts, _ := json.Marshal(r.Counts)
	fmt.Println(string(counts))
}

// anomalousTrace has rows with each anomaly.
const anomalousTrace = `who,t,kind,run,cpu
u1,1000,a,20,0.2
u2,1500,b,900,1

u1,nonsense,a,20,0.2
u1,1600,c,20,0.2
u1,1400,a,20,0.2
u1,1700
"u1","1800",a,"20",NaN
u1,1900,a,-3,0.2
u1,2000,a,20,100
u1,902000,a,20,0.1
u1,5000,a,20,0.1
u1,5100,a,20,0.1,and,more,columns,than,there,are,names,for,it,by,far,indeed
u2,5200,a,20,0.1
`

// Anomalous rows are counted, their line numbers are reported, and they are treated as the policies say.
func Example() {
	printTrace(anomalousTrace, testMapping)
	fmt.Println("-- skipped, twice as fast")
	printTrace(anomalousTrace, strings.Replace(testMapping, "row_most",
		"speed = 2.0\npolicies = {order = \"skip\", jump = \"skip\"}\nrow_most", 1))
	fmt.Println("-- stopped")
	printTrace(anomalousTrace, strings.Replace(testMapping, "row_most", "policies = {order = \"stop\"}\nrow_most", 1))
	// Output:
	// 0s small of u1: 0.020 s, 1 slots
	// 500ms batch of u2: 0.900 s, 4 slots
	// 500ms small of u1: 0.020 s, 1 slots
	// 1s small of u1: 0.020 s, 8 slots
	// 11s small of u1: 0.020 s, 1 slots
	// 11s small of u1: 0.020 s, 1 slots
	// 11.2s small of u2: 0.020 s, 1 slots
	// {"ended":"","odd":{"bad":{"first_lines":[5,8,9,10],"rows":4},"clock jump":{"first_lines":[12,13],"rows":2},"out of order":{"first_lines":[7],"rows":1},"too long":{"first_lines":[14],"rows":1},"unknown operation":{"first_lines":[6],"rows":1}},"rows":13,"used":7}
	// -- skipped, twice as fast
	// 0s small of u1: 0.020 s, 1 slots
	// 250ms batch of u2: 0.900 s, 4 slots
	// 500ms small of u1: 0.020 s, 8 slots
	// 2s small of u1: 0.020 s, 1 slots
	// 2.1s small of u2: 0.020 s, 1 slots
	// {"ended":"","odd":{"bad":{"first_lines":[5,8,9,10],"rows":4},"clock jump":{"first_lines":[12],"rows":1},"out of order":{"first_lines":[7],"rows":1},"too long":{"first_lines":[14],"rows":1},"unknown operation":{"first_lines":[6],"rows":1}},"rows":13,"used":5}
	// -- stopped
	// 0s small of u1: 0.020 s, 1 slots
	// 500ms batch of u2: 0.900 s, 4 slots
	// {"ended":"line 7: out of order","odd":{"bad":{"first_lines":[5],"rows":1},"out of order":{"first_lines":[7],"rows":1},"unknown operation":{"first_lines":[6],"rows":1}},"rows":5,"used":2}
}

// An empty trace, a missing column and each error in a mapping are rejected.
func Example_rejected() {
	printTrace("", testMapping)
	printTrace("who,t,kind,run\n", testMapping)
	printTrace("x\n", strings.Replace(strings.Replace(testMapping, "version = 1", "version = 3", 1), `b = "batch"`, `b = "big"`, 1))
	printTrace("x\n", strings.Replace(testMapping, "unit = \"ms\"", "unit = \"weeks\"", 1))
	printTrace("x\n", strings.Replace(testMapping, "[slots]", "[slosts]", 1))
	// Output:
	// the trace is empty
	// columns.slots: there is no column "cpu", but ["who" "t" "kind" "run"]
	// map.toml: operations.b: "big" is no operation of the scenario
	// map.toml: version: 3 is not the version that is read here, which is 1
	// map.toml: unit: "weeks" is none of ns, us, ms, s
	// map.toml:17: slosts: no such key
}

// The reader streams: reading a long trace must not hold its rows in memory. The test fails if the heap
// grows beyond 32 MiB while 200,000 rows are read, or if a row is lost or miscounted.
func TestReaderStreamsRows(t *testing.T) {
	const mapping = "version = 1\nheader = true\n[columns]\ntime = \"time_us\"\nwork = \"run_us\"\noperation = \"collection_type\"\n" +
		"tenant = \"user\"\n[operations]\nsmall = \"small\"\nprod = \"small\"\nbatch = \"batch\"\n"
	s := testScenario()
	m, err := ParseMapping("map.toml", []byte(mapping), s)
	if err != nil {
		t.Fatal(err)
	}
	const rows, anomalyEvery = 200_000, 100
	in, out := io.Pipe()
	go func() { out.CloseWithError(Generate(out, rows, 1, 1000, anomalyEvery)) }()
	r, err := Open(in, m, s, model.New(s).Clients)
	if err != nil {
		t.Fatal(err)
	}
	var maxHeapBytes uint64
	lastAt := time.Duration(0)
	for n := 0; ; n++ {
		request, more := r.Next()
		if !more {
			break
		}
		if request.At < lastAt {
			t.Fatal("a request is sent before the one of an earlier row")
		}
		lastAt = request.At
		if n%20_000 == 0 {
			runtime.GC()
			var mem runtime.MemStats
			runtime.ReadMemStats(&mem)
			maxHeapBytes = max(maxHeapBytes, mem.HeapAlloc)
		}
	}
	// Generate alternates between four anomalies. Of these only out-of-order rows are used, clamped.
	const anomalies = rows / anomalyEvery
	const want = rows - anomalies*3/4
	if r.Rows != rows || r.Used != want || r.Anomalies[OutOfOrder] != anomalies/4 ||
		r.Anomalies[UnknownOperation] != anomalies/4 || r.Anomalies[Malformed] != anomalies/2 {
		t.Errorf("%+v, want %d rows used", r.Counts, want)
	}
	if maxHeapBytes > 32<<20 {
		t.Errorf("%d MiB of heap in use, want at most 32", maxHeapBytes>>20)
	}
}
