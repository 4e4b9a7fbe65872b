package service

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
)

// settingsByDeployment holds settings of three kinds of deployment: endpoint lists that are pushed, the same with
// tenants, and endpoint lists on request without hedged requests.
var settingsByDeployment = map[string]string{
	"pushed": fixtureSettings,
	"tenants": strings.Replace(fixtureSettings, `"classes"`, `"tenants":[{"name":"one","portion":0.7,"quotaPerS":9},`+
		`{"name":"two","portion":0.3,"quotaPerS":4}],"classes"`, 1),
	"on request": strings.NewReplacer(
		`"discovery":"pushed"`, `"discovery":"on_request"`,
		`"secondCopies":true`, `"secondCopies":false`,
		`"retryAfter":true,"maxRetryAfter":1000000`, `"retryAfter":false`,
		`"drainGrace":250000`, `"drainGrace":250000,"mustAskIn":10000000`,
	).Replace(fixtureSettings),
}

// sendQuery sends a query on four shards and returns the status and body of its response.
func sendQuery(t *testing.T, address, index, tenant, id string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+index, strings.NewReader(
		`{"shards":[{"shard":0,"weight":0.25},{"shard":1,"weight":0.25},`+
			`{"shard":2,"weight":0.25},{"shard":3,"weight":0.25}],"q":"c41e"}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Timeout-Ms", "900")
	if tenant != "" {
		req.Header.Set("X-Tenant-Id", tenant)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Error(err)
		return 0, ""
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return resp.StatusCode, string(text)
}

// TestGathererServesWithMissingZeroOrUnknownSettings checks for each kind of deployment that the gatherer serves when
// limits or rules are missing or zero, or when there are unknown keys. A class or tenant that the settings do not list
// is rejected with its name in the response.
func TestGathererServesWithMissingZeroOrUnknownSettings(t *testing.T) {
	edit := func(t *testing.T, text string, modify func(all map[string]any)) string {
		var all map[string]any
		if err := json.Unmarshal([]byte(text), &all); err != nil {
			t.Fatal(err)
		}
		modify(all)
		out, err := json.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}
		return string(out)
	}
	zero := func(object any) {
		for key, value := range object.(map[string]any) {
			if _, number := value.(float64); number {
				object.(map[string]any)[key] = 0
			}
		}
	}
	for deployment, text := range settingsByDeployment {
		for name, modify := range map[string]func(all map[string]any){
			"unchanged":   func(map[string]any) {},
			"no limits":   func(all map[string]any) { delete(all, "limits") },
			"limits zero": func(all map[string]any) { zero(all["limits"]) },
			"no rules":    func(all map[string]any) { delete(all, "rules") },
			"rules zero":  func(all map[string]any) { zero(all["rules"]) },
			"no tick":     func(all map[string]any) { delete(all, "tick"); delete(all, "balancers") },
			"unknown keys": func(all map[string]any) {
				all["new"] = 1
				all["limits"].(map[string]any)["new"] = []int{1}
				all["rules"].(map[string]any)["new"] = map[string]any{}
			},
		} {
			t.Run(deployment+", "+name, func(t *testing.T) {
				t.Parallel()
				_, address, end := startGatherer(t, &operator.File{BackgroundShare: 0.05}, plainMachine,
					func(c string) string { return strings.Replace(c, fixtureSettings, edit(t, text, modify), 1) })
				for ready := false; !ready; {
					resp, err := http.Get("http://" + address + "/-/ready")
					if err == nil {
						ready = resp.StatusCode == http.StatusOK
						resp.Body.Close()
					}
				}
				tenant := ""
				if deployment == "tenants" {
					tenant = "two"
				}
				for i, index := range []string{"any", "once", "any", "once"} {
					if status, body := sendQuery(t, address, index, tenant, fmt.Sprint("q", i)); status != 200 {
						t.Errorf("%s: status %d, body %s, want 200", index, status, body)
					}
				}
				status, body := sendQuery(t, address, "other", tenant, "u")
				if status != 404 || !strings.Contains(body, `"other"`) {
					t.Errorf("an unlisted class: %d %s, want 404 with its name", status, body)
				}
				want, wantText := 200, ""
				if deployment == "tenants" {
					want, wantText = 400, `"nobody"`
				}
				status, body = sendQuery(t, address, "any", "nobody", "v")
				if status != want || !strings.Contains(body, wantText) {
					t.Errorf("an unlisted tenant: %d %s, want %d %s", status, body, want, wantText)
				}
				end()
			})
		}
	}
}

// TestInvalidSettingsAreRejectedWithTheirField checks that parsing invalid settings fails with an error that names the
// setting at fault.
func TestInvalidSettingsAreRejectedWithTheirField(t *testing.T) {
	for _, c := range []struct{ from, to, text string }{
		{`"effect":"pure"`, `"effect":"odd"`, `class "any" has effect "odd"`},
		{`"goalTime":300000`, `"goalTime":-1`, "goalTime"},
		{`"discovery":"pushed"`, `"discovery":"odd"`, "settings.discovery"},
		{`"cells":2`, `"cells":0`, "no classes or no layout"},
		{`"classes":[`, `"classes":[7,`, "settings: "},
	} {
		config := configJSON("127.0.0.1:1", "127.0.0.1:2", strings.Replace(fixtureSettings, c.from, c.to, 1))
		_, err := platform.Parse([]byte(config), func(string) string { return "" })
		if err == nil || !strings.Contains(err.Error(), c.text) {
			t.Errorf("%s: %v, want an error with %q", c.to, err, c.text)
		}
	}
}
