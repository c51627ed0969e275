package resource

import (
	"fmt"
	"math"
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/springstack/springstack/internal/result"
)

// value is a YAML node with its position. The node is nil if the field is absent.
type value struct {
	*collector
	node ast.Node
	line int
	// path is the position of the value among the fields, such as routes[0].name.
	path string
}

func (v value) isPresent() bool { return v.node != nil }

func (v value) addMistake(code result.Code, mend string, format string, arguments ...any) {
	v.add(result.Error{Code: code, Line: v.line, Field: v.path, Detail: fmt.Sprintf(format, arguments...), Mend: mend})
}

func (v value) addWrongType(wanted string) {
	v.addMistake(result.FileWrongType, "Give "+wanted+".", "%s is wanted here, not %s", wanted, typeName(v.node))
}

func typeName(node ast.Node) string {
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number"
	case *ast.BoolNode:
		return "true or false"
	case *ast.NullNode:
		return "nothing"
	default:
		return "something else"
	}
}

// object is a mapping with its fields by name.
type object struct {
	value
	fields map[string]value
}

// object reads a mapping. Keys that are duplicates or not among allowedNames are reported
// as mistakes.
func (v value) object(allowedNames ...string) object {
	mapping := object{value: v, fields: map[string]value{}}
	if !v.isPresent() {
		return mapping
	}
	pairs, isMapping := pairsOf(v.node)
	if !isMapping {
		v.addWrongType("a mapping")
		mapping.node = nil
		return mapping
	}
	allowed := map[string]bool{}
	for _, name := range allowedNames {
		allowed[name] = true
	}
	for _, pair := range pairs {
		mapping.addField(pair, allowed)
	}
	return mapping
}

func pairsOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}, true
	default:
		return nil, false
	}
}

func (o object) addField(pair *ast.MappingValueNode, allowed map[string]bool) {
	key, isText := pair.Key.(*ast.StringNode)
	field := value{collector: o.collector, node: pair.Value, line: lineOf(pair.Key)}
	if !isText {
		field.path = o.path
		field.addMistake(result.FileWrongType, "Write a field name.", "a key is not text")
		return
	}
	field.path = join(o.path, key.Value)
	if !allowed[key.Value] {
		field.path = join(o.path, shorten(key.Value))
		field.addMistake(result.FileUnknownField, "Remove or rename it; docs/FILES.md lists the fields.", "the field is not known")
		return
	}
	if _, repeated := o.fields[key.Value]; repeated {
		field.addMistake(result.FileDuplicateName, "Keep one of the two.", "the field stands twice")
		return
	}
	o.fields[key.Value] = field
}

// optional returns a field, or a value without node if the field is absent.
func (o object) optional(name string) value {
	field, found := o.fields[name]
	if !found {
		return value{collector: o.collector, line: o.line, path: join(o.path, name)}
	}
	return field
}

// required returns a field and reports its absence as a mistake.
func (o object) required(name string) value {
	field := o.optional(name)
	if !field.isPresent() && o.isPresent() {
		field.addMistake(result.FileMissingField, "Add the field.", "the field is missing")
	}
	return field
}

// items reads a list of at most limit entries.
func (v value) items(limit int) []value {
	if !v.isPresent() {
		return nil
	}
	list, isList := v.node.(*ast.SequenceNode)
	if !isList {
		v.addWrongType("a list")
		return nil
	}
	if len(list.Values) > limit {
		v.addMistake(result.FileBadValue, "Shorten the list or split the file.", "the list has %d entries; at most %d are allowed", len(list.Values), limit)
		return nil
	}
	entries := make([]value, 0, len(list.Values))
	for i, node := range list.Values {
		entries = append(entries, value{collector: v.collector, node: node, line: lineOf(node), path: fmt.Sprintf("%s[%d]", v.path, i)})
	}
	return entries
}

// text reads a string. Numbers and booleans must be quoted.
func (v value) text() (string, bool) {
	switch node := v.node.(type) {
	case nil:
		return "", false
	case *ast.StringNode:
		return node.Value, true
	case *ast.LiteralNode:
		return node.Value.Value, true
	default:
		v.addWrongType("text")
		return "", false
	}
}

// integer reads a whole number from low to high.
func (v value) integer(low, high int) int {
	if !v.isPresent() {
		return 0
	}
	node, isInteger := v.node.(*ast.IntegerNode)
	if !isInteger {
		v.addWrongType("a whole number")
		return 0
	}
	number := int64(math.MaxInt64)
	switch parsed := node.Value.(type) {
	case int64:
		number = parsed
	case uint64:
		number = int64(min(parsed, math.MaxInt64))
	}
	if number < int64(low) || number > int64(high) {
		v.addMistake(result.FileBadValue, fmt.Sprintf("Give a number from %d to %d.", low, high), "the number is out of range")
		return 0
	}
	return int(number)
}

// boolean reads true or false; nil means absent.
func (v value) boolean() *bool {
	if !v.isPresent() {
		return nil
	}
	node, isBool := v.node.(*ast.BoolNode)
	if !isBool {
		v.addWrongType("true or false")
		return nil
	}
	parsed := node.Value
	return &parsed
}

// duration reads a duration such as 500ms or 2s, from low to high.
func (v value) duration(low, high time.Duration) time.Duration {
	text, isText := v.text()
	if !isText {
		return 0
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		v.addMistake(result.FileBadValue, "Write a number and a unit, such as 500ms or 2s.", "%q is not a duration", shorten(text))
		return 0
	}
	if parsed < low || parsed > high {
		v.addMistake(result.FileBadValue, fmt.Sprintf("Give a duration from %s to %s.", low, high), "the duration is out of range")
		return 0
	}
	return parsed
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxQuoted is the maximum number of bytes that an error quotes from a file.
const maxQuoted = 64

func shorten(text string) string {
	if len(text) <= maxQuoted {
		return text
	}
	return text[:maxQuoted] + "..."
}
