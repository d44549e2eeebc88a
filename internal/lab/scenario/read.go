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

// Read reads a scenario from a file. Its errors are those of reading the file and those of Parse.
func Read(file string) (Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Scenario{}, err
	}
	return Parse(file, text)
}

// Parse parses the text of a scenario file, fills in the defaults and validates the result. Its
// error joins one FileError for each error found. file is the name in these errors.
func Parse(file string, text []byte) (Scenario, error) {
	s := defaultScenario()
	lines := lineByKey(text)
	d := toml.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, DescribeDecodeError(file, err)
	}
	s.fillDefaults()
	v := validator{file: file, lineByKey: lines}
	v.validate(&s)
	return s, errors.Join(v.errors...)
}

// lineByKey returns the line of each key, for errors that are found after decoding. Keys are paths
// such as workers[1].count.
func lineByKey(text []byte) map[string]int {
	lines := map[string]int{}
	tableCount := map[string]int{} // number of tables read so far, by the key of their list
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

// keyOf returns the key of an expression, with dots between its parts, and its line.
func keyOf(p *unstable.Parser, expression *unstable.Node) (key string, line int) {
	var parts []string
	for k := expression.Key(); k.Next(); {
		node := k.Node()
		parts = append(parts, string(node.Data))
		line = p.Shape(node.Raw).Start.Line
	}
	return strings.Join(parts, "."), line
}
