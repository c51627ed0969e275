package settings

import (
	"cmp"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/springstack/springstack/internal/result"
)

// locator finds where a field was set.
type locator struct {
	document  document
	overrides []Override
}

// mistake describes a mistake in a field, at its place.
func (l locator) mistake(field, detail, mend string) *result.Error {
	mistake := &result.Error{
		Code:   result.SettingsInvalid,
		Field:  field,
		Detail: detail,
		Mend:   mend,
	}
	switch {
	case l.overridden(field):
		mistake.Detail += ", set by a flag"
	case l.document.path != "":
		mistake.File = l.document.path
		mistake.Line = l.line(field)
	}
	return mistake
}

// overridden tells whether a flag has set the field or something above it.
func (l locator) overridden(field string) bool {
	return slices.ContainsFunc(l.overrides, func(override Override) bool {
		return field == override.Field ||
			strings.HasPrefix(field, override.Field+fieldSeparator) ||
			strings.HasPrefix(field, override.Field+"[")
	})
}

// line returns the line of the field, or of the nearest section above it; 1
// when the file has neither.
func (l locator) line(field string) int {
	node := l.document.body
	line := 1
	for _, step := range splitField(field) {
		next, at := step.descend(node)
		if next == nil {
			break
		}
		node, line = next, at
	}
	return line
}

// fieldStep is one name or index of a field's path.
type fieldStep struct {
	name  string
	index int
}

// isIndex is the name of a step that is an index.
const isIndex = ""

// splitField splits a path such as operators.tokens[1].partner.
func splitField(field string) []fieldStep {
	var steps []fieldStep
	for _, part := range strings.Split(field, fieldSeparator) {
		name, indexes, _ := strings.Cut(part, "[")
		steps = append(steps, fieldStep{name: name})
		for _, text := range strings.FieldsFunc(indexes, func(r rune) bool { return r == '[' || r == ']' }) {
			if index, err := strconv.Atoi(text); err == nil {
				steps = append(steps, fieldStep{name: isIndex, index: index})
			}
		}
	}
	return steps
}

// descend returns the node that the step leads to, and its line.
func (s fieldStep) descend(node ast.Node) (ast.Node, int) {
	if s.name == isIndex {
		sequence, isSequence := node.(*ast.SequenceNode)
		if !isSequence || s.index < 0 || s.index >= len(sequence.Values) {
			return nil, 0
		}
		entry := sequence.Values[s.index]
		return entry, lineOf(entry)
	}
	for _, pair := range pairsOf(node) {
		if pair.Key.GetToken().Value == s.name {
			return pair.Value, lineOf(pair.Key)
		}
	}
	return nil, 0
}

// pairsOf returns the pairs of a mapping.
func pairsOf(node ast.Node) []*ast.MappingValueNode {
	switch mapping := node.(type) {
	case *ast.MappingNode:
		return mapping.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{mapping}
	default:
		return nil
	}
}

// lineOf returns the line on which a node starts; 0 when not known.
func lineOf(node ast.Node) int {
	if pairs := pairsOf(node); len(pairs) > 0 {
		node = pairs[0].Key
	}
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// sortMistakes orders mistakes by line and field.
func sortMistakes(mistakes []*result.Error) {
	slices.SortStableFunc(mistakes, func(a, b *result.Error) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), strings.Compare(a.Field, b.Field))
	})
}
