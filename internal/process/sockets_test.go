package process

import (
	"net"
	"testing"
)

// TestSocketsAreNamedByTheirEnds guards against descriptors that nothing tells apart.
func TestSocketsAreNamedByTheirEnds(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, socket := range TCPSockets() {
		if socket.Local == l.Addr().String() && socket.Remote == "0.0.0.0:0" && socket.Listening() {
			return
		}
	}
	t.Errorf("no socket listens on %v", l.Addr())
}
