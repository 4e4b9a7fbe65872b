package service

import (
	"strings"
	"testing"

	"yokeroute/internal/config/platform"
)

// TestPulledLoadReportSettingsAreParsed checks that the settings of a platform on which load reports are pulled, and to
// which the gatherers migrate, are all parsed.
func TestPulledLoadReportSettingsAreParsed(t *testing.T) {
	migrated := strings.NewReplacer(
		`"pushed"`, `"on_request"`, `"secondCopies":true`, `"secondCopies":false,"probes":true`,
		`"tick":5000`, `"tick":5000,"loadInfo":{"how":"pull","fields":["backlog","recent_ms"]}`).Replace(fixtureSettings)
	c, err := platform.Parse([]byte(configJSON("127.0.0.1:0", "127.0.0.1:1", migrated)), func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	if !c.Settings.HealthChecksAllowed || c.Settings.LoadReports != "pull" || c.Settings.HedgingAllowed ||
		!c.Settings.EndpointsOnRequest || c.Settings.Zone != "a" || c.Settings.Class("any").Deadline != 1000 {
		t.Errorf("parsed settings %v", c.Settings)
	}
}

// TestInvalidPulledLoadReportSettingsAreRejected checks that invalid values of the settings introduced by the migration
// are rejected with an error that names the field.
func TestInvalidPulledLoadReportSettingsAreRejected(t *testing.T) {
	for from, want := range map[string][2]string{
		`"discovery":"pushed"`: {`"discovery":"shouted"`, "settings.discovery: "},
		`"tick":5000`:          {`"tick":5000,"loadInfo":{"how":"asked"}`, "settings.loadInfo.how: "},
		`"hardLimit":1000000`:  {`"hardLimit":-1`, "settings.classes: "},
	} {
		config := configJSON("127.0.0.1:0", "127.0.0.1:1", strings.Replace(fixtureSettings, from, want[0], 1))
		_, err := platform.Parse([]byte(config), func(string) string { return "" })
		if err == nil || !strings.Contains(err.Error(), want[1]) {
			t.Errorf("%s: %v, want %s", want[0], err, want[1])
		}
	}
}
