// Package strictyaml decodes YAML into structs and reports all faults of a document at
// once, each with its line, the path of the key and a remedy. Unknown and repeated keys,
// wrong types, missing units, anchors and additional documents are faults.
package strictyaml

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// maxNesting is the deepest allowed nesting of collections. Deeper input could exhaust
// the stack, because the parser is recursive.
const maxNesting = 32

// Fault describes one error in a document and how to correct it.
type Fault struct {
	Line    int    `json:"line"`
	Path    string `json:"path,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("line %d: %s; %s", f.Line, f.Problem, f.Remedy)
	}
	return fmt.Sprintf("line %d: %s: %s; %s", f.Line, f.Path, f.Problem, f.Remedy)
}

// Error lists every fault of a document, sorted by line.
type Error struct {
	// Source names the document, usually a file name.
	Source string  `json:"source"`
	Faults []Fault `json:"faults"`
}

// Error implements error with one line per fault.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, e.Source+": "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Document is a parsed document with the faults found so far.
type Document struct {
	body        ast.Node
	linesByPath map[string]int
	faults      []Fault
}

// Parse parses data, which may have at most limit bytes. It records syntax errors as
// faults of the returned document.
func Parse(data []byte, limit int) *Document {
	d := &Document{linesByPath: map[string]int{"": 1}}
	if len(data) > limit {
		d.AddFault("", fmt.Sprintf("the document has %d bytes", len(data)), fmt.Sprintf("keep it within %d bytes", limit))
		return d
	}
	tokens := lexer.Tokenize(string(data))
	if line, ok := findDeepNesting(tokens); ok {
		d.addFaultAt(line, "", fmt.Sprintf("collections are nested deeper than %d", maxNesting), "flatten the document")
		return d
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addSyntaxFault(err)
		return d
	}
	d.setBody(file)
	return d
}

// setBody sets the body of the document. It records a fault unless the file has exactly
// one document with content.
func (d *Document) setBody(file *ast.File) {
	var bodies []ast.Node
	for _, doc := range file.Docs {
		if doc != nil && doc.Body != nil {
			bodies = append(bodies, doc.Body)
		}
	}
	if len(bodies) == 0 {
		d.AddFault("", "the document is empty", "write the keys that docs/configuration.md lists")
		return
	}
	if len(bodies) > 1 {
		d.addFaultAt(nodeLine(bodies[1]), "", "there is a second document", "keep one document in a file")
		return
	}
	d.body = bodies[0]
}

// findDeepNesting returns the first line on which collections are nested deeper than
// maxNesting, and reports whether there is one.
func findDeepNesting(tokens token.Tokens) (int, bool) {
	flowDepth, lineDepth, line := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, lineDepth = t.Position.Line, 0
		}
		switch t.Type {
		case token.SequenceStartType, token.MappingStartType:
			flowDepth++
		case token.SequenceEndType, token.MappingEndType:
			flowDepth--
		case token.SequenceEntryType, token.MappingKeyType, token.TagType, token.AnchorType:
			lineDepth++
		}
		if flowDepth > maxNesting || lineDepth > maxNesting || t.Position.IndentLevel > maxNesting {
			return line, true
		}
	}
	return 0, false
}

func (d *Document) addSyntaxFault(err error) {
	var e yaml.Error
	if errors.As(err, &e) && e.GetToken() != nil {
		d.addFaultAt(e.GetToken().Position.Line, "", "not valid YAML: "+e.GetMessage(), "correct the syntax")
		return
	}
	d.AddFault("", "not valid YAML: "+err.Error(), "correct the syntax")
}

// AddFault records a fault at the line of path or, if the document does not contain
// path, at the line of the nearest enclosing key.
func (d *Document) AddFault(path, problem, remedy string) {
	d.addFaultAt(d.Line(path), path, problem, remedy)
}

func (d *Document) addFaultAt(line int, path, problem, remedy string) {
	d.faults = append(d.faults, Fault{Line: line, Path: path, Problem: problem, Remedy: remedy})
}

// Line returns the line of path or, if the document does not contain path, of the
// nearest enclosing key.
func (d *Document) Line(path string) int {
	for {
		if line, ok := d.linesByPath[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// Parsed reports whether the syntax is valid and the document has content to decode.
func (d *Document) Parsed() bool { return d.body != nil }

// HasPath reports whether the document contains the key or list item at path.
func (d *Document) HasPath(path string) bool { _, ok := d.linesByPath[path]; return ok }

// HasFault reports whether a fault was recorded at path or below it.
func (d *Document) HasFault(path string) bool {
	return slices.ContainsFunc(d.faults, func(f Fault) bool {
		rest, ok := strings.CutPrefix(f.Path, path)
		return ok && (rest == "" || path == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// Err returns an *Error that lists all faults, or nil if there are none.
func (d *Document) Err(source string) error {
	if len(d.faults) == 0 {
		return nil
	}
	faults := slices.Clone(d.faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &Error{Source: source, Faults: faults}
}

// nodeLine returns the line of a node, or 1 if it is unknown.
func nodeLine(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 1
	}
	return n.GetToken().Position.Line
}
