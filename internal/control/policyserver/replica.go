package policyserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"

	"yokeroute/logic/policy"
)

// Timeouts of raft, as multiples of the heartbeat interval.
const (
	electionHeartbeats    = 10
	leaderLeaseHeartbeats = 5
	transportHeartbeats   = 20
	barrierHeartbeats     = 20
	applyHeartbeats       = 30
	membershipHeartbeats  = 50

	maxCommitTimeout = 50 * time.Millisecond
)

// raftShutdownTimeout limits how long Close waits for raft, which may be waiting for a disk. If the process ends before
// raft does, the log stays intact.
const raftShutdownTimeout = 5 * time.Second

// errShutdownTimeout reports that the server was closed while raft was still running.
var errShutdownTimeout = errors.New("raft did not shut down in time")

// Parameters of the log, the snapshots and the connections.
const (
	logFile           = "log" // file name in the state folder
	retainedSnapshots = 2
	snapshotThreshold = 2000 // entries
	trailingLogs      = 500  // entries before a snapshot that the log retains
	snapshotInterval  = 10 * time.Second
	pooledConnections = 3 // connections to each peer
)

// replica is this server's replica of the log.
type replica struct {
	*raft.Raft
	heartbeat time.Duration
	store     *boltdb.BoltStore
	streams   *streamLayer
	transport *raft.NetworkTransport
	logWriter io.Closer
}

// openReplica opens the log and the snapshots in the state folder and starts raft. If the folder has none, it creates a
// log, unless the server joins an existing quorum.
func openReplica(c *Config, fsm raft.FSM, log *logrus.Logger) (_ *replica, err error) {
	r := &replica{heartbeat: c.Heartbeat}
	defer func() {
		if err != nil {
			err = errors.Join(err, r.Close())
		}
	}()
	r.store, err = boltdb.New(boltdb.Options{
		Path:        filepath.Join(c.Folder, logFile),
		BoltOptions: &bbolt.Options{Timeout: fileLockTimeout},
	})
	if err != nil {
		return nil, fmt.Errorf("log of policies: %w", err)
	}
	writer := log.WriterLevel(logrus.WarnLevel)
	r.logWriter = writer
	raftLog := hclog.New(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: writer, DisableTime: true})
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(c.Folder, retainedSnapshots, raftLog)
	if err != nil {
		return nil, fmt.Errorf("snapshots of policies: %w", err)
	}
	listener, err := net.Listen("tcp", c.RaftListen)
	if err != nil {
		return nil, err
	}
	r.streams = newStreamLayer(c, listener)
	r.transport = raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream:  r.streams,
		MaxPool: pooledConnections,
		Timeout: transportHeartbeats * c.Heartbeat,
		Logger:  raftLog,
	})
	config := raftConfig(c, raftLog)
	if err := r.bootstrap(c, config, snapshots); err != nil {
		return nil, fmt.Errorf("log of policies: %w", err)
	}
	if r.Raft, err = raft.NewRaft(config, fsm, r.store, r.store, snapshots, r.transport); err != nil {
		return nil, fmt.Errorf("log of policies: %w", err)
	}
	return r, nil
}

func raftConfig(c *Config, log hclog.Logger) *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(c.Name)
	config.Logger = log
	config.HeartbeatTimeout = electionHeartbeats * c.Heartbeat
	config.ElectionTimeout = electionHeartbeats * c.Heartbeat
	config.LeaderLeaseTimeout = leaderLeaseHeartbeats * c.Heartbeat
	config.CommitTimeout = min(c.Heartbeat, maxCommitTimeout)
	config.SnapshotThreshold = snapshotThreshold
	config.SnapshotInterval = snapshotInterval
	config.TrailingLogs = trailingLogs
	config.ShutdownOnRemove = false
	return config
}

// bootstrap creates a log if there is none and this server does not join an existing quorum.
func (r *replica) bootstrap(c *Config, config *raft.Config, snapshots raft.SnapshotStore) error {
	exists, err := raft.HasExistingState(r.store, r.store, snapshots)
	if err != nil || exists || c.Joins {
		return err
	}
	var servers []raft.Server
	for _, p := range c.Peers {
		servers = append(servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Name)})
	}
	return raft.BootstrapCluster(config, r.store, r.store, snapshots, r.transport, raft.Configuration{Servers: servers})
}

// Close shuts raft down and closes everything that the replica has opened. If raft does not shut down in time, the log
// stays open, since raft may be writing to it.
func (r *replica) Close() error {
	var errs []error
	if r.Raft != nil {
		r.streams.disconnect() // raft would otherwise read a snapshot from a peer without a time limit
		ctx, cancel := context.WithTimeout(context.Background(), raftShutdownTimeout)
		defer cancel()
		if err := await(ctx, r.Shutdown()); err != nil {
			return errors.Join(errShutdownTimeout, err)
		}
	}
	if r.transport != nil {
		errs = append(errs, r.transport.Close())
	}
	if r.store != nil {
		errs = append(errs, r.store.Close())
	}
	if r.logWriter != nil {
		errs = append(errs, r.logWriter.Close())
	}
	return errors.Join(errs...)
}

// await waits for the result of a future until ctx is done. Without the limit it could wait forever: a leader whose
// followers answer heartbeats but cannot write keeps its leadership and never gets a result.
func await(ctx context.Context, future raft.Future) error {
	result := make(chan error, 1)
	go func() { result <- future.Error() }()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// execute replicates a command and returns the result of applying it. A policy.RejectedError means that the command has
// had no effect. After any other error it is unknown whether it has had, or will have, an effect.
func (r *replica) execute(ctx context.Context, c policy.Command) (*policy.Change, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	future := r.Apply(text, applyHeartbeats*r.heartbeat)
	if err := await(ctx, future); err != nil {
		return nil, err
	}
	result := future.Response().(applyResult)
	return result.change, result.err
}

// awaitApplied waits until this server has applied all entries that were committed before the call.
func (r *replica) awaitApplied(ctx context.Context) error {
	return await(ctx, r.Barrier(barrierHeartbeats*r.heartbeat))
}

// addServer adds a server to the quorum. Raft changes one server at a time.
func (r *replica) addServer(ctx context.Context, name string) error {
	timeout := membershipHeartbeats * r.heartbeat
	return await(ctx, r.AddVoter(raft.ServerID(name), raft.ServerAddress(name), 0, timeout))
}

// removeServer removes a server from the quorum.
func (r *replica) removeServer(ctx context.Context, name string) error {
	return await(ctx, r.RemoveServer(raft.ServerID(name), 0, membershipHeartbeats*r.heartbeat))
}
