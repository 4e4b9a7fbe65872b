package main

import (
	"encoding/binary"
	"fmt"
	"sync"
	"time"
)

func init() { cases["length-that-does-not-fit"] = lengthThatDoesNotFit }

const (
	case2Lookups = 300
	case2Missing = 4 // bytes of the value that the frame's length leaves out
)

// lengthThatDoesNotFit has one of twelve shard servers send some answers in a frame whose length is too small, while
// other parts wait on the same connection.
func lengthThatDoesNotFit(w *World) {
	var mu sync.Mutex
	waiting := map[*ShardConn]map[string]bool{} // by connection: parts that have come and are not answered
	spoilt := 0
	onPart := func(p *Part) {
		mu.Lock()
		if waiting[p.Conn] == nil {
			waiting[p.Conn] = map[string]bool{}
		}
		waiting[p.Conn][p.ID] = true
		order := len(waiting[p.Conn])
		mu.Unlock()
		time.Sleep(time.Duration(40+30*order) * time.Millisecond)
		mu.Lock()
		delete(waiting[p.Conn], p.ID)
		others := 0
		for id := range waiting[p.Conn] {
			if !p.Conn.IsOff(id) {
				others++
			}
		}
		spoil := w.Trouble && p.Server == w.Servers[0] && others > 0
		if spoil {
			spoilt++
		}
		mu.Unlock()
		if p.GivenUp() {
			return
		}
		value := w.Work.Run(p)
		text := AnswerText(p.ID, "ok", value)
		frame := Frame('A', text)
		if spoil {
			binary.LittleEndian.PutUint32(frame, uint32(1+len(text)-case2Missing))
			w.Rec.Add("answer    %s ok from %s value %s, spoilt: its length leaves out the last %d bytes; %d other parts wait on the connection",
				p.ID, p.Server.Name, value, case2Missing, others)
		} else {
			w.Rec.Add("answer    %s ok from %s value %s", p.ID, p.Server.Name, value)
		}
		p.Conn.WriteRaw(frame)
	}
	if !w.StartFleet(onPart) {
		return
	}
	g := w.StartGatherer("n1", Limits{1, 64, 384}, Settings())
	if g == nil {
		return
	}
	usual := NewClients(w.Rec, g.Address)
	defer usual.Close()
	var all sync.WaitGroup
	for i := range case2Lookups {
		q := &Query{ID: w.RequestID(), Class: "dep-resolve", Tenant: "mainline", TimeoutMS: 2500,
			Text: fmt.Sprintf("%08x", 0xc41e0000+i), Parts: EvenParts(0, 1, 2, 3, 4, 5, 6)}
		all.Go(func() { w.CheckValues(usual.Send(q, time.Second)) })
		time.Sleep(100 * time.Millisecond)
	}
	all.Wait()
	if w.Trouble && spoilt == 0 {
		w.Rec.Cannot("no answer was spoilt")
	}
}
