package socket

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestHasUnreadBytesConsumesNothing asks before and after a byte has arrived, and reads it. A pipe is no socket.
func TestHasUnreadBytesConsumesNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	server, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	if HasUnreadBytes(server) {
		t.Error("unread bytes before any has arrived")
	}
	io.WriteString(client, "x")
	for end := time.Now().Add(20 * time.Second); !HasUnreadBytes(server); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no unread byte within 20 s")
		}
	}
	if n, err := server.Read(make([]byte, 2)); n != 1 || err != nil || HasUnreadBytes(server) {
		t.Errorf("read %d bytes, %v, unread %v, want 1, none and false", n, err, HasUnreadBytes(server))
	}
	pipe, _ := net.Pipe()
	if HasUnreadBytes(pipe) {
		t.Error("unread bytes on a pipe")
	}
}
