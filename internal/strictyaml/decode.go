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

// Raw is a field whose value is decoded later, when its type is known. It serves the
// same purpose as json.RawMessage.
type Raw struct {
	doc  *Document
	node ast.Node
	path string
}

// Present reports whether the document has a value for the field.
func (r Raw) Present() bool { return r.node != nil }

// Decode decodes the value into the struct that into points to. It records faults in
// the document.
func (r Raw) Decode(into any) {
	r.doc.decodeValue(r.node, reflect.ValueOf(into).Elem(), r.path)
}

var (
	rawType             = reflect.TypeFor[Raw]()
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Decode decodes the document into the struct that into points to and records faults.
// Field names are taken from `yaml` tags. Fields that the document does not contain
// keep their value.
func (d *Document) Decode(into any) {
	if d.body != nil {
		d.decodeValue(d.body, reflect.ValueOf(into).Elem(), "")
	}
}

// decodeValue decodes node n, which is at path, into v.
func (d *Document) decodeValue(n ast.Node, v reflect.Value, path string) {
	switch node := n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.addFaultAt(nodeLine(n), path, "anchors, aliases and tags are not supported", "write the value out")
		return
	case *ast.NullNode, nil:
		d.addFaultAt(d.Line(path), path, "the value is empty", "write a value or remove the key")
		return
	case *ast.LiteralNode:
		n = node.Value
	}
	switch {
	case v.Type() == rawType:
		v.Set(reflect.ValueOf(Raw{doc: d, node: n, path: path}))
	case v.Type() == durationType:
		d.decodeDuration(n, v, path)
	case v.Addr().Type().Implements(textUnmarshalerType):
		d.decodeText(n, v, path)
	case v.Kind() == reflect.Struct:
		d.decodeMapping(n, v, path)
	case v.Kind() == reflect.Slice:
		d.decodeSequence(n, v, path)
	default:
		d.decodeScalar(n, v, path)
	}
}

func (d *Document) decodeMapping(n ast.Node, v reflect.Value, path string) {
	m, ok := n.(ast.MapNode)
	if !ok {
		d.addTypeFault(n, path, "a mapping of keys to values")
		return
	}
	fields := fieldsByKey(v.Type())
	for it := m.MapRange(); it.Next(); {
		key := it.Key().GetToken().Value
		keyPath := joinPath(path, key)
		line := nodeLine(it.Key())
		index, known := fields[key]
		if !known {
			d.addFaultAt(line, keyPath, "unknown key", "use one of "+strings.Join(sortedKeys(fields), ", "))
			continue
		}
		if d.HasPath(keyPath) {
			d.addFaultAt(line, keyPath, "the key is repeated", "keep one of them")
			continue
		}
		d.linesByPath[keyPath] = line
		d.decodeValue(it.Value(), v.Field(index), keyPath)
	}
}

func (d *Document) decodeSequence(n ast.Node, v reflect.Value, path string) {
	s, ok := n.(*ast.SequenceNode)
	if !ok {
		d.addTypeFault(n, path, "a list")
		return
	}
	list := reflect.MakeSlice(v.Type(), len(s.Values), len(s.Values))
	for i, item := range s.Values {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		d.linesByPath[itemPath] = nodeLine(item)
		if m, ok := item.(*ast.MappingNode); ok && len(m.Values) > 0 {
			d.linesByPath[itemPath] = nodeLine(m.Values[0].Key)
		}
		d.decodeValue(item, list.Index(i), itemPath)
	}
	v.Set(list)
}

func (d *Document) decodeDuration(n ast.Node, v reflect.Value, path string) {
	const example = "write a duration with a unit, such as 250ms, 5s or 2m"
	s, ok := n.(ast.ScalarNode)
	if !ok {
		d.addTypeFault(n, path, "a duration such as 5s")
		return
	}
	text := s.GetToken().Value
	dur, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		d.AddFault(path, fmt.Sprintf("%q is not a duration", truncate(text)), example)
		return
	}
	v.SetInt(int64(dur))
}

func (d *Document) decodeText(n ast.Node, v reflect.Value, path string) {
	s, ok := n.(ast.ScalarNode)
	if !ok {
		d.addTypeFault(n, path, "a single value")
		return
	}
	u := v.Addr().Interface().(encoding.TextUnmarshaler)
	if err := u.UnmarshalText([]byte(s.GetToken().Value)); err != nil {
		d.AddFault(path, fmt.Sprintf("%q is not valid", truncate(s.GetToken().Value)), err.Error())
	}
}

func (d *Document) decodeScalar(n ast.Node, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		s, ok := n.(*ast.StringNode)
		if !ok {
			d.addTypeFault(n, path, "a string")
			return
		}
		v.SetString(s.Value)
	case reflect.Bool:
		b, ok := n.(*ast.BoolNode)
		if !ok {
			d.addTypeFault(n, path, "true or false")
			return
		}
		v.SetBool(b.Value)
	case reflect.Int, reflect.Int64, reflect.Uint64:
		d.decodeInteger(n, v, path)
	case reflect.Float64:
		d.decodeFloat(n, v, path)
	default:
		panic("strictyaml: unsupported type " + v.Type().String())
	}
}

func (d *Document) decodeInteger(n ast.Node, v reflect.Value, path string) {
	node, ok := n.(*ast.IntegerNode)
	if !ok {
		d.addTypeFault(n, path, "a whole number")
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
		d.AddFault(path, "the number is out of range", "use a number from 0 to 9007199254740991")
	}
}

func (d *Document) decodeFloat(n ast.Node, v reflect.Value, path string) {
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
		d.addTypeFault(n, path, "a number")
		return
	}
	if f := v.Float(); math.IsInf(f, 0) || math.IsNaN(f) {
		d.AddFault(path, "the number is out of range", "use a finite number")
	}
}

// addTypeFault records that node n is not of the type that want describes.
func (d *Document) addTypeFault(n ast.Node, path, want string) {
	remedy := "write " + want
	if s, ok := n.(ast.ScalarNode); ok && want == "a string" {
		remedy = fmt.Sprintf("put it in quotes: %q", truncate(s.GetToken().Value))
	}
	d.AddFault(path, "expected "+want+", found "+describeNode(n), remedy)
}

func describeNode(n ast.Node) string {
	switch node := n.(type) {
	case ast.MapNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case ast.ScalarNode:
		return fmt.Sprintf("%q", truncate(node.GetToken().Value))
	default:
		return "something else"
	}
}

// fieldsByKey maps the YAML keys of struct type t to field indexes.
func fieldsByKey(t reflect.Type) map[string]int {
	fields := make(map[string]int, t.NumField())
	for i := range t.NumField() {
		if key := yamlName(t.Field(i)); key != "" {
			fields[key] = i
		}
	}
	return fields
}

// yamlName returns the key in the `yaml` tag of a field, or "" if the field has none.
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

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// truncate shortens a value of the document to 60 bytes, so that an error message does
// not repeat long input.
func truncate(s string) string {
	const limit = 60
	if len(s) <= limit {
		return s
	}
	return strings.ToValidUTF8(s[:limit], "") + "…"
}
