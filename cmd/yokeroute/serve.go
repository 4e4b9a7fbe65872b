package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/service"
)

// run serves until SIGTERM and until all that was taken is answered, or until something fails. SIGHUP has the
// configuration read again.
func run(ctx context.Context, load func() (*platform.Config, error), operators string, level string, out io.Writer) error {
	// Before all else, against ending on one that comes early: once it listens, what came is owed an answer.
	terminated, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	c, err := load()
	if err != nil {
		return err
	}
	own, err := operator.Read(operators)
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	log, err := logger(out, level)
	if err != nil {
		return err
	}
	service.Limit(c.Limits)
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s, err := service.New(c, own, log)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-hangup: // on the way out as well: the list is followed to the end
				s.Reload(load)
				s.Reread(operators)
			}
		}
	}()
	log.WithFields(logrus.Fields{"name": c.Name, "listen": c.Listen}).Info("serving")
	return s.Run(terminated, listener)
}

// logger logs what is of a level at least.
func logger(out io.Writer, level string) (*logrus.Logger, error) {
	lowest, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("--log-level: %w", err)
	}
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(lowest)
	return log, nil
}
