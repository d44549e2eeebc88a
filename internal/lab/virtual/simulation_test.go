package virtual

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"stoatweir/dispatch"
	"stoatweir/internal/lab/baseline"
	"stoatweir/internal/lab/model"
	"stoatweir/internal/lab/report"
	"stoatweir/internal/lab/scenario"
	"stoatweir/internal/settings"
	"stoatweir/internal/simwire"
)

// small is a run of ten seconds, to which tests add what they need.
const small = `
version = 1
name = "small"
length = "10s"
zones = ["a", "b"]
[schedulers]
count = 2
[list]
notice = "500ms"
silent_notice = "2s"
[load]
of = 0.5
[[workers]]
count = 6
slots = 4
queue = 16
[[operations]]
name = "render"
share = 0.8
work = "100ms"
cv = 0.5
objective = "400ms"
timeout = "3s"
[[operations]]
name = "payment"
share = 0.2
work = "50ms"
cv = 0.5
objective = "400ms"
timeout = "3s"
effect = "non-idempotent"
`

func parse(t testing.TB, text string) scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// play carries a run out and returns it with its report.
func play(t testing.TB, s scenario.Scenario, newDecider DeciderFactory) (*Simulation, report.Report) {
	t.Helper()
	d := New(s, newDecider)
	if err := d.Play(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	return d, report.Of(d.Model).Name(s.Name, "virtual", "module", s.Seed, s.Schedulers.Count, len(d.Model.Fleet.Machines), s.Length.D())
}

// allFaults has every kind of fault, many at once.
func allFaults() string {
	text := small
	for i, kind := range []string{"silent", "hung", "slow", "failing", "restart", "replace", "reports-late", "reports-absent",
		"list-stale", "list-overbooked", "list-dead", "refused", "reset", "answers-lost", "killed", "burst", "heavy", "storm"} {
		text += fmt.Sprintf("[[troubles]]\nkind = %q\nat = \"%dms\"\nfor = \"3s\"\nshare = 0.2\n", kind, 500+400*i)
	}
	return text + "[[troubles]]\nkind = \"zone-lost\"\nzone = \"b\"\nat = \"8s\"\nfor = \"1s\"\n"
}

// The same seed gives the same report to the byte, with all faults, and another seed another run. The module keeps the rules
// in all of them.
func TestSameSeedSameReport(t *testing.T) {
	text := func(seed int64) string {
		s := parse(t, allFaults())
		s.Seed = seed
		_, r := play(t, s, Module)
		var b bytes.Buffer
		if err := r.JSON(&b); err != nil {
			t.Fatal(err)
		}
		if r.Broken() > 0 {
			var text bytes.Buffer
			r.Text(&text)
			t.Error(text.String())
		}
		if a := r.All; a.InTime+a.Late+a.Throttled+a.Errored+a.Unanswered != a.Offered || a.Offered == 0 {
			t.Errorf("offered invocations and their ends do not agree: %+v", a)
		}
		return b.String()
	}
	first := text(1)
	if again := text(1); again != first {
		t.Error("the same run twice, and two reports")
	}
	if other := text(2); other == first {
		t.Error("another seed, and the same run")
	}
}

// Two deciders meet the same arrivals, whatever they do.
func TestDecidersMeetTheSameRun(t *testing.T) {
	s := parse(t, allFaults())
	_, a := play(t, s, Module)
	_, b := play(t, s, policy("random"))
	if a.All.Offered != b.All.Offered || a.Operations[1].Offered != b.Operations[1].Offered || a.Zones[0].Offered != b.Zones[0].Offered {
		t.Errorf("%+v\n%+v", a.All, b.All)
	}
	if a.Service <= b.Service {
		t.Errorf("the module serves %v, random choice %v", a.Service, b.Service)
	}
}

// policy makes deciders by a policy of package baseline.
func policy(name string) DeciderFactory {
	return func(_ int, seed int64, text []byte) (Decider, error) {
		deployment, err := settings.ParseDeployment(text)
		if err != nil {
			return nil, err
		}
		return baseline.New(name, deployment.Dispatch, uint64(seed))
	}
}

// With no worker at all everything is answered, and nothing is served.
func TestNoWorkers(t *testing.T) {
	s := parse(t, strings.Replace(strings.Replace(small, "count = 6", "count = 0", 1), "of = 0.5", "rate = 20", 1))
	_, r := play(t, s, Module)
	if r.Broken() > 0 || r.Service != 0 || r.All.Throttled+r.All.Errored != r.All.Offered || r.All.Offered < 100 {
		t.Errorf("%+v", r)
	}
}

// A fault that begins and ends inside another of its kind lifts nothing of that one.
func TestFaultInsideAnother(t *testing.T) {
	s := parse(t, small+`
[[troubles]]
kind = "hung"
at = "2s"
for = "6s"
share = 1.0
[[troubles]]
kind = "hung"
at = "3s"
for = "1s"
share = 1.0
`)
	d := New(s, Module)
	completed := map[time.Duration]int{}
	onCallback := d.Model.Fleet.OnCallback
	d.Model.Fleet.OnCallback = func(now time.Duration, a *model.Attempt, callback model.Callback, share float64) {
		if callback == model.Completed {
			completed[now.Truncate(time.Second)]++
		}
		onCallback(now, a, callback, share)
	}
	if err := d.Play(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	during := completed[3*time.Second] + completed[4*time.Second] + completed[5*time.Second] + completed[7*time.Second]
	if completed[time.Second] == 0 || during > 0 || completed[9*time.Second] == 0 {
		t.Error("completions by second:", completed)
	}
}

// faultyDecider lets the module decide, and changes its actions to violate a rule.
type faultyDecider struct {
	Decider
	change func(now time.Duration, actions []dispatch.Action) []dispatch.Action
}

func (f faultyDecider) Handle(now time.Duration, events []dispatch.Event) []dispatch.Action {
	return f.change(now, f.Decider.Handle(now, events))
}

// faulty makes deciders that change the module's actions.
func faulty(newChange func() func(now time.Duration, actions []dispatch.Action) []dispatch.Action) DeciderFactory {
	return func(n int, seed int64, text []byte) (Decider, error) {
		d, err := Module(n, seed, text)
		return faultyDecider{Decider: d, change: newChange()}, err
	}
}

// sticky forwards everything to the first worker that its scheduler ever used.
func sticky() func(time.Duration, []dispatch.Action) []dispatch.Action {
	var first *dispatch.WorkerID
	return func(_ time.Duration, actions []dispatch.Action) []dispatch.Action {
		for i, a := range actions {
			if f, is := a.(dispatch.Forward); is {
				if first == nil {
					first = &f.Worker
				}
				actions[i] = dispatch.Forward{Invocation: f.Invocation, Worker: *first}
			}
		}
		return actions
	}
}

// The check of each rule finds a scheduler that violates it, with a text, and nothing where it does not.
func TestRuleCheckerFindsViolations(t *testing.T) {
	drain := "[[troubles]]\nkind = \"replace\"\nat = \"2s\"\nfor = \"2s\"\nshare = 1.0\nbatch = 1.0\ndelay = \"6s\"\n"
	overload := strings.NewReplacer(
		`length = "10s"`, `length = "4s"`,
		"queue = 16", "queue = 1000\ncold = true\nwarm = \"60s\"\ncold_from = 0.1",
		"of = 0.5\n[[workers]]\ncount = 6", "of = 1.5\n[[workers]]\ncount = 12",
	).Replace(small)
	for _, v := range []struct {
		name, rule, text string
		newDecider       DeciderFactory
	}{
		{"twice answered", "one answer", small, faulty(func() func(time.Duration, []dispatch.Action) []dispatch.Action {
			return func(_ time.Duration, actions []dispatch.Action) []dispatch.Action {
				for _, a := range actions {
					if f, is := a.(dispatch.Forward); is && f.Invocation%7 == 0 {
						return append(actions, dispatch.Fail{Invocation: f.Invocation}, dispatch.Fail{Invocation: f.Invocation})
					}
				}
				return actions
			}
		})},
		{"never answered", "one answer", small + "[[troubles]]\nkind = \"hung\"\nat = \"1s\"\nfor = \"9s\"\nshare = 1.0\n",
			faulty(func() func(time.Duration, []dispatch.Action) []dispatch.Action {
				return func(_ time.Duration, actions []dispatch.Action) (kept []dispatch.Action) {
					for _, a := range actions {
						switch a.(type) {
						case dispatch.Throttle, dispatch.Fail:
						default:
							kept = append(kept, a)
						}
					}
					return kept
				}
			})},
		{"sent twice", "one effect", small, faulty(func() func(time.Duration, []dispatch.Action) []dispatch.Action {
			return func(_ time.Duration, actions []dispatch.Action) []dispatch.Action {
				all := append([]dispatch.Action{}, actions...)
				for _, a := range actions {
					if f, is := a.(dispatch.Forward); is {
						all = append(all, f, f)
					}
				}
				return all
			}
		})},
		{"sent to draining workers", "drains", small + drain, faulty(sticky)},
		{"warming workers overloaded", "cold", overload, faulty(sticky)},
	} {
		t.Run(v.name, func(t *testing.T) {
			for seed := range int64(2) {
				s := parse(t, v.text)
				s.Seed = seed + 1
				_, correct := play(t, s, Module)
				_, broken := play(t, s, v.newDecider)
				if correct.Broken() > 0 {
					t.Errorf("seed %d: violations by the module: %+v", seed, correct.Violations)
				}
				if broken.ViolationCounts[v.rule] == 0 {
					t.Errorf("seed %d: not found: %v", seed, broken.ViolationCounts)
					continue
				}
				for _, b := range broken.Violations {
					if b.Rule == v.rule && b.Text == "" {
						t.Errorf("seed %d: no text: %+v", seed, b)
					}
				}
			}
		})
	}
}

// A program on the simulator's protocol decides as it does in this process.
func TestProgramDecidesAsInProcess(t *testing.T) {
	s := parse(t, small+`
[[troubles]]
kind = "slow"
at = "2s"
for = "4s"
share = 0.4
[[troubles]]
kind = "killed"
at = "5s"
share = 0.5
`)
	in, toProgram := io.Pipe()
	fromProgram, out := io.Pipe()
	go simwire.Serve(in, out, func(start simwire.InstanceStart) (simwire.Decider, error) {
		return baseline.New("least", start.Config, start.Seed)
	})
	p := &Program{input: toProgram, host: simwire.NewHost(toProgram, fromProgram)}
	var d *Simulation
	d = New(s, p.Maker(func() time.Duration { return d.Time() }))
	if err := d.Play(context.Background(), nil); err != nil || p.Err() != nil {
		t.Fatal(err, p.Err())
	}
	toProgram.Close()
	remote := report.Of(d.Model)
	_, local := play(t, s, policy("least"))
	if remote.Broken() > 0 || remote.All.Offered != local.All.Offered || remote.Costs.Forwards < remote.All.Offered/2 ||
		remote.Service < local.Service-0.02 || remote.Service > local.Service+0.02 {
		t.Errorf("program %+v %+v\nin this process %+v %+v", remote.All, remote.Costs, local.All, local.Costs)
	}
}

// Events do not grow with what is idle: three times the schedulers under the same load cost less than twice as much.
func TestIdleSchedulersCostLittle(t *testing.T) {
	steps := func(count int) int {
		s := parse(t, strings.Replace(strings.Replace(small, "count = 2", fmt.Sprint("count = ", count), 1), "of = 0.5", "rate = 100", 1))
		d, _ := play(t, s, policy("two"))
		return d.Steps
	}
	few := steps(4)
	many := steps(12)
	if many > 2*few {
		t.Errorf("%d and %d", few, many)
	}
}
