package service

import (
	"yokeroute/gather"
	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/report"
	"yokeroute/internal/gatherer/shardcall"
	"yokeroute/internal/version"
)

// addReports adds the HTTP server for reports and metrics, if its address is configured.
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
	a.hooks.operatorFileAccepted = append(a.hooks.operatorFileAccepted, func(operatorFile *operator.File) {
		setFiles(collector, operatorFile)
	})
	a.hooks.draining = append(a.hooks.draining, collector.BeginShutdown)
	a.hooks.close = append(a.hooks.close, server.Close)
	return nil
}

// setFiles sets the checksums that reports contain: of the operator's file and of the files that it names.
func setFiles(collector *report.Collector, operatorFile *operator.File) {
	collector.SetFile("operator", operatorFile.Checksum)
	for kind, name := range map[string]string{
		"plan":      operatorFile.Plan,
		"placement": operatorFile.Placement,
		"segments":  operatorFile.Segments,
	} {
		collector.SetFile(kind, fileChecksum(name))
	}
}

// fileChecksum returns the checksum of a file, or "" if file is empty. It returns "unknown" if the file, which was read
// a moment ago, can no longer be read.
func fileChecksum(file string) string {
	if file == "" {
		return ""
	}
	checksum, err := version.FileChecksum(file)
	if err != nil {
		return "unknown"
	}
	return checksum
}
