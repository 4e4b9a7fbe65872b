// Command reviewkit plays the cases of the review: it starts the project's programs and plays clients, shard servers,
// discovery and the platform to them.
package main

import (
	"fmt"
	"math/rand"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// World is what a case plays in.
type World struct {
	Root      string
	Dir       string
	Tmp       string
	Trouble   bool
	Rec       *Record
	Work      *Work
	Servers   []*Shard
	Discovery *Discovery
	Gatherers []*Gatherer
	Random    *rand.Rand
}

var cases = map[string]func(w *World){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewkit CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(w *World), dir string) int {
	rec, err := NewRecord(dir)
	if err != nil {
		fmt.Println("could not run:", err)
		return 2
	}
	root, err := os.Getwd()
	if err != nil {
		rec.Cannot("%v", err)
		return rec.Close()
	}
	tmp, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.Cannot("%v", err)
		return rec.Close()
	}
	w := &World{Root: root, Dir: dir, Tmp: tmp, Trouble: os.Getenv("TROUBLE") != "0", Rec: rec, Work: NewWork(rec),
		Random: rand.New(rand.NewSource(1))}
	rec.Add("case      trouble %v", w.Trouble)
	timer := time.AfterFunc(110*time.Second, func() {
		rec.Cannot("it took too long")
		w.end()
		os.Exit(rec.Close())
	})
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		rec.Cannot("it was ended by a signal")
		w.end()
		os.Exit(rec.Close())
	}()
	run(w)
	timer.Stop()
	w.end()
	return rec.Close()
}

func (w *World) end() {
	for _, g := range w.Gatherers {
		g.Kill()
		if text, err := os.ReadFile(filepath.Join(g.dir, "log")); err == nil && len(text) > 0 && os.Getenv("LOGS") != "" {
			os.WriteFile(filepath.Join(os.Getenv("LOGS"), g.config["name"].(string)+".log"), text, 0o644)
		}
	}
	for _, s := range w.Servers {
		s.Kill()
	}
	if w.Discovery != nil {
		w.Discovery.Close()
	}
	os.RemoveAll(w.Tmp)
}

// StartFleet starts the shard servers, four for each cell in two halls, and an agent that lists them.
func (w *World) StartFleet(onPart func(p *Part)) bool {
	var members []Member
	zones := []string{"ktm-hall", "patan-hall"}
	for cell := range cells {
		for i := range serversInCell {
			name := fmt.Sprintf("s-%08x", 0x5be20000+cell*16+i)
			s, err := StartShard(w.Rec, w.Work, name, zones[i%2], cell, onPart)
			if err != nil {
				w.Rec.Cannot("%v", err)
				return false
			}
			w.Servers = append(w.Servers, s)
			members = append(members, s.Member("in_service", 0))
		}
	}
	d, err := StartDiscovery(w.Rec, members)
	if err != nil {
		w.Rec.Cannot("%v", err)
		return false
	}
	w.Discovery = d
	return true
}

// StartGatherer starts a gatherer and waits until it is ready.
func (w *World) StartGatherer(name string, limits Limits, settings map[string]any) *Gatherer {
	g, err := NewGatherer(w.Rec, w.Tmp, name, w.Discovery.Address(), limits, settings, nil)
	if err == nil {
		w.Gatherers = append(w.Gatherers, g)
		err = g.Start(w.Root)
	}
	if err == nil {
		err = g.WaitReady()
	}
	if err != nil {
		w.Rec.Cannot("gatherer %s: %v", name, err)
		return nil
	}
	return g
}

// RequestID returns a new id of a request.
func (w *World) RequestID() string { return fmt.Sprintf("%016x", w.Random.Uint64()) }
