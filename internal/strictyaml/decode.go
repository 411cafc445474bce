package strictyaml

import (
	"bytes"
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
)

// Decode decodes raw into the struct that out points to. It returns every
// fault that it finds. Supported field types are structs, pointers to structs,
// slices, strings, booleans, integers, floats and encoding.TextUnmarshaler.
func Decode(raw []byte, maxBytes int, out any) Faults {
	if len(raw) > maxBytes {
		return Faults{{TooLarge, "", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", maxBytes)}}
	}
	root, faults := parse(raw)
	if faults != nil {
		return faults
	}
	if _, ok := mapping(root); !ok {
		return malformed("", describe(root), "a mapping with the fields "+strings.Join(fieldNames(reflect.TypeOf(out).Elem()), ", "))
	}
	d := decoder{}
	d.value("", root, reflect.ValueOf(out).Elem())
	d.faults.limit()
	return d.faults
}

// parse parses raw, which must hold exactly one document. A panic of the YAML
// library is returned as a fault, because raw is untrusted input.
func parse(raw []byte) (root ast.Node, faults Faults) {
	defer func() {
		if r := recover(); r != nil {
			root, faults = nil, malformed("", fmt.Sprint(r), "YAML")
		}
	}()
	if !utf8.Valid(raw) || bytes.IndexByte(raw, 0) >= 0 {
		return nil, malformed("", "text with invalid bytes", "UTF-8 without null bytes")
	}
	tokens := lexer.Tokenize(string(raw))
	if faults := checkTokens(tokens); faults != nil {
		return nil, faults
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxFault(err)
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		return nil, malformed("", fmt.Sprintf("%d YAML documents", len(file.Docs)), "exactly one YAML document that is not empty")
	}
	return file.Docs[0].Body, nil
}

func malformed(field, value, allowed string) Faults {
	return Faults{{Malformed, field, Abbreviate(value), allowed}}
}

// syntaxFault returns the message of a syntax error without the source excerpt
// that the library adds, because formatting the excerpt is slow for long lines.
func syntaxFault(err error) Faults {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		return malformed("", err.Error(), "YAML")
	}
	field := ""
	if t := syntax.GetToken(); t != nil && t.Position != nil {
		field = position(t)
	}
	return malformed(field, syntax.GetMessage(), "YAML")
}

// decoder copies a parsed document into a value and collects faults.
type decoder struct{ faults Faults }

func (d *decoder) fault(kind Kind, field, value, allowed string) {
	d.faults = append(d.faults, Fault{kind, field, Abbreviate(value), allowed})
}

func (d *decoder) value(field string, node ast.Node, out reflect.Value) {
	if u, ok := out.Addr().Interface().(encoding.TextUnmarshaler); ok {
		d.text(field, node, u)
		return
	}
	switch out.Kind() {
	case reflect.Pointer:
		if node.Type() == ast.NullType {
			return
		}
		out.Set(reflect.New(out.Type().Elem()))
		d.value(field, node, out.Elem())
	case reflect.Struct:
		d.structure(field, node, out)
	case reflect.Slice:
		d.slice(field, node, out)
	case reflect.Map:
		d.table(field, node, out)
	default:
		d.scalar(field, node, out)
	}
}

func (d *decoder) structure(field string, node ast.Node, out reflect.Value) {
	values, ok := mapping(node)
	if !ok {
		d.fault(InvalidValue, field, describe(node), "a mapping with the fields "+strings.Join(fieldNames(out.Type()), ", "))
		return
	}
	seen := make(map[string]bool, len(values))
	for _, v := range values {
		name := v.Key.GetToken().Value
		path := join(field, name)
		i := fieldIndex(out.Type(), name)
		switch {
		case i < 0:
			d.fault(UnknownField, path, describe(v.Value), "the fields "+strings.Join(fieldNames(out.Type()), ", "))
		case seen[name]:
			d.fault(InvalidValue, path, describe(v.Value), "a field that is set once")
		default:
			d.value(path, v.Value, out.Field(i))
		}
		seen[name] = true
	}
}

func (d *decoder) slice(field string, node ast.Node, out reflect.Value) {
	if node.Type() == ast.NullType {
		return
	}
	seq, ok := node.(*ast.SequenceNode)
	if !ok {
		d.fault(InvalidValue, field, describe(node), "a list")
		return
	}
	out.Set(reflect.MakeSlice(out.Type(), len(seq.Values), len(seq.Values)))
	for i, v := range seq.Values {
		d.value(field+"["+strconv.Itoa(i)+"]", v, out.Index(i))
	}
}

// table decodes a mapping whose keys are chosen by the writer of the file.
func (d *decoder) table(field string, node ast.Node, out reflect.Value) {
	if node.Type() == ast.NullType {
		return
	}
	values, ok := mapping(node)
	if !ok {
		d.fault(InvalidValue, field, describe(node), "a mapping")
		return
	}
	table := reflect.MakeMapWithSize(out.Type(), len(values))
	for _, v := range values {
		key := reflect.ValueOf(v.Key.GetToken().Value)
		path := join(field, key.String())
		if table.MapIndex(key).IsValid() {
			d.fault(InvalidValue, path, describe(v.Value), "a field that is set once")
			continue
		}
		entry := reflect.New(out.Type().Elem()).Elem()
		d.value(path, v.Value, entry)
		table.SetMapIndex(key, entry)
	}
	out.Set(table)
}

func (d *decoder) text(field string, node ast.Node, out encoding.TextUnmarshaler) {
	text, ok := scalarText(node)
	if !ok {
		d.fault(InvalidValue, field, describe(node), allowedText(out))
		return
	}
	if err := out.UnmarshalText([]byte(text)); err != nil {
		value := strconv.Quote(text)
		if _, hidden := out.(secret); hidden {
			value = HiddenValue
		}
		d.fault(InvalidValue, field, value, allowedText(out))
	}
}

func (d *decoder) scalar(field string, node ast.Node, out reflect.Value) {
	text, ok := scalarText(node)
	switch out.Kind() {
	case reflect.String:
		if !ok {
			d.fault(InvalidValue, field, describe(node), "text")
			return
		}
		out.SetString(text)
	case reflect.Bool:
		b, isBool := node.(*ast.BoolNode)
		if !isBool {
			d.fault(InvalidValue, field, describe(node), "true or false")
			return
		}
		out.SetBool(b.Value)
	case reflect.Float64:
		f, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil {
			d.fault(InvalidValue, field, describe(node), "a number")
			return
		}
		out.SetFloat(f)
	default:
		d.integer(field, node, out)
	}
}

func (d *decoder) integer(field string, node ast.Node, out reflect.Value) {
	n, ok := node.(*ast.IntegerNode)
	if !ok {
		d.fault(InvalidValue, field, describe(node), "an integer")
		return
	}
	bits := out.Type().Bits()
	if out.CanUint() {
		v, fits := n.Value.(uint64)
		if !fits || out.OverflowUint(v) {
			d.fault(InvalidValue, field, describe(node), "an integer from 0 to "+strconv.FormatUint(1<<bits-1, 10))
			return
		}
		out.SetUint(v)
		return
	}
	limit := int64(1)<<(bits-1) - 1
	v, fits := n.Value.(int64)
	if u, isUint := n.Value.(uint64); isUint && u <= uint64(limit) {
		v, fits = int64(u), true
	}
	if !fits || out.OverflowInt(v) {
		d.fault(InvalidValue, field, describe(node), fmt.Sprintf("an integer from %d to %d", -limit-1, limit))
		return
	}
	out.SetInt(v)
}

func mapping(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

// scalarText returns the text of a scalar as written in the input. Numbers are
// accepted as text, so that a hexadecimal key of only digits needs no quotes.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode:
		return n.GetToken().Value, true
	default:
		return "", false
	}
}

// describe returns the text that represents a node's value in a fault.
func describe(node ast.Node) string {
	if text, ok := scalarText(node); ok {
		return strconv.Quote(text)
	}
	switch node.Type() {
	case ast.NullType:
		return "null"
	case ast.SequenceType:
		return "a list"
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	default:
		return strconv.Quote(node.GetToken().Value)
	}
}

// HiddenValue replaces a secret value in a fault.
const HiddenValue = "(hidden)"

// secret is implemented by types whose values must not appear in faults.
type secret interface{ Hidden() }

// textDescriber is implemented by types that describe the text they accept.
type textDescriber interface{ AllowedText() string }

func allowedText(v any) string {
	if a, ok := v.(textDescriber); ok {
		return a.AllowedText()
	}
	switch reflect.TypeOf(v).Elem().String() {
	case "netip.Addr":
		return "an IPv4 or IPv6 address"
	case "netip.AddrPort":
		return "an IP address and port, such as 192.0.2.1:6080"
	default:
		return "text of type " + reflect.TypeOf(v).Elem().String()
	}
}

// join returns the path of a field. A long name is shortened, because the writer of the input may choose it.
func join(parent, name string) string {
	name = Abbreviate(name)
	if parent == "" {
		return name
	}
	return parent + "." + name
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func fieldIndex(t reflect.Type, name string) int {
	for i := range t.NumField() {
		if n := fieldName(t.Field(i)); n == name && n != "" && n != "-" {
			return i
		}
	}
	return -1
}

func fieldNames(t reflect.Type) []string {
	var names []string
	for i := range t.NumField() {
		if n := fieldName(t.Field(i)); n != "" && n != "-" {
			names = append(names, n)
		}
	}
	return names
}

// TopLevelFields returns the names of the fields of the outermost mapping, or
// nil when raw is not a mapping.
func TopLevelFields(raw []byte) []string {
	root, faults := parse(raw)
	if faults != nil {
		return nil
	}
	values, _ := mapping(root)
	var names []string
	for _, v := range values {
		names = append(names, v.Key.GetToken().Value)
	}
	return names
}
