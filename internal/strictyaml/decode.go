package strictyaml

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Raw is a field whose content is decoded later, when its type is known.
type Raw struct {
	doc  *Document
	node ast.Node
	path string
}

// Present reports whether the document has the field.
func (r Raw) Present() bool { return r.node != nil }

// Decode decodes the content into the struct that into points to.
func (r Raw) Decode(into any) {
	r.doc.value(r.node, reflect.ValueOf(into).Elem(), r.path)
}

var (
	rawType      = reflect.TypeFor[Raw]()
	durationType = reflect.TypeFor[time.Duration]()
	textType     = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode decodes the document into the struct that into points to. Keys are
// named by `yaml` tags. Fields without a key in the document keep their value.
func (d *Document) Decode(into any) {
	if d.body != nil {
		d.value(d.body, reflect.ValueOf(into).Elem(), "")
	}
}

func (d *Document) value(n ast.Node, v reflect.Value, path string) {
	switch node := n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.addAt(lineOf(n), path, "anchors, aliases and tags are not supported", "write the value out")
		return
	case *ast.NullNode, nil:
		d.addAt(d.Line(path), path, "the value is empty", "write a value or remove the key")
		return
	case *ast.LiteralNode:
		n = node.Value
	}
	switch {
	case v.Type() == rawType:
		v.Set(reflect.ValueOf(Raw{doc: d, node: n, path: path}))
	case v.Type() == durationType:
		d.duration(n, v, path)
	case v.Addr().Type().Implements(textType):
		d.text(n, v, path)
	case v.Kind() == reflect.Struct:
		d.mapping(n, v, path)
	case v.Kind() == reflect.Slice:
		d.sequence(n, v, path)
	default:
		d.scalar(n, v, path)
	}
}

func (d *Document) mapping(n ast.Node, v reflect.Value, path string) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.wrongType(n, path, "a mapping of keys to values")
		return
	}
	fields := fieldsByKey(v.Type())
	for it := m.MapRange(); it.Next(); {
		key := it.Key().GetToken().Value
		at := join(path, key)
		line := lineOf(it.Key())
		index, known := fields[key]
		if !known {
			d.addAt(line, at, "unknown key", "use one of "+strings.Join(sortedKeys(fields), ", "))
			continue
		}
		if d.Has(at) {
			d.addAt(line, at, "the key is repeated", "keep one of them")
			continue
		}
		d.lines[at] = line
		d.value(it.Value(), v.Field(index), at)
	}
}

func (d *Document) sequence(n ast.Node, v reflect.Value, path string) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.wrongType(n, path, "a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, item := range s.Values {
		at := fmt.Sprintf("%s[%d]", path, i)
		d.lines[at] = lineOf(item)
		if m, ok := item.(*ast.MappingNode); ok && len(m.Values) > 0 {
			d.lines[at] = lineOf(m.Values[0].Key)
		}
		d.value(item, list.Index(i), at)
	}
	v.Set(list)
}

func (d *Document) duration(n ast.Node, v reflect.Value, path string) {
	const example = "write a duration with a unit, such as 250ms, 5s or 2m"
	s, ok := n.(ast.ScalarNode)
	if !ok {
		d.wrongType(n, path, "a duration such as 5s")
		return
	}
	text := s.GetToken().Value
	dur, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		d.Add(path, fmt.Sprintf("%q is not a duration", clip(text)), example)
		return
	}
	v.SetInt(int64(dur))
}

func (d *Document) text(n ast.Node, v reflect.Value, path string) {
	s, ok := n.(ast.ScalarNode)
	if !ok {
		d.wrongType(n, path, "a single value")
		return
	}
	u := v.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(s.GetToken().Value)); err != nil {
		d.Add(path, fmt.Sprintf("%q is not valid", clip(s.GetToken().Value)), err.Error())
	}
}

func (d *Document) scalar(n ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		s, ok := n.(*ast.StringNode)
		if !ok {
			d.wrongType(n, path, "a string")
			return
		}
		v.SetString(s.Value)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.wrongType(n, path, "true or false")
			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64, reflect.Uint64:
		d.integer(n, v, path)
	case reflect.Float64:
		d.float(n, v, path)
	default:
		panic("strictyaml: unsupported type " + v.Type().String())
	}
}

func (d *Document) integer(n ast.Node, v reflect.Value, path string) {
	node, ok := n.(*ast.IntegerNode)
	if !ok {
		d.wrongType(n, path, "a whole number")
		return
	}
	signed, isSigned := node.Value.(int64)
	unsigned, isUnsigned := node.Value.(uint64)
	switch {
	case v.CanUint() && isUnsigned:
		v.SetUint(unsigned)
	case v.CanUint() && isSigned && signed >= 0:
		v.SetUint(uint64(signed))
	case v.CanInt() && isSigned:
		v.SetInt(signed)
	case v.CanInt() && isUnsigned && unsigned <= math.MaxInt64:
		v.SetInt(int64(unsigned))
	default:
		d.Add(path, "the number is out of range", "use a number from 0 to 9007199254740991")
	}
}

func (d *Document) float(n ast.Node, v reflect.Value, path string) {
	switch node := n.(type) {
	case *ast.FloatNode:
		v.SetFloat(node.Value)
	case *ast.IntegerNode:
		switch i := node.Value.(type) {
		case int64:
			v.SetFloat(float64(i))
		case uint64:
			v.SetFloat(float64(i))
		}
	default:
		d.wrongType(n, path, "a number")
		return
	}
	if f := v.Float(); math.IsInf(f, 0) || math.IsNaN(f) {
		d.Add(path, "the number is out of range", "use a finite number")
	}
}

func (d *Document) wrongType(n ast.Node, path, want string) {
	remedy := "write " + want
	if s, ok := n.(ast.ScalarNode); ok && want == "a string" {
		remedy = fmt.Sprintf("put it in quotes: %q", clip(s.GetToken().Value))
	}
	d.Add(path, "expected "+want+", found "+describe(n), remedy)
}

func describe(n ast.Node) string {
	switch node := n.(type) {
	case ast.MapNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case ast.ScalarNode:
		return fmt.Sprintf("%q", clip(node.GetToken().Value))
	default:
		return "something else"
	}
}

func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if key := yamlName(t.Field(i)); key != "" {
			fields[key] = i
		}
	}
	return fields
}

func yamlName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// clip bounds how much of the input an error message repeats.
func clip(s string) string {
	const limit = 60
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "…"
}
