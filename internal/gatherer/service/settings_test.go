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
	"yokeroute/internal/testbed/experiment"
	"yokeroute/internal/testbed/standin/shardserver"
)

// sites are settings of three shapes of deployment: lists pushed with customers, lists asked for without second copies,
// loads told only when asked.
var sites = map[string]string{
	"pushed":    settings,
	"customers": strings.Replace(settings, `"classes"`, `"tenants":[{"name":"one","portion":0.7,"quotaPerS":9},{"name":"two","portion":0.3,"quotaPerS":4}],"classes"`, 1),
	"asked": strings.NewReplacer(`"discovery":"pushed"`, `"discovery":"on_request"`, `"secondCopies":true`, `"secondCopies":false`,
		`"retryAfter":true,"maxRetryAfter":1000000`, `"retryAfter":false`, `"drainGrace":250000`, `"drainGrace":250000,"mustAskIn":10000000`).Replace(settings),
}

// lookup asks for four parts and gives the status.
func lookup(t *testing.T, address, index, customer, id string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/"+index, strings.NewReader(
		`{"shards":[{"shard":0,"weight":0.25},{"shard":1,"weight":0.25},{"shard":2,"weight":0.25},{"shard":3,"weight":0.25}],"q":"c41e"}`))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Timeout-Ms", "900")
	if customer != "" {
		req.Header.Set("X-Tenant-Id", customer)
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

// TestSettings: at each shape of deployment limits and rules that are absent, zero, or beside words that nobody knows
// leave a gatherer that serves; a class and a customer that the settings do not name are refused by name.
func TestSettings(t *testing.T) {
	change := func(t *testing.T, text string, with func(all map[string]any)) string {
		var all map[string]any
		if err := json.Unmarshal([]byte(text), &all); err != nil {
			t.Fatal(err)
		}
		with(all)
		out, err := json.Marshal(all)
		if err != nil {
			t.Fatal(err)
		}
		return string(out)
	}
	zero := func(of any) {
		for key, value := range of.(map[string]any) {
			if _, number := value.(float64); number {
				of.(map[string]any)[key] = 0
			}
		}
	}
	for site, text := range sites {
		for name, with := range map[string]func(all map[string]any){
			"as it is":    func(map[string]any) {},
			"no limits":   func(all map[string]any) { delete(all, "limits") },
			"limits zero": func(all map[string]any) { zero(all["limits"]) },
			"no rules":    func(all map[string]any) { delete(all, "rules") },
			"rules zero":  func(all map[string]any) { zero(all["rules"]) },
			"no tick":     func(all map[string]any) { delete(all, "tick"); delete(all, "balancers") },
			"unknown words": func(all map[string]any) {
				all["new"] = 1
				all["limits"].(map[string]any)["new"] = []int{1}
				all["rules"].(map[string]any)["new"] = map[string]any{}
			},
		} {
			t.Run(site+", "+name, func(t *testing.T) {
				t.Parallel()
				_, address, end := start(t, &operator.File{BackgroundShare: 0.05}, func(i int) experiment.Machine {
					return experiment.Machine{Name: fmt.Sprint("m", i), Zone: "a", Kind: "k", ReplicaSet: i % 2, Config: shardserver.Config{Cores: 2, MeanWork: 2, QueueLimit: 40, Seed: uint64(i)}}
				}, func(c string) string { return strings.Replace(c, settings, change(t, text, with), 1) })
				for end := false; !end; {
					resp, err := http.Get("http://" + address + "/-/ready")
					if err == nil {
						end = resp.StatusCode == http.StatusOK
						resp.Body.Close()
					}
				}
				customer := ""
				if site == "customers" {
					customer = "two"
				}
				for i, index := range []string{"any", "once", "any", "once"} {
					if status, body := lookup(t, address, index, customer, fmt.Sprint("q", i)); status != 200 {
						t.Errorf("%s: %d %s", index, status, body)
					}
				}
				if status, body := lookup(t, address, "other", customer, "u"); status != 404 || !strings.Contains(body, `"other"`) {
					t.Errorf("a class not named: %d %s", status, body)
				}
				want, words := 200, ""
				if site == "customers" {
					want, words = 400, `"nobody"`
				}
				if status, body := lookup(t, address, "any", "nobody", "v"); status != want || !strings.Contains(body, words) {
					t.Errorf("a customer not named: %d %s", status, body)
				}
				end()
			})
		}
	}
	// What can't be meant is one error that names its place, and nothing starts.
	for old, words := range map[string]string{
		`"effect":"pure"`: `class "any" has effect "odd"`, `"goalTime":300000`: "goalTime", `"discovery":"pushed"`: "settings.discovery",
		`"cells":2`: "no classes or no layout", `"classes":[`: "settings: ",
	} {
		bad := strings.Replace(settings, old, map[string]string{`"effect":"pure"`: `"effect":"odd"`, `"goalTime":300000`: `"goalTime":-1`,
			`"discovery":"pushed"`: `"discovery":"odd"`, `"cells":2`: `"cells":0`, `"classes":[`: `"classes":[7,`}[old], 1)
		_, err := platform.Parse([]byte(text("127.0.0.1:1", "127.0.0.1:2", bad)), func(string) string { return "" })
		if err == nil || !strings.Contains(err.Error(), words) {
			t.Errorf("%s: %v", old, err)
		}
	}
}
