package dispatcher

import (
	"fmt"
	"testing"
	"time"

	"poplarwind/parser"
)

// BenchmarkPick measures picking a server for different numbers of servers, all
// of them idle.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := New(Options{Slots: 3})
			for i := range n {
				d.Add(fmt.Sprint(i), fmt.Sprint(i), "a", true, false)
			}
			var c Call
			c.Reset(parser.Urgent, start.Add(time.Second), true)
			b.ReportAllocs()
			for b.Loop() {
				if d.pick(start, &c) == nil {
					b.Fatal("no server")
				}
			}
		})
	}
}

// BenchmarkDispatch measures submitting, dispatching and finishing a call for
// different numbers of servers.
func BenchmarkDispatch(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := New(Options{Slots: 3, HedgeRatio: 0.05})
			for i := range n {
				d.Add(fmt.Sprint(i), fmt.Sprint(i), "a", true, false)
			}
			now := start
			var c Call
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond)
				c.Reset(parser.Urgent, now.Add(time.Second), true)
				_ = d.Submit(now, &c)
				o, ok := d.Next(now)
				if !ok {
					b.Fatal("no server")
				}
				d.Finish(now, o.Attempt(), Completed, 1)
			}
		})
	}
}
