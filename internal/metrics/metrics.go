// Package metrics declares the names of all metrics of a daemon, which are
// stable, and builds their registry. The daemon's collector sends the values.
package metrics

import (
	"slices"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// Prefix starts the names of all metrics of springstack.
const Prefix = "springstack_"

// Kind tells gauges and counters apart.
type Kind string

// The kinds of metrics.
const (
	Gauge   Kind = "gauge"
	Counter Kind = "counter"
	// Histogram counts durations by buckets.
	Histogram Kind = "histogram"
)

// Definition describes one metric.
type Definition struct {
	// Name is the whole name, Prefix included.
	Name string
	Kind Kind
	// Help is one sentence on what is measured, with its unit.
	Help string
	// Watch tells an operator what to look for; empty for nothing.
	Watch string
	// Labels are the names of the labels.
	Labels []string

	description *prometheus.Desc
}

// definitions collects what define has made, in order.
var definitions []*Definition

// define declares a metric.
func define(kind Kind, name, help, watch string, labels ...string) *Definition {
	definition := &Definition{
		Name:        Prefix + name,
		Kind:        kind,
		Help:        help,
		Watch:       watch,
		Labels:      labels,
		description: prometheus.NewDesc(Prefix+name, help, labels, nil),
	}
	definitions = append(definitions, definition)
	return definition
}

// Definitions returns all metrics in the order of their declaration.
func Definitions() []*Definition { return slices.Clone(definitions) }

// Send sends the present value; labels are values in the order of Labels.
func (d *Definition) Send(out chan<- prometheus.Metric, value float64, labels ...string) {
	valueType := prometheus.GaugeValue
	if d.Kind == Counter {
		valueType = prometheus.CounterValue
	}
	out <- prometheus.MustNewConstMetric(d.description, valueType, value, labels...)
}

// NewRegistry returns a registry of collectors, and of the process's own
// metrics.
func NewRegistry(collector prometheus.Collector, more ...prometheus.Collector) *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		collector,
	)
	registry.MustRegister(more...)
	return registry
}
