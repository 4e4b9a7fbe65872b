package processtest

import (
	"net"
	"sync"
	"time"

	"yokeroute/internal/pcg"
)

// Datagrams is a relay for datagrams: it stands in place of the far side, and each near side that sends has a socket
// of its own towards it, by which answers find their way back.
type Datagrams struct {
	From, To string

	near    *net.UDPConn
	target  *net.UDPAddr
	mu      sync.Mutex
	weather Weather
	cut     bool
	garble  [2]int
	held    [2][]func() // datagrams that wait for one behind them
	chance  *pcg.Source
	counts  Passed
	sides   map[string]*net.UDPConn
	closed  bool
	wait    sync.WaitGroup
}

// NewDatagrams begins a relay on a free port of a host to a target.
func NewDatagrams(from, to, host, target string, seed uint64) (*Datagrams, error) {
	far, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return nil, err
	}
	near, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		return nil, err
	}
	d := &Datagrams{From: from, To: to, near: near, target: far, chance: pcg.New(seed), sides: map[string]*net.UDPConn{}}
	d.wait.Go(d.there)
	return d, nil
}

// Name is how a scenario calls it.
func (d *Datagrams) Name() string { return d.From + ":" + d.To }

// Address is where the near side sends.
func (d *Datagrams) Address() string { return d.near.LocalAddr().String() }

// Change changes the weather.
func (d *Datagrams) Change(change func(w *Weather)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.weather)
}

// Garble has one byte of the next datagram that goes a way changed.
func (d *Datagrams) Garble(way Way) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.garble[way]++
}

// Cut drops all, or nothing any more.
func (d *Datagrams) Cut(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut = on
}

// Mend takes away all that was done to it.
func (d *Datagrams) Mend() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.weather, d.cut, d.garble = Weather{}, false, [2]int{}
}

// Passed is what went over it so far.
func (d *Datagrams) Passed() Passed {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

// Close ends it and waits until nothing of it runs.
func (d *Datagrams) Close() {
	d.mu.Lock()
	d.closed = true
	d.near.Close()
	for _, s := range d.sides {
		s.Close()
	}
	d.mu.Unlock()
	d.wait.Wait()
}

func (d *Datagrams) there() {
	text := make([]byte, 64<<10)
	for {
		n, from, err := d.near.ReadFromUDP(text)
		if err != nil {
			return
		}
		d.mu.Lock()
		side := d.sides[from.String()]
		if side == nil && !d.closed {
			if side, err = net.DialUDP("udp4", nil, d.target); err == nil {
				d.sides[from.String()] = side
				d.wait.Go(func() { d.back(side, from) })
			}
		}
		d.mu.Unlock()
		if err == nil && side != nil {
			d.pass(append([]byte(nil), text[:n]...), There, func(b []byte) { side.Write(b) })
		}
	}
}

func (d *Datagrams) back(side *net.UDPConn, to *net.UDPAddr) {
	text := make([]byte, 64<<10)
	for {
		n, err := side.Read(text)
		if err != nil {
			d.mu.Lock()
			closed := d.closed
			d.mu.Unlock()
			if closed {
				return
			}
			time.Sleep(time.Millisecond) // nobody listens there for now; the kernel tells it once a datagram
			continue
		}
		d.pass(append([]byte(nil), text[:n]...), Back, func(b []byte) { d.near.WriteToUDP(b, to) })
	}
}

// pass carries a datagram, or does to it what the weather is.
func (d *Datagrams) pass(text []byte, way Way, send func([]byte)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.weather
	d.counts.Bytes[way] += int64(len(text))
	if d.cut || w.Silent[way] || w.Lose > 0 && d.chance.Float64() < w.Lose {
		d.counts.Lost++
		return
	}
	if d.garble[way] > 0 && len(text) > 0 {
		d.garble[way]--
		d.counts.Garbled++
		text[int(d.chance.Float64()*float64(len(text)))] ^= 0x20
	}
	after := w.Delay
	if w.Jitter > 0 {
		after += time.Duration(d.chance.Float64() * float64(w.Jitter))
	}
	go1 := func() {
		if after > 0 {
			time.AfterFunc(after, func() { send(text) })
			return
		}
		send(text)
	}
	if w.Reorder > 0 && d.chance.Float64() < w.Reorder && len(d.held[way]) < 8 {
		d.held[way] = append(d.held[way], go1) // until another has passed
		return
	}
	go1()
	if w.Repeat > 0 && d.chance.Float64() < w.Repeat {
		go1()
	}
	held := d.held[way]
	d.held[way] = nil
	for _, late := range held {
		late()
	}
}
