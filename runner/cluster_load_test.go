package runner

import (
	"context"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"poplarwind/pipeliner"
)

// running returns an entry that runs, at random. It waits until there is one.
func (c *cluster) running() *clusterNode {
	for {
		c.mu.Lock()
		var up []*clusterNode
		for _, n := range c.nodes {
			if !n.gone && !n.frozen {
				up = append(up, n)
			}
		}
		if len(up) > 0 {
			defer c.mu.Unlock()
			return up[c.random.IntN(len(up))]
		}
		c.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// pick returns an entry that serves callers, mostly one that is assigned to the service.
func (c *cluster) pick() *clusterNode {
	n := c.running()
	c.mu.Lock()
	defer c.mu.Unlock()
	if list := n.membership().assignedAll("s"); len(list) > 0 && c.random.Float64() < 0.9 {
		name := list[c.random.IntN(len(list))].Name
		for _, other := range c.nodes {
			if other.name == name && !other.gone && !other.frozen {
				n = other
			}
		}
	}
	return n
}

// request sends one request to an entry and returns the status of its response.
func (n *clusterNode) request(id, method, path string) int {
	var req fasthttp.Request
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost("h")
	req.Header.Set("Id", id)
	call := pipeliner.Call{Request: &req, Response: fasthttp.AcquireResponse(), ArrivedAt: time.Now()}
	n.forwarder.Handle(context.Background(), &call)
	return call.Response.StatusCode()
}

// call sends one request to an entry that serves callers.
func (c *cluster) call(i int) {
	c.mu.Lock()
	c.requestedAt = append(c.requestedAt, time.Now())
	id := fmt.Sprint("r", len(c.requestedAt))
	c.mu.Unlock()
	status := c.pick().request(id, "POST", fmt.Sprint("/x", i))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if status == fasthttp.StatusOK {
		c.served++
	} else {
		c.failed++
	}
}

// load sends requests at a rate per second for a duration.
func (c *cluster) load(d time.Duration, rate int) {
	for i := range int(d.Seconds() * float64(rate)) {
		time.Sleep(time.Second / time.Duration(rate))
		go c.call(i)
	}
}

// fault injects one fault at random into one entry, or adds one.
func (c *cluster) fault() {
	c.mu.Lock()
	joins := c.random.IntN(4) == 0
	c.mu.Unlock()
	if joins {
		c.add()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	n := c.nodes[c.random.IntN(len(c.nodes))]
	d := time.Second + time.Duration(c.random.Int64N(int64(4*time.Second)))
	switch c.random.IntN(3) {
	case 0:
		n.gone = true
		n.kill()
	case 1:
		n.frozen = true
	case 2:
		n.cut = true
	}
	n.excused = time.Now().Add(d + clusterStableTime)
	time.AfterFunc(d, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		n.frozen, n.cut = false, false
	})
}
