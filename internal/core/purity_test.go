// Package core_test checks that the packages below internal/core are pure: they
// do no input or output, read no clock, use no unseeded randomness and start no
// goroutines.
package core_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var (
	forbiddenImports = []string{"net", "os", "log", "io/ioutil", "crypto/rand", "math/rand", "github.com/apex/log"}
	// allowedImports are exceptions below a forbidden path: packages that are
	// pure, at least without forbiddenCalls.
	allowedImports = []string{"net/netip", "net/textproto", "math/rand/v2"}
	// forbiddenCalls are forbidden functions of allowed packages, by package name.
	forbiddenCalls = map[string][]string{
		"time":      {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
		"textproto": {"Dial", "NewConn", "NewReader", "NewWriter"},
		"rand":      {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Uint64N", "Float64", "Shuffle", "Perm", "N"},
	}
)

func TestCoreIsPure(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		fileSet := token.NewFileSet()
		parsed, err := parser.ParseFile(fileSet, path, nil, 0)
		if err != nil {
			return err
		}
		for _, found := range findViolations(parsed) {
			t.Errorf("%s: %s", fileSet.Position(found.position), found.text)
		}
		return nil
	})
	if err != nil || files == 0 {
		t.Fatalf("%d files read: %v", files, err)
	}
}

// violation is one impure import, call or statement.
type violation struct {
	position token.Pos
	text     string
}

func findViolations(file *ast.File) []violation {
	var violations []violation
	for _, imported := range file.Imports {
		path, _ := strconv.Unquote(imported.Path.Value)
		isForbidden := slices.ContainsFunc(forbiddenImports, func(name string) bool {
			return path == name || strings.HasPrefix(path, name+"/")
		})
		if isForbidden && !slices.Contains(allowedImports, path) {
			violations = append(violations, violation{imported.Pos(), "imports " + path})
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch found := node.(type) {
		case *ast.GoStmt:
			violations = append(violations, violation{found.Pos(), "starts a goroutine"})
		case *ast.SelectorExpr:
			base, isName := found.X.(*ast.Ident)
			if isName && base.Obj == nil && slices.Contains(forbiddenCalls[base.Name], found.Sel.Name) {
				violations = append(violations, violation{found.Pos(), fmt.Sprintf("uses %s.%s", base.Name, found.Sel.Name)})
			}
		}
		return true
	})
	return violations
}

func TestPurityCheckFindsViolations(t *testing.T) {
	const impure = `package p
import ("net"; "net/netip"; "os/exec"; "time"; "math/rand/v2")
func f() { go f(); _ = time.Now; _ = rand.IntN(3); _ = rand.New; _ = time.Second }`
	parsed, err := parser.ParseFile(token.NewFileSet(), "impure.go", impure, 0)
	if err != nil {
		t.Fatal(err)
	}
	if violations := findViolations(parsed); len(violations) != 5 {
		t.Fatalf("found %v", violations)
	}
}
