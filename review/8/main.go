// Discovery that is asked is out of reach for 24 s, then shard servers drain; claim.txt says what for.
package main

import (
	"fmt"
	"time"

	"yokeroute/review/kit2"
)

const (
	shards = 18
	outage = 24 * time.Second
	grace  = 2 * time.Second
	slack  = 50 * time.Millisecond // every time limit is so much longer on sockets
	told   = 6 * time.Second       // the latest at which a change counts as told once discovery can be reached
)

func main() { kit2.Main(play) }

func play(c *kit2.Case) (broken int, err error) {
	servers, members, err := c.Shards(3, 4, 15*time.Millisecond)
	if err != nil {
		return 0, err
	}
	agent, err := c.Agent("a", 41, members)
	if err != nil {
		return 0, err
	}
	g, err := c.Gatherer("n1", agent.Address(), &kit2.List{Revision: 41, Complete: true, Members: members})
	if err != nil {
		return 0, err
	}
	g.Settings["discovery"] = "on_request"
	g.Settings["rules"].(kit2.Object)["drainGrace"] = grace.Microseconds()
	if err := g.Start(); err != nil {
		return 0, err
	}
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	client := kit2.NewClient(g.Listen, "a1", c.Record)
	client.Load(20, func(n int) *kit2.Query {
		return client.NewQuery("dep-resolve", n*5, 5, shards, 2500*time.Millisecond)
	})
	time.Sleep(3 * time.Second)
	agent.AwaitWatch()
	time.Sleep(50 * time.Millisecond)
	if c.Trouble {
		if err := agent.CutOff(); err != nil {
			return 0, err
		}
	}
	time.Sleep(outage)
	if c.Trouble {
		if err := agent.Restore(); err != nil {
			return 0, err
		}
	}
	reachable := time.Now()
	// The first server of each cell begins to drain, and stays up.
	drains := map[string]bool{}
	var draining []kit2.Member
	for i := 0; i < len(members); i += 4 {
		draining = append(draining, servers[i].Member("terminating", 0))
		drains[servers[i].Name] = true
	}
	agent.Change(false, draining...)
	time.Sleep(18 * time.Second)
	client.Stop()
	bound := reachable.Add(told + grace + slack)
	last := time.Duration(0)
	for _, s := range servers {
		if !drains[s.Name] {
			continue
		}
		for _, p := range s.Parts() {
			if p.At.After(bound) {
				broken++
				last = max(last, p.At.Sub(reachable))
				c.Record.Printf("BROKEN: %s, which drains, was sent %s %.2f s after discovery could be reached and had told it", s.Name, p.ID, p.At.Sub(reachable).Seconds())
			}
		}
	}
	fmt.Printf("%d parts sent to draining servers after the grace, the last one %.1f s after discovery could be reached\n", broken, last.Seconds())
	return broken, nil
}
