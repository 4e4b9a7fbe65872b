package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/testbed/reservedport"
	"yokeroute/internal/testbed/standin/discoveryserver"
	"yokeroute/internal/testbed/standin/shardserver"
)

// TestCheckConfigRejectsUnfitTwoPhaseClasses: check-config names the line and column of each class that cannot be
// served in two phases.
func TestCheckConfigRejectsUnfitTwoPhaseClasses(t *testing.T) {
	path := writeConfig(t, "127.0.0.1:8000", "127.0.0.1:8500")
	text, _ := os.ReadFile(path)
	claim := `{"name":"claim","effect":"side_effect","goalTime":1,"hardLimit":2},{"name":"mark","effect":"token","goalTime":1,"hardLimit":2,"window":1},`
	os.WriteFile(path, []byte(strings.Replace(string(text), `"classes":[`, `"classes":[`+claim, 1)), 0o600)
	operators := filepath.Join(filepath.Dir(path), "operator.conf")
	for line, want := range map[string]string{
		"two-phase claim":                    `:1:11: "claim": is once-only: its parts may not run twice`,
		"two-phase mark":                     `:1:11: "mark": is fingerprinted`,
		"two-phase fnd":                      `:1:11: "fnd": is no index of the settings; did you mean find?`,
		"two-phase find first 95%":           `:1:22: "95%": is more than 90%`,
		"two-phase find first 1.2":           `"1.2": is no share of a whole; it goes from 0% to 100%`,
		"two-phase find first -0.2":          `"-0.2": is no share of a whole`,
		"two-phase find\ntwo-phase find":     `:2:11: "find": is given twice`,
		"trace keep 0":                       `is less than 1`,
		"trace share 10%":                    `lacks "keep"`,
		"two-phase find first 30% trials 5%": "",
	} {
		os.WriteFile(operators, []byte(line), 0o600)
		if _, err := execute(t, "check-config", "--config", path, "--operator", operators); (err == nil) != (want == "") || err != nil && !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v, want %s", line, err, want)
		}
	}
}

// TestTwoPhaseAnswersAreTrueWhileContentChanges sends queries in two phases to servers of which one runs an old
// build, one dies and one garbles its responses, while the content changes. Each answer has to be true: what it says
// that a shard holds, or does not hold, was so at a version of the content that was current while the query was in
// flight.
func TestTwoPhaseAnswersAreTrueWhileContentChanges(t *testing.T) {
	content := &shardserver.Content{Queries: 60, HitShare: 0.3, FalsePositiveRate: 0.2, Seed: 5}
	var members []discoveryserver.Member
	var fleet []*shardserver.Server
	for i := range 6 {
		s, err := shardserver.Start(shardserver.Config{Cores: 8, MeanWork: 4, FirstPassWork: 0.5, QueueLimit: 1000, Seed: uint64(i)}, nil)
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		s.SetContent(content)
		fleet = append(fleet, s)
		members = append(members, discoveryserver.Member{ID: fmt.Sprint("m-", i), HostPort: s.Address(), ReplicaSet: i % 2, Phase: "in_service", Size: 1})
	}
	fleet[0].SetFirstPassWork(0)
	fleet[1].SetGarbledShare(0.3)
	list, err := discoveryserver.Start(members)
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	address := reservedport.ForTest(t)
	path := writeConfig(t, address, list.Address())
	text, _ := os.ReadFile(path)
	os.WriteFile(path, []byte(strings.Replace(string(text), `"cells":1,"inARow":1,"shards":4`, `"cells":2,"inARow":1,"shards":8`, 1)), 0o600)
	operators := filepath.Join(filepath.Dir(path), "operator.conf")
	os.WriteFile(operators, []byte("two-phase find trials 50%\ntrace keep 1000\n"), 0o600)
	ended, log := startServe(t, path, address, "--operator", operators)
	for _, s := range fleet { // all have been asked whether they know first passes
		for s.Counts().Handshakes == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	type answer struct {
		Complete bool
		Hits     []struct {
			Shard int
			Doc   string
		}
		Empty []int
	}
	sendQuery := func(id, query string) {
		before := content.Version()
		req, _ := http.NewRequest(http.MethodPost, "http://"+address+"/find", strings.NewReader(`{"shards":[`+
			`{"shard":0,"weight":0.2},{"shard":1,"weight":0.2},{"shard":2,"weight":0.2},{"shard":5,"weight":0.2},{"shard":7,"weight":0.2}],"q":"`+query+`"}`))
		req.Header.Set("X-Request-ID", id)
		req.Header.Set("X-Timeout-Ms", "3000")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Error(err)
			return
		}
		defer resp.Body.Close()
		var a answer
		if err := json.NewDecoder(resp.Body).Decode(&a); resp.StatusCode == http.StatusServiceUnavailable {
			return // refused while a machine is gone
		} else if err != nil || resp.StatusCode != http.StatusOK || !a.Complete || len(a.Hits)+len(a.Empty) != 5 {
			t.Errorf("%s: status %d, %+v, %v", id, resp.StatusCode, a, err)
			return
		}
		has := func(shard int, want bool) (ever bool) {
			for v := before; v <= content.Version(); v++ {
				ever = ever || content.Matches(query, shard, v) == want
			}
			return ever
		}
		for _, h := range a.Hits {
			if !has(h.Shard, h.Doc != "") {
				t.Errorf("%s: shard %d is said to hold %q of %s", id, h.Shard, h.Doc, query)
			}
		}
		for _, shard := range a.Empty {
			if !has(shard, false) {
				t.Errorf("%s: shard %d is said to hold nothing of %s", id, shard, query)
			}
		}
	}
	var wait sync.WaitGroup
	for round := range 5 {
		for i := range 40 {
			wait.Go(func() { sendQuery(fmt.Sprintf("r%d-%d", round, i), fmt.Sprint("q", (round*40+i)%60)) })
			time.Sleep(2 * time.Millisecond)
			switch {
			case i%10 == 5:
				content.NextVersion()
			case round == 2 && i == 20:
				fleet[3].Kill()
			case round == 3 && i == 20:
				fleet[3].Restart()
			}
		}
		wait.Wait()
	}
	briefs := 0
	for _, s := range fleet {
		briefs += s.Counts().FirstPassRequests
	}
	if briefs < 200 || fleet[0].Counts().FirstPassRequests > 0 {
		t.Errorf("%d parts of first passes, %d of them at an old build", briefs, fleet[0].Counts().FirstPassRequests)
	}
	out, err := execute(t, "explain", "lookup", "--gatherer", address, "-o", "json")
	if err != nil || strings.Count(out, `"two":true`) < 20 {
		t.Errorf("%.200s, %v", out, err)
	}
	id := regexp.MustCompile(`"id":"([^"]*)","index":"find","verdict":"satisfied","took":[0-9.]*,"two":true`).FindStringSubmatch(out)
	if id == nil {
		t.Fatal("no lookup in two phases is kept")
	}
	out, err = execute(t, "explain", "lookup", "--gatherer", address, id[1])
	for _, want := range []string{"two phases: ", "net gain", "first pass:", "of the weight proved to hold nothing", "satisfied after"} {
		if err != nil || !strings.Contains(out, want) {
			t.Errorf("%s\n%v, without %q", out, err, want)
		}
	}
	if out, err := execute(t, "explain", "lookup", "--gatherer", address, "never"); !errors.Is(err, errNegative) {
		t.Errorf("%s, %v", out, err)
	}
	if out, err := execute(t, "explain", "lookup", "--gatherer", address); err != nil || !strings.Contains(out, id[1]) {
		t.Errorf("%s, %v", out, err)
	}
	syscall.Kill(os.Getpid(), syscall.SIGTERM)
	awaitLog(t, log, "service: stopped")
	if err := <-ended; err != nil {
		t.Error(err)
	}
}
