package discovery

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"
)

// opening is the calls for the whole list that are out at one agent.
type opening struct {
	ctx  context.Context
	stop context.CancelFunc
	ends chan end
	out  []*opened // by age
}

type opened struct {
	stop  context.CancelFunc
	begun atomic.Bool // its answer has
}

type end struct {
	of  *opened
	r   *Reply
	err error
}

func (o *opening) end() {
	if o != nil {
		o.stop()
	}
}

// ask makes one more call, in place of one that has waited for nothing where too many are out.
func (o *opening) ask(f *Follower, url string) {
	if len(o.out) >= mostOpening {
		at := slices.IndexFunc(o.out[1:], func(c *opened) bool { return !c.begun.Load() })
		if at < 0 {
			return // answers are coming
		}
		o.out[1+at].stop()
		o.out = slices.Delete(o.out, 1+at, 2+at)
	}
	ctx, stop := context.WithCancel(o.ctx)
	c := &opened{stop: stop}
	o.out = append(o.out, c)
	go func() {
		defer stop()
		r, err := f.get(ctx, url, wholeList, &c.begun)
		select {
		case o.ends <- end{c, r, err}:
		case <-o.ctx.Done():
		}
	}()
}

// open asks for the whole list until one of its calls is answered, for as long as patience lasts. Calls that are still
// out then go on, for the next open to hear.
func (f *Follower) open(ctx context.Context, url string) (*Reply, error) {
	if f.opening == nil {
		f.opening = &opening{ends: make(chan end)}
		f.opening.ctx, f.opening.stop = context.WithCancel(context.WithoutCancel(ctx))
	}
	o := f.opening
	limit := time.NewTimer(patience)
	defer limit.Stop()
	next := time.NewTicker(hedgeAfter)
	defer next.Stop()
	o.ask(f, url)
	for {
		select {
		case e := <-o.ends:
			at := slices.Index(o.out, e.of)
			if at >= 0 { // else it was given up for another
				o.out = slices.Delete(o.out, at, at+1)
			}
			if e.err == nil {
				o.end()
				f.opening = nil
				return e.r, nil
			}
			if len(o.out) == 0 {
				return nil, e.err
			}
		case <-next.C:
			if !f.shared {
				o.ask(f, url)
			}
		case <-limit.C:
			return nil, errSilent
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// errOverBound is an answer that is larger than any fleet's; nothing of it is taken over.
var errOverBound = errors.New("over the bound")

var errSilent = errors.New("no answer")
