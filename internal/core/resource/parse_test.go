package resource_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
	"github.com/springstack/springstack/internal/result"
)

func parse(text string) (*resource.File, []*result.Error) {
	return resource.Parse("test.yaml", []byte(text), resource.DefaultLimits())
}

func exampleFiles(t testing.TB) []*resource.File {
	t.Helper()
	paths, err := filepath.Glob("../../../examples/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no examples: %v", err)
	}
	var files []*resource.File
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		file, problems := resource.Parse(path, text, resource.DefaultLimits())
		for _, problem := range problems {
			t.Error(problem)
		}
		files = append(files, file)
	}
	return files
}

func TestExamplesParseAndReferToEachOther(t *testing.T) {
	check := is.New(t)
	files := exampleFiles(t)
	check.Equal(resource.MissingReferences(files), nil)
	for _, file := range files {
		if file.Name != "timesheets" {
			continue
		}
		check.Equal(file.Distribution, resource.Distribution{Prefer: resource.PreferBytes, BatchWindow: 500 * time.Millisecond})
		check.Equal(file.Routes[1].Split[0].Service, resource.ServiceRef{Partner: "kameeldoring", Name: "roast-schedule"})
	}
}

func TestCanonicalEncodingsRoundTrip(t *testing.T) {
	check := is.New(t)
	for _, file := range exampleFiles(t) {
		decoded, err := resource.DecodeFile(resource.EncodeFile(file))
		check.NoErr(err)
		check.Equal(decoded, file)
		for _, encoded := range resource.Encode(file) {
			decodedResource, err := resource.Decode(encoded)
			check.NoErr(err)
			check.Equal(decodedResource.Key(), encoded.Key)
		}
	}
}

func TestDecodeRefusesNonCanonicalPayloads(t *testing.T) {
	check := is.New(t)
	encoded := resource.Encode(exampleFiles(t)[0])[0]
	for _, corrupt := range []func([]byte) []byte{
		func(payload []byte) []byte { return append([]byte(" "), payload...) },
		func(payload []byte) []byte { return bytes.Replace(payload, []byte("{"), []byte(`{"new":1,`), 1) },
		func(payload []byte) []byte { return append(bytes.Clone(payload), payload...) },
	} {
		corrupted := encoded
		corrupted.Payload = corrupt(encoded.Payload)
		_, err := resource.Decode(corrupted)
		check.True(err != nil) // the digest does not match
		corrupted.Digest = resource.DigestOf(corrupted.Payload)
		_, err = resource.Decode(corrupted)
		check.True(err != nil) // the digest matches, but the payload is not canonical
	}
	renamed := encoded
	renamed.Key.Name = "other"
	_, err := resource.Decode(renamed)
	check.True(err != nil)
}

// TestMistakes checks the code, line and field that are reported for each kind of
// mistake.
func TestMistakes(t *testing.T) {
	const head = "partner: kameeldoring\nname: routes\n"
	const route = head + "routes:\n  - name: renew\n    match: {path: /r}\n    split: [{service: s}]\n"
	cases := []struct {
		name, text, field string
		code              result.Code
		line              int
	}{
		{"empty", "", "", result.FileSyntax, 1},
		{"syntax", head + "services: [", "", result.FileSyntax, 3},
		{"not utf8", head + "# \xff", "", result.FileSyntax, 1},
		{"control character", head + "# \x00", "", result.FileSyntax, 3},
		{"unknown field", head + "colour: red\n", "colour", result.FileUnknownField, 3},
		{"unknown nested field", route + "    retries: 3\n", "routes[0].retries", result.FileUnknownField, 7},
		{"field twice", head + "name: again\n", "name", result.FileDuplicateName, 3},
		{"missing partner", "name: x\n", "partner", result.FileMissingField, 1},
		{"wrong type", head + "services: 3\n", "services", result.FileWrongType, 3},
		{"number for text", "partner: 12\nname: x\n", "partner", result.FileWrongType, 1},
		{"bad name", "partner: Kameel\nname: x\n", "partner", result.FileBadValue, 1},
		{"name twice", head + "services:\n  - name: s\n  - name: s\n", "services[1]", result.FileDuplicateName, 5},
		{"anchor", head + "services: &a []\n", "", result.FileUnsupported, 3},
		{"alias", head + "services: *a\n", "", result.FileUnsupported, 3},
		{"tag", head + "services: !!str x\n", "", result.FileUnsupported, 3},
		{"two documents", head + "---\n" + head, "", result.FileUnsupported, 4},
		{"flow depth", head + "services: " + strings.Repeat("[", 20) + strings.Repeat("]", 20), "", result.FileTooDeep, 3},
		{"block depth", head + "services: \n  " + strings.Repeat("- ", 20) + "x\n", "", result.FileTooDeep, 4},
		{"size", head + strings.Repeat("# padding\n", 30_000), "", result.FileTooLarge, 0},
		{"many fields", head + strings.Repeat("x: y\n", 100), "", result.FileUnknownField, 65},
		{"many flow fields", head + "services: [{" + strings.Repeat("x: y, ", 100) + "}]\n", "", result.FileUnknownField, 3},
		{"duration", route + "    timeout: 5\n", "routes[0].timeout", result.FileWrongType, 7},
		{"duration range", route + "    timeout: 48h\n", "routes[0].timeout", result.FileBadValue, 7},
		{"target range", route + "    target: 0s\n", "routes[0].target", result.FileBadValue, 7},
		{"attempts", route + "    retry_attempts: 0\n", "routes[0].retry_attempts", result.FileBadValue, 7},
		{"priority", route + "    priority: urgent\n", "routes[0].priority", result.FileBadValue, 7},
		{"reserved header", route + "    request_key_header: springstack-request\n", "routes[0].request_key_header", result.FileBadValue, 7},
		{"window without bytes", head + "distribution: {batch_window: 1s}\n", "distribution.batch_window", result.FileBadValue, 3},
		{"export to self", head + "services: [{name: s, export_to: [kameeldoring]}]\n", "services[0].export_to[0]", result.FileBadValue, 3},
		{"address by name", head + "backends: [{name: b, service: s, address: 'host:1', region: r, zone: z, slots: 1}]\n", "backends[0].address", result.FileBadValue, 3},
		{"escaped slash", head + "services: [{name: s, health_path: /a%2Fb}]\n", "services[0].health_path", result.FileBadValue, 3},
	}
	for _, example := range cases {
		t.Run(example.name, func(t *testing.T) {
			check := is.New(t)
			_, problems := parse(example.text)
			check.Equal(len(problems), 1)
			check.Equal(problems[0].Code, example.code)
			check.Equal(problems[0].Line, example.line)
			check.Equal(problems[0].Field, example.field)
			check.Equal(problems[0].File, "test.yaml")
			check.True(problems[0].Detail != "" && problems[0].Mend != "")
		})
	}
}

func TestAllMistakesAreReportedInLineOrder(t *testing.T) {
	check := is.New(t)
	_, problems := parse("partner: A\nservices:\n  - nme: x\nroutes:\n  - name: r\n    match: {}\n    split: []\n")
	lines := []int{}
	for _, problem := range problems {
		lines = append(lines, problem.Line)
	}
	check.Equal(lines, []int{1, 1, 3, 3, 6, 7})
}

func TestMistakesNeverQuoteSecrets(t *testing.T) {
	check := is.New(t)
	const hidden = "hunter2"
	for _, text := range []string{
		"partner: p\nname: f\nsecrets:\n  - name: s\n    value: \"" + hidden + "\\n\"\n",
		"partner: p\nname: f\nsecrets:\n  - name: s\n    value: [" + hidden + "]\n",
		"partner: p\nname: f\nsecrets:\n  - name: s\n    value: '" + hidden + "\n",
	} {
		_, problems := parse(text)
		check.True(len(problems) > 0)
		for _, problem := range problems {
			check.True(!strings.Contains(problem.Error(), hidden))
		}
	}
}
