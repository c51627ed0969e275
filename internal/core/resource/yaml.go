package resource

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/springstack/springstack/internal/result"
)

// readYAML returns the root of the only document in text. Size, depth and the
// parts of YAML that are refused are checked on the tokens, before anything
// recursive runs.
func readYAML(text []byte, limits Limits) (ast.Node, *result.Error) {
	if problem := checkText(text, limits); problem != nil {
		return nil, problem
	}
	tokens := lexer.Tokenize(string(text))
	if problem := checkTokens(tokens, limits); problem != nil {
		return nil, problem
	}
	parsed, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, syntaxError(err)
	}
	documents := 0
	var root ast.Node
	for _, document := range parsed.Docs {
		if document.Body == nil {
			continue
		}
		documents++
		root = document.Body
	}
	if documents == 0 {
		return nil, &result.Error{Code: result.FileSyntax, Line: 1, Detail: "the file is empty", Mend: "Write partner and name."}
	}
	if documents > 1 {
		return nil, &result.Error{Code: result.FileUnsupported, Line: lineOf(root), Detail: "the file has several documents", Mend: "Keep one document a file."}
	}
	return root, nil
}

func checkText(text []byte, limits Limits) *result.Error {
	if len(text) > limits.Bytes {
		return &result.Error{
			Code:   result.FileTooLarge,
			Detail: fmt.Sprintf("the file has %d bytes; the limit is %d", len(text), limits.Bytes),
			Mend:   "Split the file.",
		}
	}
	if !utf8.Valid(text) {
		return &result.Error{Code: result.FileSyntax, Line: 1, Detail: "the file is not UTF-8", Mend: "Save it as UTF-8."}
	}
	position := bytes.IndexFunc(text, func(r rune) bool { return r < ' ' && r != '\n' && r != '\r' && r != '\t' })
	if position >= 0 {
		return &result.Error{
			Code:   result.FileSyntax,
			Line:   1 + bytes.Count(text[:position], []byte("\n")),
			Detail: "the file has a control character",
			Mend:   "Remove it.",
		}
	}
	return nil
}

// unsupported names the parts of YAML that are refused.
var unsupported = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.TagType:        "a tag",
	token.MergeKeyType:   "a merge key",
	token.MappingKeyType: "a complex key",
	token.DirectiveType:  "a directive",
}

func checkTokens(tokens token.Tokens, limits Limits) *result.Error {
	measure := depthMeasure{}
	for _, current := range tokens {
		if name, found := unsupported[current.Type]; found {
			return &result.Error{
				Code:   result.FileUnsupported,
				Line:   current.Position.Line,
				Detail: "the file uses " + name,
				Mend:   "Write the value out.",
			}
		}
		if measure.add(current) > limits.Depth {
			return &result.Error{
				Code:   result.FileTooDeep,
				Line:   current.Position.Line,
				Detail: fmt.Sprintf("the file is nested more than %d deep", limits.Depth),
				Mend:   "Flatten it.",
			}
		}
	}
	return nil
}

// depthMeasure bounds the nesting from above while tokens go by: open flow
// brackets, and the distinct columns of block entries and keys around them.
type depthMeasure struct {
	flow    int
	columns []int
}

func (m *depthMeasure) add(current *token.Token) int {
	switch current.Type {
	case token.MappingStartType, token.SequenceStartType:
		m.flow++
	case token.MappingEndType, token.SequenceEndType:
		m.flow = max(0, m.flow-1)
	case token.SequenceEntryType:
		m.open(current.Position.Column)
	case token.MappingValueType:
		if current.Prev != nil && m.flow == 0 {
			m.open(current.Prev.Position.Column)
		}
	}
	return m.flow + len(m.columns)
}

func (m *depthMeasure) open(column int) {
	for len(m.columns) > 0 && m.columns[len(m.columns)-1] > column {
		m.columns = m.columns[:len(m.columns)-1]
	}
	if len(m.columns) == 0 || m.columns[len(m.columns)-1] < column {
		m.columns = append(m.columns, column)
	}
}

// syntaxError takes line and message of the YAML library's error. Its text may
// quote the file, so a quoting message is replaced.
func syntaxError(err error) *result.Error {
	problem := &result.Error{Code: result.FileSyntax, Line: 1, Detail: "the YAML can't be read", Mend: "Correct the syntax at the line given."}
	var syntax *yaml.SyntaxError
	if !errors.As(err, &syntax) {
		return problem
	}
	if syntax.Token != nil && syntax.Token.Position != nil {
		problem.Line = syntax.Token.Position.Line
	}
	if !strings.ContainsAny(syntax.Message, "\"'`") {
		problem.Detail = syntax.Message
	}
	return problem
}

func lineOf(node ast.Node) int {
	if node == nil || node.GetToken() == nil || node.GetToken().Position == nil {
		return 1
	}
	if mapping, isMapping := node.(*ast.MappingNode); isMapping && len(mapping.Values) > 0 {
		return mapping.Values[0].Key.GetToken().Position.Line
	}
	return node.GetToken().Position.Line
}
