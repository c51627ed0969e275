package logging

import (
	"bytes"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/doctest"
)

func TestOneLineAnEvent(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := NewTo(&out, log.InfoLevel)
	logger.WithFields(log.Fields{
		"zone": "klein hall", "error": errors.New("broken\npipe"), "level": "x", "n": 7, "wait": 2 * time.Second,
	}).Info("parent_lost")
	line := out.String()
	is.True(strings.HasPrefix(line, "time="))
	_, rest, _ := strings.Cut(line, " ")
	is.Equal(rest, `level=warn event=parent_lost error="broken\npipe" field_level=x n=7 wait=2s zone="klein hall"`+"\n")
}

func TestLevelsAreThoseOfTheEvents(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	logger := NewTo(&out, log.WarnLevel)
	logger.Info("node_started")
	is.Equal(out.Len(), 0)
	logger.Info("head_deleted")
	logger.Error("node_started") // a call may raise the level
	is.Equal(strings.Count(out.String(), "level=error"), 2)
}

func TestSecretsAreNotWritten(t *testing.T) {
	const text = "hunter2"
	secret := resource.SecretValue(text)
	type hidden struct{ value resource.SecretValue }
	values := map[string]any{
		"value":   secret,
		"pointer": &secret,
		"struct":  resource.Secret{Name: "card", Value: secret},
		"hidden":  hidden{value: secret},
		"slice":   []resource.SecretValue{secret},
		"map":     map[string]resource.SecretValue{"a": secret},
		"bytes":   []byte(text),
	}
	for name, value := range values {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			NewTo(&out, log.DebugLevel).WithField("field", value).Info("node_started")
			is.True(strings.Contains(out.String(), "field="))
			is.True(!strings.Contains(out.String(), text))
		})
	}
}

func TestEventsAreOrderedAndDocumented(t *testing.T) {
	is := is.New(t)
	names := lo.Map(Events(), func(event Event, _ int) string { return event.Name })
	is.True(slices.IsSorted(names))
	is.Equal(lo.FindDuplicates(names), []string{})
	rows := lo.Map(Events(), func(event Event, _ int) []string {
		return []string{"`" + event.Name + "`", event.Level.String(), event.Meaning, event.Action}
	})
	table := doctest.Table([]string{"event", "level", "meaning", "what to do"}, rows)
	doctest.Section(t, filepath.Join("..", "..", "docs", "OPERATIONS.md"), "events", table)
}

// eventName is the form of event names in code.
var eventName = regexp.MustCompile(`^[a-z]+(_[a-z]+)+$`)

// TestEventsAreThoseOfTheCode finds the names that the code writes: the first
// argument of calls of log, event, Event, logEvent, trace and traceGate.
func TestEventsAreThoseOfTheCode(t *testing.T) {
	is := is.New(t)
	written := map[string]bool{}
	is.NoErr(filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if name, found := eventOf(node); found {
				written[name] = true
			}
			return true
		})
		return nil
	}))
	listed := lo.Map(Events(), func(event Event, _ int) string { return event.Name })
	unlisted, unwritten := lo.Difference(lo.Keys(written), listed)
	slices.Sort(unlisted)
	is.Equal(unlisted, []string{})  // written by the code, missing in events.go
	is.Equal(unwritten, []string{}) // in events.go, written nowhere
}

// eventOf returns the event name that a node writes.
func eventOf(node ast.Node) (string, bool) {
	call, isCall := node.(*ast.CallExpr)
	if !isCall || len(call.Args) == 0 {
		return "", false
	}
	selector, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector || !slices.Contains([]string{"log", "event", "Event", "logEvent", "trace", "traceGate"}, selector.Sel.Name) {
		return "", false
	}
	literal, isLiteral := call.Args[0].(*ast.BasicLit)
	if !isLiteral || literal.Kind != token.STRING {
		return "", false
	}
	name, err := strconv.Unquote(literal.Value)
	return name, err == nil && eventName.MatchString(name)
}
