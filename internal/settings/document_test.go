package settings

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/doctest"
)

func TestSettingsAreDocumented(t *testing.T) {
	documented(t, "settings", reflect.ValueOf(Default()))
}

func TestHostedSettingsAreDocumented(t *testing.T) {
	documented(t, "hosted", reflect.ValueOf(DefaultHosted()))
}

// documented holds a section of the page equal to the fields of settings.
func documented(t *testing.T, section string, defaults reflect.Value) {
	t.Helper()
	is := is.New(t)
	comments := fieldComments(t)
	var rows [][]string
	describe(defaults, "", func(field reflect.StructField, path string, value reflect.Value) {
		owner := strings.TrimSuffix(path, fieldSeparator+field.Tag.Get("koanf"))
		comment := comments[owner+fieldSeparator+field.Name]
		is.True(comment != "") // a field without a comment
		rows = append(rows, []string{"`" + path + "`", typeName(field.Type), defaultOf(value), rulesOf(field), comment})
	})
	table := doctest.Table([]string{"field", "type", "default", "rules", "meaning"}, rows)
	doctest.Section(t, filepath.Join("..", "..", "docs", "SETTINGS.md"), section, table)
}

// describe visits all fields that are not sections.
func describe(section reflect.Value, prefix string, visit func(reflect.StructField, string, reflect.Value)) {
	for _, field := range reflect.VisibleFields(section.Type()) {
		path := prefix + field.Tag.Get("koanf")
		value := section.FieldByIndex(field.Index)
		switch {
		case field.Type.Kind() == reflect.Struct:
			describe(value, path+fieldSeparator, visit)
		case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			visit(field, path, value)
			describe(reflect.New(field.Type.Elem()).Elem(), path+"[]"+fieldSeparator, visit)
		default:
			visit(field, path, value)
		}
	}
}

func defaultOf(value reflect.Value) string {
	if value.IsZero() {
		return ""
	}
	return fmt.Sprint(value.Interface())
}

func rulesOf(field reflect.StructField) string {
	rules := strings.ReplaceAll(field.Tag.Get("validate"), "omitempty,", "")
	rules = strings.NewReplacer("required_with=", "required with ", "dive", "each", ",", ", ", "=", " ").Replace(rules)
	return strings.ToLower(rules)
}

// fieldComments returns the comments of all fields, by section path and Go name.
func fieldComments(t *testing.T) map[string]string {
	comments := map[string]string{}
	for _, name := range []string{"settings.go", "hosted.go"} {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.ParseComments)
		is.New(t).NoErr(err)
		addComments(file, sectionNames(), comments)
	}
	return comments
}

// sectionNames are the sections by the names of their types.
func sectionNames() map[string]string {
	sections := map[string]string{"Token": "operators.tokens[]"}
	for _, whole := range []reflect.Type{reflect.TypeFor[Settings](), reflect.TypeFor[Hosted]()} {
		for _, field := range reflect.VisibleFields(whole) {
			sections[field.Type.Name()] = field.Tag.Get("koanf")
		}
	}
	return sections
}

// addComments collects the comments on the fields of sections.
func addComments(file *ast.File, sections, comments map[string]string) {
	ast.Inspect(file, func(node ast.Node) bool {
		declared, isType := node.(*ast.TypeSpec)
		if !isType {
			return true
		}
		structure, isStruct := declared.Type.(*ast.StructType)
		if !isStruct {
			return false
		}
		for _, field := range structure.Fields.List {
			for _, name := range field.Names {
				key := sections[declared.Name.Name] + fieldSeparator + name.Name
				comments[key] = strings.Join(strings.Fields(field.Doc.Text()), " ")
			}
		}
		return false
	})
}

func TestDocumentedExampleIsTaken(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "SETTINGS.md"))
	is.NoErr(err)
	_, rest, found := strings.Cut(string(page), "```yaml\n")
	is.True(found)
	example, _, found := strings.Cut(rest, "```")
	is.True(found)
	_, mistakes := Parse("example", []byte(example), nil)
	is.Equal(mistakes, nil)
}
