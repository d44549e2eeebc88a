package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/wcharczuk/go-chart/v2"
)

// heads of the network below: of IPv4 and UDP, and of IPv4 and TCP with time stamps.
const udpHead, tcpHead = 28, 52

// Step is what one step of a sweep has measured. Where there are several schedulers, figures are the mean of them, but for
// the worst turn, memory and descriptors, which are of the worst.
type Step struct {
	Value      float64 `json:"value"` // of the key that is varied
	Workers    int     `json:"workers"`
	Schedulers int     `json:"schedulers"`
	Told       int     `json:"told"`
	InHandAim  int     `json:"in_hand_aim"`
	StartsAim  float64 `json:"starts_per_second_aim"`
	Changes    float64 `json:"changes_per_second_aim"`

	Seconds      float64 `json:"seconds"`
	Starts       float64 `json:"starts"`
	StartsPerS   float64 `json:"starts_per_second"`
	InHand       float64 `json:"in_hand"`
	Core         float64 `json:"core_percent"`
	System       float64 `json:"system_percent"`    // of these, in the kernel
	IdleCore     float64 `json:"idle_core_percent"` // before any load; -1: not measured
	PerStart     float64 `json:"us_per_start"`
	Turn         float64 `json:"worst_turn_ms"` // in the window; -1: the program does not tell
	TurnEver     float64 `json:"worst_turn_ever_ms"`
	Decided99    float64 `json:"decided_p99_ms"`   // since its start
	DecidedMost  float64 `json:"decided_worst_ms"` // the same
	RSS          float64 `json:"rss_mb"`
	Peak         float64 `json:"peak_mb"`
	Heap         float64 `json:"heap_mb"`
	Allocations  float64 `json:"allocations_per_second"`
	Descriptors  int     `json:"descriptors"`
	Control      float64 `json:"control_bytes_per_second"`
	ProbesPerS   float64 `json:"probes_per_second"`
	CancelsPerS  float64 `json:"cancels_per_second"`
	ProbeBytes   float64 `json:"probe_bytes_per_second"` // of HTTP, both ways
	MessagesPerS float64 `json:"messages_per_second"`    // out and in
	MessageBytes float64 `json:"message_bytes_per_second"`
	NewsPerS     float64 `json:"news_per_second"`
	ListBytes    float64 `json:"list_bytes_per_second"`
	ChangesPerS  float64 `json:"entries_changed_per_second"`
	DialledPerS  float64 `json:"dialled_per_second"`

	Offered    int64   `json:"Offered"`
	Succeeded  int64   `json:"Succeeded"`
	Throttled  int64   `json:"Throttled"`
	Errored    int64   `json:"Errored"`
	Broken     int64   `json:"Broken"`
	NewsFailed int64   `json:"NewsFailed"`
	Strange    int64   `json:"Strange"`
	Panics     int     `json:"Panics"`
	LateMost   float64 `json:"clients_late_most_ms"`

	Course []Moment `json:"course"` // of the window
}

// Moment is how a window went up to some moment, of the first scheduler.
type Moment struct {
	Seconds     float64 `json:"seconds"`
	Starts      int64   `json:"starts"`
	Changes     int64   `json:"entries_changed"`
	CPU         float64 `json:"cpu_seconds"`
	RSS         float64 `json:"rss_mb"`
	Heap        float64 `json:"heap_mb"`
	Collections int64   `json:"collections"`
	Turn        float64 `json:"worst_turn_10s_ms"`
}

func moment(first, now sample) Moment {
	c := now.counts[0]
	return Moment{Seconds: now.at.Sub(first.at).Seconds(), Starts: now.fleet.Starts - first.fleet.Starts, Changes: now.fleet.Changes - first.fleet.Changes,
		CPU: (now.used[0].CPU - first.used[0].CPU).Seconds(), RSS: mb(now.used[0].RSS), Heap: mb(c.Heap),
		Collections: c.Collection - first.counts[0].Collection, Turn: ms(c.lately())}
}

func (x *run) step(before, idle, first, last sample, worst time.Duration) Step {
	s, n := x.s, float64(x.s.Schedulers)
	seconds := last.at.Sub(first.at).Seconds()
	m := Step{Workers: s.Workers, Schedulers: s.Schedulers, Told: s.Told, InHandAim: s.InHand, StartsAim: s.Starts, Changes: s.Changes,
		Seconds: seconds, IdleCore: -1, Turn: ms(worst)}
	rate := func(a, b int64) float64 { return float64(b-a) / n / seconds }
	m.Starts = float64(last.fleet.Starts-first.fleet.Starts) / n
	m.StartsPerS = m.Starts / seconds
	m.NewsPerS = rate(first.fleet.News, last.fleet.News)
	m.ProbesPerS = rate(first.fleet.Probes, last.fleet.Probes)
	m.CancelsPerS = rate(first.fleet.Cancels, last.fleet.Cancels)
	m.ProbeBytes = rate(first.fleet.ProbeBytes, last.fleet.ProbeBytes)
	m.ListBytes = rate(first.fleet.ListBytes, last.fleet.ListBytes)
	m.ChangesPerS = float64(last.fleet.Changes-first.fleet.Changes) / seconds
	m.MessagesPerS = rate(first.others.MessagesIn+first.others.MessagesOut, last.others.MessagesIn+last.others.MessagesOut)
	m.MessageBytes = rate(first.others.MessageBytesIn+first.others.MessageBytesOut, last.others.MessageBytesIn+last.others.MessageBytesOut)
	m.Control = m.ProbeBytes + 2*tcpHead*m.ProbesPerS + m.MessageBytes + udpHead*m.MessagesPerS +
		rate(first.fleet.CancelBytes, last.fleet.CancelBytes) + 2*tcpHead*m.CancelsPerS
	cpu, system, idled := 0.0, 0.0, 0.0
	for i := range last.used {
		cpu += (last.used[i].CPU - first.used[i].CPU).Seconds()
		system += (last.used[i].System - first.used[i].System).Seconds()
		idled += (idle.used[i].CPU - before.used[i].CPU).Seconds()
		m.RSS, m.Peak = max(m.RSS, mb(last.used[i].RSS)), max(m.Peak, mb(last.used[i].Peak))
		m.Descriptors = max(m.Descriptors, last.used[i].Descriptors)
		a, b := first.counts[i], last.counts[i]
		m.InHand += (float64(a.InHand) + float64(b.InHand)) / 2 / n
		m.Heap = max(m.Heap, mb(b.Heap))
		m.Allocations += float64(b.Allocated-a.Allocated) / n / seconds
		m.DialledPerS += float64(b.Workers.Dialled-a.Workers.Dialled) / n / seconds
		m.Decided99, m.DecidedMost = max(m.Decided99, float64(b.Decided["p99"])/1e3), max(m.DecidedMost, float64(b.Decided["max"])/1e3)
		m.Panics += b.Panics
		if m.TurnEver = max(m.TurnEver, -1); b.Turns != nil {
			m.TurnEver = max(m.TurnEver, float64(b.Turns.Worst)/1e3)
		}
	}
	m.Core, m.System = 100*cpu/n/seconds, 100*system/n/seconds
	if s.Idle > 0 {
		m.IdleCore = 100 * idled / n / idle.at.Sub(before.at).Seconds()
	}
	if m.PerStart = -1; m.Starts > 0 {
		m.PerStart = 1e6 * cpu / n / m.Starts
	}
	a, b := first.clients, last.clients
	m.Offered, m.Succeeded, m.Throttled = b.Offered-a.Offered, b.Succeeded-a.Succeeded, b.Throttled-a.Throttled
	m.Errored, m.Broken = b.Errored-a.Errored, b.Broken-a.Broken
	m.NewsFailed, m.Strange = last.fleet.NewsFailed-first.fleet.NewsFailed, last.fleet.Strange-first.fleet.Strange+last.others.Strange-first.others.Strange
	m.LateMost = ms(b.LateMost)
	return m
}

func ms(d time.Duration) float64 {
	if d < 0 {
		return -1
	}
	return float64(d.Microseconds()) / 1e3
}

func mb(bytes int64) float64 { return math.Round(float64(bytes)/(1<<20)*10) / 10 }

// Report is a sweep with all that it has measured.
type Report struct {
	Name    string `json:"name"`
	Key     string `json:"key"`
	Program string `json:"program"`
	Command string `json:"command"`
	Steps   []Step `json:"steps"`
}

// Add puts a step in, in place of one of the same value.
func (r *Report) Add(m Step) {
	r.Steps = slices.DeleteFunc(r.Steps, func(o Step) bool { return o.Value == m.Value })
	r.Steps = append(r.Steps, m)
	slices.SortFunc(r.Steps, func(a, b Step) int { return int(math.Copysign(1, a.Value-b.Value)) })
}

// ReadReport reads one that a sweep has left; none is an empty one.
func ReadReport(file string) (r Report, err error) {
	text, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return r, nil
	}
	if err == nil {
		err = json.Unmarshal(text, &r)
	}
	if err != nil {
		err = fmt.Errorf("%s: %w", file, err)
	}
	return r, err
}

// JSON writes it for programs.
func (r Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}

type column struct {
	head, format string
	of           func(Step) float64
}

var columns = []column{
	{"workers", "%.0f", func(m Step) float64 { return float64(m.Workers) }},
	{"in hand", "%.0f", func(m Step) float64 { return m.InHand }},
	{"starts/s", "%.1f", func(m Step) float64 { return m.StartsPerS }},
	{"% of a core", "%.2f", func(m Step) float64 { return m.Core }},
	{"in the kernel", "%.2f", func(m Step) float64 { return m.System }},
	{"us a start", "%.0f", func(m Step) float64 { return m.PerStart }},
	{"worst turn ms", "%.1f", func(m Step) float64 { return m.Turn }},
	{"RSS MB", "%.0f", func(m Step) float64 { return m.RSS }},
	{"peak MB", "%.0f", func(m Step) float64 { return m.Peak }},
	{"descriptors", "%.0f", func(m Step) float64 { return float64(m.Descriptors) }},
	{"probes/s", "%.1f", func(m Step) float64 { return m.ProbesPerS }},
	{"messages/s", "%.1f", func(m Step) float64 { return m.MessagesPerS }},
	{"control B/s", "%.0f", func(m Step) float64 { return m.Control }},
	{"allocations/s", "%.0f", func(m Step) float64 { return m.Allocations }},
	{"failed", "%.0f", func(m Step) float64 { return float64(m.Throttled + m.Errored + m.Broken) }},
}

// Text writes a table for people, in the form of our pages.
func (r Report) Text(w io.Writer) {
	var heads, rules []string
	key := r.Key
	if key == "" {
		key = "step"
	}
	heads, rules = append(heads, key), append(rules, "---")
	for _, c := range columns {
		heads, rules = append(heads, c.head), append(rules, "---")
	}
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	line := func(cells []string) { fmt.Fprintf(t, "| %s |\n", strings.Join(cells, "\t| ")) }
	line(heads)
	line(rules)
	for _, m := range r.Steps {
		cells := []string{fmt.Sprintf("%g", m.Value)}
		for _, c := range columns {
			if v := c.of(m); v < 0 {
				cells = append(cells, "not told")
			} else {
				cells = append(cells, fmt.Sprintf(c.format, v))
			}
		}
		line(cells)
	}
	t.Flush()
}

// Plot draws processor time a start and the worst turn over what is varied, as PNG.
func (r Report) Plot(w io.Writer) error {
	if len(r.Steps) < 2 {
		return fmt.Errorf("%s: %d steps are too few for a plot", r.Name, len(r.Steps))
	}
	us := chart.ContinuousSeries{Name: "us a start (left)"}
	turn := chart.ContinuousSeries{Name: "worst turn, ms (right)", YAxis: chart.YAxisSecondary}
	for _, m := range r.Steps {
		us.XValues, us.YValues = append(us.XValues, m.Value), append(us.YValues, m.PerStart)
		turn.XValues, turn.YValues = append(turn.XValues, m.Value), append(turn.YValues, m.Turn)
	}
	c := chart.Chart{Title: r.Name, Width: 900, Height: 420, Background: chart.Style{Padding: chart.Box{Top: 40, Left: 20, Right: 20, Bottom: 20}},
		XAxis: chart.XAxis{Name: r.Key}, YAxis: chart.YAxis{Name: "us a start"}, YAxisSecondary: chart.YAxis{Name: "ms"},
		Series: []chart.Series{us, turn}}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return c.Render(chart.PNG, w)
}
