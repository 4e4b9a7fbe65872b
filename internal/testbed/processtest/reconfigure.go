package processtest

import (
	"net"
	"time"
)

// oldAgentTime is how long an agent that the files name no more keeps the connections that are open.
const oldAgentTime = 1500 * time.Millisecond

// MoveDiscovery gives the gatherer another agent and names it in its files. The old one takes no new connections, and
// ends those that are open after oldAgentTime.
func (g *Gatherer) MoveDiscovery() error {
	l, err := net.Listen("tcp", g.fleet.base+".2:0")
	if err != nil {
		return err
	}
	view := g.fleet.Discovery.ServeView(l, g.entry)
	g.mu.Lock()
	defer g.mu.Unlock()
	oldAgent, oldView := g.agent, g.agentView
	g.agent, g.agentView = l, view
	g.discovery = l.Addr().String()
	time.AfterFunc(oldAgentTime, func() { oldView.Close() })
	oldAgent.Close()
	return g.write()
}

// SetOperatorText sets the further text of the operator's file, and writes the files.
func (g *Gatherer) SetOperatorText(text string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.Operator = text
	return g.write()
}
