// Package soak plays many short days of real processes on loopback, each drawn by its seed with its faults, and checks
// each: the six rules on the joined traces, that processes start and end in the time that the platform's pages allow,
// and that the fleet serves all again after the last fault.
package soak

import (
	"fmt"
	"strings"

	"yokeroute/internal/pcg"
	"yokeroute/internal/testbed/processtest"
)

// Kind is a kind of day.
type Kind string

// The kinds of days.
const (
	Faults   Kind = "faults"   // faults of all kinds
	Restarts Kind = "restarts" // planned restarts and other signals in series, with faults of servers and discovery
	Policies Kind = "policies" // policy servers beside the gatherers, with faults of both and changes under way
	Rollouts Kind = "rollouts" // a rollout whose controller is killed and stopped, with faults of servers and discovery
)

var kinds = []Kind{Faults, Restarts, Policies, Rollouts}

// crowdOneIn is one in how many days has a crowd of idle clients.
const crowdOneIn = 3

// Day is one day.
type Day struct {
	Seed     uint64
	Kind     Kind
	Crowd    bool
	Extras   Extras
	Scenario *processtest.Scenario
}

const fleetText = `scenario soak
time length 8s warm-up 0s
hall north
hall south
kind box cores 2 queue 40
layout sets 2 shards 12
servers 6 kind box
gatherers 4
index find share 60% parts 4 need 75% work 8ms spread 0.5 soft 400ms hard 1.5s
index claim share 40% parts 2 work 8ms soft 400ms hard 1.5s late 0% effect once-only
discovery lag 100ms
budget free 6 share 5% in 1s
cold from 20% warms 5s falls 3 in 2s
`

// Clients notice within noticeText that a gatherer is not ready. On days of planned restarts they do not: they go on
// using the connections that stay open until the process is killed.
const (
	noticeText         = "clients rate 100/s retries 2 wait 50ms notice 300ms\n"
	restartsNoticeText = "clients rate 100/s retries 2 wait 50ms notice 4s\n"
)

const spanText = "from 500ms to 7s least 100ms most 1.5s\n"

var faultTexts = map[Kind]string{
	Faults: "faults 16 of term kill stop restart hangup refuse-writes port-taken cut reset silent silent-there " +
		"silent-back mute delay jitter throttle garble server-kill hang slow fail drain discovery-silent " + spanText,
	Restarts: "faults 6 of restart from 500ms to 7s least 100ms most 300ms\n" +
		"faults 5 of hangup from 500ms to 7s least 100ms most 300ms\n" +
		"faults 4 of hang drain slow discovery-silent " + spanText,
	Rollouts: "faults 4 of hang drain slow discovery-silent " + spanText,
	Policies: "faults 8 of term kill stop drain hang slow restart hangup " + spanText,
}

// DrawDay draws the day of a seed.
func DrawDay(seed uint64) (*Day, error) {
	random := pcg.New(seed ^ 0x50ac)
	d := &Day{Seed: seed, Kind: kinds[random.Uint32()%uint32(len(kinds))], Crowd: random.Uint32()%crowdOneIn == 0}
	var text strings.Builder
	text.WriteString(fleetText)
	if d.Kind == Restarts {
		text.WriteString(restartsNoticeText)
	} else {
		text.WriteString(noticeText)
	}
	text.WriteString(faultTexts[d.Kind])
	d.Extras = drawExtras(seed, d.Kind, d.Crowd)
	var err error
	d.Scenario, err = processtest.Parse("soak", text.String(), seed)
	return d, err
}

// String names the day.
func (d *Day) String() string {
	crowd := ""
	if d.Crowd {
		crowd = ", a crowd"
	}
	return fmt.Sprintf("seed %d (%s%s%s)", d.Seed, d.Kind, crowd, d.Extras)
}
