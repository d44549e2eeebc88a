// Package structure holds how the code is laid out: which package may import which, and how long functions and files may be. It has
// tests alone, which read the sources as text, so that files behind build tags count too.
package structure

import (
	"flag"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	// module is the path that go.mod gives, before each import of our own.
	module = "stoatweir/"
	// root is the top of the checkout, seen from this package's directory, in which go test runs.
	root = "../.."
	// maxFunctionLines counts from the line of func to that of the closing brace; the doc comment is not counted.
	maxFunctionLines = 60
	// maxFileLines counts all lines of a file.
	maxFileLines = 500
)

var update = flag.Bool("update", false,
	"bring the lists of exceptions up to date: entries may go, shrink or change their name, none is added")

// sources are the directories with code; journal has records of older sources.
var sources = []string{"dispatch", "internal", "cmd"}

// layer is packages that may import those of layers before their own, and not one another.
type layer struct {
	name     string
	packages []string
}

// layers has every package with code outside tests, the lowest first.
var layers = []layer{
	{name: "foundations", packages: []string{
		"dispatch", "internal/accounting", "internal/admin", "internal/golden", "internal/handover", "internal/http1",
		"internal/lifecycle", "internal/ring", "internal/tenants",
	}},
	{name: "connections, settings and state", packages: []string{
		"internal/conn", "internal/invariant", "internal/settings", "internal/tenants/store",
	}},
	{name: "protocols with others", packages: []string{
		"internal/discovery", "internal/gossip", "internal/simwire", "internal/tenants/api",
	}},
	{name: "workers", packages: []string{"internal/workers"}},
	{name: "clients", packages: []string{"internal/clients"}},
	{name: "take-over", packages: []string{"internal/takeover"}},
	{name: "laboratory: scenarios and tools", packages: []string{
		"internal/lab/baseline", "internal/lab/eventqueue", "internal/lab/scenario", "internal/lab/soak",
	}},
	{name: "laboratory: model", packages: []string{"internal/lab/model", "internal/lab/scale"}},
	{name: "laboratory: virtual time and reports", packages: []string{
		"internal/lab/report", "internal/lab/trace", "internal/lab/virtual",
	}},
	{name: "laboratory: load", packages: []string{"internal/lab/load"}},
	{name: "laboratory: real processes", packages: []string{"internal/lab/loopback"}},
	{name: "commands", packages: []string{"cmd/baseline", "cmd/simadapter", "cmd/stoatweir"}},
}

// testSupport is what only tests import. A path stands for the packages below it too.
var testSupport = []string{
	"testing", "github.com/google/go-cmp", module + "internal/golden", soak,
}

// soak is the package of the soak test, which files of its own build may import too.
const soak = module + "internal/lab/soak"

// soakTag is the build tag of the binary that the soak test builds with faults to inject: the service itself is built without it.
const soakTag = "//go:build soak\n"

// labFiles match the files outside the laboratory that may import it.
var labFiles = []string{"cmd/baseline/*.go", "cmd/stoatweir/lab*.go"}

// sourceFile is a parsed file of code, no test.
type sourceFile struct {
	name     string // path below the root, with slashes
	syntax   *ast.File
	set      *token.FileSet
	numLines int
	isSoak   bool // built for the soak test alone
}

func (f *sourceFile) pkg() string { return path.Dir(f.name) }

func (f *sourceFile) imports(t *testing.T) []string {
	t.Helper()
	var paths []string
	for _, spec := range f.syntax.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(f.name, err)
		}
		paths = append(paths, imported)
	}
	return paths
}

// lines is how many lines a node takes, its first and last one among them.
func (f *sourceFile) lines(node ast.Node) int {
	return f.set.Position(node.End()).Line - f.set.Position(node.Pos()).Line + 1
}

// readSources parses every file of code below the sources but tests.
func readSources(t *testing.T) []*sourceFile {
	t.Helper()
	set := token.NewFileSet()
	var files []*sourceFile
	for _, directory := range sources {
		err := filepath.WalkDir(filepath.Join(root, directory), func(name string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if entry.IsDir() && entry.Name() == "testdata" {
				return fs.SkipDir
			}
			if entry.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return nil
			}
			file, err := readSource(set, name)
			if err != nil {
				return err
			}
			files = append(files, file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(files) == 0 {
		t.Fatal("no sources found")
	}
	return files
}

func readSource(set *token.FileSet, name string) (*sourceFile, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	syntax, err := parser.ParseFile(set, name, text, parser.SkipObjectResolution)
	if err != nil {
		return nil, err
	}
	below, err := filepath.Rel(root, name)
	if err != nil {
		return nil, err
	}
	return &sourceFile{
		name:     filepath.ToSlash(below),
		syntax:   syntax,
		set:      set,
		numLines: strings.Count(string(text), "\n"),
		isSoak:   strings.HasPrefix(string(text), soakTag),
	}, nil
}

// layerNumbers is the place of each package in layers.
func layerNumbers(t *testing.T) map[string]int {
	t.Helper()
	numbers := map[string]int{}
	for number, l := range layers {
		for _, pkg := range l.packages {
			if _, twice := numbers[pkg]; twice {
				t.Errorf("%s stands twice in layers: keep one", pkg)
			}
			numbers[pkg] = number
		}
	}
	return numbers
}

func TestLayersNameEveryPackage(t *testing.T) {
	unseen := layerNumbers(t)
	numbers := layerNumbers(t)
	for _, file := range readSources(t) {
		delete(unseen, file.pkg())
		if _, known := numbers[file.pkg()]; !known {
			t.Errorf("%s is in no layer: add its package to layers, above all that it imports", file.name)
		}
	}
	for pkg := range unseen {
		t.Errorf("%s is in layers and has no code: remove it there", pkg)
	}
}

// Imports that all lead to a lower layer have no cycle.
func TestImportsLeadDownwards(t *testing.T) {
	numbers := layerNumbers(t)
	for _, file := range readSources(t) {
		for _, imported := range file.imports(t) {
			pkg := strings.TrimPrefix(imported, module)
			from, fromKnown := numbers[file.pkg()]
			to, toKnown := numbers[pkg]
			if fromKnown && toKnown && to >= from {
				t.Errorf("%s (layer %q) imports %s (layer %q): imports lead to lower layers only; move what both need below them, "+
					"or have the upper package hand it in as a value, function or interface",
					file.name, layers[from].name, pkg, layers[to].name)
			}
		}
	}
}

// The simulator and the service run the same decisions because the module that makes them knows neither.
func TestDispatchImportsNothingOfTheModule(t *testing.T) {
	for _, file := range readSources(t) {
		if file.pkg() != "dispatch" {
			continue
		}
		for _, imported := range file.imports(t) {
			if strings.HasPrefix(imported, module) {
				t.Errorf("%s imports %s: dispatch decides from its events alone; put what it needs into an event or its Config", file.name, imported)
			}
		}
	}
}

func TestCodeImportsNoTestSupport(t *testing.T) {
	for _, file := range readSources(t) {
		if isWithin(module+file.pkg(), testSupport) {
			continue
		}
		for _, imported := range file.imports(t) {
			if isWithin(imported, testSupport) && !(file.isSoak && imported == soak) {
				t.Errorf("%s imports %s, which is for tests: move what uses it to a _test.go file", file.name, imported)
			}
		}
	}
}

func TestServiceImportsNoLaboratory(t *testing.T) {
	laboratory := []string{module + "internal/lab"}
	for _, file := range readSources(t) {
		if isWithin(module+file.pkg(), laboratory) || matchesAny(t, file.name, labFiles) {
			continue
		}
		for _, imported := range file.imports(t) {
			if isWithin(imported, laboratory) && !(file.isSoak && imported == soak) {
				t.Errorf("%s imports %s: only the laboratory and its commands do (labFiles); move what both need out of internal/lab",
					file.name, imported)
			}
		}
	}
}

// isWithin tells whether a package is one of those at paths, or below one.
func isWithin(pkg string, paths []string) bool {
	return slices.ContainsFunc(paths, func(p string) bool { return pkg == p || strings.HasPrefix(pkg, p+"/") })
}

func matchesAny(t *testing.T, name string, patterns []string) bool {
	t.Helper()
	for _, pattern := range patterns {
		matches, err := path.Match(pattern, name)
		if err != nil {
			t.Fatal(err)
		}
		if matches {
			return true
		}
	}
	return false
}

func TestFunctionsAreShort(t *testing.T) {
	lengths := map[string]int{}
	for _, file := range readSources(t) {
		for name, length := range functionLengths(file) {
			// Files behind build tags, and several init, have a name twice: the longest counts.
			lengths[name] = max(lengths[name], length)
		}
	}
	holdToLimit(t, limit{
		list: "long_functions.txt", lines: maxFunctionLines, what: "function", advice: "split it by what it does",
		parent: func(name string) string { return path.Dir(name) + "/" + strings.Split(path.Base(name), ".")[0] },
	}, lengths)
}

// functionLengths has the functions of a file by name, "path/of/package.Type.Method". A function in a variable counts by the
// variable's name.
func functionLengths(file *sourceFile) map[string]int {
	lengths := map[string]int{}
	add := func(name string, length int) {
		name = file.pkg() + "." + name
		lengths[name] = max(lengths[name], length)
	}
	for _, declaration := range file.syntax.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			// The node's position is that of func, behind the doc comment.
			add(functionName(d), file.lines(d))
		case *ast.GenDecl:
			for _, spec := range d.Specs {
				if value, isValue := spec.(*ast.ValueSpec); isValue {
					add(value.Names[0].Name, longestLiteral(file, value))
				}
			}
		}
	}
	return lengths
}

// functionName is Function, or Type.Method whether the receiver is a pointer or not.
func functionName(f *ast.FuncDecl) string {
	if f.Recv == nil {
		return f.Name.Name
	}
	receiver := f.Recv.List[0].Type
	for {
		switch r := receiver.(type) {
		case *ast.StarExpr:
			receiver = r.X
		case *ast.IndexExpr:
			receiver = r.X
		case *ast.IndexListExpr:
			receiver = r.X
		case *ast.Ident:
			return r.Name + "." + f.Name.Name
		default:
			return f.Name.Name
		}
	}
}

func longestLiteral(file *sourceFile, node ast.Node) int {
	longest := 0
	ast.Inspect(node, func(n ast.Node) bool {
		if literal, isFunction := n.(*ast.FuncLit); isFunction {
			longest = max(longest, file.lines(literal))
		}
		return true
	})
	return longest
}

func TestFilesAreShort(t *testing.T) {
	lengths := map[string]int{}
	for _, file := range readSources(t) {
		lengths[file.name] = file.numLines
	}
	holdToLimit(t, limit{
		list: "long_files.txt", lines: maxFileLines, what: "file", advice: "split it by concern, a file each",
		parent: path.Dir,
	}, lengths)
}

// limit is how long something may be.
type limit struct {
	list   string // file below testdata that lists the exceptions, with their lengths
	lines  int
	what   string // what is measured, for failures
	advice string // what to do about one that is too long
	parent func(name string) string
}

// exception is an entry of a list: something that is over the limit, with its present length.
type exception struct {
	name   string
	length int
}

// holdToLimit fails the test for whatever is over the limit and not listed with just that length, and for entries that are not needed
// any more, so that the list only gets shorter.
func holdToLimit(t *testing.T, l limit, lengths map[string]int) {
	t.Helper()
	listed := readExceptions(t, l.list)
	if *update {
		listed = shorten(l, listed, lengths)
		writeExceptions(t, l.list, listed)
	}
	byName := map[string]int{}
	for _, e := range listed {
		byName[e.name] = e.length
	}
	const renew = "run go test ./internal/structure -update"
	for name, length := range lengths {
		allowed, isListed := byName[name]
		switch {
		case length <= l.lines && isListed:
			t.Errorf("%s has %d lines, no longer over %d: remove it from testdata/%s (%s)", name, length, l.lines, l.list, renew)
		case length > l.lines && !isListed:
			t.Errorf("%s %s has %d lines, over %d: %s; if it was only renamed, %s", l.what, name, length, l.lines, l.advice, renew)
		case isListed && length > allowed:
			t.Errorf("%s %s has grown from %d lines to %d, over %d: %s", l.what, name, allowed, length, l.lines, l.advice)
		case isListed && length < allowed:
			t.Errorf("%s has %d lines now: put that into testdata/%s in place of %d (%s)", name, length, l.list, allowed, renew)
		}
	}
	for name := range byName {
		if _, exists := lengths[name]; !exists {
			t.Errorf("%s is gone: remove it from testdata/%s (%s)", name, l.list, renew)
		}
	}
}

// shorten is the list with present lengths, without entries that are not needed. None grows. The entry of a name that is gone may go
// to another one of the same parent that is not longer, as that may be the same code renamed.
func shorten(l limit, listed []exception, lengths map[string]int) []exception {
	var kept, gone []exception
	needed := map[string]int{}
	for name, length := range lengths {
		if length > l.lines {
			needed[name] = length
		}
	}
	for _, e := range listed {
		length, isNeeded := needed[e.name]
		if isNeeded {
			kept = append(kept, exception{name: e.name, length: min(length, e.length)})
			delete(needed, e.name)
		} else if _, exists := lengths[e.name]; !exists {
			gone = append(gone, e)
		}
	}
	for _, e := range longestFirst(needed) {
		place := slices.IndexFunc(gone, func(g exception) bool {
			return l.parent(g.name) == l.parent(e.name) && g.length >= e.length
		})
		if place >= 0 {
			kept = append(kept, e)
			gone = slices.Delete(gone, place, place+1)
		}
	}
	return kept
}

func longestFirst(lengths map[string]int) []exception {
	var all []exception
	for name, length := range lengths {
		all = append(all, exception{name: name, length: length})
	}
	slices.SortFunc(all, func(a, b exception) int {
		if a.length != b.length {
			return b.length - a.length
		}
		return strings.Compare(a.name, b.name)
	})
	return all
}

// readExceptions reads a list: a name and a length in each line.
func readExceptions(t *testing.T, list string) []exception {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", list))
	if err != nil {
		t.Fatal(err)
	}
	var all []exception
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		length, err := strconv.Atoi(digits)
		if err != nil {
			t.Fatalf("testdata/%s: %q is not a name and a length", list, line)
		}
		all = append(all, exception{name: name, length: length})
	}
	return all
}

func writeExceptions(t *testing.T, list string, all []exception) {
	t.Helper()
	slices.SortFunc(all, func(a, b exception) int { return strings.Compare(a.name, b.name) })
	var text strings.Builder
	for _, e := range all {
		fmt.Fprintf(&text, "%s %d\n", e.name, e.length)
	}
	if err := os.WriteFile(filepath.Join("testdata", list), []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestShortenNeverAddsOrGrows(t *testing.T) {
	l := limit{lines: 60, parent: path.Dir}
	listed := []exception{
		{name: "p/gone", length: 99},
		{name: "p/grown", length: 70},
		{name: "p/mended", length: 80},
		{name: "p/old", length: 65},
		{name: "p/shrunk", length: 90},
	}
	lengths := map[string]int{
		"p/grown":   75,
		"p/mended":  60,
		"p/new":     100, // longer than any that is gone
		"p/renamed": 65,  // may be p/old
		"p/shrunk":  61,
		"q/new":     61, // of another parent
	}
	got := shorten(l, listed, lengths)
	slices.SortFunc(got, func(a, b exception) int { return strings.Compare(a.name, b.name) })
	want := []exception{
		{name: "p/grown", length: 70},
		{name: "p/renamed", length: 65},
		{name: "p/shrunk", length: 61},
	}
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
