package process

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
)

// Fields of a line of /proc/net/tcp.
const (
	fieldLocalAddress  = 1
	fieldRemoteAddress = 2
	fieldSocketState   = 3
	fieldSocketInode   = 9
)

// socketListening is the kernel's state of a socket that listens.
const socketListening = "0A"

// TCPSocket is an IPv4 socket.
type TCPSocket struct {
	Local, Remote string // addresses with their ports
	state         string // by the kernel's number, in hexadecimal
}

// Listening reports whether it is a listener's.
func (s TCPSocket) Listening() bool { return s.state == socketListening }

func (s TCPSocket) String() string {
	return fmt.Sprintf("tcp %s to %s, state %s", s.Local, s.Remote, s.state)
}

// TCPSockets returns this machine's IPv4 sockets by the names that their descriptors have in /proc/PID/fd.
func TCPSockets() map[string]TCPSocket {
	sockets := map[string]TCPSocket{}
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return sockets
	}
	for line := range strings.Lines(string(text)) {
		words := strings.Fields(line)
		if len(words) <= fieldSocketInode || words[0] == "sl" {
			continue
		}
		sockets["socket:["+words[fieldSocketInode]+"]"] = TCPSocket{
			Local:  socketAddress(words[fieldLocalAddress]),
			Remote: socketAddress(words[fieldRemoteAddress]),
			state:  words[fieldSocketState],
		}
	}
	return sockets
}

// socketAddress reads an address as the kernel writes it: the bytes in the machine's order, in hexadecimal.
func socketAddress(text string) string {
	host, port, _ := strings.Cut(text, ":")
	bytes, err := hex.DecodeString(host)
	number, portErr := strconv.ParseUint(port, 16, 16)
	if err != nil || portErr != nil || len(bytes) != net.IPv4len {
		return text
	}
	var address [net.IPv4len]byte
	binary.NativeEndian.PutUint32(address[:], binary.BigEndian.Uint32(bytes))
	return netip.AddrPortFrom(netip.AddrFrom4(address), uint16(number)).String()
}
