package trace

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"stoatweir/internal/lab/scenario"
)

// ReadMapping reads a mapping file as ParseMapping does.
func ReadMapping(file string, s scenario.Scenario) (Mapping, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Mapping{}, err
	}
	return ParseMapping(file, text, s)
}

// ParseMapping reads a mapping from the text of a file, fills in the defaults, and checks it against the operations of a
// scenario. The error joins a scenario.FileError for each thing that is wrong.
func ParseMapping(file string, text []byte, s scenario.Scenario) (Mapping, error) {
	m := newMapping()
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return m, scenario.Explain(file, err)
	}
	v := mappingValidator{file: file}
	v.form(m)
	v.policies(m.Policies)
	v.operations(m, s)
	slices.SortFunc(v.errors, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return m, errors.Join(v.errors...)
}

// mappingValidator collects what is wrong with a mapping.
type mappingValidator struct {
	file   string
	errors []error
}

func (v *mappingValidator) fail(key, format string, args ...any) {
	v.errors = append(v.errors, scenario.FileError{File: v.file, Key: key, Text: fmt.Sprintf(format, args...)})
}

func (v *mappingValidator) form(m Mapping) {
	if m.Version != mappingVersion {
		v.fail("version", "%d is not the version that is read here, which is %d", m.Version, mappingVersion)
	}
	if m.Columns.Time == "" {
		v.fail("columns.time", "is not set")
	}
	if len(m.Separator) != 1 || m.Separator == "\n" || m.Separator == "\"" {
		v.fail("comma", "%q is not one character that can stand between columns", m.Separator)
	}
	for key, unit := range map[string]string{"unit": m.TimeUnit, "work_by": m.WorkUnit} {
		if unitByName[unit] == 0 {
			v.fail(key, "%q is none of ns, us, ms, s", unit)
		}
	}
	scales := m.Speed > 0 && m.WorkScale > 0 && m.Slots.Scale > 0 // false also for NaN
	if !scales || m.Slots.Max < 1 || m.MaxRowSize < 1 || m.MaxGap <= 0 {
		v.fail("", "speed, scale, slots.scale, slots.most, row_most and gap_most must be over 0")
	}
}

func (v *mappingValidator) policies(p Policies) {
	// Only a time can be clamped.
	v.policy("bad", p.Malformed, policySkip, policyStop)
	v.policy("order", p.OutOfOrder, policySkip, policyClamp, policyStop)
	v.policy("jump", p.ClockJump, policySkip, policyClamp, policyStop)
	v.policy("long", p.TooLong, policySkip, policyStop)
	v.policy("unknown", p.UnknownOperation, policySkip, policyStop)
}

func (v *mappingValidator) policy(key, policy string, allowed ...string) {
	if !slices.Contains(allowed, policy) {
		v.fail("policies."+key, "%q is none of %s", policy, strings.Join(allowed, ", "))
	}
}

func (v *mappingValidator) operations(m Mapping, s scenario.Scenario) {
	names := map[string]bool{}
	for _, o := range s.Operations {
		names[o.Name] = true
	}
	for value, operation := range m.Operations {
		if !names[operation] {
			v.fail("operations."+value, "%q is no operation of the scenario", operation)
		}
	}
	if len(m.Operations) == 0 && len(s.Operations) != 1 {
		v.fail("operations", "are not set, and the scenario has %d", len(s.Operations))
	}
}
