package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Read reads a scenario file as Parse does.
func Read(file string) (Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, err
	}
	return Parse(file, text)
}

// Parse reads a scenario from the text of a file and fills in the defaults. The error joins a FileError for each thing that
// is wrong.
func Parse(file string, text []byte) (Scenario, error) {
	s := newScenario()
	lines := lineByKey(text)
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, Explain(file, err)
	}
	s.fillDefaults()
	v := validator{file: file, lineByKey: lines}
	v.validate(&s)
	return s, errors.Join(v.errors...)
}

// lineByKey finds the line of each key, for errors that are found after the decoding.
func lineByKey(text []byte) map[string]int {
	lines := map[string]int{}
	tableCount := map[string]int{} // of the lists of tables, by key
	var p unstable.Parser
	p.Reset(text)
	prefix := ""
	for p.NextExpression() {
		expression := p.Expression()
		key, line := keyOf(&p, expression)
		switch expression.Kind {
		case unstable.Table:
			prefix = key
			lines[key] = line
		case unstable.ArrayTable:
			prefix = fmt.Sprintf("%s[%d]", key, tableCount[key])
			tableCount[key]++
			lines[prefix] = line
		case unstable.KeyValue:
			if prefix != "" {
				key = prefix + "." + key
			}
			lines[key] = line
		}
	}
	return lines
}

// keyOf is the key of an expression, and its line.
func keyOf(p *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var parts []string
	for k := expression.Key(); k.Next(); {
		node := k.Node()
		parts = append(parts, string(node.Data))
		line = p.Shape(node.Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}
