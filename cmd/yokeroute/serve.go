package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"yokeroute/internal/config/operator"
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/service"
)

// serveOptions are the flags of serve.
type serveOptions struct {
	files    configFiles
	logLevel string
}

func serveCommand() *cobra.Command {
	var options serveOptions
	cmd := &cobra.Command{
		Use:     "serve",
		Short:   "serve lookups until SIGTERM; SIGHUP rereads the configuration",
		Args:    cobra.NoArgs,
		Example: "  yokeroute serve --config config.json --operator deploy/yokeroute.conf",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return options.serve(cmd.Context(), cmd.ErrOrStderr())
		},
	}
	options.files.addFlags(cmd)
	addLogLevelFlag(cmd, &options.logLevel)
	return cmd
}

// serve serves until SIGTERM and until every admitted query is answered, or until something fails. SIGHUP reloads
// the configuration.
func (o *serveOptions) serve(ctx context.Context, logOutput io.Writer) error {
	// Signals are caught before anything else, since an early one would end the process, and a query that came to
	// an open listener is owed an answer.
	terminated, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // for good: a late one must not end the process by its default action
	g, err := o.open(logOutput)
	if err != nil {
		return err
	}
	ended := make(chan struct{})
	var reloads sync.WaitGroup
	defer reloads.Wait()
	defer close(ended)
	reloads.Go(func() { o.reloadOn(hangup, ended, g.service) })
	g.log.WithFields(logrus.Fields{"name": g.config.Name, "listen": g.config.Listen}).Info("service: serving")
	return g.service.Run(terminated, g.listener)
}

// gatherer is a configured service with its open listener.
type gatherer struct {
	config   *platform.Config
	service  *service.Service
	listener net.Listener
	log      *logrus.Logger
}

// open reads the configuration, and opens the listener before it sets up the service, which may start connections.
func (o *serveOptions) open(logOutput io.Writer) (*gatherer, error) {
	config, err := o.files.loadPlatform()
	if err != nil {
		return nil, err
	}
	operatorFile, err := operator.Read(o.files.operator)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	if operatorFile.State == "" {
		releaseMainThread()
	}
	log, err := newLogger(logOutput, o.logLevel)
	if err != nil {
		return nil, err
	}
	service.ApplyRuntimeLimits(config.Limits)
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	s, err := service.New(config, operatorFile, log)
	if err != nil {
		listener.Close()
		return nil, err
	}
	return &gatherer{config: config, service: s, listener: listener, log: log}, nil
}

// reloadOn reloads the configuration at each signal until ended is closed. It goes on while the service drains, as
// the endpoint list is followed to the end.
func (o *serveOptions) reloadOn(hangup <-chan os.Signal, ended <-chan struct{}, s *service.Service) {
	for {
		select {
		case <-ended:
			return
		case <-hangup:
			s.Reload(o.files.loadPlatform)
			s.ReloadOperatorFile(o.files.operator)
		}
	}
}
