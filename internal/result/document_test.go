package result

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/doctest"
)

func TestTableIsDocumented(t *testing.T) {
	rows := lo.Map(Entries(), func(entry Entry, _ int) []string {
		return []string{
			fmt.Sprint(int(entry.Code)),
			"`" + entry.Name + "`",
			string(entry.Ran),
			fmt.Sprint(entry.Exit),
			fmt.Sprint(entry.HTTPStatus),
			entry.Meaning,
			entry.Mend,
		}
	})
	table := doctest.Table([]string{"code", "name", "ran", "exit", "HTTP", "meaning", "what to do"}, rows)
	doctest.Section(t, filepath.Join("..", "..", "docs", "RESULT-CODES.md"), "codes", table)
}

var entryNamePattern = regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)

func TestEntriesAreComplete(t *testing.T) {
	is := is.New(t)
	names := map[string]bool{}
	previous := Code(-1)
	for _, entry := range Entries() {
		is.True(entry.Code > previous) // unique and ascending
		previous = entry.Code
		is.True(entryNamePattern.MatchString(entry.Name))
		is.True(!names[entry.Name])
		names[entry.Name] = true
		is.True(entry.Meaning != "" && entry.Mend != "")
		is.True(entry.Ran == RanYes || entry.Ran == RanNo || entry.Ran == RanUnknown)
		is.True(entry.HTTPStatus >= 200 && entry.HTTPStatus < 600)
		is.Equal(entry.Exit == 0, entry.HTTPStatus < 300) // both or neither report success
	}
}

// TestEveryConstantHasAnEntry compares the number of constants in codes.go with
// the number of entries.
func TestEveryConstantHasAnEntry(t *testing.T) {
	is := is.New(t)
	file, err := parser.ParseFile(token.NewFileSet(), "codes.go", nil, 0)
	is.NoErr(err)
	declared := 0
	ast.Inspect(file, func(node ast.Node) bool {
		if value, isValue := node.(*ast.ValueSpec); isValue {
			declared += len(value.Names)
		}
		return true
	})
	is.Equal(declared, len(Entries()))
}

func TestErrorTextContainsPlaceAndRemedy(t *testing.T) {
	is := is.New(t)
	problem := &Error{Code: FileBadValue, File: "a.yaml", Line: 3, Field: "routes[0].timeout", Detail: "too long", Mend: "give less"}
	is.Equal(problem.Error(), "springstack-104 file_bad_value a.yaml:3 routes[0].timeout: too long (give less)")
	is.Equal(Code(12345).Name(), "unlisted")
}
