package engine

import (
	"encoding/json"
	"strconv"
	"strings"
)

// ReportHeader is the header field of ORCA load reports (Open Request Cost Aggregation).
const ReportHeader = "endpoint-load-metrics"

// memoryMetrics are the metrics for memory utilization, in order of preference: those of the KV cache first.
var memoryMetrics = [...]string{"named_metrics.kv_cache_usage_perc", "named_metrics.kv-cache-utilization", "mem_utilization"}

// Report returns the memory utilization, 0 to 1, of a load report in the TEXT or JSON format. A malformed or
// out-of-range value counts as no report.
func Report(value string) (memory float64, ok bool) {
	format, rest, _ := strings.Cut(strings.TrimSpace(value), " ")
	metrics := map[string]float64{}
	switch strings.ToUpper(format) {
	case "TEXT":
		for part := range strings.SplitSeq(rest, ",") {
			name, text, ok := strings.Cut(part, "=")
			if x, err := strconv.ParseFloat(strings.TrimSpace(text), 64); ok && err == nil {
				metrics[strings.TrimSpace(name)] = x
			}
		}
	case "JSON":
		var r struct {
			Memory *float64           `json:"mem_utilization"`
			Named  map[string]float64 `json:"named_metrics"`
		}
		if json.Unmarshal([]byte(rest), &r) != nil {
			return 0, false
		}
		for name, x := range r.Named {
			metrics["named_metrics."+name] = x
		}
		if r.Memory != nil {
			metrics["mem_utilization"] = *r.Memory
		}
	}
	for _, name := range memoryMetrics {
		if x, found := metrics[name]; found && x >= 0 && x <= 1 {
			return x, true
		}
	}
	return 0, false
}
