package processtest

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"yokeroute/internal/pcg"
	"yokeroute/internal/testbed/reservedport"
)

// Way is a direction over a link: There from the side that connects, Back to it.
type Way int

const (
	There Way = iota
	Back
)

// Weather is what a link does to what passes. The zero value is a link that does nothing to it.
type Weather struct {
	Silent   [2]bool       // by way: nothing passes; what is on its way waits, as bytes that nobody acknowledges do
	Delay    time.Duration // each way
	Jitter   time.Duration // added to it, drawn evenly from 0 on; bytes of a connection keep their order all the same
	Throttle float64       // bytes a second each way, 0 for any number
	Mute     bool          // new connections come up and nothing answers: the far side never hears of them
	Lose     float64       // share of datagrams that are lost,
	Reorder  float64       // that come after those behind them,
	Repeat   float64       // and that come twice
}

// Link is a relay on a way between two processes: it listens in place of the far side.
type Link struct {
	From, To string

	mu      sync.Mutex
	l       net.Listener
	port    *reservedport.Port // where it listens, reserved while it is cut too
	target  string
	weather Weather
	garble  [2]int // chunks of which a byte is still to be changed, by way
	cut     bool
	changed chan struct{} // closed by the next change
	closed  bool
	conns   map[*relayed]bool
	chance  *pcg.Source
	counts  Passed
	refused []time.Time // when the far side did not take a connection
	wait    sync.WaitGroup
}

// Passed is what went over a link.
type Passed struct {
	Connections int
	Refused     int // while it was cut: seen as connections that were reset, where the listener had taken them
	Bytes       [2]int64
	Garbled     int
	Lost        int // datagrams
}

// relayed is a connection over a link.
type relayed struct{ near, far net.Conn }

// reset ends both sides as a process that dies does.
func (r *relayed) reset() {
	for _, c := range []net.Conn{r.near, r.far} {
		if tcp, is := c.(*net.TCPConn); is && tcp != nil {
			tcp.SetLinger(0)
			tcp.Close()
		}
	}
}

// NewLink begins a link on a free port of a host, a loopback address, to a target; the seed is that of its jitter.
func NewLink(from, to, host, target string, seed uint64) (*Link, error) {
	k := &Link{From: from, To: to, target: target, changed: make(chan struct{}), conns: map[*relayed]bool{}, chance: pcg.New(seed)}
	var err error
	if k.port, err = reservedport.Reserve(host); err != nil {
		return nil, err
	}
	l, err := k.port.Listen()
	if err != nil {
		k.port.Release()
		return nil, err
	}
	k.serve(l)
	return k, nil
}

// Name is how a scenario calls it.
func (k *Link) Name() string { return k.From + ":" + k.To }

// Address is where the near side connects.
func (k *Link) Address() string { return k.port.Address() }

func (k *Link) serve(l net.Listener) {
	k.l = l
	k.wait.Go(func() {
		for {
			near, err := l.Accept()
			if err != nil {
				return
			}
			k.wait.Go(func() { k.carry(near) })
		}
	})
}

// Change changes the weather, for what is on its way too.
func (k *Link) Change(change func(w *Weather)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	change(&k.weather)
	k.news()
}

// news wakes all that wait for a change. The lock is held.
func (k *Link) news() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// Garble has one byte of the next chunk that goes a way changed.
func (k *Link) Garble(way Way) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.garble[way]++
}

// Cut resets all connections and refuses new ones, or takes them again.
func (k *Link) Cut(on bool) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cut == on || k.closed {
		return nil
	}
	k.cut = on
	k.news()
	if on {
		k.l.Close()
		k.reset()
		return nil
	}
	l, err := k.port.Listen()
	if err != nil {
		return fmt.Errorf("link %s: %w", k.Name(), err)
	}
	k.serve(l)
	return nil
}

// Reset ends the connections that there are; new ones are taken.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reset()
}

func (k *Link) reset() {
	for r := range k.conns {
		r.reset()
	}
}

// Mend takes away all that was done to the link.
func (k *Link) Mend() error {
	k.Change(func(w *Weather) { *w = Weather{} })
	k.mu.Lock()
	k.garble = [2]int{}
	k.mu.Unlock()
	return k.Cut(false)
}

// Passed is what went over it so far.
func (k *Link) Passed() Passed {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts
}

// Close ends it and waits until nothing of it runs.
func (k *Link) Close() {
	k.mu.Lock()
	k.closed = true
	k.l.Close()
	k.reset()
	k.news()
	k.mu.Unlock()
	k.wait.Wait()
	k.port.Release()
}

// state is the weather now, whether the link is there at all, and what tells of a change.
func (k *Link) state() (w Weather, gone bool, changed <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.weather, k.cut || k.closed, k.changed
}

// carry takes a connection over, in both ways until both have ended.
func (k *Link) carry(near net.Conn) {
	r := &relayed{near: near}
	for {
		w, gone, changed := k.state()
		if gone {
			k.mu.Lock()
			k.counts.Refused++
			k.mu.Unlock()
			r.reset()
			return
		}
		if !w.Mute && !w.Silent[There] && !w.Silent[Back] {
			break
		}
		// Neither side's word passes: the kernel has taken the connection, and nobody else ever hears of it unless
		// the link is mended.
		k.hold(r)
		<-changed
	}
	far, err := net.DialTimeout("tcp", k.target, 5*time.Second)
	if err != nil { // a far side that refuses is a near side that is reset
		k.noteRefused()
		k.drop(r)
		r.reset()
		return
	}
	k.drop(r)
	r.far = far
	k.mu.Lock()
	if k.cut || k.closed {
		k.mu.Unlock()
		r.reset()
		return
	}
	k.conns[r] = true
	k.counts.Connections++
	k.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { k.pump(r, near, far, There) })
	both.Go(func() { k.pump(r, far, near, Back) })
	both.Wait()
	k.drop(r)
	near.Close()
	far.Close()
}

func (k *Link) noteRefused() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refused = append(k.refused, time.Now())
}

// refusedSince counts the connections that the far side has not taken since a time: each was reset at the
// near side.
func (k *Link) refusedSince(from time.Time) (count int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := len(k.refused) - 1; i >= 0 && !k.refused[i].Before(from); i-- {
		count++
	}
	return count
}

func (k *Link) hold(r *relayed) {
	k.mu.Lock()
	k.conns[r] = true
	k.mu.Unlock()
}

func (k *Link) drop(r *relayed) {
	k.mu.Lock()
	delete(k.conns, r)
	k.mu.Unlock()
}

// chunk is bytes on their way.
type chunk struct {
	text []byte
	due  time.Time
	end  bool
}

// mostOnWay bounds the chunks on their way, as a window does.
const mostOnWay = 64

// pump carries one way. A side that ends has its end carried over too; one that breaks breaks the other.
func (k *Link) pump(r *relayed, from, to net.Conn, way Way) {
	on := make(chan chunk, mostOnWay)
	go func() {
		defer close(on)
		last := time.Time{}
		for {
			text := make([]byte, 8<<10)
			n, err := from.Read(text)
			k.mu.Lock()
			w := k.weather
			due := time.Now().Add(w.Delay)
			if w.Jitter > 0 {
				due = due.Add(time.Duration(k.chance.Float64() * float64(w.Jitter)))
			}
			if due.Before(last) {
				due = last
			}
			last = due
			if n > 0 && k.garble[way] > 0 {
				k.garble[way]--
				k.counts.Garbled++
				text[int(k.chance.Float64()*float64(n))] ^= 0x20
			}
			k.counts.Bytes[way] += int64(n)
			k.mu.Unlock()
			if n > 0 {
				on <- chunk{text: text[:n], due: due}
			}
			if err != nil {
				if err == io.EOF {
					on <- chunk{due: due, end: true}
				} else {
					r.reset()
				}
				return
			}
		}
	}()
	broken := false
	for c := range on {
		if broken {
			continue // to its end, so that the reader is not left waiting
		}
		if !k.until(c.due, way) {
			broken = true
			r.reset()
			continue
		}
		if c.end {
			if tcp, is := to.(*net.TCPConn); is {
				tcp.CloseWrite()
			}
			continue
		}
		if !k.write(to, c.text, way) {
			broken = true
			r.reset()
		}
	}
}

// until waits until a chunk is due and its way is not silent; false where the link has gone meanwhile.
func (k *Link) until(due time.Time, way Way) bool {
	for {
		w, gone, changed := k.state()
		switch wait := time.Until(due); {
		case gone:
			return false
		case w.Silent[way]:
			<-changed
		case wait > 0:
			timer := time.NewTimer(wait)
			select {
			case <-timer.C:
			case <-changed:
			}
			timer.Stop()
		default:
			return true
		}
	}
}

// write writes a chunk, as fast as the link is.
func (k *Link) write(to net.Conn, text []byte, way Way) bool {
	for len(text) > 0 {
		w, gone, _ := k.state()
		if gone {
			return false
		}
		n := len(text)
		if w.Throttle > 0 {
			n = min(n, max(int(w.Throttle/50), 1))
		}
		if _, err := to.Write(text[:n]); err != nil {
			return false
		}
		text = text[n:]
		if w.Throttle > 0 && !k.until(time.Now().Add(time.Duration(float64(n)/w.Throttle*1e9)), way) {
			return false
		}
	}
	return true
}
