package service

import (
	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/version"
)

// addReports adds the server of reports and metrics.
func (a *assembly) addReports() error {
	if a.operatorFile.ReportAddress == "" {
		return nil
	}
	collector := report.NewCollector(a.config.Name, a.config.Settings, a.Picker.Now, a.pool)
	if a.policy != nil {
		collector.PolicyState = a.policy.state
	}
	server, err := report.Listen(a.operatorFile.ReportAddress, collector, a.listed.Load, a.log)
	if err != nil {
		return err
	}
	a.Picker.ObserveDecisions(collector)
	a.Picker.ObserveWire(collector)
	collector.SetFile("config", a.config.Checksum)
	setFiles(collector, &a.operatorFile)
	a.hooks.run = append(a.hooks.run, server.Run)
	a.hooks.endpoints = append(a.hooks.endpoints, func(event gather.EndpointList, _ []shardcall.Address) {
		collector.UpdateEndpoints(event)
	})
	a.hooks.platformConfigAccepted = append(a.hooks.platformConfigAccepted, func(c *platform.Config) {
		collector.SetFile("config", c.Checksum)
	})
	a.hooks.operatorFileAccepted = append(a.hooks.operatorFileAccepted, func(own *operator.File) { setFiles(collector, own) })
	a.hooks.draining = append(a.hooks.draining, collector.BeginShutdown)
	a.hooks.close = append(a.hooks.close, server.Close)
	return nil
}

// setFiles has reports contain the fingerprints of the operator's file and of the files that it names.
func setFiles(collector *report.Collector, own *operator.File) {
	collector.SetFile("operator", own.Checksum)
	for kind, name := range map[string]string{
		"plan":      own.Plan,
		"placement": own.Placement,
		"segments":  own.Segments,
	} {
		collector.SetFile(kind, fingerprint(name))
	}
}

// fingerprint is that of a file, empty for none. Files were read a moment ago; one that has gone since is unknown.
func fingerprint(file string) string {
	if file == "" {
		return ""
	}
	sum, err := version.FileChecksum(file)
	if err != nil {
		return "unknown"
	}
	return sum
}
