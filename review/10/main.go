// A new configuration names an agent whose list is behind; claim.txt says what for.
package main

import (
	"fmt"
	"syscall"
	"time"

	"yokeroute/review/kit2"
)

const (
	shards = 18
	behind = 3 * time.Second // by which the lists of the second agent are late
	grace  = 250 * time.Millisecond
	slack  = 50 * time.Millisecond // every time limit is so much longer on sockets
)

func main() { kit2.Main(play) }

func play(c *kit2.Case) (broken int, err error) {
	servers, members, err := c.Shards(3, 4, 15*time.Millisecond)
	if err != nil {
		return 0, err
	}
	first, err := c.Agent("a", 41, members)
	if err != nil {
		return 0, err
	}
	second, err := c.Agent("b", 41, members)
	if err != nil {
		return 0, err
	}
	g, err := c.Gatherer("n1", first.Address(), &kit2.List{Revision: 41, Complete: true, Members: members})
	if err != nil {
		return 0, err
	}
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

	// The first server of each cell begins to drain, and stays up. The whole list no longer names it.
	drains := map[string]bool{}
	var draining []kit2.Member
	for i := 0; i < len(members); i += 4 {
		draining = append(draining, servers[i].Member("terminating", 0))
		drains[servers[i].Name] = true
	}
	first.Change(true, draining...)
	told := time.Now()
	time.AfterFunc(behind, func() { second.Change(true, draining...) })
	time.Sleep(time.Second)
	if c.Trouble {
		g.Discovery = second.Address()
		if err := g.WriteConfig(); err != nil {
			return 0, err
		}
		g.Signal(syscall.SIGHUP)
		first.Retire(1500 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	client.Stop()
	bound := told.Add(grace + slack)
	last := time.Duration(0)
	for _, s := range servers {
		if !drains[s.Name] {
			continue
		}
		for _, p := range s.Parts() {
			if p.At.After(bound) {
				broken++
				last = max(last, p.At.Sub(told))
				c.Record.Printf("BROKEN: %s, which drains, was sent %s %.2f s after the gatherer was told", s.Name, p.ID, p.At.Sub(told).Seconds())
			}
		}
	}
	fmt.Printf("%d parts sent to draining servers after the grace, the last one %.1f s after the gatherer was told\n", broken, last.Seconds())
	return broken, nil
}
