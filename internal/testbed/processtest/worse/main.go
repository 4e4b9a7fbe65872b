// Command worse is the gatherer with a fault of its own, for the rig: a release that should never go out. The fault is
// set as it is built, by -ldflags "-X main.fault=leaks"; its version as yokeroute's is. It takes `serve` with the
// flags of yokeroute serve.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/service"
)

// fault is one of faults.
var fault string

// kept is what a leak holds on to.
var kept [][]byte

// faults begin beside the service. All but one harm without an end of the process.
var faults = map[string]func(){
	// It serves well, and dies after some seconds.
	"dies": func() { time.AfterFunc(3*time.Second, func() { os.Exit(7) }) },
	// It serves well, and takes twenty megabytes a second more, which it touches.
	"leaks": func() {
		for range time.Tick(100 * time.Millisecond) {
			b := make([]byte, 2<<20)
			for i := 0; i < len(b); i += 4096 {
				b[i] = 1
			}
			if kept = append(kept, b); len(kept) > 150 { // against taking a machine with it that others test on
				return
			}
		}
	},
	// It reads requests on kept connections and closes these without an answer.
	"drops": func() {},
	// It keeps its processors busy with nothing, more threads of it than there are, so that what it serves waits.
	"spins": func() {
		for range 4 * runtime.GOMAXPROCS(0) {
			go func() {
				for n := uint64(1); ; n = n*2862933555777941757 + 3037000493 {
					if n == 0 {
						return
					}
				}
			}()
		}
	},
}

// listeners are those of faults that harm by what they do to connections.
var listeners = map[string]func(net.Listener) net.Listener{
	"drops": func(l net.Listener) net.Listener { return droppingListener{l} },
}

// droppingListener closes each connection in place of its second answer.
type droppingListener struct{ net.Listener }

// Accept implements net.Listener.
func (l droppingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &droppingConn{Conn: c}, nil
}

// droppingConn is a connection on which one answer is written.
type droppingConn struct {
	net.Conn
	answered bool
}

// Write implements net.Conn. The server writes an answer of the rig's size at once.
func (c *droppingConn) Write(p []byte) (int, error) {
	if c.answered {
		c.Close()
		return 0, net.ErrClosed
	}
	c.answered = true
	return c.Conn.Write(p)
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "worse:", err)
		os.Exit(2)
	}
}

func run(args []string) error {
	if len(args) == 0 || args[0] != "serve" {
		return fmt.Errorf("knows no command but serve")
	}
	flags := flag.NewFlagSet("serve", flag.ContinueOnError)
	file := flags.String("config", "", "")
	operators := flags.String("operator", "", "")
	if err := flags.Parse(args[1:]); err != nil {
		return err
	}
	begin, known := faults[fault]
	if !known {
		return fmt.Errorf("built with the fault %q, which is none", fault)
	}
	c, err := platform.Load(*file, os.Getenv)
	if err != nil {
		return err
	}
	own, err := operator.Read(*operators)
	if err != nil {
		return err
	}
	log := logrus.New()
	service.ApplyRuntimeLimits(c.Limits)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	s, err := service.New(c, own, log)
	if err != nil {
		return err
	}
	go begin()
	if wrap := listeners[fault]; wrap != nil {
		listener = wrap(listener)
	}
	return s.Run(ctx, listener)
}
