// A planned restart while shard servers drain that last started a while ago; claim.txt says what for.
package main

import (
	"syscall"
	"time"

	"yokeroute/review/kit2"
)

const (
	shards   = 18
	longAgo  = 10 * time.Minute // from then on discovery tells a start as long ago: 0
	grace    = 250 * time.Millisecond
	slack    = 50 * time.Millisecond // every time limit is so much longer on sockets
	dead     = 3 * time.Second       // after a server was listed as draining
	watching = 6 * time.Second
	rate     = 120 // queries a second
)

func main() { kit2.Main(play) }

func play(c *kit2.Case) (broken int, err error) {
	servers, members, err := c.Shards(3, 4, 100*time.Millisecond)
	if err != nil {
		return 0, err
	}
	// The first servers of two cells last started 9 minutes and 57 seconds ago, the others long ago.
	started := time.Now().Add(-longAgo + 3*time.Second)
	for _, i := range []int{0, 4} {
		members[i].UpSince = kit2.UnixMillis(started)
	}
	agent, err := c.Agent("a", 41, members)
	if err != nil {
		return 0, err
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
	time.Sleep(3500 * time.Millisecond)

	// By now the start of these two servers is long ago. They are listed as draining, and dead 3 s later.
	drains := []*kit2.Shard{servers[0], servers[4]}
	var draining []kit2.Member
	for _, s := range drains {
		draining = append(draining, s.Member("terminating", 0))
	}
	if c.Trouble {
		client.Stop()
		g.Signal(syscall.SIGTERM) // a planned restart: the new process gets the list as the gatherer last held it
		<-g.Done()
	}
	agent.Change(false, draining...)
	for _, s := range drains {
		time.AfterFunc(dead, s.Kill)
	}
	if c.Trouble {
		if err := g.Start(); err != nil {
			return 0, err
		}
	}
	told := time.Now() // from the first moment of the process
	if c.Trouble {
		if err := g.AwaitReady(10 * time.Second); err != nil {
			return 0, err
		}
		client = kit2.NewClient(g.Listen, "a2", c.Record)
		client.Load(rate, kit2.Mixed(client, shards))
	}
	time.Sleep(watching)
	client.Stop()
	return kit2.CheckDrain(c.Record, drains, told, told.Add(grace+slack), client.Queries()), nil
}
