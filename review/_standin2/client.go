package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// outcome is what a client sees of one attempt.
type outcome struct {
	id, entry string
	sentAt    time.Time
	endedAt   time.Time
	// status is that of the answer, 0 if the connection ended without a whole one, -1 if the client left at
	// its time limit, and -2 if there was no connection.
	status     int
	body       string
	retryAfter time.Duration
	closes     bool
}

// client sends requests one after the other.
type client struct {
	d     *deployment
	name  string
	limit time.Duration
	path  string
	host  string
	// fresh is set if each request goes on a new connection.
	fresh bool
	// keep is the multiple of its time for which an answer of the directory is kept.
	keep float64

	mu       sync.Mutex
	outcomes []outcome
	addrs    []string
	until    time.Time
	conn     net.Conn
	reader   *bufio.Reader
	at       string
	n        int
}

// resolve asks an entry for the addresses to use, if the last answer is too old.
func (c *client) resolve() {
	if time.Now().Before(c.until) && len(c.addrs) > 0 {
		return
	}
	for range 3 {
		e := c.d.entries[rand.N(len(c.d.entries))]
		h := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := h.Get("http://" + e.directory + "/poplarwind/resolve?name=" + c.host + "&region=r&zone=a")
		if err != nil {
			continue
		}
		var got struct {
			Addresses []string `json:"addresses"`
			TTL       float64  `json:"ttl_s"`
		}
		err = json.NewDecoder(resp.Body).Decode(&got)
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == 200 && len(got.Addresses) > 0 {
			c.addrs, c.until = got.Addresses, time.Now().Add(time.Duration(c.keep*min(got.TTL, 5)*float64(time.Second)))
			return
		}
	}
}

// listed reports whether an address is in the last answer.
func (c *client) listed(addr string) bool {
	for _, a := range c.addrs {
		if a == addr {
			return true
		}
	}
	return false
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect makes sure that there is a connection to an address that is listed.
func (c *client) connect(avoid map[string]bool) bool {
	c.resolve()
	if c.conn != nil && !c.listed(c.at) {
		c.close()
	}
	if c.conn != nil {
		return true
	}
	var candidates []string
	for _, a := range c.addrs {
		if !avoid[a] {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		candidates = c.addrs
	}
	if len(candidates) == 0 {
		return false
	}
	c.at = candidates[rand.N(len(candidates))]
	conn, err := net.DialTimeout("tcp", c.at, time.Second)
	if err != nil {
		avoid[c.at] = true
		return false
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	return true
}

// attempt sends one request and waits for its answer.
func (c *client) attempt(limit time.Duration) outcome {
	c.n++
	o := outcome{id: fmt.Sprintf("%s-%d", c.name, c.n), entry: c.at, sentAt: time.Now()}
	_ = c.conn.SetDeadline(o.sentAt.Add(limit))
	_, err := fmt.Fprintf(c.conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", c.path, o.id, c.host, o.id, limit.Milliseconds())
	o.sentAt = time.Now()
	c.d.log.add("sent", o.id, o.entry, 0)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		o.body = string(body)
	}
	o.endedAt = time.Now()
	if err != nil {
		c.close()
		if nerr, ok := err.(net.Error); ok && nerr.Timeout() {
			o.status = -1
		}
		c.d.log.add("no answer", o.id, o.entry, o.status)
		return o
	}
	o.status, o.closes = resp.StatusCode, resp.Close
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		o.retryAfter = time.Duration(s * float64(time.Second))
	}
	c.d.log.add("answer", o.id, o.entry, o.status)
	if o.closes || c.fresh {
		c.close()
	}
	return o
}

// run sends requests until a time, with a pause between them.
func (c *client) run(until time.Time, pause func() time.Duration) {
	for time.Now().Before(until) {
		start := time.Now()
		avoid := make(map[string]bool)
		for try := range 2 {
			left := c.limit - time.Since(start)
			if left < 50*time.Millisecond {
				break
			}
			if !c.connect(avoid) {
				time.Sleep(50 * time.Millisecond)
				continue
			}
			o := c.attempt(left)
			c.mu.Lock()
			c.outcomes = append(c.outcomes, o)
			c.mu.Unlock()
			if o.status > 0 && o.status < 500 && o.status != 429 {
				break
			}
			if try == 0 {
				// A retry goes on a new connection.
				c.close()
				avoid[o.entry] = true
				time.Sleep(min(o.retryAfter, (c.limit-time.Since(start))/3))
			}
		}
		time.Sleep(pause())
	}
	c.close()
}
