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

// ReadMapping reads a mapping file. It checks it and reports errors as ParseMapping does.
func ReadMapping(file string, s scenario.Scenario) (Mapping, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Mapping{}, err
	}
	return ParseMapping(file, text, s)
}

// ParseMapping parses the text of a mapping file, fills in the defaults, and checks the operations
// against those of a scenario. The error joins one scenario.FileError for each problem.
func ParseMapping(file string, text []byte, s scenario.Scenario) (Mapping, error) {
	m := newMapping()
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&m); err != nil {
		return m, scenario.DescribeDecodeError(file, err)
	}
	v := mappingValidator{file: file}
	v.checkFormat(m)
	v.checkPolicies(m.Policies)
	v.checkOperations(m, s)
	slices.SortFunc(v.errors, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return m, errors.Join(v.errors...)
}

// mappingValidator collects the errors of a mapping, one per problem.
type mappingValidator struct {
	file   string
	errors []error
}

// addError adds an error for a key; an empty key stands for several keys together.
func (v *mappingValidator) addError(key, format string, args ...any) {
	v.errors = append(v.errors, scenario.FileError{File: v.file, Key: key, Text: fmt.Sprintf(format, args...)})
}

// checkFormat checks all keys but the policies and the operations.
func (v *mappingValidator) checkFormat(m Mapping) {
	if m.Version != mappingVersion {
		v.addError("version", "%d is not the version that is read here, which is %d", m.Version, mappingVersion)
	}
	if m.Columns.Time == "" {
		v.addError("columns.time", "is not set")
	}
	if len(m.Separator) != 1 || m.Separator == "\n" || m.Separator == "\"" {
		v.addError("comma", "%q is not a single character that can separate columns", m.Separator)
	}
	for key, unit := range map[string]string{"unit": m.TimeUnit, "work_by": m.WorkUnit} {
		if unitByName[unit] == 0 {
			v.addError(key, "%q is none of ns, us, ms, s", unit)
		}
	}
	scales := m.Speed > 0 && m.WorkScale > 0 && m.Slots.Scale > 0 // false also for NaN
	if !scales || m.Slots.Max < 1 || m.MaxLineBytes < 1 || m.MaxGap <= 0 {
		v.addError("", "speed, scale, slots.scale, slots.most, row_most and gap_most must be greater than 0")
	}
}

// checkPolicies checks that each anomaly has a policy that it allows.
func (v *mappingValidator) checkPolicies(p Policies) {
	// Only anomalies of the recorded time can be clamped.
	v.checkPolicy("bad", p.Malformed, policySkip, policyStop)
	v.checkPolicy("order", p.OutOfOrder, policySkip, policyClamp, policyStop)
	v.checkPolicy("jump", p.ClockJump, policySkip, policyClamp, policyStop)
	v.checkPolicy("long", p.TooLong, policySkip, policyStop)
	v.checkPolicy("unknown", p.UnknownOperation, policySkip, policyStop)
}

func (v *mappingValidator) checkPolicy(key, policy string, allowed ...string) {
	if !slices.Contains(allowed, policy) {
		v.addError("policies."+key, "%q is none of %s", policy, strings.Join(allowed, ", "))
	}
}

// checkOperations checks that the mapping names only operations of the scenario. It may name none only
// if the scenario has a single operation, which then applies to all rows.
func (v *mappingValidator) checkOperations(m Mapping, s scenario.Scenario) {
	names := map[string]bool{}
	for _, o := range s.Operations {
		names[o.Name] = true
	}
	for value, operation := range m.Operations {
		if !names[operation] {
			v.addError("operations."+value, "%q is no operation of the scenario", operation)
		}
	}
	if len(m.Operations) == 0 && len(s.Operations) != 1 {
		v.addError("operations", "must be set, as the scenario has %d operations", len(s.Operations))
	}
}
