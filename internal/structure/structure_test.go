// Package structure checks the layout of the code: which packages may import which, and the length of
// functions and files. It contains only tests. They parse the sources directly, so that files excluded
// by build tags are checked too.
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
	// modulePrefix is the prefix of the import paths of this module's packages.
	modulePrefix = "stoatweir/"
	// rootDirectory is the root of the repository, relative to this package's directory, in which
	// go test runs.
	rootDirectory = "../.."
	// maxFunctionLines is the maximum length of a function, from the line of func to that of the
	// closing brace. The doc comment does not count.
	maxFunctionLines = 60
	// maxFileLines is the maximum length of a file, with all of its lines.
	maxFileLines = 500
)

var update = flag.Bool("update", false,
	"update the lists of exceptions: entries may be removed, shortened or renamed, but not added")

// sourceDirectories are the directories that contain code. journal is not among them, because it
// contains snapshots of older sources.
var sourceDirectories = []string{"dispatch", "internal", "cmd"}

// layer is a set of packages that may import packages of lower layers, but not one another.
type layer struct {
	name     string
	packages []string
}

// layers lists every package that contains code other than tests, the lowest layer first.
var layers = []layer{
	{name: "base", packages: []string{
		"dispatch", "internal/accounting", "internal/admin", "internal/golden", "internal/handover", "internal/http1",
		"internal/lifecycle", "internal/ring", "internal/tenants",
	}},
	{name: "connections, settings and state", packages: []string{
		"internal/conn", "internal/invariant", "internal/settings", "internal/tenants/store",
	}},
	{name: "protocols", packages: []string{
		"internal/discovery", "internal/gossip", "internal/simwire", "internal/tenants/api",
	}},
	{name: "workers", packages: []string{"internal/workers"}},
	{name: "clients", packages: []string{"internal/clients"}},
	{name: "take-over", packages: []string{"internal/takeover"}},
	{name: "lab: scenarios and tools", packages: []string{
		"internal/lab/baseline", "internal/lab/eventqueue", "internal/lab/scenario", "internal/lab/soak",
	}},
	{name: "lab: model", packages: []string{"internal/lab/model", "internal/lab/scale"}},
	{name: "lab: virtual time and reports", packages: []string{
		"internal/lab/report", "internal/lab/trace", "internal/lab/virtual",
	}},
	{name: "lab: load", packages: []string{"internal/lab/load"}},
	{name: "lab: real processes", packages: []string{"internal/lab/loopback"}},
	{name: "commands", packages: []string{"cmd/baseline", "cmd/simadapter", "cmd/stoatweir"}},
}

// testSupport lists packages that only tests may import. A path includes the packages below it.
var testSupport = []string{
	"testing", "github.com/google/go-cmp", modulePrefix + "internal/golden", soakPackage,
}

// soakPackage is the package of the soak test. Files with soakBuildTag may import it too.
const soakPackage = modulePrefix + "internal/lab/soak"

// soakBuildTag is the first line of files that belong only to the binary for the soak test, which can
// inject faults. The service is built without them.
const soakBuildTag = "//go:build soak\n"

// labFiles are patterns of the files outside of internal/lab that may import its packages.
var labFiles = []string{"cmd/baseline/*.go", "cmd/stoatweir/lab*.go"}

// sourceFile is a parsed Go file other than a test.
type sourceFile struct {
	name       string // path relative to the root, with slashes
	syntax     *ast.File
	set        *token.FileSet
	numLines   int
	isSoakOnly bool // begins with soakBuildTag
}

// pkg returns the path of the file's package, without modulePrefix.
func (f *sourceFile) pkg() string { return path.Dir(f.name) }

// imports returns the import paths of the file.
func (f *sourceFile) imports(t *testing.T) []string {
	t.Helper()
	var paths []string
	for _, spec := range f.syntax.Imports {
		imported, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatalf("%s: want quoted import paths, got error %v", f.name, err)
		}
		paths = append(paths, imported)
	}
	return paths
}

// lines returns the number of lines from the first to the last line of a node, inclusive.
func (f *sourceFile) lines(node ast.Node) int {
	return f.set.Position(node.End()).Line - f.set.Position(node.Pos()).Line + 1
}

// readSources parses all Go files in sourceDirectories except tests.
func readSources(t *testing.T) []*sourceFile {
	t.Helper()
	set := token.NewFileSet()
	var files []*sourceFile
	for _, directory := range sourceDirectories {
		err := filepath.WalkDir(filepath.Join(rootDirectory, directory), func(name string, entry fs.DirEntry, err error) error {
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
		t.Fatal("no Go sources found in sourceDirectories")
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
	relativeName, err := filepath.Rel(rootDirectory, name)
	if err != nil {
		return nil, err
	}
	return &sourceFile{
		name:       filepath.ToSlash(relativeName),
		syntax:     syntax,
		set:        set,
		numLines:   strings.Count(string(text), "\n"),
		isSoakOnly: strings.HasPrefix(string(text), soakBuildTag),
	}, nil
}

// layerNumbers returns the index in layers of each package's layer. It fails the test if a package is
// listed twice.
func layerNumbers(t *testing.T) map[string]int {
	t.Helper()
	numbers := map[string]int{}
	for number, l := range layers {
		for _, pkg := range l.packages {
			if _, twice := numbers[pkg]; twice {
				t.Errorf("%s is listed twice in layers: remove one", pkg)
			}
			numbers[pkg] = number
		}
	}
	return numbers
}

func TestLayersNameEveryPackage(t *testing.T) {
	packagesLeft := layerNumbers(t)
	numbers := layerNumbers(t)
	for _, file := range readSources(t) {
		delete(packagesLeft, file.pkg())
		if _, known := numbers[file.pkg()]; !known {
			t.Errorf("%s is in no layer: add its package to layers, above all packages that it imports", file.name)
		}
	}
	for pkg := range packagesLeft {
		t.Errorf("%s is in layers but contains no code: remove it from layers", pkg)
	}
}

// Imports of lower layers only can't form a cycle.
func TestImportsLeadToLowerLayers(t *testing.T) {
	numbers := layerNumbers(t)
	for _, file := range readSources(t) {
		for _, imported := range file.imports(t) {
			pkg := strings.TrimPrefix(imported, modulePrefix)
			from, fromKnown := numbers[file.pkg()]
			to, toKnown := numbers[pkg]
			if fromKnown && toKnown && to >= from {
				t.Errorf("%s (layer %q) imports %s (layer %q): packages may import lower layers only; move shared code to a layer "+
					"below both, or have the upper package pass in a value, function or interface",
					file.name, layers[from].name, pkg, layers[to].name)
			}
		}
	}
}

// The simulator and the service can run the same decision code because dispatch depends on neither.
func TestDispatchImportsNoPackageOfThisModule(t *testing.T) {
	for _, file := range readSources(t) {
		if file.pkg() != "dispatch" {
			continue
		}
		for _, imported := range file.imports(t) {
			if strings.HasPrefix(imported, modulePrefix) {
				t.Errorf("%s imports %s: dispatch may depend only on its events and Config; add what it needs to one of them", file.name, imported)
			}
		}
	}
}

func TestCodeImportsNoTestSupport(t *testing.T) {
	for _, file := range readSources(t) {
		if isWithin(modulePrefix+file.pkg(), testSupport) {
			continue
		}
		for _, imported := range file.imports(t) {
			if isWithin(imported, testSupport) && !(file.isSoakOnly && imported == soakPackage) {
				t.Errorf("%s imports %s, which only tests may import: move the code that uses it to a _test.go file", file.name, imported)
			}
		}
	}
}

func TestServiceImportsNoLab(t *testing.T) {
	labPackages := []string{modulePrefix + "internal/lab"}
	for _, file := range readSources(t) {
		if isWithin(modulePrefix+file.pkg(), labPackages) || matchesAny(t, file.name, labFiles) {
			continue
		}
		for _, imported := range file.imports(t) {
			if isWithin(imported, labPackages) && !(file.isSoakOnly && imported == soakPackage) {
				t.Errorf("%s imports %s: only packages in internal/lab and labFiles may; move shared code out of internal/lab",
					file.name, imported)
			}
		}
	}
}

// isWithin reports whether a package is one of paths or below one of them.
func isWithin(pkg string, paths []string) bool {
	return slices.ContainsFunc(paths, func(p string) bool { return pkg == p || strings.HasPrefix(pkg, p+"/") })
}

// matchesAny reports whether a file name matches one of the patterns.
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
			// A name can occur more than once: in files with different build tags, and for init
			// functions. The longest one counts.
			lengths[name] = max(lengths[name], length)
		}
	}
	checkLimit(t, limit{
		exceptionFile: "long_functions.txt", maxLines: maxFunctionLines, subject: "function", advice: "split it by what it does",
		parentOf: func(name string) string { return path.Dir(name) + "/" + strings.Split(path.Base(name), ".")[0] },
	}, lengths)
}

// functionLengths returns the lengths of a file's functions by name, such as
// "path/of/package.Type.Method". A function literal in a package variable is listed under the name of
// the variable.
func functionLengths(file *sourceFile) map[string]int {
	lengths := map[string]int{}
	add := func(name string, length int) {
		name = file.pkg() + "." + name
		lengths[name] = max(lengths[name], length)
	}
	for _, declaration := range file.syntax.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			// The position of the node is that of func, after the doc comment.
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

// functionName returns "Function" for a function and "Type.Method" for a method, whether or not the
// receiver is a pointer.
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

// longestLiteral returns the length of the longest function literal in a node; 0: there is none.
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
	checkLimit(t, limit{
		exceptionFile: "long_files.txt", maxLines: maxFileLines, subject: "file", advice: "split it into files by concern",
		parentOf: path.Dir,
	}, lengths)
}

// limit is the maximum length of functions or files.
type limit struct {
	exceptionFile string // file in testdata that lists the exceptions, with their lengths
	maxLines      int
	subject       string // what the limit applies to, for failure messages
	advice        string // how to shorten one that is too long
	parentOf      func(name string) string
}

// exception is an entry of a list of exceptions: a function or file over the limit.
type exception struct {
	name   string
	length int // in lines, when it was listed
}

// checkLimit fails the test for everything over the limit that is not listed with exactly its length,
// and for entries that are no longer needed, so that the list can only get shorter.
func checkLimit(t *testing.T, l limit, lengths map[string]int) {
	t.Helper()
	exceptions := readExceptions(t, l.exceptionFile)
	if *update {
		exceptions = updatedExceptions(l, exceptions, lengths)
		writeExceptions(t, l.exceptionFile, exceptions)
	}
	byName := map[string]int{}
	for _, e := range exceptions {
		byName[e.name] = e.length
	}
	const updateCommand = "run go test ./internal/structure -update"
	for name, length := range lengths {
		listedLength, isListed := byName[name]
		switch {
		case length <= l.maxLines && isListed:
			t.Errorf("%s has %d lines, not over %d any more: remove it from testdata/%s (%s)",
				name, length, l.maxLines, l.exceptionFile, updateCommand)
		case length > l.maxLines && !isListed:
			t.Errorf("%s %s has %d lines, over %d: %s; if it was only renamed, %s", l.subject, name, length, l.maxLines, l.advice, updateCommand)
		case isListed && length > listedLength:
			t.Errorf("%s %s has grown from %d lines to %d, over %d: %s", l.subject, name, listedLength, length, l.maxLines, l.advice)
		case isListed && length < listedLength:
			t.Errorf("%s has %d lines now: update testdata/%s, which has %d (%s)", name, length, l.exceptionFile, listedLength, updateCommand)
		}
	}
	for name := range byName {
		if _, exists := lengths[name]; !exists {
			t.Errorf("%s does not exist any more: remove it from testdata/%s (%s)", name, l.exceptionFile, updateCommand)
		}
	}
}

// updatedExceptions returns the list with current lengths and without entries that are not needed. No
// entry grows. An entry whose name does not exist any more can pass to another name with the same parent
// that is not longer, because that may be the same code after a rename.
func updatedExceptions(l limit, listed []exception, lengths map[string]int) []exception {
	var kept, obsolete []exception
	remaining := map[string]int{}
	for name, length := range lengths {
		if length > l.maxLines {
			remaining[name] = length
		}
	}
	for _, e := range listed {
		length, isRemaining := remaining[e.name]
		if isRemaining {
			kept = append(kept, exception{name: e.name, length: min(length, e.length)})
			delete(remaining, e.name)
		} else if _, exists := lengths[e.name]; !exists {
			obsolete = append(obsolete, e)
		}
	}
	for _, e := range longestFirst(remaining) {
		position := slices.IndexFunc(obsolete, func(g exception) bool {
			return l.parentOf(g.name) == l.parentOf(e.name) && g.length >= e.length
		})
		if position >= 0 {
			kept = append(kept, e)
			obsolete = slices.Delete(obsolete, position, position+1)
		}
	}
	return kept
}

// longestFirst returns lengths as exceptions, sorted by decreasing length and then by name.
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

// readExceptions reads a file of exceptions from testdata. Each line contains a name and a length.
func readExceptions(t *testing.T, file string) []exception {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	var all []exception
	for line := range strings.Lines(string(text)) {
		name, digits, _ := strings.Cut(strings.TrimSpace(line), " ")
		length, err := strconv.Atoi(digits)
		if err != nil {
			t.Fatalf("testdata/%s: %q is not a name and a length", file, line)
		}
		all = append(all, exception{name: name, length: length})
	}
	return all
}

// writeExceptions writes a file of exceptions to testdata, sorted by name.
func writeExceptions(t *testing.T, file string, all []exception) {
	t.Helper()
	slices.SortFunc(all, func(a, b exception) int { return strings.Compare(a.name, b.name) })
	var text strings.Builder
	for _, e := range all {
		fmt.Fprintf(&text, "%s %d\n", e.name, e.length)
	}
	if err := os.WriteFile(filepath.Join("testdata", file), []byte(text.String()), 0o644); err != nil {
		t.Fatal(err)
	}
}

func TestUpdatedExceptionsNeverAddOrGrow(t *testing.T) {
	l := limit{maxLines: 60, parentOf: path.Dir}
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
		"p/new":     100, // longer than any removed entry
		"p/renamed": 65,  // may be p/old renamed
		"p/shrunk":  61,
		"q/new":     61, // has another parent
	}
	got := updatedExceptions(l, listed, lengths)
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
