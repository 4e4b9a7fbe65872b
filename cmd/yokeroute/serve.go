package main

import (
	"context"
	"fmt"
	"math"
	"net"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/config"
	"yokeroute/internal/discovery"
	"yokeroute/internal/front"
	"yokeroute/internal/pick"
	"yokeroute/internal/shardcall"
)

// ownSockets are descriptors besides connections of lookups: standard streams, listener, poller, discovery.
const ownSockets = 16

// run serves until SIGTERM and until all that was taken is answered, or until something fails.
func run(ctx context.Context, c *config.Config, level string) error {
	log := logrus.New()
	lowest, err := logrus.ParseLevel(level)
	if err != nil {
		return fmt.Errorf("--log-level: %w", err)
	}
	log.SetLevel(lowest)
	limit(c.Limits)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	terminated, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	picker := pick.New(c.Seed, c.Terms, log)
	// Clients and shard servers share evenly what the process leaves of its sockets.
	each := (c.Limits.Sockets - ownSockets) / 2
	pool := shardcall.New(c.Terms, each, picker, log)
	var listed atomic.Bool
	follower := discovery.New(c.Discovery, func(list gather.List, all []shardcall.Address) {
		pool.Follow(all) // first, so that the module names no server whose address is not known
		picker.Follow(list)
		if len(all) > 0 {
			listed.Store(true)
		}
	}, picker.Asked(), log)
	if c.Known != nil {
		follower.Take(c.Known)
	}
	server := front.New(picker, c.Terms, each, listed.Load, log)

	// What serves goes on until the last lookup is answered, past the signal.
	serving, end := context.WithCancel(ctx)
	defer end()
	go follower.Run(serving)
	go func() {
		for {
			orders, err := picker.Tick(serving)
			if err != nil {
				return
			}
			pool.Carry(orders)
		}
	}()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	log.WithFields(logrus.Fields{"name": c.Name, "listen": c.Listen}).Info("serving")

	select {
	case err := <-failed:
		return fmt.Errorf("listen: %w", err)
	case <-terminated.Done():
	}
	log.Info("leaving: answering what is held")
	if err := server.Drain(ctx); err != nil {
		return err
	}
	log.Info("left")
	return nil
}

// limit tells the runtime what the platform allows, against being killed for memory or throttled mid-collection.
func limit(l config.Limits) {
	runtime.GOMAXPROCS(max(int(math.Ceil(l.Cores)), 1))
	debug.SetMemoryLimit(int64(l.MemoryMB * (1 << 20) * 3 / 4))
}
