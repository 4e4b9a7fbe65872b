package report

import (
	"github.com/prometheus/client_golang/prometheus"
)

// prometheusCollector exports the counts of a report that is built at each scrape.
type prometheusCollector struct{ server *Server }

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("yokeroute_"+name, help, labels, nil)
}

// Names, help texts and labels are used by operators' dashboards and must not change.
var (
	infoDesc = desc("info", "Always 1; the labels tell which program and files are in force.",
		"version", "program", "config", "operator")
	queriesDesc = desc("lookups_total", "Lookups that ended, by how.", "index", "end")
	valueDesc   = desc("value_total", "Of each lookup the share of its gain that it earned, summed up.",
		"index")
	attemptsDesc = desc("part_calls_total", "Part calls whose bytes went, first ones and further ones.",
		"index", "call")
	outcomesDesc          = desc("part_call_ends_total", "Ends of part calls.", "index", "outcome")
	latencyDesc           = desc("lookup_seconds", "Latency of satisfied lookups.", "index")
	openConnectionsDesc   = desc("connections", "Connections to shard servers that are open.")
	connectionsOpenedDesc = desc("connections_opened_total", "Connections to shard servers that were opened.")
	serversDesc           = desc("servers", "Servers on the list, by state.", "state")
	memoryDesc            = desc("resident_bytes", "Resident memory.")
	cpuDesc               = desc("cpu_seconds_total", "CPU used.")
	startedDesc           = desc("start_time_seconds", "When the process started, in Unix time.")
)

var allDescs = []*prometheus.Desc{
	infoDesc, queriesDesc, valueDesc, attemptsDesc, outcomesDesc, latencyDesc, openConnectionsDesc,
	connectionsOpenedDesc, serversDesc, memoryDesc, cpuDesc, startedDesc,
}

// latencyBuckets contains the upper bounds of the latency buckets in seconds, two per factor of 2.
var latencyBuckets = prometheus.ExponentialBucketsRange(0.001, 32, 31)

const millisecondsPerSecond = 1000

// Describe implements prometheus.Collector.
func (c *prometheusCollector) Describe(to chan<- *prometheus.Desc) {
	for _, d := range allDescs {
		to <- d
	}
}

// Collect implements prometheus.Collector.
func (c *prometheusCollector) Collect(to chan<- prometheus.Metric) {
	d := c.server.collector.SinceStart(c.server.ready())
	sink := metricSink(to)
	sink.gauge(infoDesc, 1, d.Version, d.Program, d.Files["config"], d.Files["operator"])
	for class, stats := range d.Classes {
		sink.class(class, stats)
	}
	sink.gauge(openConnectionsDesc, float64(d.OpenConnections))
	sink.counter(connectionsOpenedDesc, float64(d.ConnectionsOpened))
	sink.gauge(serversDesc, float64(d.RunningServers), "running")
	sink.gauge(serversDesc, float64(d.DrainingServers), "draining")
	sink.gauge(memoryDesc, d.ResidentMemory)
	sink.counter(cpuDesc, d.CPUTime/millisecondsPerSecond)
	sink.gauge(startedDesc, d.StartedAt/millisecondsPerSecond)
}

// metricSink receives the metrics of a scrape.
type metricSink chan<- prometheus.Metric

func (s metricSink) counter(of *prometheus.Desc, value float64, labels ...string) {
	s <- prometheus.MustNewConstMetric(of, prometheus.CounterValue, value, labels...)
}

func (s metricSink) gauge(of *prometheus.Desc, value float64, labels ...string) {
	s <- prometheus.MustNewConstMetric(of, prometheus.GaugeValue, value, labels...)
}

// class sends the metrics of one class.
func (s metricSink) class(class string, stats *ClassStats) {
	for end, n := range map[string]int64{
		"satisfied": stats.Served,
		"partial":   stats.ServedPartly,
		"nacked":    stats.Rejected,
		"aborted":   stats.Failed,
		"broken":    stats.InternalErrors,
		"left":      stats.ClientDisconnected,
	} {
		s.counter(queriesDesc, float64(n), class, end)
	}
	s.counter(valueDesc, stats.EarnedValue, class)
	s.counter(attemptsDesc, float64(stats.Attempts-stats.ExtraAttempts), class, "first")
	s.counter(attemptsDesc, float64(stats.ExtraAttempts), class, "further")
	for outcome, n := range stats.Outcomes {
		s.counter(outcomesDesc, float64(n), class, outcome)
	}
	s.latency(class, stats.Latency)
}

func (s metricSink) latency(class string, h Histogram) {
	buckets := make(map[float64]uint64, len(latencyBuckets))
	sum := 0.0
	for _, bar := range h.Distribution() {
		seconds := float64(bar.From) * millisecondsPerUnit / millisecondsPerSecond
		sum += seconds * float64(bar.Count)
		for _, bound := range latencyBuckets {
			if seconds <= bound {
				buckets[bound] += uint64(bar.Count)
			}
		}
	}
	s <- prometheus.MustNewConstHistogram(latencyDesc, uint64(h.TotalCount()), sum, buckets, class)
}
