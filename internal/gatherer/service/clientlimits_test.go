package service

import (
	"testing"

	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/frontend"
)

// TestClientLimitsFollowFromPlatformLimits guards against clients that can take more than the configuration allows. Over
// the range of the platform's limits it adds up the descriptors and the memory that clients may take.
func TestClientLimitsFollowFromPlatformLimits(t *testing.T) {
	for memoryMB := 32.0; memoryMB <= 192; memoryMB += 16 {
		for sockets := 256; sockets <= 1024; sockets += 128 {
			l := platform.Limits{Cores: 1, MemoryMB: memoryMB, Sockets: sockets}
			held := frontend.HeldConns(clientConns(l, sockets))
			if total := held + shardServerSockets(l) + reservedSockets; total > sockets {
				t.Errorf("%+v: %d descriptors", l, total)
			}
			memory := clientMemory(l)
			total := int64(held)*connMemory + memory.Requests + memory.Parsing
			if limit := int64(memoryMB) << 20; total > limit/2 {
				t.Errorf("%+v: clients may take %d of %d bytes", l, total, limit)
			}
			if maxConns := clientConns(l, sockets); maxConns < 100 {
				t.Errorf("%+v: %d client connections", l, maxConns)
			}
		}
	}
}
