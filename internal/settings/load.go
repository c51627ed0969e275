package settings

import (
	"os"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/juju/errors"
	"github.com/knadh/koanf/providers/confmap"
	"github.com/knadh/koanf/v2"

	"github.com/springstack/springstack/internal/result"
)

// MaxFileBytes bounds a settings file.
const MaxFileBytes = 256 << 10

// fieldSeparator joins the names of a field's path.
const fieldSeparator = "."

// Override replaces one field of the file, as flags do.
type Override struct {
	// Field is the path of the field, such as node.zone.
	Field string
	// Value is its text; the entries of a list are separated by commas.
	Value string
}

// Load reads a settings file, applies the overrides in order and returns the
// settings or every mistake found. An empty path means overrides alone.
func Load(path string, overrides []Override) (Settings, []*result.Error) {
	if path == "" {
		return Parse("", nil, overrides)
	}
	text, mistake := readFile(path)
	if mistake != nil {
		return Settings{}, []*result.Error{mistake}
	}
	return Parse(path, text, overrides)
}

// readFile reads a settings file of bounded size.
func readFile(path string) ([]byte, *result.Error) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > MaxFileBytes {
		return nil, tooLarge(path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &result.Error{
			Code:   result.SettingsInvalid,
			File:   path,
			Detail: "the file cannot be read: " + reason(err),
			Mend:   "give the path of a readable file with --settings",
		}
	}
	return text, nil
}

// reason returns the cause of a failed file operation without the path.
func reason(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err.Error()
	}
	return err.Error()
}

func tooLarge(path string) *result.Error {
	mistake := result.New(result.SettingsInvalid, "the file is larger than %d bytes", MaxFileBytes)
	mistake.File = path
	mistake.Mend = "remove what is not a setting"
	return mistake
}

// Parse is Load on the text of a file; path is used in messages only.
func Parse(path string, text []byte, overrides []Override) (Settings, []*result.Error) {
	return parse(path, text, overrides, Default(), checkTogether)
}

// parse reads settings of any type over their defaults. Together lists the
// mistakes that take more than one field to see.
func parse[T any](path string, text []byte, overrides []Override, defaults T, together func(T, locator) []*result.Error) (T, []*result.Error) {
	var none T
	if len(text) > MaxFileBytes {
		return none, []*result.Error{tooLarge(path)}
	}
	document, mistake := parseDocument(path, text)
	if mistake != nil {
		return none, []*result.Error{mistake}
	}
	tree := koanf.New(fieldSeparator)
	if mistake := document.load(tree); mistake != nil {
		return none, []*result.Error{mistake}
	}
	for _, override := range overrides {
		if mistake := override.load(tree); mistake != nil {
			return none, []*result.Error{mistake}
		}
	}
	locator := locator{document: document, overrides: overrides}
	settings, mistakes := decode(tree, locator, defaults)
	mistakes = append(mistakes, validateSettings(settings, locator, mistakes)...)
	mistakes = append(mistakes, together(settings, locator)...)
	if len(mistakes) > 0 {
		sortMistakes(mistakes)
		return none, mistakes
	}
	return settings, nil
}

// document is a parsed settings file.
type document struct {
	path string
	body ast.Node
	text []byte
}

// parseDocument parses the text and refuses YAML that settings never need.
func parseDocument(path string, text []byte) (document, *result.Error) {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return document{}, syntaxMistake(path, err)
	}
	parsed := document{path: path, text: text}
	if len(file.Docs) > 1 {
		return document{}, &result.Error{
			Code:   result.SettingsInvalid,
			File:   path,
			Line:   lineOf(file.Docs[1].Body),
			Detail: "the file holds more than one YAML document",
			Mend:   "keep one document",
		}
	}
	if len(file.Docs) == 1 {
		parsed.body = file.Docs[0].Body
	}
	if parsed.body != nil {
		finder := &unsupportedFinder{}
		ast.Walk(finder, parsed.body)
		if finder.found != nil {
			return document{}, &result.Error{
				Code:   result.SettingsInvalid,
				File:   path,
				Line:   lineOf(finder.found),
				Detail: "anchors, aliases, merge keys and tags are not taken",
				Mend:   "write the values out",
			}
		}
	}
	return parsed, nil
}

// unsupportedFinder finds the first node of a kind that settings don't take.
type unsupportedFinder struct{ found ast.Node }

// Visit implements ast.Visitor.
func (f *unsupportedFinder) Visit(node ast.Node) ast.Visitor {
	if f.found != nil {
		return nil
	}
	switch node.Type() {
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType, ast.TagType:
		f.found = node
		return nil
	}
	return f
}

// syntaxMistake tells where the YAML is wrong, without quoting the file.
func syntaxMistake(path string, err error) *result.Error {
	mistake := &result.Error{
		Code:   result.SettingsInvalid,
		File:   path,
		Detail: "the file is not valid YAML",
		Mend:   "correct the syntax at the line given",
	}
	var located yaml.Error
	if errors.As(err, &located) {
		mistake.Detail += ": " + located.GetMessage()
		if found := located.GetToken(); found != nil && found.Position != nil {
			mistake.Line = found.Position.Line
		}
	}
	return mistake
}

// load puts the document's values into the tree.
func (d document) load(tree *koanf.Koanf) *result.Error {
	if d.body == nil || d.body.Type() == ast.NullType {
		return nil
	}
	if d.body.Type() != ast.MappingType && d.body.Type() != ast.MappingValueType {
		return &result.Error{
			Code:   result.SettingsInvalid,
			File:   d.path,
			Line:   lineOf(d.body),
			Detail: "the file is not a mapping of sections",
			Mend:   "start it with a section such as node:",
		}
	}
	var values map[string]any
	if err := yaml.Unmarshal(d.text, &values); err != nil {
		return syntaxMistake(d.path, err)
	}
	if err := tree.Load(confmap.Provider(values, ""), nil); err != nil {
		return syntaxMistake(d.path, err)
	}
	return nil
}

// overrideText is the text of an override in the tree; the decoder turns it
// into the type of its field.
type overrideText string

// load puts the override into the tree.
func (o Override) load(tree *koanf.Koanf) *result.Error {
	values := map[string]any{o.Field: overrideText(o.Value)}
	if err := tree.Load(confmap.Provider(values, fieldSeparator), nil); err != nil {
		return &result.Error{
			Code:   result.SettingsInvalid,
			Field:  o.Field,
			Detail: "the override cannot be applied",
			Mend:   "name a field such as node.zone",
		}
	}
	return nil
}
