package metrics

import (
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"

	"github.com/springstack/springstack/internal/doctest"
)

var metricName = regexp.MustCompile(`^springstack(_[a-z]+)+$`)

func TestDefinitionsAreDocumented(t *testing.T) {
	is := is.New(t)
	names := lo.Map(Definitions(), func(definition *Definition, _ int) string { return definition.Name })
	is.Equal(lo.FindDuplicates(names), []string{})
	rows := lo.Map(Definitions(), func(definition *Definition, _ int) []string {
		is.True(metricName.MatchString(definition.Name))
		is.Equal(definition.Kind == Counter, strings.HasSuffix(definition.Name, "_total"))
		return []string{
			"`" + definition.Name + "`", string(definition.Kind), strings.Join(definition.Labels, ", "),
			definition.Help, definition.Watch,
		}
	})
	table := doctest.Table([]string{"metric", "kind", "labels", "meaning", "look at it when"}, rows)
	doctest.Section(t, filepath.Join("..", "..", "docs", "OPERATIONS.md"), "metrics", table)
}

// every sends each metric once.
type every struct{}

func (every) Describe(chan<- *prometheus.Desc) {}

func (every) Collect(out chan<- prometheus.Metric) {
	for _, definition := range Definitions() {
		if definition.Kind != Histogram {
			definition.Send(out, 1, definition.Labels...)
		}
	}
}

func TestRegistryGathersEveryDefinition(t *testing.T) {
	is := is.New(t)
	families, err := NewRegistry(every{}, NewTimings().Collectors()...).Gather()
	is.NoErr(err)
	gathered := map[string]string{}
	for _, family := range families {
		gathered[family.GetName()] = strings.ToLower(family.GetType().String())
	}
	for _, definition := range Definitions() {
		is.Equal(gathered[definition.Name], string(definition.Kind))
	}
	_, ofProcess := gathered["go_goroutines"]
	is.True(ofProcess)
}
