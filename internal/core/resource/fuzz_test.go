package resource_test

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/springstack/springstack/internal/core/resource"
)

// FuzzParse checks that Parse does not panic, that it returns either a file or
// mistakes, and that the canonical encodings of a file decode to the same file.
func FuzzParse(f *testing.F) {
	f.Add([]byte("partner: p\nname: f\nservices: [{name: s, export_to: [q]}]\nsecrets:\n- name: s\n  value: |-\n    v\n"))
	f.Add([]byte("{partner: p, name: f, routes: [{name: r, match: {path: '/%61', headers: [{name: x, value: y}]}, split: [{service: q/s, weight: 2}]}]}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file, problems := resource.Parse("fuzz.yaml", text, resource.DefaultLimits())
		if (file == nil) == (len(problems) == 0) {
			t.Fatalf("file %v with mistakes %v", file, problems)
		}
		for _, problem := range problems {
			if problem.Detail == "" || problem.Mend == "" || problem.Line < 0 {
				t.Fatalf("incomplete mistake %+v", problem)
			}
		}
		if file == nil {
			return
		}
		again, err := resource.DecodeFile(resource.EncodeFile(file))
		if err != nil || !reflect.DeepEqual(again, file) {
			t.Fatalf("%v: %+v is not %+v", err, again, file)
		}
		for _, encoded := range resource.Encode(file) {
			if _, err := resource.Decode(encoded); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// FuzzDecodeFile checks that DecodeFile accepts canonical texts only.
func FuzzDecodeFile(f *testing.F) {
	for _, file := range exampleFiles(f) {
		f.Add(resource.EncodeFile(file))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		file, err := resource.DecodeFile(text)
		if err == nil && !bytes.Equal(resource.EncodeFile(file), text) {
			t.Fatalf("%q was read but is written otherwise", text)
		}
	})
}

// FuzzCanonicalPath checks that CanonicalPath is idempotent.
func FuzzCanonicalPath(f *testing.F) {
	for _, path := range []string{"/", "/a/%2e%2E;x", "/%C3%A9", "/a%20b", "//", "/%zz"} {
		f.Add(path)
	}
	f.Fuzz(func(t *testing.T, path string) {
		canonical, err := resource.CanonicalPath(path)
		if err != nil {
			return
		}
		again, err := resource.CanonicalPath(canonical)
		if err != nil || again != canonical {
			t.Fatalf("%q became %q, then %q, %v", path, canonical, again, err)
		}
	})
}
