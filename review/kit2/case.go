package kit2

import (
	"fmt"
	"os"
	"time"
)

// The ends of a case.
const (
	Held      = 0
	Broken    = 1
	NotPlayed = 2
)

// Main runs a case in its folder, given by the first argument, and exits with its end.
func Main(play func(c *Case) (broken int, err error)) {
	if len(os.Args) != 2 {
		fmt.Println("usage: case FOLDER")
		os.Exit(NotPlayed)
	}
	os.Exit(run(os.Args[1], play))
}

func run(folder string, play func(c *Case) (broken int, err error)) (status int) {
	record, err := NewRecord(folder)
	if err != nil {
		fmt.Println(err)
		return NotPlayed
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Println(err)
		return NotPlayed
	}
	defer os.RemoveAll(temp)
	c := &Case{Record: record, Temp: temp, Trouble: os.Getenv("TROUBLE") != "0"}
	defer c.end()
	broken, err := play(c)
	switch {
	case err != nil:
		record.Say("the case could not run: %v", err)
		return NotPlayed
	case broken > 0:
		record.Say("BROKEN: %d times", broken)
		return Broken
	}
	record.Say("the rule held")
	return Held
}

// Case is a case in progress.
type Case struct {
	Record  *Record
	Temp    string
	Trouble bool
	ends    []func()
}

// AtEnd calls end when the case ends.
func (c *Case) AtEnd(end func()) { c.ends = append(c.ends, end) }

func (c *Case) end() {
	for i := len(c.ends) - 1; i >= 0; i-- {
		c.ends[i]()
	}
}

// Shards starts shard servers, so many a cell, and returns them with their entries of the list.
func (c *Case) Shards(cells, each int, work time.Duration) ([]*Shard, []Member, error) {
	var shards []*Shard
	var members []Member
	for cell := range cells {
		for i := range each {
			s := &Shard{Name: fmt.Sprintf("s-%08x", 0x10+cell*16+i), Cell: cell, Zone: "north-hall", Record: c.Record, Work: work}
			if err := s.Start(); err != nil {
				return nil, nil, err
			}
			c.AtEnd(func() { s.listener.Close(); s.ResetConns() })
			shards = append(shards, s)
			members = append(members, s.Member("in_service", 0))
		}
	}
	return shards, members, nil
}

// Member is its entry of the list.
func (s *Shard) Member(phase string, upSince float64) Member {
	return Member{ID: s.Name, HostPort: s.address, Zone: s.Zone, Kind: "gen-a", Cell: s.Cell, Phase: phase, Size: 1, UpSince: upSince}
}

// Gatherer prepares a gatherer, and ends it with the case.
func (c *Case) Gatherer(name, discovery string, known *List) (*Gatherer, error) {
	listen, err := FreePort()
	if err != nil {
		return nil, err
	}
	g := &Gatherer{Name: name, Folder: c.Temp, Listen: listen, Discovery: discovery, Known: known, Settings: Settings(), Record: c.Record}
	c.AtEnd(func() {
		g.Kill()
		if text, err := os.ReadFile(c.Temp + "/" + name + ".log"); err == nil {
			c.Record.Printf("log of gatherer %s:\n%s", name, text)
		}
	})
	return g, nil
}

// Agent starts a discovery agent.
func (c *Case) Agent(name string, revision int64, members []Member) (*Agent, error) {
	a := &Agent{Name: name, Record: c.Record}
	if err := a.Start(revision, members); err != nil {
		return nil, err
	}
	c.AtEnd(a.Close)
	return a, nil
}

// UnixMillis is a time as discovery tells it.
func UnixMillis(at time.Time) float64 { return float64(at.UnixMilli()) }
