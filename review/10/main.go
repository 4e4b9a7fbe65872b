// Discovery is slow, and shard servers drain; claim.txt says what for.
package main

import (
	"net/http"
	"sync/atomic"
	"time"

	"yokeroute/review/kit2"
)

const (
	shards   = 18
	pause    = 700 * time.Millisecond // within each answer of discovery
	grace    = 250 * time.Millisecond
	slack    = 50 * time.Millisecond // every time limit is so much longer on sockets
	told     = 6 * time.Second       // the latest at which a change counts as told once discovery has it
	dead     = 9 * time.Second       // after a server began to drain
	watching = 12 * time.Second
	rate     = 120 // queries a second
)

func main() { kit2.Main(play) }

func play(c *kit2.Case) (broken int, err error) {
	servers, members, err := c.Shards(3, 4, 100*time.Millisecond)
	if err != nil {
		return 0, err
	}
	agent, err := c.Agent("a", 41, members)
	if err != nil {
		return 0, err
	}
	var slow atomic.Bool
	agent.Write = func(w http.ResponseWriter, _ *http.Request, text []byte) {
		if !slow.Load() {
			w.Write(text)
			return
		}
		half := len(text) / 2
		w.Write(text[:half])
		w.(http.Flusher).Flush()
		time.Sleep(pause)
		w.Write(text[half:])
	}
	g, err := c.Gatherer("n1", agent.Address(), &kit2.List{Revision: 41, Complete: true, Members: members})
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
	client.Load(rate, kit2.Mixed(client, shards))
	time.Sleep(3 * time.Second)
	slow.Store(c.Trouble)
	time.Sleep(3 * time.Second)

	// The first servers of two cells begin to drain, and are gone some time later.
	drains := []*kit2.Shard{servers[0], servers[4]}
	var draining []kit2.Member
	for _, s := range drains {
		draining = append(draining, s.Member("terminating", 0))
		time.AfterFunc(dead, s.Kill)
	}
	agent.Change(false, draining...)
	changed := time.Now()
	time.Sleep(watching)
	client.Stop()
	return kit2.CheckDrain(c.Record, drains, changed, changed.Add(told+grace+slack), client.Queries()), nil
}
