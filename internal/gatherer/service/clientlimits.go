package service

import (
	"yokeroute/internal/config/platform"
	"yokeroute/internal/gatherer/frontend"
)

const bytesPerMegabyte = 1 << 20

// Shares of the memory limit that clients may make the gatherer hold. They are live memory: the garbage collector lets
// the heap grow beyond it, up to heapShare of the limit for all parts of the gatherer.
const (
	connShare         = 1.0 / 4
	largeRequestShare = 1.0 / 8 // heads, bodies and responses beyond what a connection covers
	parsingShare      = 1.0 / 16
)

// connMemory is how much memory a connection takes, in bytes, with a query of a usual size: two goroutines, the buffers
// of net/http, the request and the query.
const connMemory = 24 << 10

// clientConns returns the limit on client connections that follows from the platform's limits, with the given number of
// sockets: those left after reservedSockets and a quarter for shard servers, and no more than memory allows.
func clientConns(l platform.Limits, sockets int) int {
	available := sockets - reservedSockets
	bySockets := available - available/4
	byMemory := int(l.MemoryMB * bytesPerMegabyte * connShare / connMemory)
	return frontend.MaxConnsWithin(min(bySockets, byMemory))
}

// clientMemory returns the limits on the memory that clients can make the gatherer hold beyond their connections.
func clientMemory(l platform.Limits) frontend.MemoryLimits {
	limit := l.MemoryMB * bytesPerMegabyte
	return frontend.MemoryLimits{Requests: int64(limit * largeRequestShare), Parsing: int64(limit * parsingShare)}
}
