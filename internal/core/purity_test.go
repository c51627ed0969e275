// Package core_test holds all packages below to the rule that the core does no
// input or output, reads no clock, draws no unseeded randomness and starts no
// goroutine.
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
	// pureImports lie below a forbidden path but hold values only.
	pureImports = []string{"net/netip", "net/textproto", "math/rand/v2"}
	// forbiddenCalls are functions of packages that are allowed otherwise.
	forbiddenCalls = map[string][]string{
		"time":      {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
		"textproto": {"Dial", "NewConn", "NewReader", "NewWriter"},
		"rand":      {"Int", "IntN", "Int64", "Int64N", "Uint32", "Uint64", "Uint64N", "Float64", "Shuffle", "Perm", "N"},
	}
)

func TestTheCoreIsPure(t *testing.T) {
	files := 0
	err := filepath.WalkDir(".", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		set := token.NewFileSet()
		parsed, err := parser.ParseFile(set, path, nil, 0)
		if err != nil {
			return err
		}
		for _, fault := range faultsOf(parsed) {
			t.Errorf("%s: %s", set.Position(fault.at), fault.text)
		}
		return nil
	})
	if err != nil || files == 0 {
		t.Fatalf("%d files read: %v", files, err)
	}
}

// fault is one breach of the rule.
type fault struct {
	at   token.Pos
	text string
}

func faultsOf(file *ast.File) []fault {
	var faults []fault
	for _, imported := range file.Imports {
		path, _ := strconv.Unquote(imported.Path.Value)
		below := slices.ContainsFunc(forbiddenImports, func(name string) bool {
			return path == name || strings.HasPrefix(path, name+"/")
		})
		if below && !slices.Contains(pureImports, path) {
			faults = append(faults, fault{imported.Pos(), "imports " + path})
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		switch found := node.(type) {
		case *ast.GoStmt:
			faults = append(faults, fault{found.Pos(), "starts a goroutine"})
		case *ast.SelectorExpr:
			base, isName := found.X.(*ast.Ident)
			if isName && base.Obj == nil && slices.Contains(forbiddenCalls[base.Name], found.Sel.Name) {
				faults = append(faults, fault{found.Pos(), fmt.Sprintf("uses %s.%s", base.Name, found.Sel.Name)})
			}
		}
		return true
	})
	return faults
}

func TestThePurityCheckBites(t *testing.T) {
	const impure = `package p
import ("net"; "net/netip"; "os/exec"; "time"; "math/rand/v2")
func f() { go f(); _ = time.Now; _ = rand.IntN(3); _ = rand.New; _ = time.Second }`
	parsed, err := parser.ParseFile(token.NewFileSet(), "impure.go", impure, 0)
	if err != nil {
		t.Fatal(err)
	}
	if faults := faultsOf(parsed); len(faults) != 5 {
		t.Fatalf("found %v", faults)
	}
}
