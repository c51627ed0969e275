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

// readYAML returns the root node of the single document in text. Size, nesting
// depth and unsupported parts of YAML are checked on the token stream, before the
// recursive parser runs.
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

// unsupportedTokens lists the parts of YAML that are refused.
var unsupportedTokens = map[token.Type]string{
	token.AnchorType:     "an anchor",
	token.AliasType:      "an alias",
	token.TagType:        "a tag",
	token.MergeKeyType:   "a merge key",
	token.MappingKeyType: "a complex key",
	token.DirectiveType:  "a directive",
}

func checkTokens(tokens token.Tokens, limits Limits) *result.Error {
	nesting := nestingTracker{}
	for _, current := range tokens {
		if name, found := unsupportedTokens[current.Type]; found {
			return &result.Error{
				Code:   result.FileUnsupported,
				Line:   current.Position.Line,
				Detail: "the file uses " + name,
				Mend:   "Write the value out.",
			}
		}
		nesting.addToken(current)
		if nesting.depth() > limits.Depth {
			return &result.Error{
				Code:   result.FileTooDeep,
				Line:   current.Position.Line,
				Detail: fmt.Sprintf("the file is nested more than %d deep", limits.Depth),
				Mend:   "Flatten it.",
			}
		}
		if nesting.innermostKeyCount() > maxMappingKeys {
			return &result.Error{
				Code:   result.FileUnknownField,
				Line:   current.Position.Line,
				Detail: fmt.Sprintf("a mapping has more than %d fields", maxMappingKeys),
				Mend:   "Keep the fields of docs/FILES.md.",
			}
		}
	}
	return nil
}

// maxMappingKeys is the maximum number of fields of one mapping, more than any mapping
// of the file format has. The YAML parser's time is quadratic in the number
// of fields of a mapping.
const maxMappingKeys = 64

// nestingTracker tracks an upper bound of the nesting depth while it receives the tokens
// of a file: the number of open flow brackets plus the number of distinct columns at
// which the enclosing block entries and keys start.
type nestingTracker struct {
	flowLevels  []level
	blockLevels []level
}

// level is a list or mapping whose end has not been reached yet.
type level struct {
	column   int
	keyCount int
}

func (t *nestingTracker) depth() int { return len(t.flowLevels) + len(t.blockLevels) }

// innermostKeyCount returns the number of fields seen so far in the innermost mapping.
func (t *nestingTracker) innermostKeyCount() int {
	switch {
	case len(t.flowLevels) > 0:
		return t.flowLevels[len(t.flowLevels)-1].keyCount
	case len(t.blockLevels) > 0:
		return t.blockLevels[len(t.blockLevels)-1].keyCount
	default:
		return 0
	}
}

func (t *nestingTracker) addToken(current *token.Token) {
	switch current.Type {
	case token.MappingStartType, token.SequenceStartType:
		t.flowLevels = append(t.flowLevels, level{})
	case token.MappingEndType, token.SequenceEndType:
		t.flowLevels = t.flowLevels[:max(0, len(t.flowLevels)-1)]
	case token.SequenceEntryType:
		t.blockLevel(current.Position.Column).keyCount = 0
	case token.MappingValueType:
		t.addKey(current.Prev)
	}
}

func (t *nestingTracker) addKey(key *token.Token) {
	if len(t.flowLevels) > 0 {
		t.flowLevels[len(t.flowLevels)-1].keyCount++
		return
	}
	if key != nil {
		t.blockLevel(key.Position.Column).keyCount++
	}
}

// blockLevel returns the block level at a column, after closing the deeper levels. It
// creates the level if needed.
func (t *nestingTracker) blockLevel(column int) *level {
	for len(t.blockLevels) > 0 && t.blockLevels[len(t.blockLevels)-1].column > column {
		t.blockLevels = t.blockLevels[:len(t.blockLevels)-1]
	}
	if len(t.blockLevels) == 0 || t.blockLevels[len(t.blockLevels)-1].column < column {
		t.blockLevels = append(t.blockLevels, level{column: column})
	}
	return &t.blockLevels[len(t.blockLevels)-1]
}

// syntaxError converts an error of the YAML library. Its message is replaced if it
// quotes the file, because the quote could contain a secret.
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
