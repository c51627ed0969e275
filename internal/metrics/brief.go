package metrics

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// BriefHandler serves the metrics of springstack for systems that keep only the beginning of a
// scrape: without comments, the metrics of the process, samples of 0, and the buckets of
// histograms.
func BriefHandler(gatherer prometheus.Gatherer) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		families, err := gatherer.Gather()
		if err != nil {
			http.Error(writer, err.Error(), http.StatusInternalServerError)
			return
		}
		writer.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		buffered := bufio.NewWriter(writer)
		for _, family := range families {
			if strings.HasPrefix(family.GetName(), Prefix) {
				writeBriefFamily(buffered, family)
			}
		}
		_ = buffered.Flush() // fails only if the client has disconnected
	})
}

func writeBriefFamily(out io.Writer, family *dto.MetricFamily) {
	for _, metric := range family.GetMetric() {
		labels := formatLabels(metric.GetLabel())
		switch {
		case metric.GetHistogram() != nil:
			writeSample(out, family.GetName()+"_sum", labels, metric.GetHistogram().GetSampleSum())
			writeSample(out, family.GetName()+"_count", labels, float64(metric.GetHistogram().GetSampleCount()))
		case metric.GetGauge() != nil:
			writeSample(out, family.GetName(), labels, metric.GetGauge().GetValue())
		case metric.GetCounter() != nil:
			writeSample(out, family.GetName(), labels, metric.GetCounter().GetValue())
		}
	}
}

// writeSample writes one line, unless the value is 0.
func writeSample(out io.Writer, name, labels string, value float64) {
	if value != 0 {
		fmt.Fprintf(out, "%s%s %.6g\n", name, labels, value)
	}
}

// formatLabels returns labels in the text format of metrics; empty if there are none.
func formatLabels(labels []*dto.LabelPair) string {
	if len(labels) == 0 {
		return ""
	}
	pairs := make([]string, 0, len(labels))
	for _, label := range labels {
		pairs = append(pairs, fmt.Sprintf("%s=%q", label.GetName(), label.GetValue()))
	}
	return "{" + strings.Join(pairs, ",") + "}"
}
