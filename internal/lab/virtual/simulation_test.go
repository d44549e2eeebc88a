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

// smallScenario is a run of ten seconds. Tests append to it or replace parts of it.
const smallScenario = `
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

func parseScenario(t testing.TB, text string) scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// runScenario runs a scenario and returns the finished simulation and its report.
func runScenario(t testing.TB, s scenario.Scenario, newDecider DeciderFactory) (*Simulation, report.Report) {
	t.Helper()
	sim := New(s, newDecider)
	if err := sim.Run(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	return sim, report.FromModel(sim.Model).WithRun(s.Name, "virtual", "module", s.Seed, s.Schedulers.Count,
		len(sim.Model.Cluster.Machines), s.Length.D())
}

// allFaults returns a scenario with every kind of fault, many of them overlapping.
func allFaults() string {
	text := smallScenario
	for i, kind := range []string{"silent", "hung", "slow", "failing", "restart", "replace", "reports-late", "reports-absent",
		"list-stale", "list-overbooked", "list-dead", "refused", "reset", "answers-lost", "killed", "burst", "heavy", "storm"} {
		text += fmt.Sprintf("[[troubles]]\nkind = %q\nat = \"%dms\"\nfor = \"3s\"\nshare = 0.2\n", kind, 500+400*i)
	}
	return text + "[[troubles]]\nkind = \"zone-lost\"\nzone = \"b\"\nat = \"8s\"\nfor = \"1s\"\n"
}

// TestSameSeedSameReport checks, with all faults, that the same seed gives a byte-identical report
// and another seed a different one, and that the decision module violates no rule.
func TestSameSeedSameReport(t *testing.T) {
	reportJSON := func(seed int64) string {
		s := parseScenario(t, allFaults())
		s.Seed = seed
		_, r := runScenario(t, s, NewModuleDecider)
		var b bytes.Buffer
		if err := r.JSON(&b); err != nil {
			t.Fatal(err)
		}
		if r.ViolationCount() > 0 {
			var text bytes.Buffer
			r.Text(&text)
			t.Errorf("want no violations, got report\n%s", text.String())
		}
		if a := r.All; a.InTime+a.Late+a.Throttled+a.Errored+a.Unanswered != a.Offered || a.Offered == 0 {
			t.Errorf("the counts of ended invocations do not add up to those offered, or none were offered: %+v", a)
		}
		return b.String()
	}
	first := reportJSON(1)
	if again := reportJSON(1); again != first {
		t.Error("two runs with the same seed gave different reports")
	}
	if other := reportJSON(2); other == first {
		t.Error("two runs with different seeds gave the same report")
	}
}

// TestDecidersMeetTheSameRun checks that the load does not depend on the decider, and that the
// decision module achieves a higher service than random choice.
func TestDecidersMeetTheSameRun(t *testing.T) {
	s := parseScenario(t, allFaults())
	_, a := runScenario(t, s, NewModuleDecider)
	_, b := runScenario(t, s, policy("random"))
	if a.All.Offered != b.All.Offered || a.Operations[1].Offered != b.Operations[1].Offered || a.Zones[0].Offered != b.Zones[0].Offered {
		t.Errorf("different loads offered to the module and to random choice:\n%+v\n%+v", a.All, b.All)
	}
	if a.Service <= b.Service {
		t.Errorf("service of the module: %v, not above that of random choice: %v", a.Service, b.Service)
	}
}

// policy returns a factory of deciders that follow a policy of package baseline.
func policy(name string) DeciderFactory {
	return func(_ int, seed int64, text []byte) (Decider, error) {
		deployment, err := settings.ParseDeployment(text)
		if err != nil {
			return nil, err
		}
		return baseline.New(name, deployment.Dispatch, uint64(seed))
	}
}

// TestNoWorkers checks that without any workers all requests are throttled or fail, and no rule is
// violated.
func TestNoWorkers(t *testing.T) {
	s := parseScenario(t, strings.Replace(strings.Replace(smallScenario, "count = 6", "count = 0", 1), "of = 0.5", "rate = 20", 1))
	_, r := runScenario(t, s, NewModuleDecider)
	if r.ViolationCount() > 0 || r.Service != 0 || r.All.Throttled+r.All.Errored != r.All.Offered || r.All.Offered < 100 {
		t.Errorf("expected all invocations throttled or errored, a service of 0 and no violations: %+v", r)
	}
}

// TestFaultInsideAnother checks that the end of a fault does not lift a longer fault of the same
// kind around it.
func TestFaultInsideAnother(t *testing.T) {
	s := parseScenario(t, smallScenario+`
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
	sim := New(s, NewModuleDecider)
	completed := map[time.Duration]int{}
	onCallback := sim.Model.Cluster.OnCallback
	sim.Model.Cluster.OnCallback = func(now time.Duration, a *model.Attempt, callback model.Callback, share float64) {
		if callback == model.Completed {
			completed[now.Truncate(time.Second)]++
		}
		onCallback(now, a, callback, share)
	}
	if err := sim.Run(context.Background(), nil); err != nil {
		t.Fatal(err)
	}
	during := completed[3*time.Second] + completed[4*time.Second] + completed[5*time.Second] + completed[7*time.Second]
	if completed[time.Second] == 0 || during > 0 || completed[9*time.Second] == 0 {
		t.Error("expected completions before and after the outer fault and none during it; completions by second:", completed)
	}
}

// faultyDecider changes the actions of the decision module so that they violate a rule.
type faultyDecider struct {
	Decider
	change func(now time.Duration, actions []dispatch.Action) []dispatch.Action
}

func (f faultyDecider) Handle(now time.Duration, events []dispatch.Event) []dispatch.Action {
	return f.change(now, f.Decider.Handle(now, events))
}

// faulty returns a factory of deciders that apply a change to the module's actions; newChange is
// called for each decider.
func faulty(newChange func() func(now time.Duration, actions []dispatch.Action) []dispatch.Action) DeciderFactory {
	return func(n int, seed int64, text []byte) (Decider, error) {
		d, err := NewModuleDecider(n, seed, text)
		return faultyDecider{Decider: d, change: newChange()}, err
	}
}

// sticky returns a change that sends all forwards to the worker of the scheduler's first forward.
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

// TestRuleCheckerFindsViolations checks that the checker reports schedulers that violate a rule,
// with a text, and reports nothing for the unchanged decision module.
func TestRuleCheckerFindsViolations(t *testing.T) {
	drain := "[[troubles]]\nkind = \"replace\"\nat = \"2s\"\nfor = \"2s\"\nshare = 1.0\nbatch = 1.0\ndelay = \"6s\"\n"
	overload := strings.NewReplacer(
		`length = "10s"`, `length = "4s"`,
		"queue = 16", "queue = 1000\ncold = true\nwarm = \"60s\"\ncold_from = 0.1",
		"of = 0.5\n[[workers]]\ncount = 6", "of = 1.5\n[[workers]]\ncount = 12",
	).Replace(smallScenario)
	for _, test := range []struct {
		name, rule, text string
		newDecider       DeciderFactory
	}{
		{"twice answered", "one answer", smallScenario, faulty(func() func(time.Duration, []dispatch.Action) []dispatch.Action {
			return func(_ time.Duration, actions []dispatch.Action) []dispatch.Action {
				for _, a := range actions {
					if f, is := a.(dispatch.Forward); is && f.Invocation%7 == 0 {
						return append(actions, dispatch.Fail{Invocation: f.Invocation}, dispatch.Fail{Invocation: f.Invocation})
					}
				}
				return actions
			}
		})},
		{"never answered", "one answer", smallScenario + "[[troubles]]\nkind = \"hung\"\nat = \"1s\"\nfor = \"9s\"\nshare = 1.0\n",
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
		{"sent twice", "one effect", smallScenario, faulty(func() func(time.Duration, []dispatch.Action) []dispatch.Action {
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
		{"sent to draining workers", "drains", smallScenario + drain, faulty(sticky)},
		{"warming workers overloaded", "cold", overload, faulty(sticky)},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range int64(2) {
				s := parseScenario(t, test.text)
				s.Seed = seed + 1
				_, correct := runScenario(t, s, NewModuleDecider)
				_, broken := runScenario(t, s, test.newDecider)
				if correct.ViolationCount() > 0 {
					t.Errorf("seed %d: the unchanged module violated rules: %+v", seed, correct.Violations)
				}
				if broken.ViolationCounts[test.rule] == 0 {
					t.Errorf("seed %d: no violation of the rule was reported: %v", seed, broken.ViolationCounts)
					continue
				}
				for _, b := range broken.Violations {
					if b.Rule == test.rule && b.Text == "" {
						t.Errorf("seed %d: the violation has no text: %+v", seed, b)
					}
				}
			}
		})
	}
}

// TestProgramDecidesAsInProcess checks that a policy behind the simulator's protocol performs like
// the same policy in this process, also across restarts of schedulers.
func TestProgramDecidesAsInProcess(t *testing.T) {
	s := parseScenario(t, smallScenario+`
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
	var sim *Simulation
	sim = New(s, p.DeciderFactory(func() time.Duration { return sim.Time() }))
	if err := sim.Run(context.Background(), nil); err != nil || p.Err() != nil {
		t.Fatalf("got error %v of the simulation and %v of the program, want none", err, p.Err())
	}
	toProgram.Close()
	remote := report.FromModel(sim.Model)
	_, local := runScenario(t, s, policy("least"))
	if remote.ViolationCount() > 0 || remote.All.Offered != local.All.Offered || remote.Costs.Forwards < remote.All.Offered/2 ||
		remote.Service < local.Service-0.02 || remote.Service > local.Service+0.02 {
		t.Errorf("the program violated rules, or differs from the policy in this process:\n%+v %+v\n%+v %+v", remote.All, remote.Costs, local.All, local.Costs)
	}
}

// TestIdleSchedulersCostLittle checks that idle schedulers cause few events: three times as many
// schedulers under the same load must at most double the number of events.
func TestIdleSchedulersCostLittle(t *testing.T) {
	steps := func(count int) int {
		s := parseScenario(t, strings.Replace(strings.Replace(smallScenario, "count = 2", fmt.Sprint("count = ", count), 1),
			"of = 0.5", "rate = 100", 1))
		sim, _ := runScenario(t, s, policy("two"))
		return sim.EventCount
	}
	few := steps(4)
	many := steps(12)
	if many > 2*few {
		t.Errorf("%d events with 4 schedulers, %d with 12: expected at most twice as many", few, many)
	}
}
