package main

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["memory"] = memory }

const (
	case3BadClients = 400
	case3TextBytes  = 64500 // with the rest, the body is under the protocol's 64 KiB
	case3HeadBytes  = 15000
	case3Quiet      = 5 * time.Second
	case3Flood      = 80 * time.Second
)

// memory has hundreds of bad clients send requests at once, three of four without the last byte. The platform kills
// the gatherer when its memory passes the limit that the configuration tells.
func memory(w *World) {
	if !w.StartFleet(func(p *Part) { p.Serve(60 * time.Millisecond) }) {
		return
	}
	limits := Limits{1, 64, 384}
	g := w.StartGatherer("n1", limits, Settings())
	if g == nil {
		return
	}
	start := time.Now()
	end := start.Add(case3Quiet + case3Flood)
	killed := make(chan struct{})
	over := func() bool {
		select {
		case <-killed:
			return true
		default:
			return time.Now().After(end)
		}
	}
	var all sync.WaitGroup
	all.Go(func() { // the platform
		peak, shown := 0, time.Now()
		for !over() {
			kb := g.MemoryKB("RssAnon") // without the program's file and without socket buffers
			peak = max(peak, kb)
			if time.Since(shown) > time.Second {
				shown = time.Now()
				w.Rec.Add("platform  memory %d KB, at most %d KB, of %d KB", kb, peak, limits.MemoryMB<<10)
			}
			if kb > limits.MemoryMB<<10 {
				w.Rec.Broken("the gatherer's memory is %d KB, its limit %d KB: the platform kills it", kb, limits.MemoryMB<<10)
				g.Kill()
				close(killed)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	usual := NewClients(w.Rec, g.Address)
	defer usual.Close()
	all.Go(func() { // usual clients
		for i := 0; !over(); i++ {
			q := &Query{ID: w.RequestID(), Class: "dep-resolve", Tenant: "mainline", TimeoutMS: 2500,
				Text: fmt.Sprintf("%08x", 0xc41e0000+i), Parts: EvenParts(0, 1, 2, 3, 4)}
			all.Go(func() { usual.Send(q, time.Second) })
			time.Sleep(100 * time.Millisecond)
		}
	})
	if w.Trouble {
		time.Sleep(case3Quiet)
		w.Rec.Add("trouble   %d bad clients begin", case3BadClients)
		var sent atomic.Int64
		for k := range case3BadClients {
			all.Go(func() {
				for !over() {
					badClient(g.Address, &sent, k%4 != 0, over)
				}
			})
		}
		all.Wait()
		w.Rec.Add("trouble   bad clients have begun %d requests", sent.Load())
		return
	}
	all.Wait()
}

// badRequest is a bad client's request, with room for its id.
var badRequest = func() []byte {
	q := &Query{ID: badID, Class: "file-search", Tenant: "edge", TimeoutMS: 3000,
		Text: strings.Repeat("q", case3TextBytes), Parts: EvenParts(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)}
	return bytes.Replace(q.Bytes(), []byte("Content-Type"),
		[]byte("X-Note: "+strings.Repeat("n", case3HeadBytes)+"\r\nContent-Type"), 1)
}()

const badID = "bad0000000000000"

// badClient sends requests on one connection until it ends: whole ones, or ones without their last byte.
func badClient(address string, sent *atomic.Int64, unfinished bool, over func() bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		time.Sleep(50 * time.Millisecond)
		return
	}
	defer conn.Close()
	request := bytes.Clone(badRequest)
	id := bytes.Index(request, []byte(badID))
	if unfinished {
		request = request[:len(request)-1]
	}
	answer := make([]byte, 4096)
	for !over() {
		copy(request[id:], fmt.Sprintf("bad%013x", sent.Add(1)))
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Write(request); err != nil {
			return
		}
		n, err := conn.Read(answer)
		if err != nil || bytes.Contains(answer[:n], []byte("Connection: close")) {
			return
		}
	}
}
