package ledger_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/springstack/springstack/internal/core/ledger"
	"github.com/springstack/springstack/internal/core/protocol"
	"github.com/springstack/springstack/internal/core/resource"
	_ "github.com/springstack/springstack/internal/fixedseed"
	"github.com/springstack/springstack/internal/result"
)

// drawBody draws a small file. It uses few names, so that files refer to each
// other, declare the same names and remove what others need.
func drawBody(t *rapid.T, partner string) string {
	other := map[string]string{"a": "b", "b": "a"}[partner]
	names := []string{"x", "y", "z"}
	var services, routes, secrets []string
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 2, rapid.ID).Draw(t, "services") {
		export := rapid.SampledFrom([]string{"", other}).Draw(t, "export")
		services = append(services, fmt.Sprintf("{name: %s, export_to: [%s]}", name, export))
	}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 1, rapid.ID).Draw(t, "secrets") {
		secrets = append(secrets, fmt.Sprintf("{name: %s, value: v}", name))
	}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, 2, rapid.ID).Draw(t, "routes") {
		target := rapid.SampledFrom([]string{partner, other}).Draw(t, "owner") + "/" + rapid.SampledFrom(names).Draw(t, "target")
		secret := rapid.SampledFrom([]string{"", ", secret: {name: x, header: X-Secret}"}).Draw(t, "secret")
		routes = append(routes, fmt.Sprintf("{name: %s, match: {path: /%s}, split: [{service: %s}]%s}", name, name, target, secret))
	}
	return fmt.Sprintf("services: [%s]\nsecrets: [%s]\nroutes: [%s]\n",
		strings.Join(services, ", "), strings.Join(secrets, ", "), strings.Join(routes, ", "))
}

// TestAcceptanceInvariants applies random changes and checks the whole state
// after each. It uses the full reference check, whereas Apply checks only what
// has changed.
func TestAcceptanceInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newChain(t)
		for range rapid.IntRange(1, 25).Draw(t, "changes") {
			partner := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "partner")
			key := partner + "/" + rapid.SampledFrom([]string{"f", "g", "h"}).Draw(t, "file")
			action := rapid.SampledFrom([]protocol.Action{protocol.ActionSubmit, protocol.ActionReplace, protocol.ActionWithdraw}).Draw(t, "action")
			before, catalogue := c.head, ledger.Catalogue(c.head, c.contents)
			reply := c.apply(action, key, drawBody(t, partner))
			checkStep(t, c, before, catalogue, reply)
			checkState(t, c)
		}
	})
}

func checkStep(t *rapid.T, c *chain, before *ledger.Head, catalogue []resource.Encoded, reply *protocol.SubmitReply) {
	accepted := reply.Code == result.OK || reply.Code == result.Held
	if accepted == (c.head == before) {
		t.Fatalf("code %d, but head changed: %v", reply.Code, c.head != before)
	}
	if accepted != (len(reply.Errors) == 0) {
		t.Fatalf("code %d with errors %v", reply.Code, reply.Errors)
	}
	increase := c.head.Version - before.Version
	changed := !reflect.DeepEqual(catalogue, ledger.Catalogue(c.head, c.contents))
	if increase > 1 || changed && increase != 1 {
		t.Fatalf("version %d follows version %d; catalogue changed: %v", c.head.Version, before.Version, changed)
	}
}

func checkState(t *rapid.T, c *chain) {
	var accepted []*resource.File
	for _, entry := range c.head.Files {
		if entry.Accepted != nil {
			accepted = append(accepted, c.contents[entry.Accepted.Digest])
		}
	}
	if missing := resource.MissingReferences(accepted); len(missing) > 0 {
		t.Fatalf("accepted files have missing references: %v", missing)
	}
	catalogue := ledger.Catalogue(c.head, c.contents)
	if distinct := slices.CompactFunc(slices.Clone(catalogue), func(a, b resource.Encoded) bool { return a.Key == b.Key }); len(distinct) != len(catalogue) {
		t.Fatalf("the catalogue has two resources with the same key")
	}
	for _, entry := range c.head.Files {
		if entry.Held != nil {
			checkHeld(t, c, entry, accepted)
		}
	}
	if len(c.contents) != len(c.head.Digests()) || len(ledger.MissingContents(c.head, c.contents)) > 0 {
		t.Fatalf("contents are not exactly those that the head refers to")
	}
	decoded, err := ledger.Decode(ledger.Encode(c.head))
	if err != nil || !reflect.DeepEqual(ledger.Encode(decoded), ledger.Encode(c.head)) {
		t.Fatalf("the head changed in a round trip through its encoding: %v", err)
	}
}

// checkHeld checks that a held file has to wait: accepting it alone would leave
// references missing, and it lists what it waits for.
func checkHeld(t *rapid.T, c *chain, entry ledger.FileEntry, accepted []*resource.File) {
	file := c.contents[entry.Held.Digest]
	acceptedWithFile := []*resource.File{file}
	for _, other := range accepted {
		if other.Key() != file.Key() {
			acceptedWithFile = append(acceptedWithFile, other)
		}
	}
	if len(resource.MissingReferences(acceptedWithFile)) == 0 {
		t.Fatalf("%s is held but has no missing references", entry.Key())
	}
	if len(entry.Held.WaitsFor) == 0 {
		t.Fatalf("%s is held but WaitsFor is empty", entry.Key())
	}
}
