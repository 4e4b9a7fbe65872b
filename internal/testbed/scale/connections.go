package scale

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"yokeroute/gather"
	"yokeroute/internal/gatherer/dispatch"
	"yokeroute/internal/gatherer/shardcall"
)

// ConnectionCost is what connections to shard servers cost a gatherer at rest.
type ConnectionCost struct {
	Connections int
	Open        int     // that the pool holds, each with a descriptor
	PooledBytes float64 // heap and stacks of each, of the pool's side and of the far side together
	BareBytes   float64 // the same of a bare connection, which nobody reads on the near side
}

const connectionWait = 60 * time.Second

// echoServer takes connections and answers each part of a frame with one value.
type echoServer struct{ net.Listener }

func startEchoServer() (echoServer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return echoServer{}, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveEcho(c)
		}
	}()
	return echoServer{l}, nil
}

// serveEcho answers frames until the connection ends.
func serveEcho(c net.Conn) {
	defer c.Close()
	var head [4]byte
	for {
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		body := make([]byte, binary.LittleEndian.Uint32(head[:]))
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		id, _, found := strings.Cut(string(body[1:]), " ")
		if !found { // a part that is given up
			continue
		}
		answer := "A" + id + " ok 1 -\nv"
		if _, err := c.Write(append(binary.LittleEndian.AppendUint32(nil, uint32(len(answer))), answer...)); err != nil {
			return
		}
	}
}

// MeasureConnections opens so many connections, to one shard server each, by one lookup, and measures them at rest.
func MeasureConnections(ctx context.Context, count int) (c ConnectionCost, err error) {
	if count < 1 {
		return c, fmt.Errorf("connections: %d, at least 1 is needed", count)
	}
	far, err := startEchoServer()
	if err != nil {
		return c, err
	}
	defer far.Close()
	bare, err := bareConnections(far.Addr().String(), count)
	if err != nil {
		return c, err
	}
	c = ConnectionCost{Connections: count, BareBytes: bare}
	before := memoryBytes()
	pool, err := pooledConnections(ctx, far.Addr().String(), count)
	if err != nil {
		return c, err
	}
	c.PooledBytes = (memoryBytes() - before) / float64(count)
	c.Open, _ = pool.Connections()
	return c, nil
}

// bareConnections is the memory of a connection with nothing around it.
func bareConnections(address string, count int) (float64, error) {
	before := memoryBytes()
	held := make([]net.Conn, 0, count)
	defer func() {
		for _, c := range held {
			c.Close()
		}
	}()
	for range count {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return 0, err
		}
		held = append(held, c)
	}
	return (memoryBytes() - before) / float64(count), nil
}

// pooledConnections has a pool call so many servers.
func pooledConnections(ctx context.Context, address string, count int) (*shardcall.Pool, error) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := &gather.Settings{
		ReplicaSets: count, ReplicaSetsPerShard: 1, MaxAttempts: 1, Tick: 1.0,
		ConnectTimeout: 10_000.0, IdleTimeout: 3_600_000.0, RequestsPerCall: 1,
		StreamsPerConnection: 100, CancelAllowed: true,
		Classes: []gather.Class{
			{Name: "find", LatencyObjective: 30_000.0, Deadline: 60_000.0, CompleteShare: 1.0, MinShare: 1.0, Effect: gather.Idempotent},
		},
	}
	picker := dispatch.New(1, settings, log)
	pool := shardcall.New(shardcall.Config{Settings: settings, MaxConns: count, Reporter: picker, Log: log})
	list, addresses := gather.EndpointList{Full: true}, make([]shardcall.Address, count)
	lk := &dispatch.Query{ID: "scale", Class: "find", Deadline: picker.Now() + 60_000, Payload: []byte("q")}
	for i := range count {
		addresses[i] = shardcall.Address{ID: uint32(i), Name: fmt.Sprint("s", i), HostPort: address}
		list.Endpoints = append(list.Endpoints, gather.Endpoint{ID: uint32(i), ReplicaSet: i})
		lk.ShardRequests = append(lk.ShardRequests, dispatch.ShardRequest{Shard: i, Weight: 1 / float64(count)})
	}
	pool.SetEndpoints(addresses)
	picker.UpdateEndpoints(list)
	ctx, stop := context.WithTimeout(ctx, connectionWait)
	defer stop()
	go func() {
		for {
			orders, err := picker.RunRound(ctx)
			if err != nil {
				return
			}
			pool.Execute(orders)
		}
	}()
	if v := picker.Pick(ctx, lk); v.Kind != dispatch.Served {
		return nil, fmt.Errorf("connections: the lookup over %d servers ended as %d", count, v.Kind)
	}
	return pool, nil
}
