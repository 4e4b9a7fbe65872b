package processtest

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"yokeroute/internal/process"
)

func TestMain(m *testing.M) {
	status := m.Run()
	Unbuild()
	os.Exit(status)
}

func soon(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// echo answers each line by the same line; heard counts the connections that it took.
func echo(t *testing.T) (address string, heard func() int) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	count := make(chan int, 1)
	count <- 0
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			count <- 1 + <-count
			go func() { io.Copy(c, c); c.Close() }()
		}
	}()
	return l.Addr().String(), func() int { n := <-count; count <- n; return n }
}

// caller asks over a link.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, k *Link) *caller {
	t.Helper()
	c, err := net.Dial("tcp", k.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &caller{c, bufio.NewReader(c)}
}

// ask sends a line and gives what came back within a time.
func (c *caller) ask(line string, within time.Duration) (string, error) {
	c.SetDeadline(time.Now().Add(within))
	if line != "" {
		if _, err := io.WriteString(c, line+"\n"); err != nil {
			return "", err
		}
	}
	got, err := c.r.ReadString('\n')
	return strings.TrimSuffix(got, "\n"), err
}

func link(t *testing.T) (*Link, func() int) {
	t.Helper()
	address, heard := echo(t)
	k, err := NewLink("a", "b", "127.0.0.1", address, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return k, heard
}

func late(err error) bool { var n net.Error; return errors.As(err, &n) && n.Timeout() }

// TestLinkFaults: each thing that can be done to a link does what it says, and a link that is mended carries on.
func TestLinkFaults(t *testing.T) {
	const short, long = 80 * time.Millisecond, 10 * time.Second
	fine := func(t *testing.T, c *caller, line string) {
		t.Helper()
		if got, err := c.ask(line, long); got != line || err != nil {
			t.Errorf("%q, %v", got, err)
		}
	}
	t.Run("cut", func(t *testing.T) {
		k, _ := link(t)
		c := dial(t, k)
		fine(t, c, "one")
		if err := k.Cut(true); err != nil {
			t.Fatal(err)
		}
		if _, err := c.ask("two", long); !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, io.EOF) {
			t.Errorf("a connection that was cut: %v", err)
		}
		if _, err := net.Dial("tcp", k.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Errorf("a new one: %v", err)
		}
		if err := k.Cut(false); err != nil {
			t.Fatal(err)
		}
		fine(t, dial(t, k), "three")
	})
	t.Run("reset", func(t *testing.T) {
		k, heard := link(t)
		c := dial(t, k)
		fine(t, c, "one")
		k.Reset()
		if _, err := c.ask("two", long); err == nil || late(err) {
			t.Errorf("%v", err)
		}
		fine(t, dial(t, k), "three")
		if heard() != 2 {
			t.Errorf("%d connections", heard())
		}
	})
	t.Run("silent", func(t *testing.T) {
		for _, ways := range [][2]bool{{true, true}, {true, false}, {false, true}} {
			k, _ := link(t)
			c := dial(t, k)
			fine(t, c, "one")
			before := k.Passed().Bytes
			k.Change(func(w *Weather) { w.Silent = ways })
			if got, err := c.ask("two", short); !late(err) {
				t.Errorf("%v: %q, %v", ways, got, err)
			}
			// One-sided silence is one-sided: the question arrived, its answer did not.
			if arrived := k.Passed().Bytes[Back] > before[Back]; arrived != !ways[There] {
				t.Errorf("%v: answered %t", ways, arrived)
			}
			k.Change(func(w *Weather) { *w = Weather{} })
			if got, err := c.ask("", long); got != "two" || err != nil {
				t.Errorf("%v: what waited: %q, %v", ways, got, err)
			}
		}
	})
	t.Run("mute", func(t *testing.T) {
		k, heard := link(t)
		k.Change(func(w *Weather) { w.Mute = true })
		if _, err := dial(t, k).ask("one", short); !late(err) || heard() != 0 {
			t.Errorf("%v, %d heard", err, heard())
		}
	})
	t.Run("delay and jitter", func(t *testing.T) {
		k, _ := link(t)
		c := dial(t, k)
		k.Change(func(w *Weather) { w.Delay = 60 * time.Millisecond })
		began := time.Now()
		fine(t, c, "one")
		if took := time.Since(began); took < 120*time.Millisecond {
			t.Errorf("there and back in %v", took)
		}
		k.Change(func(w *Weather) { *w = Weather{Jitter: 20 * time.Millisecond} })
		for i := range 40 { // many on their way at once keep their order
			fmt.Fprintf(c, "%d\n", i)
		}
		for i := range 40 {
			if got, err := c.ask("", long); got != fmt.Sprint(i) || err != nil {
				t.Fatalf("%d: %q, %v", i, got, err)
			}
		}
	})
	t.Run("throttle", func(t *testing.T) {
		k, _ := link(t)
		c := dial(t, k)
		k.Change(func(w *Weather) { w.Throttle = 20_000 })
		began := time.Now()
		fine(t, c, strings.Repeat("x", 4000))
		if took := time.Since(began); took < 200*time.Millisecond {
			t.Errorf("4 kB at 20 kB a second in %v", took)
		}
	})
	t.Run("garble", func(t *testing.T) {
		k, _ := link(t)
		c := dial(t, k)
		k.Garble(Back)
		got, err := c.ask("aaaaaaaaaaaaaaaa", long)
		if different := strings.Count(got, "a"); err != nil && !late(err) || err == nil && different != 15 {
			t.Errorf("%q, %v", got, err)
		}
		if k.Passed().Garbled != 1 {
			t.Errorf("%+v", k.Passed())
		}
		fine(t, dial(t, k), "two")
	})
}

// TestDatagramFaults: what can be done to datagrams does what it says, by counts: 200 are sent, numbered.
func TestDatagramFaults(t *testing.T) {
	const all = 200
	for name, c := range map[string]struct {
		weather Weather
		cut     bool
		check   func(got []int) bool
	}{
		"nothing":  {Weather{}, false, func(got []int) bool { return len(got) == all && disorder(got) == 0 }},
		"lost":     {Weather{Lose: 0.5}, false, func(got []int) bool { return len(got) > 50 && len(got) < 150 && disorder(got) == 0 }},
		"reorder":  {Weather{Reorder: 0.3}, false, func(got []int) bool { return disorder(got) > 10 && len(got) >= all-8 }},
		"repeated": {Weather{Repeat: 0.5}, false, func(got []int) bool { return len(got) > 250 && len(got) < 350 }},
		"silent":   {Weather{Silent: [2]bool{true, false}}, false, func(got []int) bool { return len(got) == 0 }},
		"cut":      {Weather{}, true, func(got []int) bool { return len(got) == 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			far, err := net.ListenPacket("udp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer far.Close()
			d, err := NewDatagrams("a", "b", "127.0.0.1", far.LocalAddr().String(), 3)
			if err != nil {
				t.Fatal(err)
			}
			defer d.Close()
			d.Change(func(w *Weather) { *w = c.weather })
			d.Cut(c.cut)
			near, err := net.Dial("udp4", d.Address())
			if err != nil {
				t.Fatal(err)
			}
			defer near.Close()
			got := make(chan []int)
			go func() {
				var numbers []int
				text := make([]byte, 100)
				for {
					n, from, err := far.ReadFrom(text)
					if err != nil {
						got <- numbers
						return
					}
					if string(text[:n]) == "end" {
						far.WriteTo([]byte("end"), from)
						got <- numbers
						return
					}
					var number int
					fmt.Sscan(string(text[:n]), &number)
					numbers = append(numbers, number)
				}
			}()
			for i := range all {
				fmt.Fprint(near, i)
				if i%20 == 0 {
					time.Sleep(time.Millisecond) // less than a socket's buffer at a time
				}
			}
			if err := process.WaitUntil(soon(t), "all have come", func() bool { return d.Passed().Bytes[There] == 490 }); err != nil {
				t.Fatal(err, d.Passed())
			}
			d.Mend()
			fmt.Fprint(near, "end")
			back := make([]byte, 10)
			near.SetReadDeadline(time.Now().Add(10 * time.Second))
			if n, err := near.Read(back); err != nil || string(back[:n]) != "end" {
				t.Errorf("back: %q, %v", back[:n], err)
			}
			if numbers := <-got; !c.check(numbers) {
				t.Errorf("%d came, %d out of order, %+v", len(numbers), disorder(numbers), d.Passed())
			}
		})
	}
}

// disorder is how many numbers come behind a greater one.
func disorder(numbers []int) (n int) {
	most := -1
	for _, number := range numbers {
		if number < most {
			n++
		}
		most = max(most, number)
	}
	return n
}

// TestCutLinkKeepsItsPort: while a link is cut, no socket of another process is given its port, so that it can be
// mended; connections are refused meanwhile.
func TestCutLinkKeepsItsPort(t *testing.T) {
	target, _ := echo(t)
	k, err := NewLink("a", "b", "127.0.0.1", target, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer k.Close()
	if err := k.Cut(true); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", k.Address()); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("%v, %v", c, err)
	}
	own, err := net.ResolveTCPAddr("tcp", k.Address())
	if err != nil {
		t.Fatal(err)
	}
	other := net.Dialer{LocalAddr: own}
	if c, err := other.Dial("tcp", target); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("another socket is given the port: %v, %v", c, err)
	}
	if err := k.Cut(false); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", k.Address())
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}
