package snapshot

import (
	"reflect"
	"testing"

	"github.com/matryer/is"

	"github.com/springstack/springstack/internal/core/resource"
)

// services returns encoded services. paths maps service names to health paths.
func services(paths map[string]string) []resource.Encoded {
	file := &resource.File{Partner: "kameeldoring", Name: "file"}
	for name, path := range paths {
		file.Services = append(file.Services, resource.Service{Partner: file.Partner, Name: name, HealthPath: path})
	}
	return resource.Encode(file)
}

func TestRebuildDoesNotDependOnThePreviousSnapshot(t *testing.T) {
	is := is.New(t)
	before, err := Build(1, services(map[string]string{"a": "/a", "b": "/b", "d": "/d"}))
	is.NoErr(err)
	next := services(map[string]string{"b": "/b", "c": "/c", "d": "/changed", "e": "/e"})
	rebuiltFromScratch, err := Build(2, next)
	is.NoErr(err)
	rebuilt, err := Rebuild(before, 2, next)
	is.NoErr(err)
	is.True(reflect.DeepEqual(rebuilt, rebuiltFromScratch))
}

func TestRebuildDecodesAPayloadThatDiffersUnderAKnownDigest(t *testing.T) {
	is := is.New(t)
	encoded := services(map[string]string{"a": "/a"})
	before, err := Build(1, encoded)
	is.NoErr(err)
	altered := services(map[string]string{"a": "/a"})
	altered[0].Payload = services(map[string]string{"a": "/b"})[0].Payload
	_, err = Rebuild(before, 2, altered)
	is.True(err != nil)
}

func BenchmarkRebuildWithoutChanges(b *testing.B) {
	paths := map[string]string{}
	for i := range 1500 {
		paths["service-"+string(rune('a'+i%26))+string(rune('a'+i/26%26))+string(rune('a'+i/676))] = "/health"
	}
	encoded := services(paths)
	resource.SortEncoded(encoded)
	before, err := Build(1, encoded)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			_, _ = Build(2, encoded)
		}
	})
	b.Run("changed", func(b *testing.B) {
		for b.Loop() {
			_, _ = Rebuild(before, 2, encoded)
		}
	})
}
