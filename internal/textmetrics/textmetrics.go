// Package textmetrics serves expvar values in the text formats of Prometheus. They are converted at each scrape.
package textmetrics

import (
	"encoding"
	"expvar"
	"fmt"
	"mime"
	"net/http"
	"reflect"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// namespace begins the name of each metric of a box.
const namespace = "dooryard"

// Requested reports whether a client accepts a text format of Prometheus.
func Requested(r *http.Request) bool {
	for _, accepted := range strings.Split(strings.Join(r.Header.Values("Accept"), ","), ",") {
		mediaType, _, err := mime.ParseMediaType(accepted)
		if err == nil && (mediaType == "text/plain" || mediaType == "application/openmetrics-text") {
			return true
		}
	}
	return false
}

// Handler serves the values of a map, and those of the process and the Go runtime. An integer is a counter, unless its
// name is one of the gauges. A computed value is a gauge, and each number in it one of its own: names of fields end the
// name of the metric, and keys of maps are labels.
func Handler(values *expvar.Map, gauges ...string) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		&collector{values: values, gauges: gauges},
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{
		// One value that can't be read doesn't hide the others.
		ErrorHandling: promhttp.ContinueOnError,
		// Encoders take more memory than the response.
		DisableCompression: true,
	})
}

// collector converts the values of a map.
type collector struct {
	values *expvar.Map
	gauges []string
}

// Describe describes nothing in advance, since counters are added while a box runs.
func (*collector) Describe(chan<- *prometheus.Desc) {}

// Collect converts all values.
func (c *collector) Collect(metrics chan<- prometheus.Metric) {
	c.values.Do(func(entry expvar.KeyValue) {
		s := sample{metrics: metrics, name: namespace + "_" + entry.Key, help: entry.Key}
		switch value := entry.Value.(type) {
		case *expvar.Int:
			if slices.Contains(c.gauges, entry.Key) {
				s.send(prometheus.GaugeValue, float64(value.Value()))
				return
			}
			s.name += "_total"
			s.send(prometheus.CounterValue, float64(value.Value()))
		case expvar.Func:
			s.convert(reflect.ValueOf(value.Value()))
		}
	})
}

// sample is a value within a computed one.
type sample struct {
	metrics chan<- prometheus.Metric
	name    string
	help    string
	keys    []string
}

// convert sends the numbers of a value. Others are left out.
func (s sample) convert(v reflect.Value) {
	switch {
	case !v.IsValid():
	case v.Kind() == reflect.Pointer || v.Kind() == reflect.Interface:
		s.convert(v.Elem())
	case v.CanInt():
		s.send(prometheus.GaugeValue, float64(v.Int()))
	case v.CanUint():
		s.send(prometheus.GaugeValue, float64(v.Uint()))
	case v.CanFloat():
		s.send(prometheus.GaugeValue, v.Float())
	case v.Kind() == reflect.Bool:
		number := 0.0
		if v.Bool() {
			number = 1
		}
		s.send(prometheus.GaugeValue, number)
	case v.Kind() == reflect.Map:
		for entries := v.MapRange(); entries.Next(); {
			s.withKey(keyOf(entries.Key())).convert(entries.Value())
		}
	case v.Kind() == reflect.Struct:
		s.convertFields(v)
	default:
	}
}

// convertFields sends the numbers of the fields that are a part of the JSON form.
func (s sample) convertFields(v reflect.Value) {
	for _, field := range reflect.VisibleFields(v.Type()) {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		if !field.IsExported() || field.Anonymous || name == "-" || len(field.Index) > 1 {
			continue
		}
		if name == "" {
			name = strings.ToLower(field.Name)
		}
		s.withName(name).convert(v.FieldByIndex(field.Index))
	}
}

func (s sample) withName(field string) sample {
	s.name += "_" + field
	return s
}

func (s sample) withKey(key string) sample {
	s.keys = append(slices.Clone(s.keys), key)
	return s
}

// keyOf returns a key of a map as it is in JSON.
func keyOf(v reflect.Value) string {
	if marshaler, ok := v.Interface().(encoding.TextMarshaler); ok {
		if text, err := marshaler.MarshalText(); err == nil {
			return string(text)
		}
	}
	return fmt.Sprint(v.Interface())
}

// send sends a metric. Bytes that no label may contain are replaced.
func (s sample) send(kind prometheus.ValueType, number float64) {
	labels, values := []string{}, []string{}
	for i, key := range s.keys {
		label := "key"
		if i > 0 {
			label = fmt.Sprint("key_", i+1)
		}
		labels, values = append(labels, label), append(values, strings.ToValidUTF8(key, "\uFFFD"))
	}
	desc := prometheus.NewDesc(metricName(s.name), s.help, labels, nil)
	metric, err := prometheus.NewConstMetric(desc, kind, number, values...)
	if err != nil {
		metric = prometheus.NewInvalidMetric(desc, fmt.Errorf("metric %q: %w", s.name, err))
	}
	s.metrics <- metric
}

// metricName replaces what a name of a metric can't contain.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		if r == '_' || r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' {
			return r
		}
		return '_'
	}, name)
}
